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
	newest  uint64 // the latest window that has counts
	windows map[uint64]counts
}

// NewRecorder returns a recorder with windows of the given length.
func NewRecorder(length time.Duration) *Recorder {
	return &Recorder{length: length, windows: map[uint64]counts{}}
}

// Window returns the number of the window that contains at.
func (r *Recorder) Window(at time.Time) uint64 {
	return uint64(at.UnixNano()) / uint64(r.length)
}

// RequestRecord counts the usage of one request, once, in the window in which the request
// ends. Of the calls of Complete, Replay and Refuse only the first counts.
type RequestRecord struct {
	recorder          *Recorder
	customer, service string
	finished          bool
}

// Start returns the record of a request that has started.
func (r *Recorder) Start(customer, service string) *RequestRecord {
	return &RequestRecord{recorder: r, customer: customer, service: service}
}

// Complete counts a request with a complete answer. Call it before the last byte of
// the answer is sent.
func (r *RequestRecord) Complete(prompt, output uint64) {
	r.finish(func(c counts) {
		c[counterKey{r.customer, r.service, Requests}]++
		c[counterKey{r.customer, r.service, PromptTokens}] += prompt
		c[counterKey{r.customer, r.service, OutputTokens}] += output
	})
}

// Replay counts a request that was answered with the stored answer of an earlier
// request.
func (r *RequestRecord) Replay() {
	r.finish(func(c counts) {
		c[counterKey{r.customer, r.service, Replayed}]++
	})
}

// Refuse counts a request without a complete answer, by the kind of failure.
func (r *RequestRecord) Refuse(kind string) {
	r.finish(func(c counts) {
		c[counterKey{r.customer, r.service, RefusedPrefix + kind}]++
	})
}

// finish counts the request in the current window, unless it has done so before.
func (r *RequestRecord) finish(count func(counts)) {
	r.recorder.mu.Lock()
	defer r.recorder.mu.Unlock()
	if r.finished {
		return
	}
	r.finished = true
	count(r.recorder.current())
}

// current returns the counts of the current window. It never returns to an earlier
// window, even if the wall clock is set back, so that the counts of an ended window
// do not change.
func (r *Recorder) current() counts {
	r.newest = max(r.newest, r.Window(time.Now()))
	number := r.newest
	current, ok := r.windows[number]
	if !ok {
		current = counts{}
		r.windows[number] = current
		delete(r.windows, number-retainedWindows)
	}
	return current
}

// Counters returns the counters of a window, sorted by customer, service and kind.
func (r *Recorder) Counters(number uint64) (counters []peer.UsageCounter) {
	r.mu.Lock()
	defer r.mu.Unlock()
	found, ok := r.windows[number]
	if !ok {
		return nil
	}
	for key, value := range found {
		counters = append(counters, peer.NewUsageCounter(key.customer, key.service, key.kind, value))
	}
	sort.Slice(counters, func(i, j int) bool {
		return lessCounter(counters[i], counters[j])
	})
	return counters
}

func lessCounter(a, b peer.UsageCounter) bool {
	if order := strings.Compare(a.Customer(), b.Customer()); order != 0 {
		return order < 0
	}
	if order := strings.Compare(a.Service(), b.Service()); order != 0 {
		return order < 0
	}
	return a.Kind() < b.Kind()
}
