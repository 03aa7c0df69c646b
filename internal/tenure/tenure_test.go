package tenure

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

// holderGap is the least time between two holds of one node with another
// holder between them, as deployments state it.
const holderGap = 3 * time.Second

// seeds returns how many runs to make: few in CI, more by SOAK_STEPS.
func seeds() uint64 {
	if n, err := strconv.Atoi(os.Getenv("SOAK_STEPS")); err == nil {
		return uint64(max(20, n/1000))
	}
	return 40
}

// act is what a holder did.
type act struct {
	node  string
	fence kv.Revision
	at    time.Time
}

// TestSoakOneHolder asserts under random failures of the store and of links
// that no two nodes may act at the same moment, that fencing tokens grow with
// each holder, and that a duty does not return to a node too soon.
func TestSoakOneHolder(t *testing.T) {
	for seed := range seeds() {
		t.Run(fmt.Sprintf("seed-%d", seed), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) { play(t, seed) })
		})
	}
}

func play(t *testing.T, seed uint64) {
	random := rand.New(rand.NewPCG(seed, 1))
	store := kvtest.New(seed, kvtest.Faults{Slow: 40 * time.Millisecond})
	ctx, cancel := context.WithCancel(t.Context())
	start := time.Now()
	var nodes []*Tenure
	var clients []*kvtest.Client
	for i := range 3 {
		client := store.Client()
		n := New(client, "orders", fmt.Sprintf("node-%d", i), holderGap, zap.NewNop())
		n.clock = func() time.Duration { return time.Since(start) }
		nodes = append(nodes, n)
		clients = append(clients, client)
		go func() { _ = kv.NewFollower(client, Prefix, 0, n, zap.NewNop()).Run(ctx) }()
		go func() { _ = n.Run(ctx, func(ctx context.Context, _ kv.LeaseID) { <-ctx.Done() }) }()
	}
	var acts []act
	for range 6000 {
		time.Sleep(10 * time.Millisecond)
		if random.IntN(150) == 0 {
			clients[random.IntN(len(clients))].Cut(random.IntN(2) == 0)
		}
		if random.IntN(300) == 0 {
			store.SetFaults(kvtest.Faults{
				Refused: random.Float64() * 0.5, Lost: random.Float64() * 0.3, Late: random.Float64() * 0.2,
				Slow: time.Duration(random.IntN(300)) * time.Millisecond,
			})
		}
		valid := 0
		for _, n := range nodes {
			if n.Valid() {
				valid++
				acts = append(acts, act{n.me, n.Fence().Revision, time.Now()})
			}
		}
		require.LessOrEqual(t, valid, 1, "two nodes may act at %s", time.Since(start))
	}
	cancel()
	time.Sleep(time.Minute) // leases, late writes and the nodes end
	requireOrder(t, acts)
	require.NotEmpty(t, acts)
}

func requireOrder(t *testing.T, acts []act) {
	t.Helper()
	last := map[string]time.Time{}
	for i := 1; i < len(acts); i++ {
		before, now := acts[i-1], acts[i]
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

// TestFrozenHolder asserts that a holder whose machine stood still may not act
// when it wakes, though the answer to its renewal was on the way.
func TestFrozenHolder(t *testing.T) {
	now := time.Minute
	n := New(kvtest.New(1, kvtest.Faults{}).Client(), "orders", "a", holderGap, zap.NewNop())
	n.clock = func() time.Duration { return now }
	n.Reset(nil)
	lease, ok := n.acquire(t.Context())
	require.True(t, ok)
	require.True(t, n.Valid())
	sentAt := now
	now += ttl + time.Second // the machine stands still after the renewal left
	n.extend(lease, sentAt)
	require.False(t, n.Valid())
}

// deafKeeps is a store that loses the answers to every second renewal.
type deafKeeps struct {
	kv.Store
	keeps atomic.Int64
}

func (s *deafKeeps) Keep(ctx context.Context, lease kv.LeaseID) error {
	err := s.Store.Keep(ctx, lease)
	if s.keeps.Add(1)%2 == 1 {
		<-ctx.Done()
		return kv.ErrUnknown
	}
	return err
}

// TestLostAnswersToRenewals asserts that a holder keeps the duty while some
// answers of the store are lost.
func TestLostAnswersToRenewals(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		start := time.Now()
		store := &deafKeeps{Store: kvtest.New(1, kvtest.Faults{}).Client()}
		n := New(store, "orders", "a", holderGap, zap.NewNop())
		n.clock = func() time.Duration { return time.Since(start) }
		n.Reset(nil)
		terms := 0
		ended := make(chan struct{})
		go func() {
			defer close(ended)
			_ = n.Run(ctx, func(ctx context.Context, _ kv.LeaseID) { terms++; <-ctx.Done() })
		}()
		time.Sleep(renewEvery / 2)
		for range 100 {
			require.True(t, n.Valid())
			time.Sleep(renewEvery / 2)
		}
		cancel()
		<-ended
		require.Equal(t, 1, terms)
	})
}
