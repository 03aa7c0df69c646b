package kv

import (
	"context"
	"errors"
	"sync/atomic"
	"time"
)

// Reach is a store that knows whether its last call reached it. A watch that
// waits tells nothing, so a process that is cut off learns it from its other
// calls, the renewals of its leases above all.
type Reach struct {
	store Store
	lost  atomic.Bool
}

// NewReach returns a store that is taken to be within reach until a call fails.
func NewReach(store Store) *Reach { return &Reach{store: store} }

// Reachable tells whether the last call that ended reached the store.
func (r *Reach) Reachable() bool { return !r.lost.Load() }

func (r *Reach) note(ctx context.Context, err error) {
	if errors.Is(ctx.Err(), context.Canceled) {
		return
	}
	r.lost.Store(errors.Is(err, ErrRefused) || errors.Is(err, ErrUnknown))
}

// Get is part of Store.
func (r *Reach) Get(ctx context.Context, key string) (Item, Revision, error) {
	item, at, err := r.store.Get(ctx, key)
	r.note(ctx, err)
	return item, at, err
}

// Range is part of Store.
func (r *Reach) Range(ctx context.Context, prefix, after string) (Page, error) {
	page, err := r.store.Range(ctx, prefix, after)
	r.note(ctx, err)
	return page, err
}

// Watch is part of Store.
func (r *Reach) Watch(ctx context.Context, prefix string, after Revision, wait time.Duration) ([]Item, Revision, error) {
	events, at, err := r.store.Watch(ctx, prefix, after, wait)
	r.note(ctx, err)
	return events, at, err
}

// Commit is part of Store.
func (r *Reach) Commit(ctx context.Context, txn Txn) (Revision, error) {
	revision, err := r.store.Commit(ctx, txn)
	r.note(ctx, err)
	return revision, err
}

// Grant is part of Store.
func (r *Reach) Grant(ctx context.Context, ttl time.Duration) (LeaseID, error) {
	lease, err := r.store.Grant(ctx, ttl)
	r.note(ctx, err)
	return lease, err
}

// Keep is part of Store.
func (r *Reach) Keep(ctx context.Context, lease LeaseID) error {
	err := r.store.Keep(ctx, lease)
	r.note(ctx, err)
	return err
}

// Revoke is part of Store.
func (r *Reach) Revoke(ctx context.Context, lease LeaseID) error {
	err := r.store.Revoke(ctx, lease)
	r.note(ctx, err)
	return err
}
