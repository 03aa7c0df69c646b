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

// LimitedClient is a Client that limits the rate of this process's calls by priority.
// It has a circuit breaker that lets only occasional probes through while the
// key-value service fails.
type LimitedClient struct {
	inner    Client
	limiters [priorityCount]*rate.Limiter

	mu       sync.Mutex
	failures int
	delay    time.Duration
	probeAt  time.Time
}

// NewLimitedClient returns a client that limits the rate of calls to inner to
// callsPerSecond.
func NewLimitedClient(inner Client, callsPerSecond float64) *LimitedClient {
	c := &LimitedClient{inner: inner, delay: circuitMinDelay}
	for p := range c.limiters {
		limit := callsPerSecond * budgetShares[p]
		c.limiters[p] = rate.NewLimiter(rate.Limit(limit), max(1, int(limit)))
	}
	return c
}

func (c *LimitedClient) Get(ctx context.Context, key string) (Record, error) {
	return limited(c, ctx, func() (Record, error) { return c.inner.Get(ctx, key) })
}

func (c *LimitedClient) List(ctx context.Context, prefix string) (Page, error) {
	return limited(c, ctx, func() (Page, error) { return c.inner.List(ctx, prefix) })
}

func (c *LimitedClient) Watch(ctx context.Context, prefix string, after Revision, wait time.Duration) (Page, error) {
	return limited(c, ctx, func() (Page, error) { return c.inner.Watch(ctx, prefix, after, wait) })
}

func (c *LimitedClient) Put(ctx context.Context, key string, value []byte, expected Revision) (Revision, error) {
	return limited(c, ctx, func() (Revision, error) { return c.inner.Put(ctx, key, value, expected) })
}

func (c *LimitedClient) Delete(ctx context.Context, key string, expected Revision) error {
	_, err := limited(c, ctx, func() (struct{}, error) { return struct{}{}, c.inner.Delete(ctx, key, expected) })
	return err
}

// limited makes a call if the circuit breaker and the budget admit it, and records its
// result.
func limited[T any](c *LimitedClient, ctx context.Context, call func() (T, error)) (T, error) {
	var zero T
	if !c.admits(time.Now()) {
		return zero, ErrNotApplied
	}
	if err := c.acquire(ctx); err != nil {
		return zero, err
	}
	v, err := call()
	c.record(time.Now(), ctx, err)
	return v, err
}

// acquire waits for one call from the limiter of the priority and of every higher
// priority, so that all calls together stay within the budget.
func (c *LimitedClient) acquire(ctx context.Context) error {
	for p := priorityOf(ctx); p < priorityCount; p++ {
		if err := c.limiters[p].Wait(ctx); err != nil {
			return errors.Join(ErrBudgetExhausted, err)
		}
	}
	return nil
}

// admits reports whether the circuit breaker admits a call. While the circuit is
// open, it admits one probe after each delay.
func (c *LimitedClient) admits(now time.Time) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.failures < circuitFailures {
		return true
	}
	if now.Before(c.probeAt) {
		return false
	}
	c.probeAt = now.Add(jitter(c.delay) + c.delay/2)
	return true
}

// record updates the circuit breaker with the result of a call. A failure because the
// caller cancelled ctx is not counted.
func (c *LimitedClient) record(now time.Time, ctx context.Context, err error) {
	failed := errors.Is(err, ErrNotApplied) || errors.Is(err, ErrUnknown)
	if failed && errors.Is(ctx.Err(), context.Canceled) {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if !failed {
		c.failures = 0
		c.delay = circuitMinDelay
		return
	}
	c.failures++
	if c.failures < circuitFailures {
		return
	}
	c.probeAt = now.Add(jitter(c.delay) + c.delay/2)
	c.delay = min(2*c.delay, circuitMaxDelay)
}
