package pool

import (
	"math"
	"math/rand/v2"
	"sync"
	"time"

	"cactusspoke/internal/kv"

	"go.uber.org/zap"
)

const (
	// reappearGrace is how long a server whose entry lapsed during an outage of
	// the store is kept: entries of live servers are back within two seconds.
	reappearGrace = 2 * time.Second
	// ejectMin and ejectMax bound how long a failing server gets no work.
	ejectMin = 500 * time.Millisecond
	ejectMax = 4 * time.Second
	// ejectAfter is how many failures in a row eject a server.
	ejectAfter = 2
	// latencyShare is the weight of a new measurement in the moving average.
	latencyShare = 0.3
	// latencyMemory is the time after which a measurement has lost most weight.
	latencyMemory = 4 * time.Second
	// loadMemory is how long a reported load counts.
	loadMemory = 300 * time.Millisecond
	// farPenalty is the weight of a server in another failure domain, as a
	// share of its score: bytes between domains are paid for.
	farPenalty = 1.1
	// firstLatency is assumed of a server without measurements, in milliseconds.
	firstLatency = 20
)

// Decode reads one entry of the list of servers.
type Decode func(key string, value []byte) (Server, error)

// Pool is the set of live backend servers.
type Pool struct {
	mu        sync.Mutex
	decode    Decode
	log       *zap.Logger
	servers   map[string]*state
	reachable bool
	backAt    time.Time
	changed   func()
}

// New returns an empty pool. changed is called, without locks held, after the
// list of servers changed.
func New(decode Decode, log *zap.Logger, changed func()) *Pool {
	return &Pool{decode: decode, log: log, servers: map[string]*state{}, changed: changed}
}

// Reset takes in the whole list.
func (p *Pool) Reset(items []kv.Item) {
	p.mu.Lock()
	listed := make(map[string]bool, len(items))
	for _, item := range items {
		listed[item.Key] = true
		p.put(item)
	}
	now := time.Now()
	for key, s := range p.servers {
		if !listed[key] && s.missingSince.IsZero() {
			s.missingSince = now
		}
	}
	p.sweep(now)
	p.mu.Unlock()
	p.changed()
}

// Apply takes in changes of the list.
func (p *Pool) Apply(events []kv.Item) {
	p.mu.Lock()
	now := time.Now()
	before := p.fingerprint()
	for _, e := range events {
		if !e.Deleted {
			p.put(e)
		} else if s, ok := p.servers[e.Key]; ok && s.missingSince.IsZero() {
			s.missingSince = now
		}
	}
	p.sweep(now)
	differs := before != p.fingerprint()
	p.mu.Unlock()
	if differs {
		p.changed()
	}
}

// Reachable notes whether the store answers.
func (p *Pool) Reachable(ok bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if ok && !p.reachable {
		p.backAt = time.Now()
	}
	p.reachable = ok
}

// fingerprint changes with the set of servers that may get work and what they
// said of themselves.
func (p *Pool) fingerprint() uint64 {
	var sum uint64
	for key, s := range p.servers {
		h := uint64(14695981039346656037)
		for _, b := range []byte(key) {
			h = (h ^ uint64(b)) * 1099511628211
		}
		h ^= uint64(s.server.Born)
		if s.server.Draining {
			h *= 31
		}
		for model, v := range s.server.Models {
			h += uint64(len(model)+1) * uint64(v) * 2654435761
		}
		sum += h
	}
	return sum
}

func (p *Pool) put(item kv.Item) {
	server, err := p.decode(item.Key, item.Value)
	if err != nil {
		p.log.Warn("pool: entry ignored", zap.String("key", item.Key), zap.String("reason", err.Error()))
		return
	}
	s, ok := p.servers[item.Key]
	if !ok || s.server.Born != server.Born || s.server.Address != server.Address || s.server.Service != server.Service {
		p.log.Info("pool: server joined", zap.String("server", server.ID), zap.String("service", server.Service),
			zap.String("address", server.Address), zap.Int64("born", server.Born))
		s = &state{}
		p.servers[item.Key] = s
	}
	if server.Draining && !s.server.Draining {
		p.log.Info("pool: server drains", zap.String("server", server.ID))
	}
	s.server = server
	s.missingSince = time.Time{}
}

// sweep removes servers whose entry is gone. Entries that vanish around an
// outage of the store get time to come back.
func (p *Pool) sweep(now time.Time) {
	for key, s := range p.servers {
		if s.missingSince.IsZero() {
			continue
		}
		outage := !p.reachable || now.Sub(p.backAt) < reappearGrace
		if outage && now.Sub(s.missingSince) < reappearGrace {
			continue
		}
		p.log.Info("pool: server left", zap.String("server", s.server.ID))
		delete(p.servers, key)
	}
}

// Handle stands for one server while a request is on its way to it.
type Handle struct {
	pool    *Pool
	state   *state
	server  Server
	started time.Time
}

// Server returns the server.
func (h *Handle) Server() Server { return h.server }

// Outcome is what a request has shown of a server.
type Outcome int

// The outcomes.
const (
	// Served says that the server answered.
	Served Outcome = iota
	// Refused says that it is full.
	Refused
	// Failed says that it cannot be reached, broke off or was silent.
	Failed
	// Misaddressed says that another instance has the address.
	Misaddressed
	// Abandoned says nothing of the server.
	Abandoned
)

// Take returns the best server of a service that keep allows.
func (p *Pool) Take(service, domain string, keep func(Server, int) bool) (*Handle, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := time.Now()
	p.sweep(now)
	best := p.best(service, domain, keep, now, false)
	if best == nil {
		best = p.best(service, domain, keep, now, true)
	}
	if best == nil {
		return nil, false
	}
	best.running++
	return &Handle{pool: p, state: best, server: best.server, started: now}, true
}

func (p *Pool) best(service, domain string, keep func(Server, int) bool, now time.Time, ejected bool) *state {
	var best *state
	score := math.Inf(1)
	for _, s := range p.servers {
		if s.server.Service != service || s.server.Draining || s.retired || !keep(s.server, s.running) {
			continue
		}
		if !ejected && now.Before(s.ejectedUntil) {
			continue
		}
		if at := s.score(domain, now) * (1 + 0.02*rand.Float64()); at < score {
			best, score = s, at
		}
	}
	return best
}

// score is the expected wait at a server, in milliseconds.
func (s *state) score(domain string, now time.Time) float64 {
	latency := float64(firstLatency)
	if !s.measuredAt.IsZero() {
		weight := math.Exp(-float64(now.Sub(s.measuredAt)) / float64(latencyMemory))
		latency += (s.latency - firstLatency) * weight
	}
	load := float64(s.running)
	if now.Sub(s.reportedAt) < loadMemory {
		load = max(load, float64(s.reported))
	}
	score := latency * (1 + load/float64(max(1, s.server.Slots)))
	if s.server.FailureDomain != domain {
		score *= farPenalty
	}
	return score
}

// Report notes the load that a server told.
func (h *Handle) Report(load int) {
	h.pool.mu.Lock()
	defer h.pool.mu.Unlock()
	h.state.reported = load
	h.state.reportedAt = time.Now()
}

// Done ends a request. It must be called exactly once.
func (h *Handle) Done(o Outcome) {
	h.pool.mu.Lock()
	defer h.pool.mu.Unlock()
	s := h.state
	s.running--
	now := time.Now()
	switch o {
	case Served:
		s.failures = 0
		s.measure(now, now.Sub(h.started))
	case Failed:
		s.measure(now, max(now.Sub(h.started), 4*firstLatency*time.Millisecond))
		s.fail(now)
		h.pool.log.Info("pool: server failed", zap.String("server", s.server.ID), zap.Int("in-a-row", s.failures))
	case Refused:
		s.reported = 4 * max(1, s.server.Slots)
		s.reportedAt = now
	case Misaddressed:
		s.retired = true
	case Abandoned:
	}
}

func (s *state) measure(now time.Time, took time.Duration) {
	ms := float64(took) / float64(time.Millisecond)
	if s.measuredAt.IsZero() {
		s.latency = ms
	}
	s.latency += latencyShare * (ms - s.latency)
	s.measuredAt = now
}

func (s *state) fail(now time.Time) {
	s.failures++
	if s.failures < ejectAfter {
		return
	}
	s.ejectedUntil = now.Add(min(ejectMax, ejectMin<<min(s.failures-ejectAfter, 4)))
}

// Snapshot is a server and its requests that are on their way.
type Snapshot struct {
	Server  Server
	Running int
	Ejected bool
}

// Servers returns the servers of a service.
func (p *Pool) Servers(service string) []Snapshot {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := time.Now()
	p.sweep(now)
	var out []Snapshot
	for _, s := range p.servers {
		if s.server.Service == service && !s.retired {
			out = append(out, Snapshot{s.server, s.running, now.Before(s.ejectedUntil)})
		}
	}
	return out
}

// Learn notes the version of a model's weights that a server's own answer
// told, which is newer than its entry in the list.
func (p *Pool) Learn(id, model string, version int64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, s := range p.servers {
		if s.server.ID == id && s.server.Models[model] < version {
			models := map[string]int64{model: version}
			for name, v := range s.server.Models {
				if name != model {
					models[name] = v
				}
			}
			s.server.Models = models
		}
	}
}

// TakeServer returns a handle of a server by its id.
func (p *Pool) TakeServer(id string) (*Handle, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, s := range p.servers {
		if s.server.ID == id && !s.retired {
			s.running++
			return &Handle{pool: p, state: s, server: s.server, started: time.Now()}, true
		}
	}
	return nil, false
}
