package meter

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"time"

	"cactusspoke/internal/kv"
	"cactusspoke/internal/walltime"

	"go.uber.org/zap"
)

const (
	// sealedPrefix is the key prefix of the totals of sealed windows. A window is
	// sealed before it is first reported, so that every report of it is the same.
	sealedPrefix = "usage/sealed/"
	// sealDelay is the time from the end of a window until it is sealed. Entry
	// instances write their last counts of the window in this time.
	sealDelay = flushJitter + 1500*time.Millisecond
	// maxDeletesPerSeal limits the counts that the sealing write deletes, because
	// the store accepts 32 entries in a write.
	maxDeletesPerSeal = 28
	// reportInterval is the pause between two checks for windows to report.
	reportInterval = 500 * time.Millisecond
)

// SendFunc reports a window to the platform and returns the HTTP status of the
// response.
type SendFunc func(ctx context.Context, window int64, counts map[string]int64, fence int64) (int, error)

// Reporter reports usage windows while its node holds the duty.
type Reporter struct {
	store  kv.Store
	window time.Duration
	// deadline is how long after its end a window may be reported.
	deadline time.Duration
	send     SendFunc
	isHolder func() bool
	fence    kv.Condition
	clock    *walltime.Clock
	log      *zap.Logger
	// done contains the windows that were reported or have no counts.
	done map[int64]bool
}

// NewReporter returns a reporter for the duty's holder. isHolder is called
// immediately before each report, and prevents it by returning false.
func NewReporter(store kv.Store, window, deadline time.Duration, send SendFunc, isHolder func() bool, fence kv.Condition, clock *walltime.Clock, log *zap.Logger) *Reporter {
	return &Reporter{clock: clock, store: store, window: window, deadline: deadline, send: send, isHolder: isHolder, fence: fence, log: log, done: map[int64]bool{}}
}

// Run seals and reports windows until ctx ends.
func (r *Reporter) Run(ctx context.Context) error {
	for ctx.Err() == nil {
		now := r.clock.Now()
		current := now.UnixNano() / int64(r.window)
		for id := now.Add(-r.deadline).UnixNano()/int64(r.window) - 1; id < current; id++ {
			end := time.Unix(0, (id+1)*int64(r.window))
			age := now.Sub(end)
			if r.done[id] || age < sealDelay || age > r.deadline {
				continue
			}
			if err := r.report(ctx, id); err != nil {
				r.log.Warn("usage: cannot report window, will retry", zap.Int64("window", id), zap.String("reason", err.Error()))
			}
		}
		kv.Sleep(ctx, reportInterval)
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
	if !r.isHolder() {
		return errors.New("this node no longer holds the duty")
	}
	status, err := r.send(ctx, id, counts, int64(r.fence.Revision))
	if err != nil {
		return err
	}
	if status != http.StatusOK {
		return fmt.Errorf("response status is %d", status)
	}
	r.done[id] = true
	r.log.Info("usage: window reported", zap.Int64("window", id), zap.Any("counts", counts))
	return nil
}

// seal sums the counts of a window and stores the totals by a conditional write.
// It returns the stored totals if the window is sealed already.
func (r *Reporter) seal(ctx context.Context, id int64) (map[string]int64, error) {
	key := fmt.Sprintf("%s%d", sealedPrefix, id)
	item, _, err := r.store.Get(ctx, key)
	if err == nil {
		return decodeCounts(item.Value)
	}
	if !errors.Is(err, kv.ErrNotFound) {
		return nil, err
	}
	items, _, err := kv.ListAll(ctx, r.store, windowPrefix(id))
	if err != nil || len(items) == 0 {
		return nil, err
	}
	totals := map[string]int64{}
	txn := kv.Txn{Conditions: []kv.Condition{r.fence, {Key: key}}}
	for i, item := range items {
		counts, err := decodeCounts(item.Value)
		if err != nil {
			return nil, err
		}
		if i < maxDeletesPerSeal {
			txn.Deletes = append(txn.Deletes, item.Key)
		}
		for customer, n := range counts {
			totals[customer] += n
		}
	}
	data, err := json.Marshal(totals)
	if err != nil {
		return nil, err
	}
	txn.Puts = []kv.Put{{Key: key, Value: data}}
	if _, err := r.store.Commit(ctx, txn); err != nil {
		return nil, err
	}
	return totals, nil
}

func decodeCounts(data []byte) (map[string]int64, error) {
	var counts map[string]int64
	err := json.Unmarshal(data, &counts)
	return counts, err
}
