// Package usage counts what each customer got and what was refused, by
// window, and reports each window once.
package usage

import (
	"sort"
	"strings"
	"sync"
	"time"

	"cactusspoke/internal/peer"
)

// Kinds of figures. Refusals are counted as RefusedPrefix with the kind.
const (
	Requests      = "requests"
	Replayed      = "replayed"
	PromptTokens  = "prompt-tokens"
	OutputTokens  = "output-tokens"
	RefusedPrefix = "refused:"
)

// keepWindows is how many closed windows an instance still remembers.
const keepWindows = 64

type figure struct{ customer, service, kind string }

type window map[figure]uint64

// Ledger counts the requests of this instance. It is safe for several
// goroutines.
type Ledger struct {
	length time.Duration

	mu      sync.Mutex
	newest  uint64
	windows map[uint64]window
}

// NewLedger returns a ledger with windows of a length.
func NewLedger(length time.Duration) *Ledger {
	return &Ledger{length: length, windows: map[uint64]window{}}
}

// Window returns the number of the window that a time falls into.
func (l *Ledger) Window(at time.Time) uint64 {
	return uint64(at.UnixNano()) / uint64(l.length)
}

// Entry is the account of one request; it belongs to the window in which the
// request ended.
type Entry struct {
	ledger            *Ledger
	customer, service string
	closed            bool
}

// Open begins the account of a request.
func (l *Ledger) Open(customer, service string) *Entry {
	return &Entry{ledger: l, customer: customer, service: service}
}

// Deliver counts a whole answer. It is called before the last byte leaves.
func (e *Entry) Deliver(prompt, output uint64) {
	e.close(func(w window) {
		w[figure{e.customer, e.service, Requests}]++
		w[figure{e.customer, e.service, PromptTokens}] += prompt
		w[figure{e.customer, e.service, OutputTokens}] += output
	})
}

// Replay counts a request that got the stored answer of an earlier one.
func (e *Entry) Replay() {
	e.close(func(w window) {
		w[figure{e.customer, e.service, Replayed}]++
	})
}

// Refuse counts a request that got no whole answer, by its kind.
func (e *Entry) Refuse(kind string) {
	e.close(func(w window) {
		w[figure{e.customer, e.service, RefusedPrefix + kind}]++
	})
}

func (e *Entry) close(count func(window)) {
	e.ledger.mu.Lock()
	defer e.ledger.mu.Unlock()
	if e.closed {
		return
	}
	e.closed = true
	count(e.ledger.current())
}

// current returns the window that is being counted. It never goes back, even
// when the wall clock does, so that a window that has ended stays as it is.
func (l *Ledger) current() window {
	l.newest = max(l.newest, l.Window(time.Now()))
	number := l.newest
	w, ok := l.windows[number]
	if !ok {
		w = window{}
		l.windows[number] = w
		delete(l.windows, number-keepWindows)
	}
	return w
}

// Counters returns the figures of a window, in a fixed order.
func (l *Ledger) Counters(number uint64) (counters []peer.UsageCounter) {
	l.mu.Lock()
	defer l.mu.Unlock()
	w, ok := l.windows[number]
	if !ok {
		return nil
	}
	for f, v := range w {
		counters = append(counters, peer.NewUsageCounter(f.customer, f.service, f.kind, v))
	}
	sort.Slice(counters, func(i, j int) bool {
		return less(counters[i], counters[j])
	})
	return counters
}

func less(a, b peer.UsageCounter) bool {
	if c := strings.Compare(a.Customer(), b.Customer()); c != 0 {
		return c < 0
	}
	if c := strings.Compare(a.Service(), b.Service()); c != 0 {
		return c < 0
	}
	return a.Kind() < b.Kind()
}
