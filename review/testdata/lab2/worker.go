package main

import (
	"bufio"
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"
)

const heartbeat = 1200 * time.Millisecond

// A second answer of a faulty server comes this long after the first.
const (
	minExtraDelay = 20 * time.Millisecond
	maxExtraDelay = 50 * time.Millisecond
)

// fault changes how a server answers one request. It returns false if the server shall answer
// as usual.
type fault func(w *worker, c *workerConn, r *http.Request) bool

// worker is a stand-in for a server: a plain service, or a model engine if it has a model.
type worker struct {
	lab              *lab
	id, service      string
	zone, address    string
	model            string
	slots, queue     int
	work             func(r *http.Request, body []byte) time.Duration
	eventDelay       time.Duration
	events           func(id string) int
	status           func(id string) int // 0: answers normally
	mu               sync.Mutex
	running, waiting int
	free             chan struct{}
	version          int64
	loadTime         time.Duration // how long a change of version takes
	loadingUntil     time.Time
	sequence, fence  int64
	beats            int64
	born             int64
	fault            fault
	runs             map[string]int
	lost             bool
	extraShare       float64 // the share of answers that are sent a second time, later
	listener         net.Listener
	conns            map[net.Conn]bool
}

// workerConn is a connection to a server. A mutex keeps answers apart.
type workerConn struct {
	net.Conn
	mu sync.Mutex
}

func (l *lab) addWorker(w *worker) {
	w.lab = l
	w.address = l.address(50+len(l.workers), 9000)
	w.born = time.Now().UnixMilli()
	w.free = make(chan struct{}, w.slots)
	w.runs = map[string]int{}
	w.conns = map[net.Conn]bool{}
	w.version = max(w.version, 1)
	listener, err := net.Listen("tcp4", w.address)
	l.must(err)
	w.listener = listener
	l.workers = append(l.workers, w)
	go func() {
		for {
			c, err := listener.Accept()
			if err != nil {
				return
			}
			w.mu.Lock()
			w.conns[c] = true
			w.mu.Unlock()
			go w.serve(&workerConn{Conn: c})
		}
	}()
	go func() {
		for {
			w.mu.Lock()
			lost := w.lost
			w.mu.Unlock()
			if lost {
				return
			}
			w.register()
			time.Sleep(heartbeat)
		}
	}()
}

// lose ends the server for good. Its entry is removed after three heartbeats.
func (w *worker) lose() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.lost = true
	_ = w.listener.Close()
	for c := range w.conns {
		_ = c.Close()
	}
	time.AfterFunc(3*heartbeat, func() { w.lab.store.remove("servers/" + w.id) })
}

func (w *worker) setFault(f fault) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.fault = f
}

func (w *worker) models() []map[string]any {
	if w.model == "" {
		return []map[string]any{}
	}
	return []map[string]any{{"Name": w.model, "Version": w.version, "Adapters": []string{}}}
}

func (w *worker) register() {
	w.mu.Lock()
	w.beats++
	entry := map[string]any{
		"Service": w.service, "Address": w.address, "Zone": w.zone, "Version": "v1", "Slots": w.slots, "State": "ready",
		"ColdLeftMs": 0, "Sequence": w.beats, "born": w.born, "Models": w.models(), "Stage": "both",
	}
	w.mu.Unlock()
	w.lab.store.put("servers/"+w.id, entry)
}

func (w *worker) serve(c *workerConn) {
	defer func() {
		_ = c.Close()
		w.mu.Lock()
		delete(w.conns, c.Conn)
		w.mu.Unlock()
	}()
	reader := bufio.NewReader(c)
	for {
		r, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		body, err := io.ReadAll(r.Body)
		if err != nil {
			return
		}
		gone := make(chan struct{})
		stop := make(chan struct{})
		stopped := make(chan struct{})
		go func() { // notices that the sender closed the connection
			defer close(stopped)
			for {
				_ = c.SetReadDeadline(time.Now().Add(20 * time.Millisecond))
				_, err := reader.Peek(1)
				if err == nil {
					return
				}
				if ne, ok := err.(net.Error); !ok || !ne.Timeout() {
					close(gone)
					return
				}
				select {
				case <-stop:
					return
				default:
				}
			}
		}()
		ok := w.handle(c, r, body, gone)
		close(stop)
		<-stopped
		_ = c.SetReadDeadline(time.Time{})
		if !ok {
			return
		}
	}
}

// respond writes an answer with a length. A faulty server may send it a second time, later.
func (w *worker) respond(c *workerConn, r *http.Request, status int, header map[string]string, body []byte) {
	id := r.Header.Get("X-Attempt-Id")
	data := encodeAnswer(id, status, header, body)
	c.mu.Lock()
	_, _ = c.Write(data)
	c.mu.Unlock()
	w.mu.Lock()
	extra := id != "" && rand.Float64() < w.extraShare
	w.mu.Unlock()
	if extra {
		delay := minExtraDelay + rand.N(maxExtraDelay-minExtraDelay)
		time.AfterFunc(delay, func() {
			c.mu.Lock()
			defer c.mu.Unlock()
			if _, err := c.Write(data); err == nil {
				w.lab.record("extra-answer", "id", id, "server", w.id, "status", status, "after-ms", delay.Milliseconds())
			}
		})
	}
}

func encodeAnswer(id string, status int, header map[string]string, body []byte) []byte {
	var b bytes.Buffer
	fmt.Fprintf(&b, "HTTP/1.1 %d %s\r\n", status, http.StatusText(status))
	if id != "" {
		fmt.Fprintf(&b, "X-Attempt-Id: %s\r\n", id)
	}
	for name, value := range header {
		fmt.Fprintf(&b, "%s: %s\r\n", name, value)
	}
	fmt.Fprintf(&b, "Content-Length: %d\r\n\r\n", len(body))
	b.Write(body)
	return b.Bytes()
}

func (w *worker) handle(c *workerConn, r *http.Request, body []byte, gone chan struct{}) bool {
	switch r.URL.Path {
	case "/api/report":
		w.mu.Lock()
		data, _ := json.Marshal(map[string]any{
			"Stage": "both", "Models": w.models(), "Busy": time.Now().Before(w.loadingUntil), "Sequence": w.sequence, "QueuedCount": w.waiting, "ActiveCount": w.running,
			"KvUsed": 0, "KvTotal": 110995, "Handles": 0, "born": w.born,
		})
		w.mu.Unlock()
		w.respond(c, r, http.StatusOK, map[string]string{"Content-Type": "application/json"}, data)
		return true
	case "/api/order":
		w.respond(c, r, w.order(body), nil, nil)
		return true
	case "/health":
		w.respond(c, r, http.StatusOK, map[string]string{"X-Instance-Id": w.id}, nil)
		return true
	}
	id := r.Header.Get("X-Attempt-Id")
	if expected := r.Header.Get("X-Expect-Instance"); expected != "" && expected != w.id {
		w.respond(c, r, http.StatusMisdirectedRequest, map[string]string{"X-Not-Executed": "1"}, nil)
		return true
	}
	w.mu.Lock()
	f := w.fault
	if w.running+w.waiting >= w.slots+w.queue || time.Now().Before(w.loadingUntil) {
		w.mu.Unlock()
		w.lab.record("rejected", "id", id, "server", w.id)
		w.respond(c, r, http.StatusServiceUnavailable, map[string]string{"X-Not-Executed": "1"}, nil)
		return true
	}
	if expected := r.Header.Get("X-Expect-Version"); expected != "" && w.model != "" && expected != strconv.FormatInt(w.version, 10) {
		has := w.version
		w.mu.Unlock()
		w.lab.record("rejected", "id", id, "server", w.id, "status", http.StatusMisdirectedRequest, "expected-version", expected, "has", has)
		w.respond(c, r, http.StatusMisdirectedRequest, map[string]string{"X-Not-Executed": "1"}, nil)
		return true
	}
	w.waiting++
	w.mu.Unlock()
	select {
	case w.free <- struct{}{}:
	case <-gone:
		w.mu.Lock()
		w.waiting--
		w.mu.Unlock()
		return false
	}
	w.mu.Lock()
	w.waiting--
	w.running++
	w.runs[id]++
	n := w.runs[id]
	w.mu.Unlock()
	defer func() {
		w.mu.Lock()
		w.running--
		w.mu.Unlock()
		<-w.free
	}()
	w.lab.record("run", "id", id, "server", w.id, "nth", n, "last-event-id", r.Header.Get("Last-Event-Id"))
	w.lab.countRun(id)
	if w.status != nil {
		if status := w.status(id); status != 0 {
			w.lab.record("answered-by-server", "id", id, "server", w.id, "status", status)
			w.respond(c, r, status, map[string]string{"X-Server-Seal": "seal-" + id}, nil)
			return true
		}
	}
	if w.model != "" {
		if f != nil && f(w, c, r) {
			return false
		}
		return w.stream(c, r, id, gone)
	}
	select {
	case <-time.After(w.work(r, body)):
	case <-gone:
		return false
	}
	w.respond(c, r, http.StatusOK, map[string]string{"X-Server-Seal": "seal-" + id}, []byte("answer to "+id))
	return true
}

// currentVersion returns the version of the weights.
func (w *worker) currentVersion() int64 {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.version
}

// streamHead returns the head of a stream of events.
func (w *worker) streamHead(id string) string {
	w.mu.Lock()
	defer w.mu.Unlock()
	return fmt.Sprintf("HTTP/1.1 200 OK\r\nX-Attempt-Id: %s\r\nX-Server-Seal: seal-%s\r\nX-Weight-Versions: %d\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n",
		id, id, w.version)
}

func chunk(data string) string { return fmt.Sprintf("%x\r\n%s\r\n", len(data), data) }

// stream generates the events of an item.
func (w *worker) stream(c *workerConn, r *http.Request, id string, gone chan struct{}) bool {
	last, _ := strconv.Atoi(r.Header.Get("Last-Event-Id"))
	if _, err := io.WriteString(c, w.streamHead(id)); err != nil {
		return false
	}
	version := w.currentVersion()
	total := 5
	if w.events != nil {
		total = w.events(id)
	}
	for n := last + 1; n <= total; n++ {
		select {
		case <-time.After(w.eventDelay):
		case <-gone:
			return false
		}
		event := fmt.Sprintf("id: %d\ndata: %s-%d\n\n", n, id, n)
		if now := w.currentVersion(); now != version {
			version = now
			event = fmt.Sprintf("x-weight-versions: %d\n%s", version, event)
		}
		if _, err := io.WriteString(c, chunk(event)); err != nil {
			return false
		}
	}
	_, err := io.WriteString(c, "0\r\n\r\n")
	if err == nil {
		w.lab.finished(id)
	}
	return err == nil
}

func (w *worker) order(body []byte) int {
	var o struct {
		Operation, Model, Mode, Holder string
		Version, Fence                 int64
		Expected                       *int64
	}
	if json.Unmarshal(body, &o) != nil || o.Operation != "Version" || o.Holder == "" || o.Fence == 0 || o.Model != w.model {
		return http.StatusBadRequest
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	switch {
	case o.Fence < w.fence:
		return http.StatusPreconditionFailed
	case o.Expected != nil && *o.Expected != w.sequence:
		return http.StatusConflict
	}
	w.fence = o.Fence
	if time.Now().Before(w.loadingUntil) {
		return http.StatusConflict
	}
	if w.version == o.Version {
		return http.StatusOK
	}
	w.sequence++
	w.loadingUntil = time.Now().Add(w.loadTime)
	time.AfterFunc(w.loadTime, func() {
		w.mu.Lock()
		w.version = o.Version
		w.mu.Unlock()
		w.register()
	})
	w.lab.record("order-accepted", "server", w.id, "version", o.Version, "mode", o.Mode, "holder", o.Holder, "fence", o.Fence)
	return http.StatusAccepted
}
