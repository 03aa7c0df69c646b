package pool

import (
	"math"
	"math/rand/v2"
	"sync"
	"time"

	"cactusspoke/internal/kv"
	"cactusspoke/internal/load"
	"cactusspoke/internal/telemetry"

	"github.com/cespare/xxhash/v2"
	"go.uber.org/zap"
)

const (
	// missingGracePeriod is how long a server is kept whose registration
	// expired during a store outage. Live servers register again within two
	// seconds.
	missingGracePeriod = 2 * time.Second
	// minEjection and maxEjection limit how long a failing server is ejected,
	// i.e. gets no requests.
	minEjection = 500 * time.Millisecond
	maxEjection = 4 * time.Second
	// ejectionThreshold is the number of consecutive failures that ejects a
	// server.
	ejectionThreshold = 2
	// maxEjectionDoublings limits how often the ejection time is doubled.
	maxEjectionDoublings = 4
	// latencySmoothing is the weight of a new measurement in the moving average
	// of the latency.
	latencySmoothing = 0.3
	// latencyDecay is the time constant with which an old average decays
	// towards defaultLatencyMS.
	latencyDecay = 4 * time.Second
	// maxLoadAge is how long a reported load is used.
	maxLoadAge = 300 * time.Millisecond
	// crossDomainFactor multiplies the score of a server in another failure
	// domain, because traffic between domains is billed.
	crossDomainFactor = 1.1
	// defaultLatencyMS is the assumed latency of a server without measurements.
	defaultLatencyMS = 20
	// minFailureLatencyMS is the lowest latency recorded for a failed request, so
	// that a server that fails fast does not look fast.
	minFailureLatencyMS = 4 * defaultLatencyMS
	// rejectionLoadFactor times its slots is the load assumed of a server that
	// rejected a request.
	rejectionLoadFactor = 4
	// scoreJitter is the maximum random increase of a score, as a fraction. It
	// spreads requests over servers with equal scores.
	scoreJitter = 0.02
)

// Parameters of the 64-bit FNV-1a hash.
const (
	fnvOffset64 = 14695981039346656037
	fnvPrime64  = 1099511628211
)

// DecodeFunc decodes the registration of a backend server.
type DecodeFunc func(key string, value []byte) (Server, error)

// Pool is the set of live backend servers. It is safe for concurrent use.
type Pool struct {
	mu      sync.Mutex
	decode  DecodeFunc
	log     *zap.Logger
	servers map[string]*serverState
	// addresses maps the address of each server to its key.
	addresses map[string]string
	// formerHolders holds the last server that was removed from each address.
	formerHolders  map[string]incarnation
	departures     *Departures
	reachable      bool
	reachableSince time.Time
	onChange       func()
	onCrash        func(Server)
	share          ShareFunc
	cold           ColdFunc
	metrics        *telemetry.Registry
	// seeds are the limits that another process published, by the id of the server.
	seeds map[string]PublishedLimit
	// rampsUntil is when the last slow start ends; zero if there is none.
	rampsUntil time.Time
	// software holds the software versions that were registered lately. historyKnown
	// means that it includes those before startedAt.
	software     sightings
	historyKnown bool
	startedAt    time.Time
	// evacuated holds the failure domains whose servers get no requests. evacuating
	// serializes changes of it.
	evacuated       map[string]bool
	evacuating      sync.Mutex
	onEvacuationEnd func(domain string, now time.Time)
	// serviceLoads holds the state of services whose servers report their slowness.
	serviceLoads map[string]*serviceLoad
}

// New returns an empty pool. onChange is called without locks held after
// servers were added, removed or updated.
func New(decode DecodeFunc, log *zap.Logger, onChange func()) *Pool {
	return &Pool{decode: decode, log: log, servers: map[string]*serverState{}, addresses: map[string]string{}, formerHolders: map[string]incarnation{}, departures: NewDepartures(), onChange: onChange, software: sightings{}, startedAt: time.Now(), serviceLoads: map[string]*serviceLoad{}}
}

// NotifyCrashes sets a function that is called when a server, which was not leaving, has started
// again or lost its registration. It is called with locks held and must not use the pool.
func (p *Pool) NotifyCrashes(onCrash func(Server)) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.onCrash = onCrash
}

// notifyCrash calls onCrash for a server that ended; the caller holds mu.
func (p *Pool) notifyCrash(server Server) {
	if p.onCrash != nil && !server.Draining {
		p.onCrash(server)
	}
}

// Reset replaces the registrations by a complete list.
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
	p.removeMissing(now)
	p.mu.Unlock()
	p.onChange()
}

// Apply applies changed and deleted registrations.
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
	p.removeMissing(now)
	differs := before != p.fingerprint()
	p.mu.Unlock()
	if differs {
		p.onChange()
	}
}

// Reachable records whether the store is reachable.
func (p *Pool) Reachable(ok bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if ok && !p.reachable {
		p.reachableSince = time.Now()
	}
	p.reachable = ok
}

// fingerprint returns a hash over the servers in the pool and the registered
// properties that matter for scheduling: start time, draining and weight
// versions.
func (p *Pool) fingerprint() uint64 {
	var sum uint64
	for key, s := range p.servers {
		h := uint64(fnvOffset64)
		for _, b := range []byte(key) {
			h = (h ^ uint64(b)) * fnvPrime64
		}
		h ^= uint64(s.server.Born)
		for _, b := range []byte(s.server.Software) {
			h = (h ^ uint64(b)) * fnvPrime64
		}
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

// put adds or updates the server of a registration. A server that restarted or
// changed its address or service starts with an empty state.
func (p *Pool) put(item kv.Item) {
	server, err := p.decode(item.Key, item.Value)
	if err != nil {
		p.log.Warn("pool: invalid server registration ignored", zap.String("key", item.Key), zap.String("reason", err.Error()))
		return
	}
	server.Draining = server.Draining || p.departures.has(server)
	s, ok := p.servers[item.Key]
	if !ok || s.server.Born != server.Born || s.server.Address != server.Address || s.server.Service != server.Service {
		p.log.Info("pool: server added", zap.String("server", server.ID), zap.String("service", server.Service),
			zap.String("address", server.Address), zap.Int64("born", server.Born), zap.String("software", server.Software))
		if ok {
			p.unindexAddress(item.Key, s.server)
			p.notifyCrash(s.server)
		}
		s = &serverState{}
		p.servers[item.Key] = s
		s.server = server
		p.indexAddress(item.Key, server)
		p.applySeed(s, time.Now())
	}
	if server.Draining && !s.server.Draining {
		p.log.Info("pool: server is draining", zap.String("server", server.ID))
	}
	s.server = server
	s.missingSince = time.Time{}
	if hash := xxhash.Sum64(item.Value); hash != s.registration {
		s.registration = hash
		p.readColdTime(s, time.Now())
	}
	p.software.see(server.Service, server.Software, time.Now())
}

// removeMissing removes servers whose registration is gone. Servers that
// disappeared around a store outage are kept for missingGracePeriod so that
// they can register again.
func (p *Pool) removeMissing(now time.Time) {
	for key, s := range p.servers {
		if s.missingSince.IsZero() {
			continue
		}
		outage := !p.reachable || now.Sub(p.reachableSince) < missingGracePeriod
		if outage && now.Sub(s.missingSince) < missingGracePeriod {
			continue
		}
		p.log.Info("pool: server removed", zap.String("server", s.server.ID))
		p.software.see(s.server.Service, s.server.Software, now)
		p.unindexAddress(key, s.server)
		p.notifyCrash(s.server)
		if len(p.formerHolders) >= maxDepartures {
			clear(p.formerHolders)
		}
		p.formerHolders[s.server.Address] = incarnation{s.server.ID, s.server.Born}
		delete(p.servers, key)
	}
}

// Handle is a server that was selected for one request. It counts as a running
// request until Release is called.
type Handle struct {
	pool      *Pool
	state     *serverState
	server    Server
	startedAt time.Time
	cold      bool
	// contest is how the server was selected if servers of the service report their slowness.
	contest contest
	// factor is how many times longer than usual the request was expected to take.
	factor float64
}

// Cold reports whether the server was cold when it was selected.
func (h *Handle) Cold() bool { return h.cold }

// Server returns the selected server.
func (h *Handle) Server() Server { return h.server }

// Outcome is what the result of a request says about the health of its server.
type Outcome int

// The possible outcomes.
const (
	// Served means that the server responded.
	Served Outcome = iota
	// Rejected means that the server has no free capacity.
	Rejected
	// Failed means that the server was unreachable, broke the connection or did
	// not respond in time.
	Failed
	// Misdirected means that the server's address now belongs to another
	// instance.
	Misdirected
	// Abandoned means that the request says nothing about the server, for
	// example because it was canceled.
	Abandoned
)

// Acquire selects the server of a service with the lowest score among those that
// accept allows, given the server and its number of running requests. Ejected
// servers are used only if there is no other. domain is the failure domain of
// the caller.
func (p *Pool) Acquire(service, domain string, accept func(Server, int) bool) (*Handle, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := time.Now()
	p.removeMissing(now)
	p.endRamps(now)
	best, drawn := p.selectServer(service, domain, accept, now, false)
	if best == nil {
		best, drawn = p.selectServer(service, domain, accept, now, true)
	}
	if best == nil {
		return nil, false
	}
	h := p.take(best, now)
	h.contest = drawn
	return h, true
}

// take counts a request that is sent to a server.
func (p *Pool) take(s *serverState, now time.Time) *Handle {
	s.running++
	if p.isLimited(s, now) {
		p.pacer(s, now).Take(now)
	}
	return &Handle{pool: p, state: s, server: s.server, startedAt: now, cold: p.isCold(s, now), factor: s.noteSent(now)}
}

// selectServer returns the server with the lowest score; nil if none is
// suitable. Servers whose limit allows no request now are not. In a small pool whose servers
// report their slowness, it returns the better one of two drawn servers.
func (p *Pool) selectServer(service, domain string, accept func(Server, int) bool, now time.Time, includeEjected bool) (*serverState, contest) {
	var suitable field
	var best *serverState
	score := math.Inf(1)
	for _, s := range p.servers {
		if s.server.Service != service || s.server.Draining || s.misdirected || p.isEvacuated(s) || !accept(s.server, s.running) {
			continue
		}
		if p.isLimited(s, now) && !p.pacer(s, now).Allows(now) {
			continue
		}
		if !includeEjected && now.Before(s.ejectedUntil) {
			continue
		}
		jittered := p.score(s, domain, now) * (1 + scoreJitter*rand.Float64())
		suitable.add(s, jittered)
		if jittered < score {
			best, score = s, jittered
		}
	}
	if suitable.small() {
		return suitable.draw(domain, now)
	}
	return best, contest{}
}

// score estimates the time that a request takes at the server, in milliseconds.
// Lower is better.
func (p *Pool) score(s *serverState, domain string, now time.Time) float64 {
	if s.estimator != nil {
		return s.candidate(domain).ExpectedMS(now, p.serviceLoad(s.server.Service).typicalMS)
	}
	latency := float64(defaultLatencyMS)
	if !s.latencyAt.IsZero() {
		weight := math.Exp(-float64(now.Sub(s.latencyAt)) / float64(latencyDecay))
		latency += (s.latencyMS - defaultLatencyMS) * weight
	}
	requests := float64(s.running)
	if now.Sub(s.loadReportedAt) < maxLoadAge {
		requests = max(requests, float64(s.reportedLoad))
	}
	score := latency * (1 + requests/float64(max(1, s.server.Slots)))
	if s.server.FailureDomain != domain {
		score *= crossDomainFactor
	}
	return score
}

// ReportLoad records the load that the server reported with its response.
func (h *Handle) ReportLoad(report load.Report) {
	h.pool.mu.Lock()
	defer h.pool.mu.Unlock()
	h.pool.recordReport(h.state, report)
}

// Release releases the server and records the outcome. It must be called exactly
// once.
func (h *Handle) Release(o Outcome) {
	h.pool.mu.Lock()
	defer h.pool.mu.Unlock()
	s := h.state
	s.running--
	now := time.Now()
	switch o {
	case Served:
		s.consecutiveFailures = 0
		s.recordLatency(now, now.Sub(h.startedAt))
		h.recordTime(now, now.Sub(h.startedAt))
	case Failed:
		s.recordLatency(now, max(now.Sub(h.startedAt), minFailureLatencyMS*time.Millisecond))
		h.recordTime(now, max(now.Sub(h.startedAt), minFailureLatencyMS*time.Millisecond))
		s.recordFailure(now)
		if !h.pool.reachable {
			h.pool.assumeCold(s, now, "failure without the store")
		}
		h.pool.log.Info("pool: server failed", zap.String("server", s.server.ID), zap.Int("in-a-row", s.consecutiveFailures))
	case Rejected:
		s.reportedLoad = rejectionLoadFactor * max(1, s.server.Slots)
		s.loadReportedAt = now
		s.noteRejected(now)
	case Misdirected:
		s.misdirected = true
	case Abandoned:
	}
}

// recordLatency updates the moving average of the latency.
func (s *serverState) recordLatency(now time.Time, took time.Duration) {
	ms := float64(took) / float64(time.Millisecond)
	if s.latencyAt.IsZero() {
		s.latencyMS = ms
	}
	s.latencyMS += latencySmoothing * (ms - s.latencyMS)
	s.latencyAt = now
}

// recordFailure counts a failure and ejects the server once there are
// ejectionThreshold in a row. Each further failure doubles the ejection time.
func (s *serverState) recordFailure(now time.Time) {
	s.consecutiveFailures++
	if s.consecutiveFailures < ejectionThreshold {
		return
	}
	s.ejectedUntil = now.Add(min(maxEjection, minEjection<<min(s.consecutiveFailures-ejectionThreshold, maxEjectionDoublings)))
}

// Snapshot is the state of a server at one point in time.
type Snapshot struct {
	Server  Server
	Running int
	Ejected bool
	// Evacuated means that the server's failure domain is evacuated.
	Evacuated bool
	// Cold means that the server is cold.
	Cold bool
	// Limited means that the server named a limit or is cold. This process may then send it Rate
	// requests a second, and Allowed of them now.
	Limited bool
	Rate    float64
	Allowed int
	// Load is the last load report of the server; zero if there is none.
	Load load.Report
}

// snapshot returns the state of a server; the caller holds mu.
func (p *Pool) snapshot(s *serverState, now time.Time) Snapshot {
	out := Snapshot{
		Server: s.server, Running: s.running, Ejected: now.Before(s.ejectedUntil), Evacuated: p.isEvacuated(s),
		Limited: p.isLimited(s, now), Cold: p.isCold(s, now), Load: s.report,
	}
	if out.Limited {
		pacer := p.pacer(s, now)
		out.Rate = pacer.Rate()
		out.Allowed = pacer.Available(now, max(1, s.server.Slots))
	}
	return out
}

// Servers returns the servers of a service in no particular order.
func (p *Pool) Servers(service string) []Snapshot {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := time.Now()
	p.removeMissing(now)
	p.endRamps(now)
	var out []Snapshot
	for _, s := range p.servers {
		if s.server.Service == service && !s.misdirected {
			out = append(out, p.snapshot(s, now))
		}
	}
	return out
}

// Addresses returns the addresses of the servers of a service that accept requests.
func (p *Pool) Addresses(service string) []string {
	p.mu.Lock()
	defer p.mu.Unlock()
	var out []string
	for _, s := range p.servers {
		if s.server.Service == service && !s.server.Draining && !s.misdirected && !p.isEvacuated(s) {
			out = append(out, s.server.Address)
		}
	}
	return out
}

// ForgetFailures ends the ejections of the servers of a service. Their failures were those
// of the path to them.
func (p *Pool) ForgetFailures(service string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, s := range p.servers {
		if s.server.Service == service {
			s.consecutiveFailures, s.ejectedUntil, s.latencyAt = 0, time.Time{}, time.Time{}
			s.forgetTimes()
		}
	}
}

// UpdateWeightVersion records the version of a model's weights that a server reported in a
// response, if it is newer than the version in its registration.
func (p *Pool) UpdateWeightVersion(id, model string, version int64) {
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

// AcquireServer selects a server by its id. It fails if the server is leaving, its domain is
// evacuated or its limit allows no request now.
func (p *Pool) AcquireServer(id string) (*Handle, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := time.Now()
	for _, s := range p.servers {
		if s.server.ID == id && !s.server.Draining && !s.misdirected && !p.isEvacuated(s) && (!p.isLimited(s, now) || p.pacer(s, now).Allows(now)) {
			return p.take(s, now), true
		}
	}
	return nil, false
}
