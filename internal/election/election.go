// Package election elects the holder of a duty, which is work that at most one
// node does at a time. The holder's key in the platform's store is bound to a
// lease. The fencing token is the revision of the write that created the key, so
// it increases with each holder. The holder stops at a deadline on its own
// clock, counted from before it sent the last successful renewal.
package election

import (
	"context"
	"errors"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"cactusspoke/internal/kv"

	"go.uber.org/zap"
	"golang.org/x/sys/unix"
)

const (
	// Prefix is the key prefix of duties, below the watched prefix.
	Prefix           = "cluster/duty/"
	lastHolderSuffix = "/last" // the key with this suffix names the recent holders, the last one first

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
	// maxRememberedHolders is how many recent holders the store names. A node that is
	// not among them has not held the duty lately.
	maxRememberedHolders = 8
	// reacquireMargin is added to the time that a former holder waits before it
	// takes the duty again after another node.
	reacquireMargin = 500 * time.Millisecond
)

// Candidate competes for a duty on behalf of a node. While the node holds the
// duty, it has the holder's lease and fencing token.
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
	startedAt  time.Duration
}

// New returns a candidate for a duty. reacquireGap is the minimum time between two
// holds of one node if another node held the duty in between.
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
func (c *Candidate) Reset(items []kv.Item) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.holder, c.lastHolder, c.synced = kv.Item{}, kv.Item{}, true
	c.apply(items)
}

// Apply applies changes of the keys of duties.
func (c *Candidate) Apply(events []kv.Item) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.apply(events)
}

func (c *Candidate) apply(events []kv.Item) {
	for _, e := range events {
		target := &c.holder
		switch e.Key {
		case c.key:
		case c.key + lastHolderSuffix:
			target = &c.lastHolder
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
func (c *Candidate) Reachable(bool) {}

// IsHolder reports whether the node holds the duty and its deadline has not passed.
func (c *Candidate) IsHolder() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.fence != 0 && c.clock() < c.deadline
}

// Fence returns the condition that the holder adds to its writes. Its revision
// is the fencing token.
func (c *Candidate) Fence() kv.Condition {
	c.mu.Lock()
	defer c.mu.Unlock()
	return kv.Condition{Key: c.key, Revision: c.fence}
}

// Run tries to take the duty until ctx ends, and calls whileHeld each time it has
// taken it. The context of whileHeld is canceled when the duty is lost.
func (c *Candidate) Run(ctx context.Context, whileHeld func(ctx context.Context, lease kv.LeaseID)) error {
	c.mu.Lock()
	c.startedAt = c.clock()
	c.mu.Unlock()
	for ctx.Err() == nil {
		last, ok := c.canAcquire()
		if !ok {
			kv.Sleep(ctx, pollInterval)
			continue
		}
		lease, ok := c.acquire(ctx, last)
		if !ok {
			kv.Sleep(ctx, pollInterval)
			continue
		}
		c.runAsHolder(ctx, lease, whileHeld)
	}
	return ctx.Err()
}

// canAcquire reports whether this node may try to take the duty, and the last holder's key that
// it decided by. A restarted process has no record of when its machine last held the duty, so it
// counts from its own start.
func (c *Candidate) canAcquire() (last kv.Item, ok bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.synced || c.holder.Revision != 0 {
		return kv.Item{}, false
	}
	holders := recentHolders(c.lastHolder)
	if len(holders) > 0 && holders[0] == c.node {
		return c.lastHolder, true
	}
	heldUntil := c.heldUntil
	if heldUntil == 0 {
		if !slices.Contains(holders, c.node) {
			return c.lastHolder, true
		}
		heldUntil = c.startedAt
	}
	return c.lastHolder, c.clock() > heldUntil+c.reacquireGap+reacquireMargin
}

// recentHolders returns the names in the last holder's key, the last holder first.
func recentHolders(last kv.Item) []string { return strings.Fields(string(last.Value)) }

// nextHolders returns the value of the last holder's key once this node has taken the
// duty.
func nextHolders(node string, recent []string) []byte {
	names := []string{node}
	for _, name := range recent {
		if name != node && len(names) < maxRememberedHolders {
			names = append(names, name)
		}
	}
	return []byte(strings.Join(names, " "))
}

// acquire takes the duty unless another node has held it since last was read: whether this node
// may take it was decided by that.
func (c *Candidate) acquire(ctx context.Context, last kv.Item) (kv.LeaseID, bool) {
	sentAt := c.clock()
	lease, err := c.store.Grant(ctx, leaseTTL)
	if err != nil {
		c.log.Warn("duty: lease not granted", zap.String("reason", err.Error()))
		return 0, false
	}
	holders := nextHolders(c.node, recentHolders(last))
	value := []byte(c.node + " " + strconv.FormatInt(int64(lease), 10))
	revision, err := c.store.Commit(ctx, kv.Txn{
		Conditions: []kv.Condition{{Key: c.key}, {Key: c.key + lastHolderSuffix, Revision: last.Revision}},
		Puts:       []kv.Put{{Key: c.key, Value: value, Lease: lease}, {Key: c.key + lastHolderSuffix, Value: holders}},
	})
	if err != nil && !errors.Is(err, kv.ErrRefused) {
		// The write may have been carried out: read the key to find out.
		item, _, getErr := c.store.Get(ctx, c.key)
		if getErr != nil || string(item.Value) != string(value) {
			return 0, false
		}
		revision, err = item.Revision, nil
	}
	if err != nil {
		return 0, false
	}
	c.mu.Lock()
	c.fence = revision
	c.lease = lease
	c.deadline = sentAt + leaseTTL - leaseMargin
	c.heldUntil = c.deadline
	c.mu.Unlock()
	c.log.Info("duty: taken", zap.Int64("fence", int64(revision)))
	return lease, true
}

// runAsHolder runs whileHeld and renews the lease until the duty is lost or ctx
// ends.
func (c *Candidate) runAsHolder(ctx context.Context, lease kv.LeaseID, whileHeld func(ctx context.Context, lease kv.LeaseID)) {
	holdCtx, cancel := context.WithCancel(ctx)
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		whileHeld(holdCtx, lease)
	}()
	reason := c.renewLoop(ctx, holdCtx, lease)
	cancel()
	<-ended
	c.mu.Lock()
	c.fence, c.deadline = 0, 0
	c.mu.Unlock()
	c.log.Info("duty: no longer held", zap.String("reason", reason))
	if ctx.Err() != nil {
		c.revokeLease(lease)
	}
}

// renewLoop renews the lease until the duty is lost or ctx ends, and returns the
// reason for the end.
func (c *Candidate) renewLoop(ctx, holdCtx context.Context, lease kv.LeaseID) string {
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
		case c.superseded():
			return "another node holds it"
		}
		go c.renew(holdCtx, lease, expired)
	}
}

// renew sends one renewal of the lease. It signals expired if the lease no longer
// exists.
func (c *Candidate) renew(ctx context.Context, lease kv.LeaseID, expired chan<- struct{}) {
	sentAt := c.clock()
	err := c.store.KeepAlive(ctx, lease)
	switch {
	case err == nil:
		c.extendDeadline(lease, sentAt)
	case errors.Is(err, kv.ErrNotFound):
		select {
		case expired <- struct{}{}:
		default:
		}
	case ctx.Err() == nil:
		c.log.Warn("duty: lease renewal failed", zap.String("reason", err.Error()))
	}
}

// extendDeadline extends the holder's deadline after a renewal that was sent at
// sentAt. It ignores replies that belong to an earlier hold or that arrive after
// the reply to a later renewal.
func (c *Candidate) extendDeadline(lease kv.LeaseID, sentAt time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if end := sentAt + leaseTTL - leaseMargin; c.fence != 0 && c.lease == lease && end > c.deadline {
		c.deadline = end
		c.heldUntil = end
	}
}

// superseded reports whether the watched keys show a later holder.
func (c *Candidate) superseded() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.holder.Revision > c.fence || c.lastHolder.Revision > c.fence
}

// revokeLease revokes the lease, so that the next holder need not wait for it to
// expire.
func (c *Candidate) revokeLease(lease kv.LeaseID) {
	ctx, cancel := context.WithTimeout(context.Background(), renewInterval)
	defer cancel()
	if err := c.store.Revoke(ctx, lease); err != nil {
		c.log.Warn("duty: lease not revoked", zap.String("reason", err.Error()))
	}
}
