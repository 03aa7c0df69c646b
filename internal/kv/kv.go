// Package kv is the contract of the platform's key-value store: revisions,
// conditional writes, leases and watches.
package kv

import (
	"context"
	"time"

	"github.com/zeebo/errs"
)

// Class prefixes the errors of this package.
var Class = errs.Class("kv")

var (
	// ErrNotFound says that a key or a lease does not exist.
	ErrNotFound = Class.New("not found")
	// ErrConflict says that a condition of a write did not hold.
	ErrConflict = Class.New("condition does not hold")
	// ErrCompacted says that a watch asked for history that was dropped.
	ErrCompacted = Class.New("history is no longer available")
	// ErrRefused says that the store did nothing, because it is overloaded,
	// down or turns this machine away.
	ErrRefused = Class.New("refused")
	// ErrUnknown says that a call may have been carried out, or may still be.
	ErrUnknown = Class.New("outcome unknown")
	// ErrForbidden says that the call can never succeed as it is.
	ErrForbidden = Class.New("forbidden")
)

// Revision counts the changes of the store.
type Revision int64

// LeaseID names a lease; 0 is none.
type LeaseID int64

// Item is one key.
type Item struct {
	Key      string
	Value    []byte
	Revision Revision
	// Deleted is set in events of a watch.
	Deleted bool
}

// Condition asks that a key has a revision; 0 means that it does not exist.
type Condition struct {
	Key      string
	Revision Revision
}

// Put writes a key, which is removed when its lease ends.
type Put struct {
	Key   string
	Value []byte
	Lease LeaseID
}

// Txn is a write that is carried out whole or not at all.
type Txn struct {
	Conditions []Condition
	Puts       []Put
	Deletes    []string
}

// Page is a part of a range.
type Page struct {
	Items []Item
	More  bool
	// At is the revision of the store when it answered.
	At Revision
}

// Store is the client of the store. Every error is, or wraps, one of this
// package's.
type Store interface {
	// Get returns a key and the store's revision.
	Get(ctx context.Context, key string) (Item, Revision, error)
	// Range returns the keys with a prefix that come after a key.
	Range(ctx context.Context, prefix, after string) (Page, error)
	// Watch waits for events with a prefix after a revision.
	Watch(ctx context.Context, prefix string, after Revision, wait time.Duration) ([]Item, Revision, error)
	// Commit carries out a write and returns its revision.
	Commit(ctx context.Context, txn Txn) (Revision, error)
	// Grant creates a lease.
	Grant(ctx context.Context, ttl time.Duration) (LeaseID, error)
	// Keep renews a lease.
	Keep(ctx context.Context, lease LeaseID) error
	// Revoke ends a lease and removes its keys.
	Revoke(ctx context.Context, lease LeaseID) error
}

// All returns every key with a prefix and a revision from which a watch
// misses nothing.
func All(ctx context.Context, s Store, prefix string) ([]Item, Revision, error) {
	var items []Item
	var from Revision
	after := ""
	for {
		page, err := s.Range(ctx, prefix, after)
		if err != nil {
			return nil, 0, err
		}
		if from == 0 {
			from = page.At
		}
		items = append(items, page.Items...)
		if !page.More || len(page.Items) == 0 {
			return items, from, nil
		}
		after = page.Items[len(page.Items)-1].Key
	}
}
