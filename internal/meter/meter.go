// Package meter counts the requests that began to run, by customer and usage
// window, and reports each window to the platform once.
package meter

import (
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"sync"
	"time"

	"cactusspoke/internal/kv"

	"go.uber.org/zap"
)

// countPrefix is where entry instances write their counts of a window.
const countPrefix = "usage/count/"

const (
	// flushSpread spreads the writes of many instances after a window's end.
	flushSpread = 800 * time.Millisecond
	// flushTimeout bounds the last write of an instance that stops.
	flushTimeout = time.Second
	// few is up to how many instances the counts of one are a part of the whole
	// that matters: then each also writes in the middle of a window, so that
	// less is lost when it is killed.
	few = 12
)

// Meter counts the requests of one instance.
type Meter struct {
	store  kv.Store
	node   string
	window time.Duration
	log    *zap.Logger
	// instances returns how many instances count.
	instances func() int

	mu      sync.Mutex
	windows map[int64]*tally
}

type tally struct {
	counts map[string]int64
	dirty  bool
}

// New returns a meter. node must differ between incarnations.
func New(store kv.Store, node string, window time.Duration, instances func() int, log *zap.Logger) *Meter {
	return &Meter{store: store, node: node, window: window, instances: instances, log: log, windows: map[int64]*tally{}}
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
		kv.Sleep(ctx, m.untilFlush(time.Now()))
		m.flush(ctx)
	}
	last, cancel := context.WithTimeout(context.Background(), flushTimeout)
	defer cancel()
	m.flush(last)
	return ctx.Err()
}

// untilFlush returns how long to wait for the next write: until shortly after
// the end of a window or, among few instances, its middle.
func (m *Meter) untilFlush(now time.Time) time.Duration {
	period := m.window
	if m.instances() <= few {
		period /= 2
	}
	into := time.Duration(now.UnixNano() % int64(period))
	return period - into + rand.N(min(flushSpread, period/4))
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
