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
	// controller refuses requests that cannot be answered in time; nil if they wait until their
	// deadline.
	controller *Controller
	reviewedAt time.Time
	// pausing is set while a timer runs that ends a pause of the controller.
	pausing bool
}

// reviewInterval is the maximum time between two estimates of whether the waiting requests can
// be answered in time. Servers that stop responding cause no event.
const reviewInterval = 50 * time.Millisecond

// RefusedError means that a request cannot be answered in time. It was not sent.
type RefusedError struct {
	// RetryAfter is when there is room for the request.
	RetryAfter time.Duration
}

func (e *RefusedError) Error() string {
	return "no room in time, try again in " + e.RetryAfter.String()
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

// NewControlledGate returns a gate whose requests are sent, wait or are refused as a controller
// decides. Acquire returns when the request was sent, which Controller.End needs. The gate is the
// only user of the controller.
func NewControlledGate[W Waiter](controller *Controller) *Gate[time.Time, W] {
	take := func(now time.Time, _ W) (time.Time, bool) { return now, controller.Take(now) }
	return &Gate[time.Time, W]{queue: controller.queue, pending: map[*Ticket]*pendingRequest[time.Time, W]{}, choose: take, controller: controller}
}

// TryEnter admits a request at once if its service is not under pressure.
func (g *Gate[S, W]) TryEnter(now time.Time) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return !g.controller.UnderPressure(now) && g.controller.Take(now)
}

// Update passes an event to the controller and admits and refuses waiting requests after it.
func (g *Gate[S, W]) Update(now time.Time, event func(*Controller)) {
	g.mu.Lock()
	defer g.mu.Unlock()
	event(g.controller)
	if g.queue.Len() > 0 {
		g.dispatch(now)
	}
}

// review estimates again whether the waiting requests can be answered in time. One estimate
// covers all of them.
func (g *Gate[S, W]) review(now time.Time) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if now.Sub(g.reviewedAt) >= reviewInterval {
		g.dispatch(now)
	}
}

// Acquire waits until a backend server is reserved for the request. The kind of
// a returned error, or a RefusedError, states that the request did not run, because
// requests are sent only after Acquire returns.
func (g *Gate[S, W]) Acquire(ctx context.Context, t *Ticket, waiter W) (S, error) {
	w := &pendingRequest[S, W]{waiter: waiter, result: make(chan reservation[S], 1)}
	g.mu.Lock()
	if err := g.offer(t); err != nil {
		g.mu.Unlock()
		var zero S
		return zero, err
	}
	g.pending[t] = w
	g.dispatch(time.Now())
	g.mu.Unlock()
	timeout := time.NewTimer(time.Until(t.deadline))
	defer timeout.Stop()
	var reviews <-chan time.Time
	if g.controller != nil {
		ticker := time.NewTicker(reviewInterval)
		defer ticker.Stop()
		reviews = ticker.C
	}
	for {
		select {
		case r := <-w.result:
			return r.server, r.err
		case <-ctx.Done():
			return g.cancel(t, w, failure.New(failure.CallerGone, "the caller left while waiting"))
		case <-reviews:
			g.review(time.Now())
		case <-timeout.C:
			return g.cancel(t, w, g.timeoutError(t))
		}
	}
}

// offer adds a ticket to the queue; the caller holds mu.
func (g *Gate[S, W]) offer(t *Ticket) error {
	if g.controller != nil {
		if retryAfter, ok := g.controller.Offer(time.Now(), t); !ok {
			return &RefusedError{retryAfter}
		}
		return nil
	}
	if !g.queue.Offer(t) {
		return failure.New(failure.Overloaded, "%d requests of this customer already wait", g.queue.limit)
	}
	return nil
}

// timeoutError returns the error of a request that waited until its deadline.
func (g *Gate[S, W]) timeoutError(t *Ticket) error {
	if g.controller == nil {
		return failure.New(failure.QueueTimeout, "no backend server had room in time")
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	return &RefusedError{g.controller.Refused(time.Now(), t)}
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
	g.reviewedAt = now
	if g.controller != nil {
		for _, r := range g.controller.Refuse(now) {
			g.resolve(r.Ticket, reservation[S]{err: &RefusedError{r.RetryAfter}})
		}
	}
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
	if g.controller != nil && g.queue.Len() > 0 && !g.pausing {
		if pause := g.controller.capacity.Pause(now); pause > 0 {
			g.pausing = true
			time.AfterFunc(pause, g.endPause)
		}
	}
}

// endPause admits waiting requests after a pause.
func (g *Gate[S, W]) endPause() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.pausing = false
	g.dispatch(time.Now())
}

func (g *Gate[S, W]) resolve(t *Ticket, r reservation[S]) {
	if w, ok := g.pending[t]; ok {
		delete(g.pending, t)
		w.result <- r
	}
}
