package admission

import (
	"context"
	"sync"
	"time"

	"cactusspoke/internal/failure"
)

// Waiter is what the gate must know of a waiting request.
type Waiter interface {
	// Picky tells whether the request may find no room where others do.
	Picky() bool
}

// Chooser picks and reserves a backend server for the next request; it
// returns false when none has room.
type Chooser[S any, W Waiter] func(now time.Time, waiter W) (S, bool)

// Gate joins a queue to the goroutines that wait in it. S is what a request
// is granted: a reserved backend server.
type Gate[S any, W Waiter] struct {
	mu      sync.Mutex
	queue   *Queue
	waiting map[*Ticket]*wait[S, W]
	choose  Chooser[S, W]
}

type wait[S any, W Waiter] struct {
	waiter W
	grant  chan granted[S]
}

type granted[S any] struct {
	server S
	err    error
}

// NewGate returns a gate in front of a service.
func NewGate[S any, W Waiter](limit int, choose Chooser[S, W]) *Gate[S, W] {
	return &Gate[S, W]{queue: NewQueue(limit), waiting: map[*Ticket]*wait[S, W]{}, choose: choose}
}

// Enter waits for a backend server. The error's kind says "not run": nothing
// was sent while waiting.
func (g *Gate[S, W]) Enter(ctx context.Context, t *Ticket, waiter W) (S, error) {
	w := &wait[S, W]{waiter: waiter, grant: make(chan granted[S], 1)}
	g.mu.Lock()
	if !g.queue.Offer(t) {
		g.mu.Unlock()
		var none S
		return none, failure.New(failure.Overloaded, "%d requests of this customer already wait", g.queue.limit)
	}
	g.waiting[t] = w
	g.pump(time.Now())
	g.mu.Unlock()
	timeout := time.NewTimer(time.Until(t.deadline))
	defer timeout.Stop()
	select {
	case got := <-w.grant:
		return got.server, got.err
	case <-ctx.Done():
		return g.leave(t, w, failure.New(failure.CallerGone, "the caller left while waiting"))
	case <-timeout.C:
		return g.leave(t, w, failure.New(failure.QueueTimeout, "no backend server had room in time"))
	}
}

// leave gives a place up, unless it was granted in the meantime.
func (g *Gate[S, W]) leave(t *Ticket, w *wait[S, W], err error) (S, error) {
	g.mu.Lock()
	defer g.mu.Unlock()
	select {
	case got := <-w.grant:
		return got.server, got.err
	default:
	}
	g.queue.Cancel(t)
	delete(g.waiting, t)
	var none S
	return none, err
}

// Pump grants waiting tickets while backend servers have room.
func (g *Gate[S, W]) Pump() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.pump(time.Now())
}

// Correct charges a customer for what a request really cost.
func (g *Gate[S, W]) Correct(t *Ticket, actual float64) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.queue.Correct(t, actual)
}

// SetLimit changes how many tickets a customer may hold.
func (g *Gate[S, W]) SetLimit(limit int) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.queue.SetLimit(limit)
}

// Waiting returns how many requests wait.
func (g *Gate[S, W]) Waiting() int {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.queue.Len()
}

func (g *Gate[S, W]) pump(now time.Time) {
	var put []*Ticket
	for {
		t, expired := g.queue.Next(now)
		for _, e := range expired {
			g.grant(e, granted[S]{err: failure.New(failure.QueueTimeout, "no backend server had room in time")})
		}
		if t == nil {
			break
		}
		server, ok := g.choose(now, g.waiting[t].waiter)
		if ok {
			g.grant(t, granted[S]{server: server})
			continue
		}
		put = append(put, t)
		if !g.waiting[t].waiter.Picky() {
			break
		}
	}
	for _, t := range put {
		g.queue.Return(t)
	}
}

func (g *Gate[S, W]) grant(t *Ticket, got granted[S]) {
	if w, ok := g.waiting[t]; ok {
		delete(g.waiting, t)
		w.grant <- got
	}
}
