package admission

import (
	"context"
	"sync"
	"time"

	"cactusspoke/internal/failure"
)

// Waiter is a waiting request.
type Waiter interface {
	// HasServerConstraints reports whether the request excludes some servers
	// that others may use. If no server can be reserved for it, the next
	// request is tried.
	HasServerConstraints() bool
}

// ReserveFunc reserves a backend server for the next request. It returns false
// if none has a free slot that the request can use.
type ReserveFunc[S any, W Waiter] func(now time.Time, waiter W) (S, bool)

// Gate lets requests wait in a queue until a backend server can be reserved for
// them. S is the type of a reserved backend server. It is safe for concurrent
// use.
type Gate[S any, W Waiter] struct {
	mu      sync.Mutex
	queue   *Queue
	pending map[*Ticket]*pendingRequest[S, W]
	choose  ReserveFunc[S, W]
}

type pendingRequest[S any, W Waiter] struct {
	waiter W
	result chan reservation[S]
}

type reservation[S any] struct {
	server S
	err    error
}

// NewGate returns a gate for one service, in which each customer may have limit
// requests waiting.
func NewGate[S any, W Waiter](limit int, choose ReserveFunc[S, W]) *Gate[S, W] {
	return &Gate[S, W]{queue: NewQueue(limit), pending: map[*Ticket]*pendingRequest[S, W]{}, choose: choose}
}

// Acquire waits until a backend server is reserved for the request. The kind of
// a returned error states that the request did not run, because requests are
// sent only after Acquire returns.
func (g *Gate[S, W]) Acquire(ctx context.Context, t *Ticket, waiter W) (S, error) {
	w := &pendingRequest[S, W]{waiter: waiter, result: make(chan reservation[S], 1)}
	g.mu.Lock()
	if !g.queue.Offer(t) {
		g.mu.Unlock()
		var zero S
		return zero, failure.New(failure.Overloaded, "%d requests of this customer already wait", g.queue.limit)
	}
	g.pending[t] = w
	g.dispatch(time.Now())
	g.mu.Unlock()
	timeout := time.NewTimer(time.Until(t.deadline))
	defer timeout.Stop()
	select {
	case r := <-w.result:
		return r.server, r.err
	case <-ctx.Done():
		return g.cancel(t, w, failure.New(failure.CallerGone, "the caller left while waiting"))
	case <-timeout.C:
		return g.cancel(t, w, failure.New(failure.QueueTimeout, "no backend server had room in time"))
	}
}

// cancel removes a ticket from the queue, unless a server was reserved for it
// in the meantime.
func (g *Gate[S, W]) cancel(t *Ticket, w *pendingRequest[S, W], err error) (S, error) {
	g.mu.Lock()
	defer g.mu.Unlock()
	select {
	case r := <-w.result:
		return r.server, r.err
	default:
	}
	g.queue.Cancel(t)
	delete(g.pending, t)
	var zero S
	return zero, err
}

// DispatchWaiting reserves servers for waiting requests while there are free
// slots.
func (g *Gate[S, W]) DispatchWaiting() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.dispatch(time.Now())
}

// CorrectCost replaces the expected cost that a customer was charged for a
// request by the actual cost.
func (g *Gate[S, W]) CorrectCost(t *Ticket, actual float64) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.queue.CorrectCost(t, actual)
}

// SetLimit sets how many requests of each customer may wait.
func (g *Gate[S, W]) SetLimit(limit int) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.queue.SetLimit(limit)
}

// Waiting returns the number of waiting requests.
func (g *Gate[S, W]) Waiting() int {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.queue.Len()
}

// dispatch reserves servers for waiting requests in queue order. A request that
// cannot use the free servers because of its constraints does not block those
// behind it; any other request without a server ends the loop.
func (g *Gate[S, W]) dispatch(now time.Time) {
	var unserved []*Ticket
	for {
		t, expired := g.queue.Next(now)
		for _, e := range expired {
			g.resolve(e, reservation[S]{err: failure.New(failure.QueueTimeout, "no backend server had room in time")})
		}
		if t == nil {
			break
		}
		server, ok := g.choose(now, g.pending[t].waiter)
		if ok {
			g.resolve(t, reservation[S]{server: server})
			continue
		}
		unserved = append(unserved, t)
		if !g.pending[t].waiter.HasServerConstraints() {
			break
		}
	}
	for _, t := range unserved {
		g.queue.Requeue(t)
	}
}

func (g *Gate[S, W]) resolve(t *Ticket, r reservation[S]) {
	if w, ok := g.pending[t]; ok {
		delete(g.pending, t)
		w.result <- r
	}
}
