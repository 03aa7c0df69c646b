package kv

import (
	"context"
	"errors"
	"time"

	"cactusspoke/internal/telemetry"
)

// counted counts the calls to a store, by kind and outcome.
type counted struct {
	store   Store
	figures *telemetry.Registry
}

// Counted returns a store whose calls are counted.
func Counted(store Store, figures *telemetry.Registry) Store { return &counted{store, figures} }

// outcome names an error by a bounded set of words.
func outcome(err error) string {
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

func (c *counted) note(call string, started time.Time, err error) {
	c.figures.Inc("store_calls_total", "call", call, "outcome", outcome(err))
	if call != "watch" {
		c.figures.Observe("store_call", time.Since(started), "call", call)
	}
}

func (c *counted) Get(ctx context.Context, key string) (Item, Revision, error) {
	started := time.Now()
	item, at, err := c.store.Get(ctx, key)
	c.note("get", started, err)
	return item, at, err
}

func (c *counted) Range(ctx context.Context, prefix, after string) (Page, error) {
	started := time.Now()
	page, err := c.store.Range(ctx, prefix, after)
	c.note("range", started, err)
	return page, err
}

func (c *counted) Watch(ctx context.Context, prefix string, after Revision, wait time.Duration) ([]Item, Revision, error) {
	started := time.Now()
	events, at, err := c.store.Watch(ctx, prefix, after, wait)
	c.note("watch", started, err)
	return events, at, err
}

func (c *counted) Commit(ctx context.Context, txn Txn) (Revision, error) {
	started := time.Now()
	revision, err := c.store.Commit(ctx, txn)
	c.note("commit", started, err)
	return revision, err
}

func (c *counted) Grant(ctx context.Context, ttl time.Duration) (LeaseID, error) {
	started := time.Now()
	lease, err := c.store.Grant(ctx, ttl)
	c.note("grant", started, err)
	return lease, err
}

func (c *counted) Keep(ctx context.Context, lease LeaseID) error {
	started := time.Now()
	err := c.store.Keep(ctx, lease)
	c.note("keep", started, err)
	return err
}

func (c *counted) Revoke(ctx context.Context, lease LeaseID) error {
	started := time.Now()
	err := c.store.Revoke(ctx, lease)
	c.note("revoke", started, err)
	return err
}
