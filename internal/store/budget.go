package store

import (
	"context"
	"errors"
	"sync"
	"time"

	"golang.org/x/time/rate"
)

// Priority is the class of a call; urgent calls may use the whole budget.
type Priority uint8

// The classes, from the last served to the first.
const (
	Routine Priority = iota
	Seal
	Urgent
	priorityCount
)

type priorityKey struct{}

// WithPriority marks the calls of a context with a class.
func WithPriority(ctx context.Context, p Priority) context.Context {
	return context.WithValue(ctx, priorityKey{}, p)
}

func priorityOf(ctx context.Context) Priority {
	p, _ := ctx.Value(priorityKey{}).(Priority)
	return p
}

// Shares of the budget that each class may spend.
var shares = [priorityCount]float64{Routine: 0.5, Seal: 0.75, Urgent: 1}

// Circuit limits while the service does not answer.
const (
	circuitFailures   = 3
	circuitFirstPause = 100 * time.Millisecond
	circuitMaxPause   = 2 * time.Second
)

// Budget bounds the calls of this process, by class, and lets only a trickle
// through while the service does not answer.
type Budget struct {
	inner    Client
	limiters [priorityCount]*rate.Limiter

	mu       sync.Mutex
	failures int
	pause    time.Duration
	retryAt  time.Time
}

// NewBudget wraps a client with a budget in calls a second.
func NewBudget(inner Client, callsPerSecond float64) *Budget {
	b := &Budget{inner: inner, pause: circuitFirstPause}
	for p := range b.limiters {
		limit := callsPerSecond * shares[p]
		b.limiters[p] = rate.NewLimiter(rate.Limit(limit), max(1, int(limit)))
	}
	return b
}

// Get reads one key.
func (b *Budget) Get(ctx context.Context, key string) (Record, error) {
	return spend(b, ctx, func() (Record, error) { return b.inner.Get(ctx, key) })
}

// List reads all keys below a prefix.
func (b *Budget) List(ctx context.Context, prefix string) (Page, error) {
	return spend(b, ctx, func() (Page, error) { return b.inner.List(ctx, prefix) })
}

// Watch waits for changes below a prefix.
func (b *Budget) Watch(ctx context.Context, prefix string, after Revision, wait time.Duration) (Page, error) {
	return spend(b, ctx, func() (Page, error) { return b.inner.Watch(ctx, prefix, after, wait) })
}

// Put writes a key.
func (b *Budget) Put(ctx context.Context, key string, value []byte, expected Revision) (Revision, error) {
	return spend(b, ctx, func() (Revision, error) { return b.inner.Put(ctx, key, value, expected) })
}

// Delete removes a key.
func (b *Budget) Delete(ctx context.Context, key string, expected Revision) error {
	_, err := spend(b, ctx, func() (struct{}, error) { return struct{}{}, b.inner.Delete(ctx, key, expected) })
	return err
}

func spend[T any](b *Budget, ctx context.Context, call func() (T, error)) (T, error) {
	var zero T
	if !b.closed(time.Now()) {
		return zero, ErrNotApplied
	}
	if err := b.take(ctx); err != nil {
		return zero, err
	}
	v, err := call()
	b.record(time.Now(), ctx, err)
	return v, err
}

// take spends one call of the class and of every class above it, so that the
// classes together stay within the whole budget.
func (b *Budget) take(ctx context.Context) error {
	for p := priorityOf(ctx); p < priorityCount; p++ {
		if err := b.limiters[p].Wait(ctx); err != nil {
			return errors.Join(ErrBudget, err)
		}
	}
	return nil
}

// closed tells whether a call may go out; an open circuit admits one probe
// per pause.
func (b *Budget) closed(now time.Time) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.failures < circuitFailures {
		return true
	}
	if now.Before(b.retryAt) {
		return false
	}
	b.retryAt = now.Add(jitter(b.pause) + b.pause/2)
	return true
}

func (b *Budget) record(now time.Time, ctx context.Context, err error) {
	failed := errors.Is(err, ErrNotApplied) || errors.Is(err, ErrUnknown)
	if failed && errors.Is(ctx.Err(), context.Canceled) {
		return
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	if !failed {
		b.failures = 0
		b.pause = circuitFirstPause
		return
	}
	b.failures++
	if b.failures < circuitFailures {
		return
	}
	b.retryAt = now.Add(jitter(b.pause) + b.pause/2)
	b.pause = min(2*b.pause, circuitMaxPause)
}
