// Package usage counts the requests and tokens of each customer in windows of time,
// and reports each window to the platform. A window may be reported again after an
// error, but always with the same counts.
package usage

import (
	"sort"
	"strings"
	"sync"
	"time"

	"cactusspoke/internal/peer"
)

// Kinds of counters. The kind of refused requests is RefusedPrefix with the kind of
// failure.
const (
	Requests      = "requests"
	Replayed      = "replayed"
	PromptTokens  = "prompt-tokens"
	OutputTokens  = "output-tokens"
	RefusedPrefix = "refused:"
)

// retainedWindows is how many windows back an instance keeps its counts.
const retainedWindows = 64

type counterKey struct{ customer, service, kind string }

type counts map[counterKey]uint64

// Recorder counts the usage of this instance by window. It is safe for concurrent use.
type Recorder struct {
	length time.Duration

	mu      sync.Mutex
	newest  uint64
	windows map[uint64]counts
}

// NewRecorder returns a ledger with windows of the given length.
func NewRecorder(length time.Duration) *Recorder {
	return &Recorder{length: length, windows: map[uint64]counts{}}
}

// Window returns the number of the window that contains at.
func (l *Recorder) Window(at time.Time) uint64 {
	return uint64(at.UnixNano()) / uint64(l.length)
}

// RequestRecord counts the usage of one request, once, in the window in which the request
// ends. Of the calls of Deliver, Replay and Refuse only the first counts.
type RequestRecord struct {
	recorder          *Recorder
	customer, service string
	finished          bool
}

// Start returns an entry for a request that has started.
func (l *Recorder) Start(customer, service string) *RequestRecord {
	return &RequestRecord{recorder: l, customer: customer, service: service}
}

// Complete counts a request with a complete answer. Call it before the last byte of
// the answer is sent.
func (e *RequestRecord) Complete(prompt, output uint64) {
	e.finish(func(c counts) {
		c[counterKey{e.customer, e.service, Requests}]++
		c[counterKey{e.customer, e.service, PromptTokens}] += prompt
		c[counterKey{e.customer, e.service, OutputTokens}] += output
	})
}

// Replay counts a request that was answered with the stored answer of an earlier
// request.
func (e *RequestRecord) Replay() {
	e.finish(func(c counts) {
		c[counterKey{e.customer, e.service, Replayed}]++
	})
}

// Refuse counts a request without a complete answer, by the kind of failure.
func (e *RequestRecord) Refuse(kind string) {
	e.finish(func(c counts) {
		c[counterKey{e.customer, e.service, RefusedPrefix + kind}]++
	})
}

// finish counts the request in the current window, unless it has done so before.
func (e *RequestRecord) finish(count func(counts)) {
	e.recorder.mu.Lock()
	defer e.recorder.mu.Unlock()
	if e.finished {
		return
	}
	e.finished = true
	count(e.recorder.current())
}

// current returns the counts of the current window. It never returns to an earlier
// window, even if the wall clock is set back, so that the counts of an ended window
// do not change.
func (l *Recorder) current() counts {
	l.newest = max(l.newest, l.Window(time.Now()))
	number := l.newest
	w, ok := l.windows[number]
	if !ok {
		w = counts{}
		l.windows[number] = w
		delete(l.windows, number-retainedWindows)
	}
	return w
}

// Counters returns the counters of a window, sorted by customer, service and kind.
func (l *Recorder) Counters(number uint64) (counters []peer.Counter) {
	l.mu.Lock()
	defer l.mu.Unlock()
	w, ok := l.windows[number]
	if !ok {
		return nil
	}
	for key, value := range w {
		counters = append(counters, peer.NewCounter(key.customer, key.service, key.kind, value))
	}
	sort.Slice(counters, func(i, j int) bool {
		return lessCounter(counters[i], counters[j])
	})
	return counters
}

func lessCounter(a, b peer.Counter) bool {
	if order := strings.Compare(a.Customer(), b.Customer()); order != 0 {
		return order < 0
	}
	if order := strings.Compare(a.Service(), b.Service()); order != 0 {
		return order < 0
	}
	return a.Kind() < b.Kind()
}
