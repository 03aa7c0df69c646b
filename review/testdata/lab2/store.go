package main

import (
	"encoding/json"
	"io"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

// Limits of the store, as the settings of the processes state them.
const (
	valueBytes    = 1 << 20
	maxTxnEntries = 32
	maxPageItems  = 500
	maxPageBytes  = 1 << 20
	storeLatency  = 4 * time.Millisecond
)

// item is a key of the store, or a watch event for it.
type item struct {
	Key           string `json:"Key"`
	Value         []byte `json:"Value"`
	Revision      int64  `json:"Revision"`
	Created       int64  `json:"Created"`
	Lease         int64  `json:"Lease"`
	Compacted     bool   `json:"Compacted,omitempty"`
	StoreRevision int64  `json:"StoreRevision,omitempty"`
}

type lease struct {
	ttl     time.Duration
	expires time.Time
}

type txn struct {
	Expected []struct {
		Key      string `json:"Key"`
		Revision int64  `json:"Revision"`
	} `json:"Expected"`
	Puts []struct {
		Key   string `json:"Key"`
		Value []byte `json:"Value"`
		Lease int64  `json:"Lease"`
	} `json:"Puts"`
	Remove []string `json:"Remove"`
}

// store is a stand-in for the platform's metadata store. Each machine calls it at an address
// of its own, so that it can turn single machines away.
type store struct {
	mu       sync.Mutex
	items    map[string]item
	events   []item
	revision int64
	leases   map[int64]*lease
	changed  chan struct{}
	refused  map[string]bool
	// committed is called after a write of a machine was carried out and before it is answered.
	committed func(machine string, t txn)
}

func newStore() *store {
	s := &store{items: map[string]item{}, revision: 1, leases: map[int64]*lease{}, changed: make(chan struct{}), refused: map[string]bool{}}
	go func() {
		for range time.Tick(20 * time.Millisecond) {
			s.expireLeases()
		}
	}()
	return s
}

// listen serves the store to one machine.
func (s *store) listen(machine, address string) error {
	l, err := net.Listen("tcp4", address)
	if err != nil {
		return err
	}
	go func() {
		_ = http.Serve(l, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) { s.serve(w, r, machine) }))
	}()
	return nil
}

// refuse makes the store answer all calls of a machine with 503, or stops that.
func (s *store) refuse(machine string, refused bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.refused[machine] = refused
	s.notify()
}

func (s *store) isRefused(machine string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.refused[machine]
}

// put writes a key as the operator, a trainer or a server does.
func (s *store) put(key string, value any) {
	data, err := json.Marshal(value)
	if err != nil {
		panic(err)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision++
	s.set(key, data, 0)
	s.notify()
}

func (s *store) remove(key string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision++
	s.unset(key)
	s.notify()
}

func (s *store) has(key string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	_, ok := s.items[key]
	return ok
}

// value returns the value of a key.
func (s *store) value(key string) string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return string(s.items[key].Value)
}

func (s *store) set(key string, value []byte, id int64) {
	old, existed := s.items[key]
	i := item{Key: key, Value: value, Revision: s.revision, Created: s.revision, Lease: id}
	if existed {
		i.Created = old.Created
	}
	s.items[key] = i
	s.events = append(s.events, i)
}

func (s *store) unset(key string) {
	if _, ok := s.items[key]; !ok {
		return
	}
	delete(s.items, key)
	s.events = append(s.events, item{Key: key, Revision: s.revision, Compacted: true})
}

func (s *store) notify() {
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *store) endLease(id int64) {
	delete(s.leases, id)
	s.revision++
	for key, i := range s.items {
		if i.Lease == id {
			s.unset(key)
		}
	}
	s.notify()
}

func (s *store) expireLeases() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for id, l := range s.leases {
		if time.Now().After(l.expires) {
			s.endLease(id)
		}
	}
}

func answer(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body)
}

func (s *store) serve(w http.ResponseWriter, r *http.Request, machine string) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	if s.isRefused(machine) {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	call, id, _ := strings.Cut(strings.TrimPrefix(r.URL.Path, "/api/"), "/")
	query := r.URL.Query()
	if call != "kv-watch" {
		time.Sleep(storeLatency)
	}
	switch call {
	case "kv-key":
		s.mu.Lock()
		i, ok := s.items[query.Get("Key")]
		i.StoreRevision = s.revision
		s.mu.Unlock()
		if !ok {
			w.WriteHeader(http.StatusNotFound)
			return
		}
		answer(w, http.StatusOK, i)
	case "kv-range":
		s.serveRange(w, query.Get("Prefix"), query.Get("After"))
	case "kv-watch":
		s.serveWatch(w, r, machine)
	case "kv-txn":
		s.serveTxn(w, body, machine)
	case "kv-lease":
		s.grant(w, body)
	case "kv-keep", "kv-lease-end":
		n, _ := strconv.ParseInt(id, 10, 64)
		s.renewOrEnd(w, n, call == "kv-keep")
	default:
		w.WriteHeader(http.StatusBadRequest)
	}
}

func (s *store) serveRange(w http.ResponseWriter, prefix, after string) {
	s.mu.Lock()
	var keys []string
	for key := range s.items {
		if strings.HasPrefix(key, prefix) && key > after {
			keys = append(keys, key)
		}
	}
	slices.Sort(keys)
	page := []item{}
	size, more := 0, false
	for _, key := range keys {
		if len(page) == maxPageItems || size > maxPageBytes {
			more = true
			break
		}
		page = append(page, s.items[key])
		size += len(s.items[key].Value)
	}
	revision := s.revision
	s.mu.Unlock()
	answer(w, http.StatusOK, map[string]any{"Items": page, "HasMore": more, "StoreRevision": revision})
}

func (s *store) serveWatch(w http.ResponseWriter, r *http.Request, machine string) {
	query := r.URL.Query()
	prefix := query.Get("Prefix")
	after, _ := strconv.ParseInt(query.Get("After"), 10, 64)
	wait, _ := strconv.Atoi(query.Get("WaitMs"))
	timer := time.NewTimer(time.Duration(wait) * time.Millisecond)
	defer timer.Stop()
	for expired := false; ; {
		s.mu.Lock()
		events := []item{}
		first, _ := slices.BinarySearchFunc(s.events, after, func(e item, after int64) int {
			if e.Revision <= after {
				return -1
			}
			return 1
		})
		for _, e := range s.events[first:] {
			if strings.HasPrefix(e.Key, prefix) {
				events = append(events, e)
			}
		}
		revision, changed, refused := s.revision, s.changed, s.refused[machine]
		s.mu.Unlock()
		switch {
		case refused:
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		case len(events) > 0 || expired:
			answer(w, http.StatusOK, map[string]any{"events": events, "StoreRevision": revision})
			return
		}
		select {
		case <-changed:
		case <-timer.C:
			expired = true
		case <-r.Context().Done():
			return
		}
	}
}

func (s *store) serveTxn(w http.ResponseWriter, body []byte, machine string) {
	var t txn
	if json.Unmarshal(body, &t) != nil || len(t.Expected)+len(t.Puts)+len(t.Remove) > maxTxnEntries {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	for _, p := range t.Puts {
		if p.Value == nil || len(p.Value) > valueBytes || len(p.Key) > 200 {
			w.WriteHeader(http.StatusBadRequest)
			return
		}
	}
	status, out := s.commit(t)
	if status == http.StatusOK && s.committed != nil {
		s.committed(machine, t)
	}
	answer(w, status, out)
}

func (s *store) commit(t txn) (int, any) {
	s.mu.Lock()
	defer s.mu.Unlock()
	current := []item{}
	holds := true
	for _, c := range t.Expected {
		i := s.items[c.Key]
		holds = holds && i.Revision == c.Revision
		if i.Revision > 0 {
			current = append(current, i)
		}
	}
	if !holds {
		return http.StatusPreconditionFailed, map[string]any{"Items": current}
	}
	for _, p := range t.Puts {
		if p.Lease != 0 && s.leases[p.Lease] == nil {
			return http.StatusNotFound, map[string]any{}
		}
	}
	s.revision++
	for _, p := range t.Puts {
		s.set(p.Key, p.Value, p.Lease)
	}
	for _, key := range t.Remove {
		s.unset(key)
	}
	s.notify()
	return http.StatusOK, map[string]any{"Revision": s.revision}
}

func (s *store) grant(w http.ResponseWriter, body []byte) {
	var request struct {
		TTLMS int64 `json:"TtlMs"`
	}
	if json.Unmarshal(body, &request) != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	ms := min(max(request.TTLMS, 1000), 600_000)
	s.mu.Lock()
	s.revision++
	id := s.revision
	s.leases[id] = &lease{time.Duration(ms) * time.Millisecond, time.Now().Add(time.Duration(ms) * time.Millisecond)}
	s.mu.Unlock()
	answer(w, http.StatusOK, map[string]any{"Lease": id, "TtlMs": ms})
}

func (s *store) renewOrEnd(w http.ResponseWriter, id int64, renew bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	l := s.leases[id]
	switch {
	case l == nil:
		w.WriteHeader(http.StatusNotFound)
		return
	case renew:
		l.expires = time.Now().Add(l.ttl)
	default:
		s.endLease(id)
	}
	answer(w, http.StatusOK, map[string]any{"TtlMs": l.ttl.Milliseconds()})
}
