// Package election elects the holder of a duty, which is work that at most one
// node does at a time. The holder's key in the platform's store is bound to a
// lease. The fencing token is the revision of the write that created the key, so
// it increases with each holder. The holder stops at a deadline on its own
// clock, counted from before it sent the last successful renewal.
package election

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
	// Prefix is the key prefix of duties, below the watched prefix.
	Prefix           = "cluster/duty/"
	lastHolderSuffix = "/last" // the key with this suffix names the last holder

	// leaseTTL is the time to live of the lease. A shorter lease expires while
	// the store is slow and takes up to 400 ms to answer; a longer one delays the
	// next holder.
	leaseTTL = 1200 * time.Millisecond
	// leaseMargin is how long before the lease expires the holder stops.
	leaseMargin = 150 * time.Millisecond
	// renewInterval allows four renewals before the lease expires. A renewal does
	// not wait for the reply to the one before, which may be lost.
	renewInterval = 250 * time.Millisecond
	// pollInterval is how often a candidate checks whether the duty is free.
	pollInterval = 60 * time.Millisecond
	// reacquireMargin is added to the time that a former holder waits before it
	// takes the duty again after another node.
	reacquireMargin = 500 * time.Millisecond
)

// Candidate is a node's candidacy for a duty and, while the node holds it, the
// holder's lease and fencing token.
type Candidate struct {
	store        kv.Store
	key          string
	node         string
	reacquireGap time.Duration
	log          *zap.Logger
	clock        func() time.Duration

	mu         sync.Mutex
	synced     bool
	holder     kv.Item
	lastHolder kv.Item
	fence      kv.Revision
	lease      kv.LeaseID
	deadline   time.Duration
	heldUntil  time.Duration
}

// New returns a candidacy of a node for a duty. reacquireGap is the minimum time
// between two holds of one node if another node held the duty in between.
func New(store kv.Store, duty, node string, reacquireGap time.Duration, log *zap.Logger) *Candidate {
	return &Candidate{store: store, key: Prefix + duty, node: node, reacquireGap: reacquireGap, log: log.With(zap.String("duty", duty)), clock: bootTime}
}

// bootTime returns the time since boot. Unlike the monotonic clock, it advances
// while the machine is suspended.
func bootTime() time.Duration {
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts); err != nil {
		panic(err) // CLOCK_BOOTTIME is available since Linux 2.6.39
	}
	return time.Duration(ts.Nano())
}

// Reset replaces the state with the keys of all duties.
func (t *Candidate) Reset(items []kv.Item) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.holder, t.lastHolder, t.synced = kv.Item{}, kv.Item{}, true
	t.apply(items)
}

// Apply applies changes of the keys of duties.
func (t *Candidate) Apply(events []kv.Item) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.apply(events)
}

func (t *Candidate) apply(events []kv.Item) {
	for _, e := range events {
		target := &t.holder
		switch e.Key {
		case t.key:
		case t.key + lastHolderSuffix:
			target = &t.lastHolder
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

// Reachable implements kv.View. It does nothing: the holder stops at its
// deadline if it cannot reach the store.
func (t *Candidate) Reachable(bool) {}

// IsHolder reports whether the node holds the duty and its deadline has not passed.
func (t *Candidate) IsHolder() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.fence != 0 && t.clock() < t.deadline
}

// Fence returns the condition that the holder adds to its writes. Its revision
// is the fencing token.
func (t *Candidate) Fence() kv.Condition {
	t.mu.Lock()
	defer t.mu.Unlock()
	return kv.Condition{Key: t.key, Revision: t.fence}
}

// Run tries to take the duty until ctx ends, and calls whileHeld each time it has
// taken it. The context of whileHeld is canceled when the duty is lost.
func (t *Candidate) Run(ctx context.Context, whileHeld func(ctx context.Context, lease kv.LeaseID)) error {
	for ctx.Err() == nil {
		if !t.canAcquire() {
			kv.Sleep(ctx, pollInterval)
			continue
		}
		lease, ok := t.acquire(ctx)
		if !ok {
			kv.Sleep(ctx, pollInterval)
			continue
		}
		t.runAsHolder(ctx, lease, whileHeld)
	}
	return ctx.Err()
}

// canAcquire reports whether this node may try to take the duty.
func (t *Candidate) canAcquire() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if !t.synced || t.holder.Revision != 0 {
		return false
	}
	heldLast := t.lastHolder.Revision != 0 && string(t.lastHolder.Value) == t.lastHolderValue()
	return heldLast || t.heldUntil == 0 || t.clock() > t.heldUntil+t.reacquireGap+reacquireMargin
}

// lastHolderValue returns the value of the last holder's key while this node is
// the last holder.
func (t *Candidate) lastHolderValue() string { return t.node }

func (t *Candidate) acquire(ctx context.Context) (kv.LeaseID, bool) {
	sentAt := t.clock()
	lease, err := t.store.Grant(ctx, leaseTTL)
	if err != nil {
		t.log.Warn("duty: lease not granted", zap.String("reason", err.Error()))
		return 0, false
	}
	t.mu.Lock()
	last := t.lastHolder.Revision
	t.mu.Unlock()
	value := []byte(t.node + " " + strconv.FormatInt(int64(lease), 10))
	revision, err := t.store.Commit(ctx, kv.Txn{
		Conditions: []kv.Condition{{Key: t.key}, {Key: t.key + lastHolderSuffix, Revision: last}},
		Puts:       []kv.Put{{Key: t.key, Value: value, Lease: lease}, {Key: t.key + lastHolderSuffix, Value: []byte(t.lastHolderValue())}},
	})
	if err != nil && !errors.Is(err, kv.ErrRefused) {
		// The write may have been carried out: read the key to find out.
		item, _, getErr := t.store.Get(ctx, t.key)
		if getErr != nil || string(item.Value) != string(value) {
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
	t.deadline = sentAt + leaseTTL - leaseMargin
	t.heldUntil = t.deadline
	t.mu.Unlock()
	t.log.Info("duty: taken", zap.Int64("fence", int64(revision)))
	return lease, true
}

// runAsHolder runs whileHeld and renews the lease until the duty is lost or ctx
// ends.
func (t *Candidate) runAsHolder(ctx context.Context, lease kv.LeaseID, whileHeld func(ctx context.Context, lease kv.LeaseID)) {
	holdCtx, cancel := context.WithCancel(ctx)
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		whileHeld(holdCtx, lease)
	}()
	reason := t.renewLoop(ctx, holdCtx, lease)
	cancel()
	<-ended
	t.mu.Lock()
	t.fence, t.deadline = 0, 0
	t.mu.Unlock()
	t.log.Info("duty: no longer held", zap.String("reason", reason))
	if ctx.Err() != nil {
		t.revokeLease(lease)
	}
}

// renewLoop renews the lease until the duty is lost or ctx ends, and returns the
// reason for the end.
func (t *Candidate) renewLoop(ctx, holdCtx context.Context, lease kv.LeaseID) string {
	expired := make(chan struct{}, 1)
	for {
		kv.Sleep(ctx, renewInterval)
		select {
		case <-expired:
			return "the lease has ended"
		default:
		}
		switch {
		case ctx.Err() != nil:
			return "stopped"
		case t.superseded():
			return "another node holds it"
		}
		go t.renew(holdCtx, lease, expired)
	}
}

// renew sends one renewal of the lease. It signals expired if the lease no longer
// exists.
func (t *Candidate) renew(ctx context.Context, lease kv.LeaseID, expired chan<- struct{}) {
	sentAt := t.clock()
	err := t.store.KeepAlive(ctx, lease)
	switch {
	case err == nil:
		t.extendDeadline(lease, sentAt)
	case errors.Is(err, kv.ErrNotFound):
		select {
		case expired <- struct{}{}:
		default:
		}
	case ctx.Err() == nil:
		t.log.Warn("duty: lease renewal failed", zap.String("reason", err.Error()))
	}
}

// extendDeadline extends the holder's deadline after a renewal that was sent at
// sentAt. It ignores replies that belong to an earlier hold or that arrive after
// the reply to a later renewal.
func (t *Candidate) extendDeadline(lease kv.LeaseID, sentAt time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if end := sentAt + leaseTTL - leaseMargin; t.fence != 0 && t.lease == lease && end > t.deadline {
		t.deadline = end
		t.heldUntil = end
	}
}

// superseded reports whether the watched keys show a later holder.
func (t *Candidate) superseded() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.holder.Revision > t.fence || t.lastHolder.Revision > t.fence
}

// revokeLease revokes the lease, so that the next holder need not wait for it to
// expire.
func (t *Candidate) revokeLease(lease kv.LeaseID) {
	ctx, cancel := context.WithTimeout(context.Background(), renewInterval)
	defer cancel()
	if err := t.store.Revoke(ctx, lease); err != nil {
		t.log.Warn("duty: lease not revoked", zap.String("reason", err.Error()))
	}
}
