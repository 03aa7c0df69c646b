package main

import (
	"bytes"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"time"
)

const (
	// poisonWork is how long a worker runs a request that crashes it.
	poisonWork = 25 * time.Millisecond
	// maxPoisonRetries is how many retries may reach workers later than contactTime after
	// the third crash.
	maxPoisonRetries = 3
)

// poisonRequest is a request that crashes each worker that runs it, and its crashes.
type poisonRequest struct {
	d       *deployment
	name    string
	path    string
	body    []byte
	headers []string
	// pause is the time between two tries: the workers are back meanwhile.
	pause time.Duration
	tries int

	mu      sync.Mutex
	crashes []poisonCrash
}

type poisonCrash struct {
	id string
	at time.Time
}

// matches reports whether a request crashes its worker.
func (q *poisonRequest) matches(body []byte) bool { return q.d.trouble && bytes.Equal(body, q.body) }

// crash crashes a worker that has run the request for a while.
func (q *poisonRequest) crash(w *worker, id string) {
	time.Sleep(poisonWork)
	q.mu.Lock()
	q.crashes = append(q.crashes, poisonCrash{id, time.Now()})
	q.mu.Unlock()
	q.d.record.add("attempt %s crashes %s", id, w.id)
	w.crash(crashTime)
}

// send sends the request again and again, with the same path, caller and body.
func (q *poisonRequest) send(c *client) {
	for n := range q.tries {
		id := fmt.Sprintf("%s-%03d", q.name, n)
		p := q.d.entries[rand.N(len(q.d.entries))]
		a := c.send(http.MethodPost, q.d.front(p), q.path, bookingKey, id, q.body, q.headers...)
		q.d.record.add("attempt %s at %s: status %d, error %v", id, p.name, a.status, a.err)
		time.Sleep(q.pause)
	}
}

// broken returns what broke the rule.
func (q *poisonRequest) broken() []string {
	q.mu.Lock()
	defer q.mu.Unlock()
	retries := map[string]bool{}
	for i, x := range q.crashes {
		if i > 2 && x.at.After(q.crashes[2].at.Add(contactTime)) {
			retries[x.id] = true
		}
	}
	fmt.Printf("%s: %d crashes; %d retries reached workers later than %v after the third\n", q.name, len(q.crashes), len(retries), contactTime)
	if len(retries) <= maxPoisonRetries {
		return nil
	}
	return []string{fmt.Sprintf("BUDGET: %d retries of the request %q reached workers later than %v after it had crashed the third (%d crashes in all)", len(retries), q.name, contactTime, len(q.crashes))}
}

// poison sends two requests that crash each worker that begins to run them: one of a route
// that may be repeated, at a service of three workers, and one for a stream.
func poison(d *deployment) []string {
	d.store.Put("op/config", config(7, route("r-check", "/check/", "safe", "portal", 4, 1500, 150), route("r-stream", "/stream/", "streaming", "sim-lm", 3, 10000, 400)))
	whole := &poisonRequest{d: d, name: "whole", path: "/check/slot", body: []byte(`{"slot":"crash"}`), headers: []string{"X-Deadline-Ms", "800"}, pause: 6 * time.Second, tries: 10}
	stream := &poisonRequest{d: d, name: "stream", path: "/stream/s", body: []byte(`{"prompt":"crash"}`), headers: []string{"X-Model", model, "X-Deadline-Ms", "10000"}, pause: 2 * time.Second, tries: 20}
	ran := &runs{}
	for _, w := range d.startWorkers(3, "portal", 6, 25*time.Millisecond, ran) {
		w.answer = func(w *worker, conn net.Conn, r *http.Request, body []byte) bool {
			if !whole.matches(body) {
				return false
			}
			whole.crash(w, r.Header.Get("X-Attempt-Id"))
			return true
		}
	}
	for _, w := range d.startWorkers(9, "sim-lm", 8, 5*time.Millisecond, ran) {
		w.models = []map[string]any{{"Name": model, "Version": 1, "Adapters": []string{}}}
		w.register()
		w.answer = func(w *worker, conn net.Conn, r *http.Request, body []byte) bool {
			if !stream.matches(body) {
				return serveEvents(w, conn, r, body)
			}
			id := r.Header.Get("X-Attempt-Id")
			event := fmt.Sprintf("id: 1\ndata: %s-1\n\n", id)
			_, _ = fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nX-Attempt-Id: %s\r\nX-Server-Seal: seal-%s\r\nX-Weight-Versions: 1\r\nTransfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n", id, id, len(event), event)
			stream.crash(w, id)
			return true
		}
	}
	d.startSchedulers(3)
	d.startEntries(3)
	c := newClient(12 * time.Second)
	d.waitReady(func(p *process) bool {
		id := fmt.Sprintf("warm-%x", rand.Uint64())
		return c.send(http.MethodPost, d.front(p), "/check/warm", bookingKey, id, []byte("{}")).status == http.StatusOK &&
			c.send(http.MethodPost, d.front(p), "/stream/warm", bookingKey, id, []byte("{}"), "X-Model", model).status == http.StatusOK
	})
	time.Sleep(contactTime)
	var group sync.WaitGroup
	group.Go(func() { whole.send(c) })
	group.Go(func() { stream.send(c) })
	group.Wait()
	return append(whole.broken(), stream.broken()...)
}
