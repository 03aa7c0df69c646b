package kv

import (
	"context"
	"errors"
	"math/rand/v2"
	"time"

	"go.uber.org/zap"
)

const (
	// watchTimeout is how long a watch waits for events. It is the maximum that
	// the store allows.
	watchTimeout = 30 * time.Second
	// minRetryDelay and maxRetryDelay limit the base delay after a failed call,
	// to which jitter is added.
	minRetryDelay = 50 * time.Millisecond
	maxRetryDelay = 400 * time.Millisecond
)

// View is a local copy of keys that a Follower keeps up to date. Its methods are
// not called concurrently.
type View interface {
	// Reset replaces the content with all current items.
	Reset(items []Item)
	// Apply applies events in the order of their revisions.
	Apply(events []Item)
	// Reachable is called with whether the last call to the store succeeded.
	Reachable(ok bool)
}

// RevisionView is a View that also needs the revision of the store at which a list
// was complete. A Follower then calls ResetAt instead of Reset.
type RevisionView interface {
	View
	ResetAt(items []Item, at Revision)
}

// withRevisions returns a view as a RevisionView.
func withRevisions(view View) RevisionView {
	if v, ok := view.(RevisionView); ok {
		return v
	}
	return plainView{view}
}

// plainView is a View that does not need revisions.
type plainView struct{ View }

func (v plainView) ResetAt(items []Item, _ Revision) { v.Reset(items) }

// Follower keeps a View of a prefix up to date by listing and watching it.
type Follower struct {
	store       Store
	prefix      string
	minInterval time.Duration
	view        RevisionView
	log         *zap.Logger
}

// NewFollower returns a follower. minInterval is the minimum time between two
// watch calls. It limits the load of a prefix that changes often.
func NewFollower(store Store, prefix string, minInterval time.Duration, view View, log *zap.Logger) *Follower {
	return &Follower{store: store, prefix: prefix, minInterval: minInterval, view: withRevisions(view), log: log.With(zap.String("prefix", prefix))}
}

// Run keeps the view up to date until ctx ends.
func (f *Follower) Run(ctx context.Context) error {
	failures := 0
	for ctx.Err() == nil {
		listed, err := f.listAndWatch(ctx)
		if ctx.Err() != nil {
			break
		}
		if listed {
			failures = 0
		}
		if err == nil || errors.Is(err, ErrCompacted) && failures == 0 {
			continue
		}
		f.view.Reachable(false)
		if errors.Is(err, errSilence) && failures == 0 {
			continue // the store answers again
		}
		failures++
		f.log.Warn("store: cannot update the view, will retry", zap.String("reason", err.Error()), zap.Int("in-a-row", failures))
		delay := min(minRetryDelay<<min(failures, 3), maxRetryDelay)
		Sleep(ctx, delay/2+rand.N(delay))
	}
	return ctx.Err()
}

// listAndWatch lists the prefix and watches it until a watch fails or times out
// without events. It reports whether the list succeeded. The caller lists again
// in both cases: a watch may miss events, which the store may then drop from its
// history, and the revision that an empty watch returns does not show that.
func (f *Follower) listAndWatch(ctx context.Context) (listed bool, err error) {
	items, at, err := ListAll(ctx, f.store, f.prefix)
	if err != nil {
		return false, err
	}
	f.view.Reachable(true)
	f.view.ResetAt(items, at)
	for {
		started := time.Now()
		events, next, err := f.store.Watch(ctx, f.prefix, at, watchTimeout)
		if err != nil || len(events) == 0 {
			return true, err
		}
		at = max(at, next)
		f.view.Apply(events)
		if rest := f.minInterval - time.Since(started); rest > 0 {
			Sleep(ctx, rest)
		}
	}
}

// Sleep waits until d has passed or ctx ends.
func Sleep(ctx context.Context, d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
	case <-t.C:
	}
}
