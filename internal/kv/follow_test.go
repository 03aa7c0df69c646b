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

// mirror is a view that holds the values of a prefix.
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

func (m *mirror) lists() int {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.resets
}

func (m *mirror) value(key string) string {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.values[key]
}

// deaf is a store whose watches miss what is written in a silent spell: they
// break, or time out empty, and tell of a revision after it.
type deaf struct {
	kv.Store
	mu     sync.Mutex
	silent bool
	breaks bool
}

func (d *deaf) set(silent bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.silent = silent
}

func (d *deaf) Watch(ctx context.Context, prefix string, after kv.Revision, wait time.Duration) ([]kv.Item, kv.Revision, error) {
	events, at, err := d.Store.Watch(ctx, prefix, after, wait)
	d.mu.Lock()
	silent := d.silent
	d.mu.Unlock()
	if !silent {
		return events, at, err
	}
	kv.Sleep(ctx, time.Second)
	if d.breaks {
		return nil, 0, kv.ErrUnknown
	}
	return nil, at, nil
}

// TestSilentGap asserts that a follower finds what its watch did not hear:
// history may be dropped while a watch is deaf.
func TestSilentGap(t *testing.T) {
	for _, breaks := range []bool{false, true} {
		synctest.Test(t, func(t *testing.T) {
			ctx, cancel := context.WithCancel(t.Context())
			client := kvtest.New(1, kvtest.Faults{}).Client()
			store := &deaf{Store: client, breaks: breaks}
			view := &mirror{}
			go func() { _ = kv.NewFollower(store, "op/", 0, view, zap.NewNop()).Run(ctx) }()
			time.Sleep(time.Second)
			store.set(true)
			_, err := client.Commit(ctx, kv.Txn{Puts: []kv.Put{{Key: "op/config", Value: []byte("new")}}})
			require.NoError(t, err)
			time.Sleep(1100 * time.Millisecond)
			store.set(false)
			time.Sleep(time.Second)
			require.Equal(t, "new", view.value("op/config"))
			cancel()
			time.Sleep(time.Minute)
		})
	}
}

// TestFollows asserts that a follower hears of every change, and lists anew
// now and then though nothing changes.
func TestFollows(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		client := kvtest.New(1, kvtest.Faults{Refused: 0.2}).Client()
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
		before := view.lists()
		time.Sleep(5 * time.Minute)
		require.Greater(t, view.lists(), before)
		cancel()
		time.Sleep(time.Minute)
	})
}
