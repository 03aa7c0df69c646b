package kv

import (
	"context"
	"errors"
	"math"
	"sync/atomic"
	"time"
)

// MonitoredStore is a Store that records whether its last call reached the server.
// A watch that waits for events does not show that the network is partitioned, so
// a process detects it by its other calls, mainly the renewals of its leases.
type MonitoredStore struct {
	store       Store
	unreachable atomic.Bool
	// contact is the time of the last call that reached the server.
	contact atomic.Pointer[time.Time]
}

// NewMonitoredStore returns a store that counts as reachable until a call fails.
func NewMonitoredStore(store Store) *MonitoredStore { return &MonitoredStore{store: store} }

// Reachable reports whether the last completed call reached the server.
func (m *MonitoredStore) Reachable() bool { return !m.unreachable.Load() }

// SinceContact returns the time since a call last reached the server. It is very long
// if none ever did.
func (m *MonitoredStore) SinceContact() time.Duration {
	at := m.contact.Load()
	if at == nil {
		return math.MaxInt64
	}
	return time.Since(*at)
}

func (m *MonitoredStore) record(ctx context.Context, err error) {
	if errors.Is(ctx.Err(), context.Canceled) {
		return // the caller ended the call
	}
	failed := errors.Is(err, ErrRefused) || errors.Is(err, ErrOutcomeUnknown)
	m.unreachable.Store(failed)
	if now := time.Now(); !failed {
		m.contact.Store(&now)
	}
}

// Get implements Store.
func (m *MonitoredStore) Get(ctx context.Context, key string) (Item, Revision, error) {
	item, revision, err := m.store.Get(ctx, key)
	m.record(ctx, err)
	return item, revision, err
}

// Range implements Store.
func (m *MonitoredStore) Range(ctx context.Context, prefix, after string) (Page, error) {
	page, err := m.store.Range(ctx, prefix, after)
	m.record(ctx, err)
	return page, err
}

// Watch implements Store.
func (m *MonitoredStore) Watch(ctx context.Context, prefix string, after Revision, wait time.Duration) ([]Item, Revision, error) {
	events, revision, err := m.store.Watch(ctx, prefix, after, wait)
	m.record(ctx, err)
	return events, revision, err
}

// Commit implements Store.
func (m *MonitoredStore) Commit(ctx context.Context, txn Txn) (Revision, error) {
	revision, err := m.store.Commit(ctx, txn)
	m.record(ctx, err)
	return revision, err
}

// Grant implements Store.
func (m *MonitoredStore) Grant(ctx context.Context, ttl time.Duration) (LeaseID, error) {
	lease, err := m.store.Grant(ctx, ttl)
	m.record(ctx, err)
	return lease, err
}

// Keep implements Store.
func (m *MonitoredStore) KeepAlive(ctx context.Context, lease LeaseID) error {
	err := m.store.KeepAlive(ctx, lease)
	m.record(ctx, err)
	return err
}

// Revoke implements Store.
func (m *MonitoredStore) Revoke(ctx context.Context, lease LeaseID) error {
	err := m.store.Revoke(ctx, lease)
	m.record(ctx, err)
	return err
}
