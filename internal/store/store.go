// Package store speaks to the platform's key-value service. The interface is
// narrow, so that another wire form touches http.go alone.
package store

import (
	"context"
	"time"

	"github.com/zeebo/errs"
)

// Revision orders all writes of the service; it only grows. Zero means that
// a key is absent.
type Revision uint64

// Class prefixes the errors of this package.
var Class = errs.Class("store")

// The outcomes of a failed call.
var (
	// ErrConflict says that the key was not at the expected revision.
	ErrConflict = Class.New("revision conflict")
	// ErrNotApplied says that the call certainly had no effect.
	ErrNotApplied = Class.New("unavailable, not applied")
	// ErrUnknown says that a write may or may not have taken effect.
	ErrUnknown = Class.New("outcome unknown")
	// ErrBudget says that the call was not made, to stay within the budget.
	ErrBudget = Class.New("call budget spent, not applied")
)

// Record is a key with its value at a revision.
type Record struct {
	key      string
	value    []byte
	revision Revision
}

// NewRecord returns a record; the value is not copied.
func NewRecord(key string, value []byte, revision Revision) Record {
	return Record{key: key, value: value, revision: revision}
}

// Key returns the record's key.
func (r Record) Key() string { return r.key }

// Value returns the stored bytes, which must not be changed.
func (r Record) Value() []byte { return r.value }

// Revision returns the revision of the last write to the key.
func (r Record) Revision() Revision { return r.revision }

// Page is the answer to a list or a watch: records and the revision of the
// whole service at which they were read.
type Page struct {
	records  []Record
	revision Revision
}

// Records returns the records in key order.
func (p Page) Records() []Record { return p.records }

// Revision returns the service's revision when the page was read.
func (p Page) Revision() Revision { return p.revision }

// Client is one connection to the key-value service. Writes are
// compare-and-swap: expected zero means that the key must be absent.
type Client interface {
	Get(ctx context.Context, key string) (Record, error)
	List(ctx context.Context, prefix string) (Page, error)
	Put(ctx context.Context, key string, value []byte, expected Revision) (Revision, error)
	Delete(ctx context.Context, key string, expected Revision) error
	// Watch waits up to wait for changes below prefix after a revision. A page
	// without records confirms that nothing changed up to its revision.
	Watch(ctx context.Context, prefix string, after Revision, wait time.Duration) (Page, error)
}
