package fleet

import (
	"sort"
	"sync"
	"time"

	"cactusspoke/internal/invariant"
	"cactusspoke/internal/platform"
)

// Limits of ejection, slow start and the history of counters.
const (
	// ejectAfter is the number of consecutive failures that eject a server.
	ejectAfter  = 3
	minEjection = time.Second
	maxEjection = 30 * time.Second
	// slowStart is how long a new server takes to reach its full slots.
	slowStart = 5 * time.Second
	// leavingGrace is how long after the leaving mark new work is tolerated.
	leavingGrace   = 3 * time.Second
	historyLength  = 64
	historySpacing = 20 * time.Millisecond
	// minHealthyShare is the share of a service's servers that always remains
	// available, even if more are ejected.
	minHealthyShare = 0.5
)

// entry is the state of one backend server.
type entry struct {
	listed       platform.Instance
	load         Load
	loaded       bool
	knownSince   time.Time
	leavingSince time.Time
	inFlight     int
	started      int
	ended        int
	history      []sample
	baseline     sample
	failures     int
	ejections    int
	ejectedUntil time.Time
}

// sample holds the counters of started and ended requests at one time.
type sample struct {
	at             time.Time
	started, ended int
}

// Fleet tracks the backend servers. It is safe for concurrent use.
type Fleet struct {
	mu      sync.Mutex
	entries map[string]*entry
	changed func()
}

// New returns an empty fleet. It calls changed, without holding a lock, when
// capacity may have become free.
func New(changed func()) *Fleet {
	return &Fleet{entries: map[string]*entry{}, changed: changed}
}

// UpdateInstances updates the fleet from the platform's instance list. Once a
// server is marked as leaving, it stays so until it reports a new incarnation,
// even if the platform lists it as live again. Servers that are no longer
// listed are removed after their last request ends.
func (f *Fleet) UpdateInstances(now time.Time, instances []platform.Instance) {
	f.mu.Lock()
	present := map[string]bool{}
	for _, i := range instances {
		if i.Role() != platform.BackendRole {
			continue
		}
		present[i.Name()] = true
		f.updateInstance(now, i)
	}
	for id, e := range f.entries {
		if present[id] {
			continue
		}
		e.markLeaving(now)
		if e.inFlight == 0 {
			delete(f.entries, id)
		}
	}
	f.mu.Unlock()
	f.notify()
}

func (f *Fleet) updateInstance(now time.Time, i platform.Instance) {
	e, ok := f.entries[i.Name()]
	if !ok || e.listed.Address() != i.Address() {
		e = &entry{knownSince: now}
		f.entries[i.Name()] = e
	}
	e.listed = i
	if i.Leaving() {
		e.markLeaving(now)
	}
}

func (e *entry) markLeaving(now time.Time) {
	if e.leavingSince.IsZero() {
		e.leavingSince = now
	}
}

// UpdateLoad stores a load report. It returns false if the server is unknown or
// the report is not newer than the stored one.
func (f *Fleet) UpdateLoad(now time.Time, l Load) bool {
	f.mu.Lock()
	e, ok := f.entries[l.server]
	if !ok || !e.isNewer(l) {
		f.mu.Unlock()
		return false
	}
	if e.loaded && e.load.incarnation != l.incarnation {
		e.resetIncarnation(now)
	}
	if l.leaving {
		e.markLeaving(now)
	}
	e.load = l
	e.loaded = true
	f.mu.Unlock()
	f.notify()
	return true
}

func (e *entry) isNewer(l Load) bool {
	if !e.loaded {
		return true
	}
	if e.load.incarnation == l.incarnation {
		return l.sequence > e.load.sequence
	}
	return l.takenAt.After(e.load.takenAt)
}

// resetIncarnation resets the state that belongs to the previous incarnation.
func (e *entry) resetIncarnation(now time.Time) {
	e.knownSince = now
	e.leavingSince = time.Time{}
	if e.listed.Leaving() {
		e.leavingSince = now
	}
	e.failures = 0
	e.ejections = 0
	e.ejectedUntil = time.Time{}
	e.history = nil
	e.baseline = sample{now, e.started, e.ended}
}

// Names returns the names of all known backend servers.
func (f *Fleet) Names() []string {
	f.mu.Lock()
	defer f.mu.Unlock()
	out := make([]string, 0, len(f.entries))
	for id := range f.entries {
		out = append(out, id)
	}
	return out
}

// Loads returns the last load report of every backend server.
func (f *Fleet) Loads() []Load {
	f.mu.Lock()
	defer f.mu.Unlock()
	out := make([]Load, 0, len(f.entries))
	for _, e := range f.entries {
		if e.loaded {
			out = append(out, e.load)
		}
	}
	return out
}

// BeginRequest counts a request as started on a backend server. It returns
// false if the server is unknown or leaving.
func (f *Fleet) BeginRequest(now time.Time, id string) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	e, ok := f.entries[id]
	if !ok || !e.leavingSince.IsZero() {
		return false
	}
	invariant.Check(invariant.LeavingNoWork, e.leavingSince.IsZero() || now.Sub(e.leavingSince) < leavingGrace,
		"new request to %s, which has been leaving for %s", id, now.Sub(e.leavingSince))
	e.started++
	e.inFlight++
	e.recordSample(now)
	return true
}

// Outcome is the outcome of an attempt as it counts for the server's health.
type Outcome uint8

// The outcomes.
const (
	// Succeeded is a complete response.
	Succeeded Outcome = iota
	// ServerFailed is a failure of the server.
	ServerFailed
	// Neutral is an end that is no evidence for or against the server, such as
	// a caller that disconnected.
	Neutral
)

// EndRequest counts a request as ended and records its outcome.
func (f *Fleet) EndRequest(now time.Time, id string, outcome Outcome) {
	f.mu.Lock()
	if e, ok := f.entries[id]; ok {
		e.ended++
		e.inFlight--
		e.recordSample(now)
		e.recordOutcome(now, outcome)
	}
	f.mu.Unlock()
	f.notify()
}

// recordOutcome counts consecutive failures and ejects the server after
// ejectAfter of them. The duration doubles with each ejection, up to
// maxEjection.
func (e *entry) recordOutcome(now time.Time, outcome Outcome) {
	switch outcome {
	case Succeeded:
		e.failures = 0
		e.ejections = 0
	case ServerFailed:
		e.failures++
		if e.failures < ejectAfter {
			return
		}
		duration := min(minEjection<<min(e.ejections, 5), maxEjection)
		e.ejections++
		e.failures = 0
		e.ejectedUntil = now.Add(duration)
	}
}

// recordSample adds the current counters to the history. It overwrites the last
// sample if the one before is less than historySpacing old.
func (e *entry) recordSample(now time.Time) {
	s := sample{now, e.started, e.ended}
	last := len(e.history) - 1
	if last > 0 && now.Sub(e.history[last-1].at) < historySpacing {
		e.history[last] = s
		return
	}
	e.history = append(e.history, s)
	if len(e.history) > historyLength {
		e.baseline = e.history[0]
		e.history = e.history[1:]
	}
}

// since returns how many requests of this instance started and ended after a
// time. For a time before the history, it counts from the start of the history.
func (e *entry) since(at time.Time) (started, ended int) {
	i := sort.Search(len(e.history), func(i int) bool { return e.history[i].at.After(at) })
	base := e.baseline
	if i > 0 {
		base = e.history[i-1]
	}
	return e.started - base.started, e.ended - base.ended
}

// estimate returns the number of requests at the server: the last report plus
// what this instance started and minus what it saw end since then, but at least
// its own requests in flight.
func (e *entry) estimate() float64 {
	if !e.loaded {
		return float64(e.inFlight)
	}
	started, ended := e.since(e.load.takenAt)
	v := float64(e.load.running + e.load.queued + started - ended)
	return max(v, float64(e.inFlight))
}

// Servers returns the backend servers of a service that may receive new
// requests, sorted by name. It leaves out ejected servers unless fewer than
// minHealthyShare of the servers would remain.
func (f *Fleet) Servers(now time.Time, service string, slots int) []Server {
	f.mu.Lock()
	defer f.mu.Unlock()
	var healthy, ejected []Server
	for id, e := range f.entries {
		if e.listed.Service() != service || !e.leavingSince.IsZero() {
			continue
		}
		s := e.server(now, id, slots)
		if now.Before(e.ejectedUntil) {
			ejected = append(ejected, s)
			continue
		}
		healthy = append(healthy, s)
	}
	total := len(healthy) + len(ejected)
	sort.Slice(ejected, func(i, j int) bool { return ejected[i].id < ejected[j].id })
	for len(ejected) > 0 && float64(len(healthy)) < minHealthyShare*float64(total) {
		healthy = append(healthy, ejected[0])
		ejected = ejected[1:]
	}
	sort.Slice(healthy, func(i, j int) bool { return healthy[i].id < healthy[j].id })
	return healthy
}

func (e *entry) server(now time.Time, id string, slots int) Server {
	if e.loaded && e.load.slots > 0 {
		slots = e.load.slots
	}
	age := now.Sub(e.knownSince)
	if age < slowStart {
		slots = max(1, int(float64(slots)*(0.25+0.75*float64(age)/float64(slowStart))))
	}
	return Server{
		id: id, address: e.listed.Address(), service: e.listed.Service(),
		failureDomain: e.listed.FailureDomain(), incarnation: e.load.incarnation,
		cheap: e.listed.Preemptible(), checksFencing: e.listed.ChecksFencing(),
		weightVersion: e.load.weightVersion, estimate: e.estimate(),
		reported: float64(e.load.running + e.load.queued), slots: slots, age: age, leaving: !e.leavingSince.IsZero(),
	}
}

// AllServers returns all backend servers, including those that are leaving.
func (f *Fleet) AllServers(now time.Time) []Server {
	f.mu.Lock()
	defer f.mu.Unlock()
	out := make([]Server, 0, len(f.entries))
	for id, e := range f.entries {
		out = append(out, e.server(now, id, 1))
	}
	sort.Slice(out, func(i, j int) bool { return out[i].id < out[j].id })
	return out
}

func (f *Fleet) notify() {
	if f.changed != nil {
		f.changed()
	}
}
