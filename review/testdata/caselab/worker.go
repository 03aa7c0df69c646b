package main

import (
	"bufio"
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// run is a request that a worker began to work on.
type run struct {
	worker string
	id     string
	at     time.Time
}

// runs holds what ran on all workers.
type runs struct {
	mu   sync.Mutex
	list []run
}

func (r *runs) add(x run) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.list = append(r.list, x)
}

func (r *runs) byID() map[string][]run {
	r.mu.Lock()
	defer r.mu.Unlock()
	out := map[string][]run{}
	for _, x := range r.list {
		out[x.id] = append(out[x.id], x)
	}
	return out
}

// worker is a stand-in for a plain service's server, as PROTOCOL.md describes it.
type worker struct {
	d       *deployment
	id      string
	service string
	zone    string
	slots   int
	work    time.Duration
	runs    *runs
	// second reports whether the server also sends a second copy of an answer, late.
	second func() bool
	// models are those of an engine.
	models []map[string]any
	// answer replaces the usual response.
	answer func(w *worker, conn net.Conn, r *http.Request, body []byte) bool

	mu       sync.Mutex
	listener net.Listener
	address  string
	conns    map[net.Conn]bool
	running  int
	beat     int
	born     int64
}

// start listens and registers the server; it keeps its address after a crash.
func (w *worker) start() {
	if w.address == "" {
		w.address = w.d.workerAddress()
	}
	l, err := net.Listen("tcp4", w.address)
	if err != nil {
		fail("worker %s: %v", w.id, err)
	}
	w.mu.Lock()
	w.listener, w.conns, w.running, w.born = l, map[net.Conn]bool{}, 0, time.Now().UnixMilli()
	w.mu.Unlock()
	go func() {
		for {
			conn, err := l.Accept()
			if err != nil {
				return
			}
			w.mu.Lock()
			w.conns[conn] = true
			w.mu.Unlock()
			go w.serve(conn)
		}
	}()
	w.register()
}

// register writes the server's entry to the platform's store.
func (w *worker) register() {
	w.mu.Lock()
	w.beat++
	entry := map[string]any{
		"Service": w.service, "Address": w.address, "Zone": w.zone, "Version": "v1", "Slots": w.slots, "State": "ready",
		"ColdLeftMs": 0, "Sequence": w.beat, "born": w.born,
	}
	if w.models != nil {
		entry["Stage"], entry["Models"] = "both", w.models
	}
	w.mu.Unlock()
	w.d.store.Put("servers/"+w.id, entry)
}

// crash resets all connections and closes the port. The server starts again after down.
func (w *worker) crash(down time.Duration) {
	w.mu.Lock()
	l := w.listener
	var conns []net.Conn
	for conn := range w.conns {
		conns = append(conns, conn)
	}
	w.listener = nil
	w.mu.Unlock()
	if l == nil {
		return
	}
	_ = l.Close()
	for _, conn := range conns {
		_ = conn.(*net.TCPConn).SetLinger(0)
		_ = conn.Close()
	}
	time.AfterFunc(down, func() {
		select {
		case <-w.d.stop:
		default:
			w.start()
		}
	})
}

func (w *worker) take() (int, bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.running >= w.slots {
		return w.running, false
	}
	w.running++
	return w.running, true
}

func (w *worker) release() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.running--
}

// serve serves one request at a time on a connection.
func (w *worker) serve(conn net.Conn) {
	defer func() {
		w.mu.Lock()
		delete(w.conns, conn)
		w.mu.Unlock()
		_ = conn.Close()
	}()
	reader := bufio.NewReader(conn)
	var late []byte
	for {
		r, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		body, err := io.ReadAll(r.Body)
		if err != nil {
			return
		}
		if late != nil {
			if _, err := conn.Write(late); err != nil {
				return
			}
			late = nil
		}
		answer, ok := w.handle(conn, r, body)
		if !ok {
			return
		}
		if _, err := conn.Write(answer); err != nil {
			return
		}
		if w.second != nil && w.second() {
			late = answer
		}
	}
}

// handle runs a request and returns the answer, or false if the connection ends.
func (w *worker) handle(conn net.Conn, r *http.Request, body []byte) ([]byte, bool) {
	if r.URL.Path == "/api/report" {
		body, err := json.Marshal(map[string]any{"Stage": "both", "Models": w.models, "Busy": false, "Sequence": 0})
		return encode(200, body, "Content-Type", "application/json"), err == nil
	}
	id := r.Header.Get("X-Attempt-Id")
	if expected := r.Header.Get("X-Expect-Instance"); expected != "" && expected != w.id {
		return encode(421, nil, "X-Instance-Id", w.id, "X-Attempt-Id", id), true
	}
	if id == "" {
		return encode(400, nil, "X-Not-Executed", "1"), true
	}
	running, ok := w.take()
	load := fmt.Sprintf("%d,0,%d", running, w.slots)
	if !ok {
		return encode(503, nil, "X-Not-Executed", "1", "X-Attempt-Id", id, "X-Instance-Load", load), true
	}
	defer w.release()
	w.runs.add(run{w.id, id, time.Now()})
	if w.answer != nil && w.answer(w, conn, r, body) {
		return nil, true
	}
	time.Sleep(w.work)
	return encode(200, []byte("done "+id), "X-Attempt-Id", id, "X-Server-Seal", "seal-"+id, "X-Instance-Load", load), true
}

// encode returns a response with a length.
func encode(status int, body []byte, headers ...string) []byte {
	var b bytes.Buffer
	fmt.Fprintf(&b, "HTTP/1.1 %d %s\r\n", status, http.StatusText(status))
	for i := 0; i+1 < len(headers); i += 2 {
		fmt.Fprintf(&b, "%s: %s\r\n", headers[i], headers[i+1])
	}
	fmt.Fprintf(&b, "Content-Length: %s\r\n\r\n", strconv.Itoa(len(body)))
	b.Write(body)
	return b.Bytes()
}

// answer is what a client saw of one attempt. Its status is 0 if the connection ended.
type answer struct {
	status     int
	retryAfter time.Duration
	body       []byte
	header     http.Header
	err        error
}

// client sends attempts of requests.
type client struct {
	http *http.Client
}

func newClient(timeout time.Duration) *client {
	return &client{&http.Client{Timeout: timeout, Transport: &http.Transport{MaxIdleConnsPerHost: 64}}}
}

func (c *client) send(method, address, path, key, id string, body []byte, headers ...string) answer {
	r, err := http.NewRequest(method, "http://"+address+path, bytes.NewReader(body))
	if err != nil {
		fail("%v", err)
	}
	r.Host = host
	r.Header.Set("Authorization", "Bearer "+key)
	r.Header.Set("X-Attempt-Id", id)
	for i := 0; i+1 < len(headers); i += 2 {
		r.Header.Set(headers[i], headers[i+1])
	}
	response, err := c.http.Do(r)
	if err != nil {
		return answer{err: err}
	}
	defer response.Body.Close()
	out, err := io.ReadAll(response.Body)
	a := answer{status: response.StatusCode, body: out, header: response.Header, err: err}
	if seconds, err := strconv.ParseFloat(response.Header.Get("Retry-After"), 64); err == nil {
		a.retryAfter = time.Duration(seconds * float64(time.Second))
	}
	return a
}
