package kv

import (
	"context"
	"errors"
	"sync/atomic"
	"time"
)

// MonitoredStore is a Store that records whether its last call reached the server. A
// waiting watch does not show that the network is partitioned, so a process
// detects it by its other calls, mainly the renewals of its leases.
type MonitoredStore struct {
	store       Store
	unreachable atomic.Bool
}

// NewMonitoredStore returns a store that counts as reachable until a call fails.
func NewMonitoredStore(store Store) *MonitoredStore { return &MonitoredStore{store: store} }

// Reachable reports whether the last completed call reached the server.
func (r *MonitoredStore) Reachable() bool { return !r.unreachable.Load() }

func (r *MonitoredStore) record(ctx context.Context, err error) {
	if errors.Is(ctx.Err(), context.Canceled) {
		return // the caller ended the call
	}
	r.unreachable.Store(errors.Is(err, ErrRefused) || errors.Is(err, ErrOutcomeUnknown))
}

// Get implements Store.
func (r *MonitoredStore) Get(ctx context.Context, key string) (Item, Revision, error) {
	item, at, err := r.store.Get(ctx, key)
	r.record(ctx, err)
	return item, at, err
}

// Range implements Store.
func (r *MonitoredStore) Range(ctx context.Context, prefix, after string) (Page, error) {
	page, err := r.store.Range(ctx, prefix, after)
	r.record(ctx, err)
	return page, err
}

// Watch implements Store.
func (r *MonitoredStore) Watch(ctx context.Context, prefix string, after Revision, wait time.Duration) ([]Item, Revision, error) {
	events, at, err := r.store.Watch(ctx, prefix, after, wait)
	r.record(ctx, err)
	return events, at, err
}

// Commit implements Store.
func (r *MonitoredStore) Commit(ctx context.Context, txn Txn) (Revision, error) {
	revision, err := r.store.Commit(ctx, txn)
	r.record(ctx, err)
	return revision, err
}

// Grant implements Store.
func (r *MonitoredStore) Grant(ctx context.Context, ttl time.Duration) (LeaseID, error) {
	lease, err := r.store.Grant(ctx, ttl)
	r.record(ctx, err)
	return lease, err
}

// Keep implements Store.
func (r *MonitoredStore) KeepAlive(ctx context.Context, lease LeaseID) error {
	err := r.store.KeepAlive(ctx, lease)
	r.record(ctx, err)
	return err
}

// Revoke implements Store.
func (r *MonitoredStore) Revoke(ctx context.Context, lease LeaseID) error {
	err := r.store.Revoke(ctx, lease)
	r.record(ctx, err)
	return err
}
