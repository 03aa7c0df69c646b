// Package meter counts the requests that started to run by customer and usage
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
	"cactusspoke/internal/walltime"

	"go.uber.org/zap"
)

// countPrefix is the key prefix of the counts that each entry instance writes for
// a window.
const countPrefix = "usage/count/"

const (
	// flushJitter spreads the writes of the instances after the end of a window.
	flushJitter = 800 * time.Millisecond
	// finalFlushTimeout limits the last write of an instance that shuts down.
	finalFlushTimeout = time.Second
	// maxInstancesForHalfWindows is the largest number of instances that also
	// write in the middle of a window. The fewer the instances, the larger the
	// share of the counts that is lost when one is killed.
	maxInstancesForHalfWindows = 12
	// retainedWindows is how many past windows are kept after they are written.
	retainedWindows = 10
)

// Meter counts the requests of one instance.
type Meter struct {
	store       kv.Store
	incarnation string
	window      time.Duration
	log         *zap.Logger
	clock       *walltime.Clock
	// instanceCount returns the number of entry instances.
	instanceCount func() int

	mu      sync.Mutex
	windows map[int64]*windowCounts
}

type windowCounts struct {
	counts map[string]int64
	// dirty is set if the counts have changed since they were written.
	dirty bool
}

// New returns a meter. incarnation must be different each time the instance
// starts, so that it does not overwrite its earlier counts.
func New(store kv.Store, incarnation string, window time.Duration, instanceCount func() int, clock *walltime.Clock, log *zap.Logger) *Meter {
	return &Meter{clock: clock, store: store, incarnation: incarnation, window: window, instanceCount: instanceCount, log: log, windows: map[int64]*windowCounts{}}
}

// Count counts a request of a customer in the window in which it started to run.
// startedAt must have a monotonic reading.
func (m *Meter) Count(customer string, startedAt time.Time) {
	if customer == "" {
		return
	}
	id := m.clock.TimeOfDay(startedAt).UnixNano() / int64(m.window)
	m.mu.Lock()
	defer m.mu.Unlock()
	t, ok := m.windows[id]
	if !ok {
		t = &windowCounts{counts: map[string]int64{}}
		m.windows[id] = t
	}
	t.counts[customer]++
	t.dirty = true
}

// Run writes the counts periodically until ctx ends, and then once more.
func (m *Meter) Run(ctx context.Context) error {
	for ctx.Err() == nil {
		kv.Sleep(ctx, m.timeToFlush(m.clock.Now()))
		m.flush(ctx)
	}
	last, cancel := context.WithTimeout(context.Background(), finalFlushTimeout)
	defer cancel()
	m.flush(last)
	return ctx.Err()
}

// timeToFlush returns the time until the next write, which is shortly after the
// end of a window or, with few instances, also after its middle.
func (m *Meter) timeToFlush(now time.Time) time.Duration {
	period := m.window
	if m.instanceCount() <= maxInstancesForHalfWindows {
		period /= 2
	}
	elapsed := time.Duration(now.UnixNano() % int64(period))
	return period - elapsed + rand.N(min(flushJitter, period/4))
}

func (m *Meter) flush(ctx context.Context) {
	var puts []kv.Put
	var ids []int64
	current := m.clock.Now().UnixNano() / int64(m.window)
	m.mu.Lock()
	for id, t := range m.windows {
		if !t.dirty {
			if id < current-retainedWindows {
				delete(m.windows, id)
			}
			continue
		}
		data, err := json.Marshal(t.counts)
		if err != nil {
			panic(err) // a map of strings to integers can always be encoded
		}
		puts = append(puts, kv.Put{Key: countKey(id, m.incarnation), Value: data})
		ids = append(ids, id)
		t.dirty = false
	}
	m.mu.Unlock()
	if len(puts) == 0 {
		return
	}
	if _, err := m.store.Commit(ctx, kv.Txn{Puts: puts}); err != nil {
		m.log.Warn("usage: cannot write counts, will retry", zap.String("reason", err.Error()))
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

func countKey(id int64, incarnation string) string { return windowPrefix(id) + incarnation }
