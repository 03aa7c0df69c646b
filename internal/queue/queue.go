// Package queue provides a bounded queue between goroutines.
package queue

import (
	"context"
	"sync/atomic"
)

// Queue is a bounded FIFO queue, safe for concurrent use.
type Queue[T any] struct {
	items   chan T
	dropped atomic.Uint64
}

// New returns a queue that holds at most capacity items.
func New[T any](capacity int) *Queue[T] {
	return &Queue[T]{items: make(chan T, capacity)}
}

// TryPut adds an item without blocking. If the queue is full, it counts the item
// as dropped and returns false.
func (q *Queue[T]) TryPut(item T) bool {
	select {
	case q.items <- item:
		return true
	default:
		q.dropped.Add(1)
		return false
	}
}

// Put adds an item, blocking while the queue is full. It returns the context's
// error if ctx ends first.
func (q *Queue[T]) Put(ctx context.Context, item T) error {
	select {
	case q.items <- item:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// Items returns the channel from which items are received.
func (q *Queue[T]) Items() <-chan T { return q.items }

// Drain removes and returns up to limit queued items without blocking.
func (q *Queue[T]) Drain(limit int) []T {
	var items []T
	for len(items) < limit {
		select {
		case item := <-q.items:
			items = append(items, item)
		default:
			return items
		}
	}
	return items
}

// Dropped returns the number of items rejected by TryPut.
func (q *Queue[T]) Dropped() uint64 { return q.dropped.Load() }
