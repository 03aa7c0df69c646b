// Package meter counts the requests that began to run, by customer and usage
// window, and reports each window to the platform once.
package meter

import (
	"context"
	"encoding/json"
	"fmt"
	"sync"
	"time"

	"cactusspoke/internal/kv"

	"go.uber.org/zap"
)

// countPrefix is where entry instances write their counts of a window.
const countPrefix = "usage/count/"

// flushEvery is how often an instance writes counts that changed; a killed
// instance loses at most the counts of that time.
const flushEvery = 2 * time.Second

// Meter counts the requests of one instance.
type Meter struct {
	store  kv.Store
	node   string
	window time.Duration
	log    *zap.Logger

	mu      sync.Mutex
	windows map[int64]*tally
}

type tally struct {
	counts map[string]int64
	dirty  bool
}

// New returns a meter. node must differ between incarnations.
func New(store kv.Store, node string, window time.Duration, log *zap.Logger) *Meter {
	return &Meter{store: store, node: node, window: window, log: log, windows: map[int64]*tally{}}
}

// Count notes that a request of a customer began to run.
func (m *Meter) Count(customer string, began time.Time) {
	if customer == "" {
		return
	}
	id := began.UnixNano() / int64(m.window)
	m.mu.Lock()
	defer m.mu.Unlock()
	t, ok := m.windows[id]
	if !ok {
		t = &tally{counts: map[string]int64{}}
		m.windows[id] = t
	}
	t.counts[customer]++
	t.dirty = true
}

// Run writes counts until the context ends, and then once more.
func (m *Meter) Run(ctx context.Context) error {
	for ctx.Err() == nil {
		kv.Sleep(ctx, flushEvery)
		m.flush(ctx)
	}
	last, cancel := context.WithTimeout(context.Background(), flushEvery)
	defer cancel()
	m.flush(last)
	return ctx.Err()
}

func (m *Meter) flush(ctx context.Context) {
	var puts []kv.Put
	var ids []int64
	now := time.Now().UnixNano() / int64(m.window)
	m.mu.Lock()
	for id, t := range m.windows {
		if !t.dirty {
			if id < now-10 {
				delete(m.windows, id)
			}
			continue
		}
		data, err := json.Marshal(t.counts)
		if err != nil {
			panic(err) // a map of strings to numbers always has a JSON form
		}
		puts = append(puts, kv.Put{Key: countKey(id, m.node), Value: data})
		ids = append(ids, id)
		t.dirty = false
	}
	m.mu.Unlock()
	if len(puts) == 0 {
		return
	}
	if _, err := m.store.Commit(ctx, kv.Txn{Puts: puts}); err != nil {
		m.log.Warn("usage: counts not written yet", zap.String("reason", err.Error()))
		m.mu.Lock()
		for _, id := range ids {
			if t, ok := m.windows[id]; ok {
				t.dirty = true
			}
		}
		m.mu.Unlock()
	}
}

func windowPrefix(id int64) string { return fmt.Sprintf("%s%d/", countPrefix, id) }

func countKey(id int64, node string) string { return windowPrefix(id) + node }
