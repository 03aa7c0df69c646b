// Package store is the client of the platform's key-value service. Only http.go
// depends on the service's API, so that support for another API changes that file
// alone.
package store

import (
	"context"
	"time"

	"github.com/zeebo/errs"
)

// Revision is a number that increases with each write to the service, across all keys.
// Zero means that a key is absent.
type Revision uint64

// Class is the error class of this package.
var Class = errs.Class("store")

// Errors of a call, by its effect.
var (
	// ErrConflict means that the key was not at the expected revision.
	ErrConflict = Class.New("revision conflict")
	// ErrNotApplied means that the service is not available and that the call had no
	// effect.
	ErrNotApplied = Class.New("unavailable, not applied")
	// ErrUnknown means that a write may or may not have been applied.
	ErrUnknown = Class.New("outcome unknown")
	// ErrBudgetExhausted means that the call was not made, to stay within the call
	// budget.
	ErrBudgetExhausted = Class.New("call budget exhausted, not applied")
)

// Record is a key with its value and revision.
type Record struct {
	key      string
	value    []byte
	revision Revision
}

// NewRecord returns a record. It does not copy value.
func NewRecord(key string, value []byte, revision Revision) Record {
	return Record{key: key, value: value, revision: revision}
}

func (r Record) Key() string { return r.key }

// Value returns the value, which the caller must not modify.
func (r Record) Value() []byte { return r.value }

// Revision returns the revision of the last write to the key.
func (r Record) Revision() Revision { return r.revision }

// Page is the result of a list or a watch: records and the revision of the service
// at which they were read.
type Page struct {
	records  []Record
	revision Revision
}

// Records returns the records in key order.
func (p Page) Records() []Record { return p.records }

// Revision returns the service's revision when the page was read.
func (p Page) Revision() Revision { return p.revision }

// Client accesses the key-value service. Writes are compare-and-swap operations: an
// expected revision of zero means that the key must be absent.
type Client interface {
	Get(ctx context.Context, key string) (Record, error)
	List(ctx context.Context, prefix string) (Page, error)
	Put(ctx context.Context, key string, value []byte, expected Revision) (Revision, error)
	Delete(ctx context.Context, key string, expected Revision) error
	// Watch waits up to wait for changes after a revision to keys with a prefix. A
	// page without records confirms that nothing changed up to the page's revision.
	Watch(ctx context.Context, prefix string, after Revision, wait time.Duration) (Page, error)
}
