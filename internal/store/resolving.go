package store

import (
	"bytes"
	"context"
	"errors"
	"math/rand/v2"
	"time"

	"github.com/google/uuid"
)

// writeIDSize is the length in bytes of the write id at the start of each value.
const writeIDSize = 16

// Limits of the delay between attempts to find out the outcome of a call whose
// response was lost.
const (
	resolveMinDelay = 20 * time.Millisecond
	resolveMaxDelay = 500 * time.Millisecond
)

// ResolvingClient is a Client that finds out the outcome of a write whose response was lost. It
// puts a unique write id in front of every value. After a lost response, it sends the
// same write again and, if that conflicts, reads the key and compares the id. All
// clients of a key must use this type, so that all values have a write id.
type ResolvingClient struct {
	inner Client
}

// NewResolvingClient returns a client that sends its calls to inner.
func NewResolvingClient(inner Client) *ResolvingClient { return &ResolvingClient{inner: inner} }

// maxReadAttempts limits the attempts of a read whose response is lost.
const maxReadAttempts = 16

// Get reads a key and removes the write id from the value.
func (c *ResolvingClient) Get(ctx context.Context, key string) (Record, error) {
	r, err := retryRead(ctx, func() (Record, error) { return c.inner.Get(ctx, key) })
	return stripWriteID(r), err
}

// List reads all keys with a prefix and removes the write ids from the values.
func (c *ResolvingClient) List(ctx context.Context, prefix string) (Page, error) {
	p, err := retryRead(ctx, func() (Page, error) { return c.inner.List(ctx, prefix) })
	return stripWriteIDs(p), err
}

// retryRead repeats a read whose response was lost. Reads are always safe to repeat.
func retryRead[T any](ctx context.Context, read func() (T, error)) (T, error) {
	delay := resolveMinDelay
	for attempt := 1; ; attempt++ {
		v, err := read()
		if !errors.Is(err, ErrUnknown) || attempt == maxReadAttempts || sleep(ctx, jitter(delay)) != nil {
			return v, err
		}
		delay = min(2*delay, resolveMaxDelay)
	}
}

// Watch waits for changes and removes the write ids from the values.
func (c *ResolvingClient) Watch(ctx context.Context, prefix string, after Revision, wait time.Duration) (Page, error) {
	p, err := c.inner.Watch(ctx, prefix, after, wait)
	return stripWriteIDs(p), err
}

// Delete deletes a key. It does not resolve a lost response: callers can safely
// repeat a delete at the same revision.
func (c *ResolvingClient) Delete(ctx context.Context, key string, expected Revision) error {
	return c.inner.Delete(ctx, key, expected)
}

// Put writes a key. It returns ErrUnknown only if ctx ends before the outcome is
// known, or if another write has replaced the value since.
func (c *ResolvingClient) Put(ctx context.Context, key string, value []byte, expected Revision) (Revision, error) {
	id := uuid.New()
	valueWithID := append(id[:], value...)
	rev, err := c.inner.Put(ctx, key, valueWithID, expected)
	if !errors.Is(err, ErrUnknown) {
		return rev, err
	}
	return c.resolve(ctx, key, valueWithID, expected)
}

// resolve repeats an identical write until its outcome is known. Because of the
// expected revision, at most one copy is applied. After a conflict, the write id in
// the stored value shows whether it was this write.
func (c *ResolvingClient) resolve(ctx context.Context, key string, valueWithID []byte, expected Revision) (Revision, error) {
	delay := resolveMinDelay
	for {
		if err := sleep(ctx, jitter(delay)); err != nil {
			return 0, errors.Join(ErrUnknown, err)
		}
		delay = min(2*delay, resolveMaxDelay)
		rev, err := c.inner.Put(ctx, key, valueWithID, expected)
		if err == nil {
			return rev, nil
		}
		if !errors.Is(err, ErrConflict) {
			continue
		}
		r, err := c.inner.Get(ctx, key)
		if err != nil {
			continue
		}
		return conflictOutcome(r, valueWithID)
	}
}

// conflictOutcome returns the outcome of a repeated write that had a conflict, given
// the record that is stored now. If the record has another write id, the outcome is
// unknown: the value may have been stored and replaced since.
func conflictOutcome(r Record, valueWithID []byte) (Revision, error) {
	if len(r.value) >= writeIDSize && bytes.Equal(r.value[:writeIDSize], valueWithID[:writeIDSize]) {
		return r.revision, nil
	}
	return 0, errors.Join(ErrUnknown, ErrConflict)
}

func stripWriteID(r Record) Record {
	if len(r.value) >= writeIDSize {
		r.value = r.value[writeIDSize:]
	}
	return r
}

func stripWriteIDs(p Page) Page {
	records := make([]Record, len(p.records))
	for i, r := range p.records {
		records[i] = stripWriteID(r)
	}
	return Page{records: records, revision: p.revision}
}

// jitter returns a random duration from 1 ns to d.
func jitter(d time.Duration) time.Duration {
	return time.Duration(rand.Int64N(int64(d)) + 1)
}

func sleep(ctx context.Context, d time.Duration) error {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-t.C:
		return nil
	}
}
