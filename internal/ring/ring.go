// Package ring provides the bounded queue that joins two goroutines.
package ring

import (
	"context"
	"sync/atomic"
)

// Ring is a bounded first-in first-out queue.
type Ring[T any] struct {
	items   chan T
	dropped atomic.Uint64
}

// New returns a ring that holds at most capacity items.
func New[T any](capacity int) *Ring[T] {
	return &Ring[T]{items: make(chan T, capacity)}
}

// TryPut adds an item, or counts it as dropped when the ring is full.
func (r *Ring[T]) TryPut(item T) bool {
	select {
	case r.items <- item:
		return true
	default:
		r.dropped.Add(1)
		return false
	}
}

// Put adds an item, waiting for room until the context ends.
func (r *Ring[T]) Put(ctx context.Context, item T) error {
	select {
	case r.items <- item:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// Items returns the receiving end.
func (r *Ring[T]) Items() <-chan T { return r.items }

// Drain returns what is queued now without waiting, at most limit items.
func (r *Ring[T]) Drain(limit int) []T {
	var out []T
	for len(out) < limit {
		select {
		case item := <-r.items:
			out = append(out, item)
		default:
			return out
		}
	}
	return out
}

// Dropped returns how many items found the ring full.
func (r *Ring[T]) Dropped() uint64 { return r.dropped.Load() }
