// Package tenure holds a singleton duty under a lease of the platform's store.
// The fencing token is the revision of the write that took the duty's key, so
// it grows with each holder. The holder's right ends on its own clock, counted
// from before the renewal was sent.
package tenure

import (
	"context"
	"errors"
	"strconv"
	"sync"
	"time"

	"cactusspoke/internal/kv"

	"go.uber.org/zap"
	"golang.org/x/sys/unix"
)

const (
	// Prefix is where duties are held, below the watched prefix.
	Prefix = "cluster/duty/"
	lastOf = "/last"

	// ttl is the lease of a duty. A shorter one is lost in a slow spell of the
	// store, whose answers then take up to 400 ms; a longer one delays the next
	// holder.
	ttl = 1200 * time.Millisecond
	// margin is taken off the holder's time.
	margin = 150 * time.Millisecond
	// renewEvery leaves four tries before the lease runs out. A try does not
	// wait for the answer to the last one, which may be lost.
	renewEvery = 250 * time.Millisecond
	// lookEvery is how often a candidate looks whether the duty is free.
	lookEvery = 60 * time.Millisecond
	// gapMargin is added to the time before a former holder may take the duty
	// again from another one.
	gapMargin = 500 * time.Millisecond
)

// Tenure is one node's part in a duty.
type Tenure struct {
	store kv.Store
	key   string
	me    string
	gap   time.Duration
	log   *zap.Logger
	clock func() time.Duration

	mu       sync.Mutex
	known    bool
	holder   kv.Item
	last     kv.Item
	fence    kv.Revision
	lease    kv.LeaseID
	deadline time.Duration
	heldTill time.Duration
}

// New returns a tenure. gap is the least time between two holds of one node
// with another holder between them.
func New(store kv.Store, duty, me string, gap time.Duration, log *zap.Logger) *Tenure {
	return &Tenure{store: store, key: Prefix + duty, me: me, gap: gap, log: log.With(zap.String("duty", duty)), clock: bootTime}
}

// bootTime is a clock that goes on while the machine is suspended.
func bootTime() time.Duration {
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts); err != nil {
		panic(err) // the clock exists since Linux 2.6.39
	}
	return time.Duration(ts.Nano())
}

// Reset takes in the state of all duties.
func (t *Tenure) Reset(items []kv.Item) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.holder, t.last, t.known = kv.Item{}, kv.Item{}, true
	t.apply(items)
}

// Apply takes in changes of duties.
func (t *Tenure) Apply(events []kv.Item) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.apply(events)
}

func (t *Tenure) apply(events []kv.Item) {
	for _, e := range events {
		target := &t.holder
		switch e.Key {
		case t.key:
		case t.key + lastOf:
			target = &t.last
		default:
			continue
		}
		if e.Deleted {
			if e.Revision > target.Revision {
				*target = kv.Item{}
			}
		} else if e.Revision >= target.Revision {
			*target = e
		}
	}
}

// Reachable is part of kv.View; deadlines decide.
func (t *Tenure) Reachable(bool) {}

// Valid tells whether the node may act as the holder now.
func (t *Tenure) Valid() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.fence != 0 && t.clock() < t.deadline
}

// Fence returns the condition that writes of the holder carry; its revision is
// the fencing token.
func (t *Tenure) Fence() kv.Condition {
	t.mu.Lock()
	defer t.mu.Unlock()
	return kv.Condition{Key: t.key, Revision: t.fence}
}

// Run is a candidate until the context ends, and runs reign each time it holds
// the duty. reign's context ends when the duty is lost.
func (t *Tenure) Run(ctx context.Context, reign func(ctx context.Context, lease kv.LeaseID)) error {
	for ctx.Err() == nil {
		if !t.free() {
			kv.Sleep(ctx, lookEvery)
			continue
		}
		lease, ok := t.acquire(ctx)
		if !ok {
			kv.Sleep(ctx, lookEvery)
			continue
		}
		t.hold(ctx, lease, reign)
	}
	return ctx.Err()
}

// free tells whether this node may try to take the duty.
func (t *Tenure) free() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if !t.known || t.holder.Revision != 0 {
		return false
	}
	mine := t.last.Revision != 0 && string(t.last.Value) == t.stamp()
	return mine || t.heldTill == 0 || t.clock() > t.heldTill+t.gap+gapMargin
}

// stamp is the value of the key that names the last holder.
func (t *Tenure) stamp() string { return t.me }

func (t *Tenure) acquire(ctx context.Context) (kv.LeaseID, bool) {
	sentAt := t.clock()
	lease, err := t.store.Grant(ctx, ttl)
	if err != nil {
		t.log.Warn("duty: no lease", zap.String("reason", err.Error()))
		return 0, false
	}
	t.mu.Lock()
	last := t.last.Revision
	t.mu.Unlock()
	value := []byte(t.me + " " + strconv.FormatInt(int64(lease), 10))
	revision, err := t.store.Commit(ctx, kv.Txn{
		Conditions: []kv.Condition{{Key: t.key}, {Key: t.key + lastOf, Revision: last}},
		Puts:       []kv.Put{{Key: t.key, Value: value, Lease: lease}, {Key: t.key + lastOf, Value: []byte(t.stamp())}},
	})
	if err != nil && !errors.Is(err, kv.ErrRefused) {
		// The write may have been carried out: the key tells.
		item, _, failed := t.store.Get(ctx, t.key)
		if failed != nil || string(item.Value) != string(value) {
			return 0, false
		}
		revision, err = item.Revision, nil
	}
	if err != nil {
		return 0, false
	}
	t.mu.Lock()
	t.fence = revision
	t.lease = lease
	t.deadline = sentAt + ttl - margin
	t.heldTill = t.deadline
	t.mu.Unlock()
	t.log.Info("duty: taken", zap.Int64("fence", int64(revision)))
	return lease, true
}

// hold renews the lease and runs reign until the duty is lost or the context
// ends.
func (t *Tenure) hold(ctx context.Context, lease kv.LeaseID, reign func(ctx context.Context, lease kv.LeaseID)) {
	inner, cancel := context.WithCancel(ctx)
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		reign(inner, lease)
	}()
	reason := t.renewals(ctx, inner, lease)
	cancel()
	<-ended
	t.mu.Lock()
	t.fence, t.deadline = 0, 0
	t.mu.Unlock()
	t.log.Info("duty: given up", zap.String("reason", reason))
	if ctx.Err() != nil {
		t.release(lease)
	}
}

// renewals renews the lease until the duty is lost or the context ends, and
// returns the reason.
func (t *Tenure) renewals(ctx, inner context.Context, lease kv.LeaseID) string {
	lapsed := make(chan struct{}, 1)
	for {
		kv.Sleep(ctx, renewEvery)
		select {
		case <-lapsed:
			return "the lease has ended"
		default:
		}
		switch {
		case ctx.Err() != nil:
			return "stopped"
		case t.deposed():
			return "another node holds it"
		}
		go t.renew(inner, lease, lapsed)
	}
}

// renew renews the lease once.
func (t *Tenure) renew(ctx context.Context, lease kv.LeaseID, lapsed chan<- struct{}) {
	sentAt := t.clock()
	err := t.store.Keep(ctx, lease)
	switch {
	case err == nil:
		t.extend(lease, sentAt)
	case errors.Is(err, kv.ErrNotFound):
		select {
		case lapsed <- struct{}{}:
		default:
		}
	case ctx.Err() == nil:
		t.log.Warn("duty: not renewed", zap.String("reason", err.Error()))
	}
}

// extend moves the end of the holder's time, unless the answer belongs to an
// earlier hold or came after that to a later renewal.
func (t *Tenure) extend(lease kv.LeaseID, sentAt time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if end := sentAt + ttl - margin; t.fence != 0 && t.lease == lease && end > t.deadline {
		t.deadline = end
		t.heldTill = end
	}
}

// deposed tells whether the view shows a later holder.
func (t *Tenure) deposed() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.holder.Revision > t.fence || t.last.Revision > t.fence
}

// release lets the next holder in at once.
func (t *Tenure) release(lease kv.LeaseID) {
	ctx, cancel := context.WithTimeout(context.Background(), renewEvery)
	defer cancel()
	if err := t.store.Revoke(ctx, lease); err != nil {
		t.log.Warn("duty: lease not ended", zap.String("reason", err.Error()))
	}
}
