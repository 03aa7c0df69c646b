package kv_test

import (
	"context"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"cactusspoke/internal/kv"
	"cactusspoke/internal/kv/kvtest"

	"github.com/stretchr/testify/require"
	"go.uber.org/zap"
)

// silentStore is a store that is silent for a while: calls that reach it then, and responses
// that it would send then, are lost for good.
type silentStore struct {
	kv.Store
	mu     sync.Mutex
	silent bool
}

func (s *silentStore) setSilent(silent bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.silent = silent
}

// flight is how long a call takes to reach the store.
const flight = 2 * time.Millisecond

// callTimeout is how long the platform's client waits for a response, in addition to the wait
// that a watch asks for.
const callTimeout = 1500 * time.Millisecond

// lost waits for the end of a call that is lost, if the store is silent after flight.
func (s *silentStore) lost(ctx context.Context) bool {
	kv.Sleep(ctx, flight)
	s.mu.Lock()
	silent := s.silent
	s.mu.Unlock()
	if silent {
		<-ctx.Done()
	}
	return silent
}

func (s *silentStore) Range(ctx context.Context, prefix, after string) (kv.Page, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	if s.lost(ctx) {
		return kv.Page{}, kv.ErrOutcomeUnknown
	}
	return s.Store.Range(ctx, prefix, after)
}

func (s *silentStore) Watch(ctx context.Context, prefix string, after kv.Revision, wait time.Duration) ([]kv.Item, kv.Revision, error) {
	ctx, cancel := context.WithTimeout(ctx, wait+callTimeout)
	defer cancel()
	if s.lost(ctx) {
		return nil, 0, kv.ErrOutcomeUnknown
	}
	events, at, err := s.Store.Watch(ctx, prefix, after, wait)
	if s.lost(ctx) {
		return nil, 0, kv.ErrOutcomeUnknown
	}
	return events, at, err
}

func (s *silentStore) KeepAlive(ctx context.Context, lease kv.LeaseID) error {
	if s.lost(ctx) {
		return kv.ErrOutcomeUnknown
	}
	return s.Store.KeepAlive(ctx, lease)
}

func (s *silentStore) Grant(ctx context.Context, ttl time.Duration) (kv.LeaseID, error) {
	if s.lost(ctx) {
		return 0, kv.ErrOutcomeUnknown
	}
	return s.Store.Grant(ctx, ttl)
}

// TestChangesAfterSilence guards against a watch that waits for half a minute for a response
// that was lost while the store was silent: changes must be seen soon after its return.
func TestChangesAfterSilence(t *testing.T) {
	// calmTime is how long the store has to respond normally before its changes must be visible.
	const calmTime = 3 * time.Second
	tests := []struct {
		name    string
		length  time.Duration
		between time.Duration
		count   int
		// changeBefore means that the view's prefix changes as a silence begins, so that the
		// watch is sent again within it, and changeWithin that its response is lost.
		changeBefore, changeWithin bool
	}{
		{"the watch is sent in it", 3 * time.Second, 0, 1, true, false},
		{"the response to the watch is lost in it", 3 * time.Second, 0, 1, false, true},
		{"short", 700 * time.Millisecond, 0, 1, true, false},
		{"short, the response is lost", 700 * time.Millisecond, 0, 1, false, true},
		{"very short, the watch is sent in it", 50 * time.Millisecond, 0, 1, true, false},
		{"several", 700 * time.Millisecond, 400 * time.Millisecond, 7, true, true},
		{"in quick succession", 320 * time.Millisecond, 90 * time.Millisecond, 20, true, true},
		{"none", 0, 0, 1, true, true},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				ctx, cancel := context.WithCancel(t.Context())
				client := kvtest.New(1, kvtest.Faults{}).Client()
				put := func(value string) {
					_, err := client.Commit(ctx, kv.Txn{Puts: []kv.Put{{Key: "op/config", Value: []byte(value)}}})
					require.NoError(t, err)
				}
				store := &silentStore{Store: client}
				probed := kv.NewProbedStore(store, store, zap.NewNop())
				view := &mirror{}
				go func() { _ = probed.Run(ctx) }()
				go func() { _ = kv.NewFollower(probed, "op/", 0, view, zap.NewNop()).Run(ctx) }()
				put("first")
				time.Sleep(5 * time.Second)
				for range tt.count {
					if tt.changeBefore {
						put("before")
						time.Sleep(flight + flight/2) // the response arrives, the next watch does not yet
					}
					store.setSilent(tt.length > 0)
					time.Sleep(tt.length / 2)
					if tt.changeWithin {
						put("within")
					}
					time.Sleep(tt.length / 2)
					store.setSilent(false)
					time.Sleep(tt.between)
				}
				put("after")
				time.Sleep(calmTime)
				require.Equal(t, "after", view.value("op/config"))
				resets := view.resetCount()
				time.Sleep(20 * time.Second)
				require.Equal(t, resets, view.resetCount(), "watches are ended while the store is sound")
				cancel()
				time.Sleep(time.Minute)
			})
		})
	}
}

// TestProbesOfSlowStore asserts that a store which is slow, refuses calls or forgets leases is
// not taken for a silent one.
func TestProbesOfSlowStore(t *testing.T) {
	tests := []struct {
		name  string
		renew func(ctx context.Context, n int) error
	}{
		{"slow", func(ctx context.Context, _ int) error { kv.Sleep(ctx, 600*time.Millisecond); return nil }},
		{"overloaded for seconds", func(ctx context.Context, n int) error {
			kv.Sleep(ctx, overloadedCall(n))
			return ctx.Err()
		}},
		{"refuses", func(_ context.Context, n int) error {
			if n%3 == 0 {
				return nil
			}
			return kv.ErrRefused
		}},
		{"forgets leases", func(context.Context, int) error { return kv.ErrNotFound }},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				ctx, cancel := context.WithCancel(t.Context())
				client := kvtest.New(1, kvtest.Faults{}).Client()
				renewals := &scriptedRenewals{Store: client, renew: tt.renew}
				probed := kv.NewProbedStore(client, renewals, zap.NewNop())
				view := &mirror{}
				go func() { _ = probed.Run(ctx) }()
				go func() { _ = kv.NewFollower(probed, "op/", 0, view, zap.NewNop()).Run(ctx) }()
				time.Sleep(25 * time.Second)
				require.Equal(t, 1, view.resetCount())
				cancel()
				time.Sleep(time.Minute)
			})
		})
	}
}

// overloadedCall returns how long the nth of a row of calls takes while a store becomes ever
// slower, up to 1.4 s, and recovers again, as a queue in it grows and shrinks.
func overloadedCall(n int) time.Duration {
	const slowest, period = 1400 * time.Millisecond, 16 // calls
	rise := n % period
	return slowest * time.Duration(min(rise, period-rise)) / (period / 2)
}

// TestProbesOfErraticStore checks that a store which loses every third call for a time gets the
// lists of its watches again at a bounded rate, not with each loss.
func TestProbesOfErraticStore(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const duration, perSecond = 20 * time.Second, 1
		ctx, cancel := context.WithCancel(t.Context())
		client := kvtest.New(1, kvtest.Faults{}).Client()
		renewals := &scriptedRenewals{Store: client, renew: func(ctx context.Context, n int) error {
			if n%3 == 0 {
				<-ctx.Done()
			}
			return ctx.Err()
		}}
		probed := kv.NewProbedStore(client, renewals, zap.NewNop())
		view := &mirror{}
		go func() { _ = probed.Run(ctx) }()
		go func() { _ = kv.NewFollower(probed, "op/", 0, view, zap.NewNop()).Run(ctx) }()
		time.Sleep(duration)
		require.LessOrEqual(t, view.resetCount(), 1+perSecond*int(duration/time.Second))
		cancel()
		time.Sleep(time.Minute)
	})
}

// scriptedRenewals is a store whose renewals are scripted by their number.
type scriptedRenewals struct {
	kv.Store
	mu    sync.Mutex
	n     int
	renew func(ctx context.Context, n int) error
}

func (s *scriptedRenewals) KeepAlive(ctx context.Context, _ kv.LeaseID) error {
	s.mu.Lock()
	s.n++
	n := s.n
	s.mu.Unlock()
	return s.renew(ctx, n)
}

// TestProbesWithLentLease checks that probes renew the lease they were lent, which may have
// expired, create none, and wait until there is one.
func TestProbesWithLentLease(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		client := kvtest.New(1, kvtest.Faults{}).Client()
		var lent atomic.Int64
		store := &silentStore{Store: client}
		probes := &scriptedRenewals{Store: store, renew: func(ctx context.Context, _ int) error {
			require.NotZero(t, lent.Load())
			return store.KeepAlive(ctx, kv.LeaseID(lent.Load()))
		}}
		probed := kv.NewProbedStore(store, probes, zap.NewNop())
		probed.UseLease(func() kv.LeaseID { return kv.LeaseID(lent.Load()) })
		view := &mirror{}
		go func() { _ = probed.Run(ctx) }()
		go func() { _ = kv.NewFollower(probed, "op/", 0, view, zap.NewNop()).Run(ctx) }()
		time.Sleep(time.Second)
		lent.Store(12345) // expired
		time.Sleep(time.Second)
		store.setSilent(true)
		_, err := client.Commit(ctx, kv.Txn{Puts: []kv.Put{{Key: "op/config", Value: []byte("new")}}})
		require.NoError(t, err)
		time.Sleep(700 * time.Millisecond)
		store.setSilent(false)
		time.Sleep(3 * time.Second)
		require.Equal(t, "new", view.value("op/config"))
		cancel()
		time.Sleep(time.Minute)
	})
}
