package kv_test

import (
	"context"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"cactusspoke/internal/kv"
	"cactusspoke/internal/kv/kvtest"

	"github.com/stretchr/testify/require"
	"go.uber.org/zap"
)

// mirror is a view that stores the values of a prefix.
type mirror struct {
	mu     sync.Mutex
	values map[string]string
	resets int
}

func (m *mirror) Reset(items []kv.Item) {
	m.mu.Lock()
	m.values = map[string]string{}
	m.resets++
	m.mu.Unlock()
	m.Apply(items)
}

func (m *mirror) Apply(events []kv.Item) {
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, e := range events {
		if e.Deleted {
			delete(m.values, e.Key)
		} else {
			m.values[e.Key] = string(e.Value)
		}
	}
}

func (m *mirror) Reachable(bool) {}

func (m *mirror) resetCount() int {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.resets
}

func (m *mirror) value(key string) string {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.values[key]
}

// lossyWatches is a store whose watches miss the events of a period: they fail,
// or time out empty and return a revision after the missed events.
type lossyWatches struct {
	kv.Store
	mu    sync.Mutex
	lossy bool
	fails bool
}

func (s *lossyWatches) setLossy(lossy bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.lossy = lossy
}

func (s *lossyWatches) Watch(ctx context.Context, prefix string, after kv.Revision, wait time.Duration) ([]kv.Item, kv.Revision, error) {
	events, at, err := s.Store.Watch(ctx, prefix, after, wait)
	s.mu.Lock()
	lossy := s.lossy
	s.mu.Unlock()
	if !lossy {
		return events, at, err
	}
	kv.Sleep(ctx, time.Second)
	if s.fails {
		return nil, 0, kv.ErrOutcomeUnknown
	}
	return nil, at, nil
}

// TestSilentGap asserts that a follower finds a change that its watch missed, as
// happens if the store drops the event from its history before a watch sees it.
func TestSilentGap(t *testing.T) {
	for _, fails := range []bool{false, true} {
		synctest.Test(t, func(t *testing.T) {
			ctx, cancel := context.WithCancel(t.Context())
			client := kvtest.New(1, kvtest.Faults{}).Client()
			store := &lossyWatches{Store: client, fails: fails}
			view := &mirror{}
			go func() { _ = kv.NewFollower(store, "op/", 0, view, zap.NewNop()).Run(ctx) }()
			time.Sleep(time.Second)
			store.setLossy(true)
			_, err := client.Commit(ctx, kv.Txn{Puts: []kv.Put{{Key: "op/config", Value: []byte("new")}}})
			require.NoError(t, err)
			time.Sleep(1100 * time.Millisecond)
			store.setLossy(false)
			time.Sleep(time.Second)
			require.Equal(t, "new", view.value("op/config"))
			cancel()
			time.Sleep(time.Minute)
		})
	}
}

// TestFollows asserts that a follower applies every change, and that it lists the
// prefix again periodically even if nothing changes.
func TestFollows(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		client := kvtest.New(1, kvtest.Faults{RefusedRate: 0.2}).Client()
		view := &mirror{}
		go func() { _ = kv.NewFollower(client, "op/", 0, view, zap.NewNop()).Run(ctx) }()
		for i := range 50 {
			value := []byte{byte('a' + i%26)}
			for {
				if _, err := client.Commit(ctx, kv.Txn{Puts: []kv.Put{{Key: "op/k", Value: value}}}); err == nil {
					break
				}
			}
			time.Sleep(2 * time.Second)
			require.Equal(t, string(value), view.value("op/k"))
		}
		before := view.resetCount()
		time.Sleep(5 * time.Minute)
		require.Greater(t, view.resetCount(), before)
		cancel()
		time.Sleep(time.Minute)
	})
}
