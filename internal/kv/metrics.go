package kv

import (
	"context"
	"errors"
	"time"

	"cactusspoke/internal/telemetry"
)

// meteredStore is a Store that counts its calls by operation and outcome, and
// measures how long they take.
type meteredStore struct {
	store   Store
	metrics *telemetry.Registry
}

// WithMetrics returns a store that records metrics of its calls.
func WithMetrics(store Store, metrics *telemetry.Registry) Store {
	return &meteredStore{store, metrics}
}

// outcomeLabel returns the value of the outcome label for an error.
func outcomeLabel(err error) string {
	switch {
	case err == nil:
		return "ok"
	case errors.Is(err, ErrNotFound):
		return "not-found"
	case errors.Is(err, ErrConflict):
		return "conflict"
	case errors.Is(err, ErrCompacted):
		return "compacted"
	case errors.Is(err, ErrRefused):
		return "refused"
	case errors.Is(err, ErrForbidden):
		return "forbidden"
	default:
		return "unknown"
	}
}

func (s *meteredStore) record(call string, started time.Time, err error) {
	s.metrics.Inc("store_calls_total", "call", call, "outcome", outcomeLabel(err))
	if call != "watch" { // a watch waits for events, so its duration means nothing
		s.metrics.Observe("store_call", time.Since(started), "call", call)
	}
}

func (s *meteredStore) Get(ctx context.Context, key string) (Item, Revision, error) {
	started := time.Now()
	item, revision, err := s.store.Get(ctx, key)
	s.record("get", started, err)
	return item, revision, err
}

func (s *meteredStore) Range(ctx context.Context, prefix, after string) (Page, error) {
	started := time.Now()
	page, err := s.store.Range(ctx, prefix, after)
	s.record("range", started, err)
	return page, err
}

func (s *meteredStore) Watch(ctx context.Context, prefix string, after Revision, wait time.Duration) ([]Item, Revision, error) {
	started := time.Now()
	events, revision, err := s.store.Watch(ctx, prefix, after, wait)
	s.record("watch", started, err)
	return events, revision, err
}

func (s *meteredStore) Commit(ctx context.Context, txn Txn) (Revision, error) {
	started := time.Now()
	revision, err := s.store.Commit(ctx, txn)
	s.record("commit", started, err)
	return revision, err
}

func (s *meteredStore) Grant(ctx context.Context, ttl time.Duration) (LeaseID, error) {
	started := time.Now()
	lease, err := s.store.Grant(ctx, ttl)
	s.record("grant", started, err)
	return lease, err
}

func (s *meteredStore) KeepAlive(ctx context.Context, lease LeaseID) error {
	started := time.Now()
	err := s.store.KeepAlive(ctx, lease)
	s.record("keep", started, err)
	return err
}

func (s *meteredStore) Revoke(ctx context.Context, lease LeaseID) error {
	started := time.Now()
	err := s.store.Revoke(ctx, lease)
	s.record("revoke", started, err)
	return err
}
