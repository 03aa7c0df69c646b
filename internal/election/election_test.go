package election

import (
	"context"
	"fmt"
	"math/rand/v2"
	"os"
	"strconv"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"cactusspoke/internal/kv"
	"cactusspoke/internal/kv/kvtest"

	"github.com/stretchr/testify/require"
	"go.uber.org/zap"
)

// holderGap is the minimum time between two holds of one node with another
// holder in between, as deployments configure it.
const holderGap = 3 * time.Second

// seedCount returns the number of seeds to run: 40 by default, or a number
// derived from SOAK_STEPS.
func seedCount() uint64 {
	if n, err := strconv.Atoi(os.Getenv("SOAK_STEPS")); err == nil {
		return uint64(max(20, n/1000))
	}
	return 40
}

// observation records that a node was the holder at a time.
type observation struct {
	node  string
	fence kv.Revision
	at    time.Time
}

// TestSoakOneHolder asserts under random store and network failures that at most
// one node holds the duty at a time, that the fencing token increases with each
// holder, and that a node does not take the duty again before holderGap, even if its
// process was restarted in between.
func TestSoakOneHolder(t *testing.T) {
	for seed := range seedCount() {
		t.Run(fmt.Sprintf("seed-%d", seed), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) { runSoak(t, seed) })
		})
	}
}

func runSoak(t *testing.T, seed uint64) {
	random := rand.New(rand.NewPCG(seed, 1))
	store := kvtest.New(seed, kvtest.Faults{MaxLatency: 40 * time.Millisecond})
	ctx, cancel := context.WithCancel(t.Context())
	start := time.Now()
	nodes := make([]*Candidate, 3)
	clients := make([]*kvtest.Client, len(nodes))
	crashes := make([]func(), len(nodes))
	startNode := func(i int) {
		clients[i] = store.Client()
		nodes[i], crashes[i] = startCandidate(ctx, clients[i], fmt.Sprintf("node-%d", i), start)
	}
	for i := range nodes {
		startNode(i)
	}
	var observations []observation
	for range 6000 {
		time.Sleep(10 * time.Millisecond)
		if random.IntN(150) == 0 {
			clients[random.IntN(len(clients))].SetDisconnected(random.IntN(2) == 0)
		}
		if random.IntN(200) == 0 {
			i := random.IntN(len(nodes))
			crashes[i]()
			startNode(i)
		}
		if random.IntN(300) == 0 {
			store.SetFaults(kvtest.Faults{
				RefusedRate: random.Float64() * 0.5, LostReplyRate: random.Float64() * 0.3, DelayedWriteRate: random.Float64() * 0.2,
				MaxLatency: time.Duration(random.IntN(300)) * time.Millisecond,
			})
		}
		holders := 0
		for _, n := range nodes {
			if n.IsHolder() {
				holders++
				observations = append(observations, observation{n.node, n.Fence().Revision, time.Now()})
			}
		}
		require.LessOrEqual(t, holders, 1, "two nodes may act at %s", time.Since(start))
	}
	cancel()
	time.Sleep(time.Minute) // leases expire, delayed writes finish and the nodes stop
	requireOrderedHolders(t, observations)
	require.NotEmpty(t, observations)
}

// startCandidate starts the process of a node. crash ends it without revoking its
// lease.
func startCandidate(ctx context.Context, client *kvtest.Client, name string, start time.Time) (n *Candidate, crash func()) {
	ctx, cancel := context.WithCancel(ctx)
	n = New(client, "orders", name, holderGap, zap.NewNop())
	n.clock = func() time.Duration { return time.Since(start) }
	go func() { _ = kv.NewFollower(client, Prefix, 0, n, zap.NewNop()).Run(ctx) }()
	go func() { _ = n.Run(ctx, func(ctx context.Context, _ kv.LeaseID) { <-ctx.Done() }) }()
	return n, func() {
		client.SetDisconnected(true)
		cancel()
	}
}

// TestRestartedHolder asserts that a node which held the duty, crashed and was
// restarted does not take it soon after another holder has crashed too: the
// platform would see the orders of A, B and A within the lease.
func TestRestartedHolder(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		start := time.Now()
		store := kvtest.New(1, kvtest.Faults{})
		a, crashA := startCandidate(ctx, store.Client(), "a", start)
		time.Sleep(time.Second)
		require.True(t, a.IsHolder())
		lastHeldByA := time.Now()
		crashA()
		b, crashB := startCandidate(ctx, store.Client(), "b", start)
		time.Sleep(leaseTTL + 200*time.Millisecond)
		require.True(t, b.IsHolder())
		crashB()
		a, _ = startCandidate(ctx, store.Client(), "a", start)
		for !a.IsHolder() {
			time.Sleep(10 * time.Millisecond)
			require.Less(t, time.Since(lastHeldByA), 10*holderGap)
		}
		require.Greater(t, time.Since(lastHeldByA), holderGap)
		cancel()
		time.Sleep(time.Minute)
	})
}

func requireOrderedHolders(t *testing.T, observations []observation) {
	t.Helper()
	last := map[string]time.Time{}
	for i := 1; i < len(observations); i++ {
		before, now := observations[i-1], observations[i]
		require.GreaterOrEqual(t, now.fence, before.fence)
		if now.node != before.node {
			require.Greater(t, now.fence, before.fence, "two holders with one token")
			if at, held := last[now.node]; held {
				require.Greater(t, now.at.Sub(at), holderGap, "%s held it, another did, and it again", now.node)
			}
		}
		last[now.node] = now.at
	}
}

// TestFrozenHolder asserts that a holder whose machine was suspended past the end
// of its lease does not act after it resumes, even if it then gets the reply to a
// renewal that it sent before.
func TestFrozenHolder(t *testing.T) {
	now := time.Minute
	n := New(kvtest.New(1, kvtest.Faults{}).Client(), "orders", "a", holderGap, zap.NewNop())
	n.clock = func() time.Duration { return now }
	n.Reset(nil)
	lease, ok := n.acquire(t.Context(), n.lastHolder)
	require.True(t, ok)
	require.True(t, n.IsHolder())
	sentAt := now
	now += leaseTTL + time.Second // the machine is suspended after it sent the renewal
	n.extendDeadline(lease, sentAt)
	require.False(t, n.IsHolder())
}

// lossyRenewals is a store that loses the reply to every second renewal.
type lossyRenewals struct {
	kv.Store
	renewals atomic.Int64
}

func (s *lossyRenewals) KeepAlive(ctx context.Context, lease kv.LeaseID) error {
	err := s.Store.KeepAlive(ctx, lease)
	if s.renewals.Add(1)%2 == 1 {
		<-ctx.Done()
		return kv.ErrOutcomeUnknown
	}
	return err
}

// TestLostAnswersToRenewals asserts that a holder keeps the duty while every
// second reply to a renewal is lost.
func TestLostAnswersToRenewals(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		start := time.Now()
		store := &lossyRenewals{Store: kvtest.New(1, kvtest.Faults{}).Client()}
		n := New(store, "orders", "a", holderGap, zap.NewNop())
		n.clock = func() time.Duration { return time.Since(start) }
		n.Reset(nil)
		holds := 0
		ended := make(chan struct{})
		go func() {
			defer close(ended)
			_ = n.Run(ctx, func(ctx context.Context, _ kv.LeaseID) { holds++; <-ctx.Done() })
		}()
		time.Sleep(renewInterval / 2)
		for range 100 {
			require.True(t, n.IsHolder())
			time.Sleep(renewInterval / 2)
		}
		cancel()
		<-ended
		require.Equal(t, 1, holds)
	})
}

// hookedGrant is a store that runs a function once before it grants a lease.
type hookedGrant struct {
	kv.Store
	before func()
}

func (s *hookedGrant) Grant(ctx context.Context, ttl time.Duration) (kv.LeaseID, error) {
	if before := s.before; before != nil {
		s.before = nil
		before()
	}
	return s.Store.Grant(ctx, ttl)
}

// TestHoldWhileLeaseIsGranted guards against a node that decides to take the duty as its last
// holder, and takes it although another node held it for a moment while the lease was granted.
func TestHoldWhileLeaseIsGranted(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		start := time.Now()
		client := kvtest.New(1, kvtest.Faults{}).Client()
		last := Prefix + "orders" + lastHolderSuffix
		put := func(value string) {
			_, err := client.Commit(ctx, kv.Txn{Puts: []kv.Put{{Key: last, Value: []byte(value)}}})
			require.NoError(t, err)
		}
		put("node-a")
		store := &hookedGrant{Store: client, before: func() {
			put("node-b node-a")
			time.Sleep(200 * time.Millisecond) // the watch of node-a catches up
		}}
		n := New(store, "orders", "node-a", holderGap, zap.NewNop())
		n.clock = func() time.Duration { return time.Since(start) + time.Hour }
		n.heldUntil = n.clock()
		go func() { _ = kv.NewFollower(client, Prefix, 0, n, zap.NewNop()).Run(ctx) }()
		go func() { _ = n.Run(ctx, func(ctx context.Context, _ kv.LeaseID) { <-ctx.Done() }) }()
		for time.Since(start) < holderGap {
			require.False(t, n.IsHolder(), "the duty was taken again after %s", time.Since(start))
			time.Sleep(10 * time.Millisecond)
		}
		time.Sleep(2 * time.Second)
		require.True(t, n.IsHolder())
		cancel()
		time.Sleep(time.Minute)
	})
}
