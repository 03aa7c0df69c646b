package store

import (
	"context"
	"errors"
	"sync"
	"time"

	"golang.org/x/time/rate"
)

// Priority determines which share of the call budget a call may use.
type Priority uint8

// The priorities, from the lowest to the highest.
const (
	PriorityRoutine Priority = iota
	PrioritySeal
	PriorityUrgent
	priorityCount
)

type priorityKey struct{}

// WithPriority returns a context whose calls have priority p.
func WithPriority(ctx context.Context, p Priority) context.Context {
	return context.WithValue(ctx, priorityKey{}, p)
}

func priorityOf(ctx context.Context) Priority {
	p, _ := ctx.Value(priorityKey{}).(Priority)
	return p
}

// budgetShares are the shares of the call budget that calls of each priority may use,
// together with the calls of lower priorities.
var budgetShares = [priorityCount]float64{PriorityRoutine: 0.5, PrioritySeal: 0.75, PriorityUrgent: 1}

const (
	// circuitFailures is the number of consecutive failures that open the circuit.
	circuitFailures = 3
	// circuitMinDelay and circuitMaxDelay limit the base delay between probes while
	// the circuit is open.
	circuitMinDelay = 100 * time.Millisecond
	circuitMaxDelay = 2 * time.Second
)

// LimitedClient is a Client that limits the rate of this process's calls by priority. It has
// a circuit breaker that lets only occasional probes through while the key-value
// service fails.
type LimitedClient struct {
	inner    Client
	limiters [priorityCount]*rate.Limiter

	mu       sync.Mutex
	failures int
	delay    time.Duration
	probeAt  time.Time
}

// NewLimitedClient limits the calls to inner to callsPerSecond.
func NewLimitedClient(inner Client, callsPerSecond float64) *LimitedClient {
	b := &LimitedClient{inner: inner, delay: circuitMinDelay}
	for p := range b.limiters {
		limit := callsPerSecond * budgetShares[p]
		b.limiters[p] = rate.NewLimiter(rate.Limit(limit), max(1, int(limit)))
	}
	return b
}

func (b *LimitedClient) Get(ctx context.Context, key string) (Record, error) {
	return limited(b, ctx, func() (Record, error) { return b.inner.Get(ctx, key) })
}

func (b *LimitedClient) List(ctx context.Context, prefix string) (Page, error) {
	return limited(b, ctx, func() (Page, error) { return b.inner.List(ctx, prefix) })
}

func (b *LimitedClient) Watch(ctx context.Context, prefix string, after Revision, wait time.Duration) (Page, error) {
	return limited(b, ctx, func() (Page, error) { return b.inner.Watch(ctx, prefix, after, wait) })
}

func (b *LimitedClient) Put(ctx context.Context, key string, value []byte, expected Revision) (Revision, error) {
	return limited(b, ctx, func() (Revision, error) { return b.inner.Put(ctx, key, value, expected) })
}

func (b *LimitedClient) Delete(ctx context.Context, key string, expected Revision) error {
	_, err := limited(b, ctx, func() (struct{}, error) { return struct{}{}, b.inner.Delete(ctx, key, expected) })
	return err
}

// limited makes a call if the circuit breaker and the budget admit it, and records its
// result.
func limited[T any](b *LimitedClient, ctx context.Context, call func() (T, error)) (T, error) {
	var zero T
	if !b.admits(time.Now()) {
		return zero, ErrNotApplied
	}
	if err := b.acquire(ctx); err != nil {
		return zero, err
	}
	v, err := call()
	b.record(time.Now(), ctx, err)
	return v, err
}

// acquire waits for one call from the limiter of the priority and of every higher
// priority, so that all calls together stay within the budget.
func (b *LimitedClient) acquire(ctx context.Context) error {
	for p := priorityOf(ctx); p < priorityCount; p++ {
		if err := b.limiters[p].Wait(ctx); err != nil {
			return errors.Join(ErrBudgetExhausted, err)
		}
	}
	return nil
}

// admits reports whether the circuit breaker admits a call. While the circuit is
// open, it admits one probe after each delay.
func (b *LimitedClient) admits(now time.Time) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.failures < circuitFailures {
		return true
	}
	if now.Before(b.probeAt) {
		return false
	}
	b.probeAt = now.Add(jitter(b.delay) + b.delay/2)
	return true
}

// record updates the circuit breaker with the result of a call. A failure because the
// caller cancelled ctx is not counted.
func (b *LimitedClient) record(now time.Time, ctx context.Context, err error) {
	failed := errors.Is(err, ErrNotApplied) || errors.Is(err, ErrUnknown)
	if failed && errors.Is(ctx.Err(), context.Canceled) {
		return
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	if !failed {
		b.failures = 0
		b.delay = circuitMinDelay
		return
	}
	b.failures++
	if b.failures < circuitFailures {
		return
	}
	b.probeAt = now.Add(jitter(b.delay) + b.delay/2)
	b.delay = min(2*b.delay, circuitMaxDelay)
}
