package main

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// server is a stand-in for a server of the platform: a model engine or a plain service.
type server struct {
	lab                  *lab
	id, service, address string
	zone                 string
	engine               bool
	// answer runs a request and answers it.
	answer func(s *server, w http.ResponseWriter, r *http.Request, body []byte)

	mu       sync.Mutex
	software string
	state    string
	sequence int
	born     int64
	http     *http.Server
	runs     []ran
}

// ran is a request that a server began to run.
type ran struct {
	id, path, lastEvent, software string
	at                            time.Time
}

// addServer starts a server on a free port and registers it.
func (l *lab) addServer(id, service, zone string, engine bool, answer func(*server, http.ResponseWriter, *http.Request, []byte)) *server {
	s := &server{lab: l, id: id, service: service, zone: zone, engine: engine, answer: answer, software: "1.0", state: "ready"}
	s.listen(l.network + ".9:0")
	s.register()
	return s
}

func (s *server) listen(address string) {
	listener, err := net.Listen("tcp4", address)
	if err != nil {
		giveUp("%v", err)
	}
	s.mu.Lock()
	s.address, s.born = listener.Addr().String(), time.Now().UnixMilli()
	s.http = &http.Server{Handler: http.HandlerFunc(s.serve)}
	serve := s.http
	s.mu.Unlock()
	go func() { _ = serve.Serve(listener) }()
}

// crash ends the server: all its connections are lost. Its registration stays.
func (s *server) crash() {
	s.mu.Lock()
	serve := s.http
	s.mu.Unlock()
	_ = serve.Close()
	s.lab.note("%s: crashed", s.id)
}

// register writes the server's registration.
func (s *server) register() {
	s.mu.Lock()
	s.sequence++
	entry := map[string]any{
		"Service": s.service, "Address": s.address, "Zone": s.zone, "Version": s.software, "Slots": 8, "State": s.state,
		"ColdLeftMs": 0, "Sequence": s.sequence, "born": s.born,
	}
	if s.engine {
		entry["Stage"], entry["Models"] = "both", []map[string]any{{"Name": model, "Version": 1, "Adapters": []string{}}}
	}
	line := fmt.Sprintf("%s: registered as %s, software %s", s.id, s.state, s.software)
	s.mu.Unlock()
	s.lab.store.Put("servers/"+s.id, entry)
	s.lab.note("%s", line)
}

func (s *server) serve(w http.ResponseWriter, r *http.Request) {
	switch r.URL.Path {
	case "/health":
		w.Header().Set("X-Instance-Id", s.id)
		return
	case "/api/report":
		w.Header().Set("Content-Type", "application/json")
		s.mu.Lock()
		born := s.born
		s.mu.Unlock()
		fmt.Fprintf(w, `{"Stage":"both","Models":[{"Name":%q,"Version":1,"Adapters":[]}],"Busy":false,"Sequence":0,"QueuedCount":0,"ActiveCount":0,"KvUsed":0,"KvTotal":110995,"Handles":0,"born":%d}`, model, born)
		return
	}
	id := r.Header.Get("X-Attempt-Id")
	if id != "" {
		w.Header().Set("X-Attempt-Id", id)
	}
	if expected := r.Header.Get("X-Expect-Instance"); expected != "" && expected != s.id {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	s.mu.Lock()
	run := ran{id, r.URL.Path, r.Header.Get("Last-Event-Id"), s.software, time.Now()}
	s.runs = append(s.runs, run)
	s.mu.Unlock()
	s.lab.note("%s: runs %s, after event %q, software %s", s.id, id, run.lastEvent, run.software)
	s.lab.busy.Add(1)
	defer s.lab.busy.Add(-1)
	s.answer(s, w, r, body)
}

// ranOf returns the runs of a request at servers.
func ranOf(id string, servers ...*server) []ran {
	var out []ran
	for _, s := range servers {
		s.mu.Lock()
		for _, r := range s.runs {
			if r.id == id {
				out = append(out, r)
			}
		}
		s.mu.Unlock()
	}
	return out
}

// allRuns returns the number of runs at servers.
func allRuns(servers ...*server) int {
	n := 0
	for _, s := range servers {
		s.mu.Lock()
		n += len(s.runs)
		s.mu.Unlock()
	}
	return n
}

func seal(id string) string { return "3e1b.07.5a2.600.0." + id }

// stream answers a request for tokens with events.
func stream(w http.ResponseWriter, r *http.Request, events []string, pause time.Duration) {
	w.Header().Set("X-Server-Seal", seal(r.Header.Get("X-Attempt-Id")))
	w.Header().Set("X-Weight-Versions", "1")
	w.Header().Set("Content-Type", "text/event-stream")
	w.WriteHeader(http.StatusOK)
	flush := http.NewResponseController(w)
	_ = flush.Flush()
	last, _ := strconv.Atoi(r.Header.Get("Last-Event-Id"))
	for i := last; i < len(events); i++ {
		select {
		case <-r.Context().Done():
			return
		case <-time.After(pause):
		}
		if _, err := io.WriteString(w, events[i]); err != nil {
			return
		}
		_ = flush.Flush()
	}
}
