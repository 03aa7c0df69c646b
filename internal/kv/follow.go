package kv

import (
	"context"
	"errors"
	"math/rand/v2"
	"time"

	"go.uber.org/zap"
)

const (
	// watchWait is how long one watch waits for events, the longest that the
	// store allows.
	watchWait = 30 * time.Second
	// retryMin and retryMax bound the pause after a failed call.
	retryMin = 50 * time.Millisecond
	retryMax = 400 * time.Millisecond
)

// View is what a follower keeps up to date. Calls never overlap.
type View interface {
	// Reset replaces everything by what the store holds now.
	Reset(items []Item)
	// Apply takes in events in the order of their revisions.
	Apply(events []Item)
	// Reachable tells whether the last call to the store succeeded.
	Reachable(ok bool)
}

// Follower keeps a view of a prefix up to date.
type Follower struct {
	store  Store
	prefix string
	pace   time.Duration
	view   View
	log    *zap.Logger
}

// NewFollower returns a follower. pace is the least time between two calls,
// which bounds what a prefix with many changes costs.
func NewFollower(store Store, prefix string, pace time.Duration, view View, log *zap.Logger) *Follower {
	return &Follower{store: store, prefix: prefix, pace: pace, view: view, log: log.With(zap.String("prefix", prefix))}
}

// Run follows until the context ends.
func (f *Follower) Run(ctx context.Context) error {
	failures := 0
	for ctx.Err() == nil {
		heard, err := f.follow(ctx)
		if ctx.Err() != nil {
			break
		}
		if heard {
			failures = 0
		}
		if err == nil || errors.Is(err, ErrCompacted) && failures == 0 {
			continue
		}
		failures++
		f.view.Reachable(false)
		f.log.Warn("store: view not up to date", zap.String("reason", err.Error()), zap.Int("in-a-row", failures))
		pause := min(retryMin<<min(failures, 3), retryMax)
		Sleep(ctx, pause/2+rand.N(pause))
	}
	return ctx.Err()
}

// follow lists the prefix and watches it until a watch fails or hears nothing.
// Both are followed by a new list: history may have been dropped while the
// watch was deaf, and the revision that it ends with tells nothing of that.
func (f *Follower) follow(ctx context.Context) (heard bool, err error) {
	items, at, err := All(ctx, f.store, f.prefix)
	if err != nil {
		return false, err
	}
	f.view.Reachable(true)
	f.view.Reset(items)
	for {
		started := time.Now()
		events, next, err := f.store.Watch(ctx, f.prefix, at, watchWait)
		if err != nil || len(events) == 0 {
			return true, err
		}
		f.view.Apply(events)
		at = max(at, next)
		if rest := f.pace - time.Since(started); rest > 0 {
			Sleep(ctx, rest)
		}
	}
}

// Sleep waits for a time or the end of the context.
func Sleep(ctx context.Context, d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
	case <-t.C:
	}
}
