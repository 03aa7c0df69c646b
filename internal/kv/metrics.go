package kv

import (
	"context"
	"errors"
	"strings"
	"sync"
	"time"

	"cactusspoke/internal/telemetry"
)

// MeteredStore is a Store that counts its calls by purpose and outcome, and measures
// how long they take. The purpose is the operation and the group of its keys.
type MeteredStore struct {
	store   Store
	metrics *telemetry.Registry

	mu    sync.Mutex
	calls map[string]int
}

// leaseGroup is the key group of calls about leases.
const leaseGroup = "lease"

// WithMetrics returns a store that records metrics of its calls.
func WithMetrics(store Store, metrics *telemetry.Registry) *MeteredStore {
	return &MeteredStore{store: store, metrics: metrics, calls: map[string]int{}}
}

// TakeCalls returns the number of calls by purpose since the last call of TakeCalls.
func (s *MeteredStore) TakeCalls() map[string]int {
	s.mu.Lock()
	defer s.mu.Unlock()
	out := s.calls
	s.calls = map[string]int{}
	return out
}

// keyGroup returns the part of a key that says what it is for: without the names of
// jobs, instances and models. The result comes from a small set.
func keyGroup(key string) string {
	first, rest, _ := strings.Cut(key, "/")
	switch first {
	case "cluster", "op", "status", "usage":
		second, _, _ := strings.Cut(rest, "/")
		return first + "/" + second
	}
	return first
}

// txnGroup returns the key group of a write, that of its first key.
func txnGroup(txn Txn) string {
	switch {
	case len(txn.Puts) > 0:
		return keyGroup(txn.Puts[0].Key)
	case len(txn.Deletes) > 0:
		return keyGroup(txn.Deletes[0])
	}
	return ""
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

func (s *MeteredStore) record(call, group string, started time.Time, err error) {
	s.mu.Lock()
	s.calls[group+" "+call]++
	s.mu.Unlock()
	s.metrics.Inc("store_calls_total", "call", call, "keys", group, "outcome", outcomeLabel(err))
	if call != "watch" { // a watch waits for events, so its duration means nothing
		s.metrics.Observe("store_call", time.Since(started), "call", call)
	}
}

func (s *MeteredStore) Get(ctx context.Context, key string) (Item, Revision, error) {
	started := time.Now()
	item, revision, err := s.store.Get(ctx, key)
	s.record("get", keyGroup(key), started, err)
	return item, revision, err
}

func (s *MeteredStore) Range(ctx context.Context, prefix, after string) (Page, error) {
	started := time.Now()
	page, err := s.store.Range(ctx, prefix, after)
	s.record("range", keyGroup(prefix), started, err)
	return page, err
}

func (s *MeteredStore) Watch(ctx context.Context, prefix string, after Revision, wait time.Duration) ([]Item, Revision, error) {
	started := time.Now()
	events, revision, err := s.store.Watch(ctx, prefix, after, wait)
	s.record("watch", keyGroup(prefix), started, err)
	return events, revision, err
}

func (s *MeteredStore) Commit(ctx context.Context, txn Txn) (Revision, error) {
	started := time.Now()
	revision, err := s.store.Commit(ctx, txn)
	s.record("commit", txnGroup(txn), started, err)
	return revision, err
}

func (s *MeteredStore) Grant(ctx context.Context, ttl time.Duration) (LeaseID, error) {
	started := time.Now()
	lease, err := s.store.Grant(ctx, ttl)
	s.record("grant", leaseGroup, started, err)
	return lease, err
}

func (s *MeteredStore) KeepAlive(ctx context.Context, lease LeaseID) error {
	started := time.Now()
	err := s.store.KeepAlive(ctx, lease)
	s.record("keep", leaseGroup, started, err)
	return err
}

func (s *MeteredStore) Revoke(ctx context.Context, lease LeaseID) error {
	started := time.Now()
	err := s.store.Revoke(ctx, lease)
	s.record("revoke", leaseGroup, started, err)
	return err
}
