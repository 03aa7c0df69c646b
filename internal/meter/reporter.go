package meter

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"time"

	"cactusspoke/internal/kv"

	"go.uber.org/zap"
)

const (
	// sealedPrefix is where the figures of a window are fixed before the first
	// report of it.
	sealedPrefix = "usage/sealed/"
	// settleAfter is how long after its end a window is sealed: entry instances
	// have written their last counts by then.
	settleAfter = flushSpread + 1500*time.Millisecond
	// sweepMost is how many counts the sealing write removes; the store takes 32
	// entries a write.
	sweepMost = 28
	// reportPause is the pause between two looks at what is due.
	reportPause = 500 * time.Millisecond
)

// Send reports one window and returns the status of the answer.
type Send func(ctx context.Context, window int64, counts map[string]int64, fence int64) (int, error)

// Reporter reports usage windows while it holds the duty.
type Reporter struct {
	store  kv.Store
	window time.Duration
	due    time.Duration
	send   Send
	valid  func() bool
	fence  kv.Condition
	log    *zap.Logger
	done   map[int64]bool
}

// NewReporter returns the reporter of a holder. valid is asked right before
// each report.
func NewReporter(store kv.Store, window, due time.Duration, send Send, valid func() bool, fence kv.Condition, log *zap.Logger) *Reporter {
	return &Reporter{store: store, window: window, due: due, send: send, valid: valid, fence: fence, log: log, done: map[int64]bool{}}
}

// Run reports windows until the context ends.
func (r *Reporter) Run(ctx context.Context) error {
	for ctx.Err() == nil {
		now := time.Now()
		current := now.UnixNano() / int64(r.window)
		for id := now.Add(-r.due).UnixNano()/int64(r.window) - 1; id < current; id++ {
			end := time.Unix(0, (id+1)*int64(r.window))
			late := now.Sub(end)
			if r.done[id] || late < settleAfter || late > r.due {
				continue
			}
			if err := r.report(ctx, id); err != nil {
				r.log.Warn("usage: window not reported yet", zap.Int64("window", id), zap.String("reason", err.Error()))
			}
		}
		kv.Sleep(ctx, reportPause)
	}
	return ctx.Err()
}

func (r *Reporter) report(ctx context.Context, id int64) error {
	counts, err := r.seal(ctx, id)
	if err != nil {
		return err
	}
	if len(counts) == 0 {
		r.done[id] = true
		return nil
	}
	if !r.valid() {
		return errors.New("no longer the holder of the duty")
	}
	status, err := r.send(ctx, id, counts, int64(r.fence.Revision))
	if err != nil {
		return err
	}
	if status != http.StatusOK {
		return fmt.Errorf("answered with status %d", status)
	}
	r.done[id] = true
	r.log.Info("usage: window reported", zap.Int64("window", id), zap.Any("counts", counts))
	return nil
}

// seal fixes the figures of a window by a conditional write, or returns those
// that were fixed before.
func (r *Reporter) seal(ctx context.Context, id int64) (map[string]int64, error) {
	key := fmt.Sprintf("%s%d", sealedPrefix, id)
	item, _, err := r.store.Get(ctx, key)
	if err == nil {
		return decodeCounts(item.Value)
	}
	if !errors.Is(err, kv.ErrNotFound) {
		return nil, err
	}
	items, _, err := kv.All(ctx, r.store, windowPrefix(id))
	if err != nil || len(items) == 0 {
		return nil, err
	}
	total := map[string]int64{}
	txn := kv.Txn{Conditions: []kv.Condition{r.fence, {Key: key}}}
	for i, item := range items {
		counts, err := decodeCounts(item.Value)
		if err != nil {
			return nil, err
		}
		if i < sweepMost {
			txn.Deletes = append(txn.Deletes, item.Key)
		}
		for customer, n := range counts {
			total[customer] += n
		}
	}
	data, err := json.Marshal(total)
	if err != nil {
		return nil, err
	}
	txn.Puts = []kv.Put{{Key: key, Value: data}}
	if _, err := r.store.Commit(ctx, txn); err != nil {
		return nil, err
	}
	return total, nil
}

func decodeCounts(data []byte) (map[string]int64, error) {
	var counts map[string]int64
	err := json.Unmarshal(data, &counts)
	return counts, err
}
