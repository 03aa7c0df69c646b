package store

import (
	"bytes"
	"context"
	"errors"
	"math/rand/v2"
	"time"

	"github.com/google/uuid"
)

// writeIDSize is the length in bytes of the write id before each value.
const writeIDSize = 16

// Pauses between tries to resolve a lost answer.
const (
	resolveFirstPause = 20 * time.Millisecond
	resolveMaxPause   = 500 * time.Millisecond
)

// Guard puts a fresh write id before every value, and resolves a lost answer
// by sending the same write again and reading the id back. Every key below a
// guard must be written through a guard.
type Guard struct {
	inner Client
}

// NewGuard wraps a client.
func NewGuard(inner Client) *Guard { return &Guard{inner: inner} }

// readTries is how often a read is tried when its answer is lost.
const readTries = 16

// Get reads one key and strips the write id.
func (g *Guard) Get(ctx context.Context, key string) (Record, error) {
	r, err := retryRead(ctx, func() (Record, error) { return g.inner.Get(ctx, key) })
	return strip(r), err
}

// List reads all keys below a prefix and strips the write ids.
func (g *Guard) List(ctx context.Context, prefix string) (Page, error) {
	p, err := retryRead(ctx, func() (Page, error) { return g.inner.List(ctx, prefix) })
	return stripPage(p), err
}

// retryRead repeats a read whose answer was lost, which is always safe.
func retryRead[T any](ctx context.Context, read func() (T, error)) (T, error) {
	pause := resolveFirstPause
	for try := 1; ; try++ {
		v, err := read()
		if !errors.Is(err, ErrUnknown) || try == readTries || sleep(ctx, jitter(pause)) != nil {
			return v, err
		}
		pause = min(2*pause, resolveMaxPause)
	}
}

// Watch waits for changes and strips the write ids.
func (g *Guard) Watch(ctx context.Context, prefix string, after Revision, wait time.Duration) (Page, error) {
	p, err := g.inner.Watch(ctx, prefix, after, wait)
	return stripPage(p), err
}

// Delete removes a key. A lost answer is not resolved: deleting again at the
// same revision is harmless, so callers simply try later.
func (g *Guard) Delete(ctx context.Context, key string, expected Revision) error {
	return g.inner.Delete(ctx, key, expected)
}

// Put writes a key. It returns ErrUnknown only when the context ends before
// the outcome could be read, or when another write has since replaced ours.
func (g *Guard) Put(ctx context.Context, key string, value []byte, expected Revision) (Revision, error) {
	id := uuid.New()
	stamped := append(id[:], value...)
	rev, err := g.inner.Put(ctx, key, stamped, expected)
	if !errors.Is(err, ErrUnknown) {
		return rev, err
	}
	return g.resolve(ctx, key, stamped, expected)
}

// resolve repeats the identical write. The expected revision lets at most one
// copy apply, and the write id tells whether it was ours that did.
func (g *Guard) resolve(ctx context.Context, key string, stamped []byte, expected Revision) (Revision, error) {
	pause := resolveFirstPause
	for {
		if err := sleep(ctx, jitter(pause)); err != nil {
			return 0, errors.Join(ErrUnknown, err)
		}
		pause = min(2*pause, resolveMaxPause)
		rev, err := g.inner.Put(ctx, key, stamped, expected)
		if err == nil {
			return rev, nil
		}
		if !errors.Is(err, ErrConflict) {
			continue
		}
		r, err := g.inner.Get(ctx, key)
		if err != nil {
			continue
		}
		return settle(r, stamped)
	}
}

// settle decides what became of a write that conflicts with itself or with
// another. A key that has moved on twice may have held our value in between.
func settle(r Record, stamped []byte) (Revision, error) {
	if len(r.value) >= writeIDSize && bytes.Equal(r.value[:writeIDSize], stamped[:writeIDSize]) {
		return r.revision, nil
	}
	return 0, errors.Join(ErrUnknown, ErrConflict)
}

func strip(r Record) Record {
	if len(r.value) >= writeIDSize {
		r.value = r.value[writeIDSize:]
	}
	return r
}

func stripPage(p Page) Page {
	records := make([]Record, len(p.records))
	for i, r := range p.records {
		records[i] = strip(r)
	}
	return Page{records: records, revision: p.revision}
}

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
