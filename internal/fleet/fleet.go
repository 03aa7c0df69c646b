package fleet

import (
	"sort"
	"sync"
	"time"

	"cactusspoke/internal/invariant"
	"cactusspoke/internal/platform"
)

// Limits of ejection and leaving.
const (
	ejectAfter     = 3
	ejectFirst     = time.Second
	ejectMax       = 30 * time.Second
	slowStart      = 5 * time.Second
	leavingGrace   = 3 * time.Second
	historyLength  = 64
	historySpacing = 20 * time.Millisecond
	// keepFloor is the share of a service's servers that is never ejected.
	keepFloor = 0.5
)

// entry is what is known of one backend server.
type entry struct {
	listed       platform.Instance
	load         Load
	loaded       bool
	knownSince   time.Time
	leavingSince time.Time
	inFlight     int
	begun        int
	ended        int
	history      []mark
	oldest       mark
	failures     int
	ejections    int
	ejectedUntil time.Time
}

// mark is a reading of the own counters at a time.
type mark struct {
	at           time.Time
	begun, ended int
}

// Fleet is safe for use by several goroutines.
type Fleet struct {
	mu      sync.Mutex
	entries map[string]*entry
	changed func()
}

// New returns an empty fleet. changed is called, without a lock held, when
// capacity may have become free.
func New(changed func()) *Fleet {
	return &Fleet{entries: map[string]*entry{}, changed: changed}
}

// List takes in the platform's list. A leaving mark stays for as long as the
// same incarnation is seen.
func (f *Fleet) List(now time.Time, instances []platform.Instance) {
	f.mu.Lock()
	present := map[string]bool{}
	for _, i := range instances {
		if i.Role() != platform.BackendRole {
			continue
		}
		present[i.Name()] = true
		f.listOne(now, i)
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

func (f *Fleet) listOne(now time.Time, i platform.Instance) {
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

// Report takes in a load report. It returns whether the report is newer than
// what was known.
func (f *Fleet) Report(now time.Time, l Load) bool {
	f.mu.Lock()
	e, ok := f.entries[l.server]
	if !ok || !e.newer(l) {
		f.mu.Unlock()
		return false
	}
	if e.loaded && e.load.incarnation != l.incarnation {
		e.restart(now)
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

func (e *entry) newer(l Load) bool {
	if !e.loaded {
		return true
	}
	if e.load.incarnation == l.incarnation {
		return l.sequence > e.load.sequence
	}
	return l.takenAt.After(e.load.takenAt)
}

// restart forgets what belonged to the earlier incarnation.
func (e *entry) restart(now time.Time) {
	e.knownSince = now
	e.leavingSince = time.Time{}
	if e.listed.Leaving() {
		e.leavingSince = now
	}
	e.failures = 0
	e.ejections = 0
	e.ejectedUntil = time.Time{}
	e.history = nil
	e.oldest = mark{now, e.begun, e.ended}
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

// Loads returns the last report of every backend server.
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

// Begin counts a request as sent to a backend server. It returns false when
// the server may no longer get new work.
func (f *Fleet) Begin(now time.Time, id string) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	e, ok := f.entries[id]
	if !ok || !e.leavingSince.IsZero() {
		return false
	}
	invariant.Check(invariant.LeavingNoWork, e.leavingSince.IsZero() || now.Sub(e.leavingSince) < leavingGrace,
		"new work to %s, leaving for %s", id, now.Sub(e.leavingSince))
	e.begun++
	e.inFlight++
	e.note(now)
	return true
}

// Outcome is how an attempt at a backend server ended, for its health.
type Outcome uint8

// The outcomes.
const (
	// Served is any whole answer.
	Served Outcome = iota
	// Unhealthy is an answer that speaks against the server.
	Unhealthy
	// Neutral is an end that says nothing about the server.
	Neutral
)

// End counts a request as ended.
func (f *Fleet) End(now time.Time, id string, outcome Outcome) {
	f.mu.Lock()
	if e, ok := f.entries[id]; ok {
		e.ended++
		e.inFlight--
		e.note(now)
		e.judge(now, outcome)
	}
	f.mu.Unlock()
	f.notify()
}

func (e *entry) judge(now time.Time, outcome Outcome) {
	switch outcome {
	case Served:
		e.failures = 0
		e.ejections = 0
	case Unhealthy:
		e.failures++
		if e.failures < ejectAfter {
			return
		}
		pause := min(ejectFirst<<min(e.ejections, 5), ejectMax)
		e.ejections++
		e.failures = 0
		e.ejectedUntil = now.Add(pause)
	}
}

func (e *entry) note(now time.Time) {
	m := mark{now, e.begun, e.ended}
	last := len(e.history) - 1
	if last > 0 && now.Sub(e.history[last-1].at) < historySpacing {
		e.history[last] = m
		return
	}
	e.history = append(e.history, m)
	if len(e.history) > historyLength {
		e.oldest = e.history[0]
		e.history = e.history[1:]
	}
}

// since returns what this instance begun and saw end after a time. A time
// before the history counts from the history's start.
func (e *entry) since(at time.Time) (begun, ended int) {
	i := sort.Search(len(e.history), func(i int) bool { return e.history[i].at.After(at) })
	base := e.oldest
	if i > 0 {
		base = e.history[i-1]
	}
	return e.begun - base.begun, e.ended - base.ended
}

func (e *entry) estimate() float64 {
	if !e.loaded {
		return float64(e.inFlight)
	}
	begun, ended := e.since(e.load.takenAt)
	v := float64(e.load.running + e.load.queued + begun - ended)
	return max(v, float64(e.inFlight))
}

// Servers returns the backend servers of a service that may get new work.
// Ejected ones are left out as long as a floor of the others remains.
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
	for len(ejected) > 0 && float64(len(healthy)) < keepFloor*float64(total) {
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

// Listed returns every backend server that is listed, leaving ones included.
func (f *Fleet) Listed(now time.Time) []Server {
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
