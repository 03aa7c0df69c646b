// Package memory limits the bytes that a process holds of the responses that it reads. Servers
// that send without end then exhaust neither the process nor the room for other responses.
package memory

import (
	"context"
	"math"
	"sync"

	"github.com/zeebo/errs"
)

// Class is the error class of this package.
var Class = errs.Class("memory")

// ErrExhausted means that the budget has no room for an account that holds more than the
// others, or that the account was evicted.
var ErrExhausted = Class.New("too many bytes in memory")

// Budget is a limit that accounts share. It is safe for concurrent use.
//
// If a response does not fit, the one that holds most is ended, since a response without end
// outgrows all others. The response that does not fit waits until that one is closed.
type Budget struct {
	limit int64

	mu   sync.Mutex
	held int64
	// retained are the bytes that belong to no account.
	retained int64
	accounts map[*Account]struct{}
	// released is closed, and replaced, when bytes are released.
	released chan struct{}
}

// NewBudget returns a budget of limit bytes; 0 means no limit.
func NewBudget(limit int64) *Budget {
	if limit == 0 {
		limit = math.MaxInt64
	}
	return &Budget{limit: limit, accounts: map[*Account]struct{}{}, released: make(chan struct{})}
}

// Held returns the bytes of all accounts and those that are retained.
func (b *Budget) Held() int64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.held + b.retained
}

// Limit returns the limit in bytes.
func (b *Budget) Limit() int64 { return b.limit }

// SetRetained replaces the number of bytes that belong to no account and count against the
// limit. It cannot fail, as they are already allocated.
func (b *Budget) SetRetained(n int64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	released := n < b.retained
	b.retained = n
	if released {
		b.notifyReleased()
	}
}

// Open returns an account that holds nothing. evict is called once at most, to make its owner
// release what it holds; it must not block.
func (b *Budget) Open(evict func()) *Account {
	b.mu.Lock()
	defer b.mu.Unlock()
	a := &Account{budget: b, evict: evict}
	b.accounts[a] = struct{}{}
	return a
}

// largest returns the account that holds most and was not evicted yet; nil if there is none.
func (b *Budget) largest() *Account {
	var largest *Account
	for a := range b.accounts {
		if !a.evicted && (largest == nil || a.held > largest.held) {
			largest = a
		}
	}
	return largest
}

func (b *Budget) notifyReleased() {
	close(b.released)
	b.released = make(chan struct{})
}

// Account is what one response holds.
type Account struct {
	budget  *Budget
	evict   func()
	held    int64
	evicted bool
	closed  bool
}

// Resize makes n the bytes that the account holds, before they are allocated. If they do not
// fit, it waits until an account that holds more is closed or retained bytes are released. The
// error is ErrExhausted if neither can make room, or that of the context.
func (a *Account) Resize(ctx context.Context, n int64) error {
	for {
		released, err := a.tryResize(n)
		if released == nil {
			return err
		}
		select {
		case <-released:
		case <-ctx.Done():
			if a.Evicted() {
				return ErrExhausted
			}
			return ctx.Err()
		}
	}
}

// tryResize is Resize without waiting. If the account has to wait, it returns what to wait for.
func (a *Account) tryResize(n int64) (released <-chan struct{}, err error) {
	b := a.budget
	b.mu.Lock()
	defer b.mu.Unlock()
	if n <= a.held {
		b.held -= a.held - n
		if n < a.held {
			b.notifyReleased()
		}
		a.held = n
		return nil, nil
	}
	if a.evicted || a.closed {
		return nil, ErrExhausted
	}
	if b.held+b.retained+n-a.held <= b.limit {
		b.held += n - a.held
		a.held = n
		return nil, nil
	}
	if n > b.limit {
		return nil, ErrExhausted
	}
	victim := b.largest()
	if victim != a && victim.held > n {
		victim.evicted = true
		victim.evict()
		return b.released, nil
	}
	if retainedTooMuch := b.held+n-a.held <= b.limit; retainedTooMuch || b.evicting() {
		return b.released, nil
	}
	return nil, ErrExhausted
}

// evicting reports whether an evicted account has not been closed yet.
func (b *Budget) evicting() bool {
	for a := range b.accounts {
		if a.evicted {
			return true
		}
	}
	return false
}

// Evicted reports whether the account was evicted.
func (a *Account) Evicted() bool {
	a.budget.mu.Lock()
	defer a.budget.mu.Unlock()
	return a.evicted
}

// Close releases what the account holds. It may be called more than once.
func (a *Account) Close() {
	b := a.budget
	b.mu.Lock()
	defer b.mu.Unlock()
	a.close()
}

// Retain closes the account and adds what it holds to the retained bytes.
func (a *Account) Retain() {
	b := a.budget
	b.mu.Lock()
	defer b.mu.Unlock()
	b.retained += a.held
	a.close()
}

func (a *Account) close() {
	if a.closed {
		return
	}
	a.closed = true
	a.budget.held -= a.held
	a.held = 0
	delete(a.budget.accounts, a)
	a.budget.notifyReleased()
}
