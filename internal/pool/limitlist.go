package pool

import (
	"context"
	"encoding/json"
	"errors"
	"maps"
	"time"

	"cactusspoke/internal/kv"

	"go.uber.org/zap"
)

const (
	// LimitListKey is the store key of the limits that servers named. The duty holder
	// publishes them, so that its successor and restarted processes know them before
	// they send their first request.
	LimitListKey = "cluster/entry-limits"
	// limitPublishInterval is the minimum time between two writes of the list.
	limitPublishInterval = time.Second
)

type wireLimit struct {
	Born      int64   `json:"born"`
	PerSecond float64 `json:"per-second"`
}

func encodeLimits(limits map[string]PublishedLimit) ([]byte, error) {
	wire := make(map[string]wireLimit, len(limits))
	for id, limit := range limits {
		wire[id] = wireLimit(limit)
	}
	return json.Marshal(wire)
}

func decodeLimits(data []byte) (map[string]PublishedLimit, error) {
	var wire map[string]wireLimit
	if err := json.Unmarshal(data, &wire); err != nil {
		return nil, err
	}
	limits := make(map[string]PublishedLimit, len(wire))
	for id, limit := range wire {
		limits[id] = PublishedLimit(limit)
	}
	return limits, nil
}

// LimitView returns a view of the published limits that passes them to the pool.
func (p *Pool) LimitView() kv.View { return limitView{p} }

type limitView struct{ pool *Pool }

// Reset replaces the published limits; items is empty if there are none.
func (v limitView) Reset(items []kv.Item) { v.Apply(items) }

// Apply applies a change of the published limits.
func (v limitView) Apply(events []kv.Item) {
	for _, e := range events {
		if e.Deleted {
			v.pool.SeedLimits(nil)
			continue
		}
		limits, err := decodeLimits(e.Value)
		if err != nil {
			v.pool.log.Error("pool: cannot decode the published limits", zap.String("reason", err.Error()))
			continue
		}
		v.pool.SeedLimits(limits)
	}
}

// Reachable does nothing: during a store outage the last limits stay in effect.
func (v limitView) Reachable(bool) {}

// LimitPublisher publishes the limits of a pool for a duty holder.
type LimitPublisher struct {
	store kv.Store
	fence kv.Condition
	pool  *Pool
	log   *zap.Logger
}

// NewLimitPublisher returns a publisher.
func NewLimitPublisher(store kv.Store, fence kv.Condition, pool *Pool, log *zap.Logger) *LimitPublisher {
	return &LimitPublisher{store: store, fence: fence, pool: pool, log: log}
}

// Load passes the limits that the last holder published to the pool. A new holder calls
// it before its first request.
func (p *LimitPublisher) Load(ctx context.Context) error {
	item, _, err := p.store.Get(ctx, LimitListKey)
	if errors.Is(err, kv.ErrNotFound) {
		return nil
	}
	if err != nil {
		return err
	}
	limitView{p.pool}.Apply([]kv.Item{item})
	return nil
}

// Run publishes changes until the context ends.
func (p *LimitPublisher) Run(ctx context.Context) error {
	published := map[string]PublishedLimit{}
	for ; ctx.Err() == nil; kv.Sleep(ctx, limitPublishInterval) {
		limits := p.pool.Limits()
		if maps.Equal(limits, published) {
			continue
		}
		data, err := encodeLimits(limits)
		if err == nil {
			_, err = p.store.Commit(ctx, kv.Txn{Conditions: []kv.Condition{p.fence}, Puts: []kv.Put{{Key: LimitListKey, Value: data}}})
		}
		if err != nil {
			p.log.Warn("pool: publishing the limits failed, will retry", zap.String("reason", err.Error()))
			continue
		}
		published = limits
	}
	return ctx.Err()
}
