// Package kv defines the client interface of the platform's key-value store,
// which has revisions, conditional writes, leases and watches.
package kv

import (
	"context"
	"time"

	"github.com/zeebo/errs"
)

// Class is the error class of this package.
var Class = errs.Class("kv")

var (
	// ErrNotFound means that a key or a lease does not exist.
	ErrNotFound = Class.New("not found")
	// ErrConflict means that a condition of a write did not hold.
	ErrConflict = Class.New("condition does not hold")
	// ErrCompacted means that a watch asked for events that the store has dropped.
	ErrCompacted = Class.New("history is no longer available")
	// ErrRefused means that the call had no effect, because the store is
	// overloaded, unavailable or rejects this machine.
	ErrRefused = Class.New("refused")
	// ErrOutcomeUnknown means that the call may have been carried out, or may still be.
	ErrOutcomeUnknown = Class.New("outcome unknown")
	// ErrForbidden means that the call is invalid and will fail if repeated.
	ErrForbidden = Class.New("forbidden")
)

// Revision is the number of a change of the store. Later changes have higher
// revisions.
type Revision int64

// LeaseID identifies a lease; 0 means no lease.
type LeaseID int64

// Item is a key with its value.
type Item struct {
	Key   string
	Value []byte
	// Revision is the revision of the last change of the key.
	Revision Revision
	// Deleted is set in watch events if the key was deleted.
	Deleted bool
}

// Condition requires that a key has a revision. Revision 0 requires that the key
// does not exist.
type Condition struct {
	Key      string
	Revision Revision
}

// Put writes a key. If it has a lease, the key is deleted when the lease expires.
type Put struct {
	Key   string
	Value []byte
	Lease LeaseID
}

// Txn is an atomic write that is carried out if all conditions hold.
type Txn struct {
	Conditions []Condition
	Puts       []Put
	Deletes    []string
}

// Page is one page of the result of a range read.
type Page struct {
	Items []Item
	// More is set if there are further keys after the last item.
	More bool
	// Revision is the revision of the store at the time of the read.
	Revision Revision
}

// Store is a client of the key-value store. Every error that it returns is, or
// wraps, an error of this package.
type Store interface {
	// Get returns an item and the store's current revision.
	Get(ctx context.Context, key string) (Item, Revision, error)
	// Range returns the items with a prefix that sort after a key.
	Range(ctx context.Context, prefix, after string) (Page, error)
	// Watch waits for up to wait for events with a prefix after a revision. It
	// returns the events and a revision from which to continue.
	Watch(ctx context.Context, prefix string, after Revision, wait time.Duration) ([]Item, Revision, error)
	// Commit carries out a write and returns its revision.
	Commit(ctx context.Context, txn Txn) (Revision, error)
	// Grant creates a lease that expires after ttl unless it is renewed.
	Grant(ctx context.Context, ttl time.Duration) (LeaseID, error)
	// KeepAlive renews a lease.
	KeepAlive(ctx context.Context, lease LeaseID) error
	// Revoke ends a lease and deletes its keys.
	Revoke(ctx context.Context, lease LeaseID) error
}

// ListAll returns all items with a prefix, and a revision from which a watch gets
// every later change.
func ListAll(ctx context.Context, s Store, prefix string) ([]Item, Revision, error) {
	var items []Item
	var watchFrom Revision
	after := ""
	for {
		page, err := s.Range(ctx, prefix, after)
		if err != nil {
			return nil, 0, err
		}
		if watchFrom == 0 {
			watchFrom = page.Revision
		}
		items = append(items, page.Items...)
		if !page.More || len(page.Items) == 0 {
			return items, watchFrom, nil
		}
		after = page.Items[len(page.Items)-1].Key
	}
}
