package lab

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"cactusspoke/internal/store"
)

// Chances are the shares of calls, from 0 to 1, that end in each fault.
type Chances struct {
	// Refused calls have no effect, and the caller knows.
	Refused float64
	// LostBefore calls have no effect, and the caller does not know.
	LostBefore float64
	// LostAfter calls take effect, and the caller does not know.
	LostAfter float64
	// Late writes take effect some calls after the caller gave up.
	Late float64
	// Pause is the longest random delay of a call.
	Pause time.Duration
}

// Unreliable is a store client in one process whose calls go wrong at random.
type Unreliable struct {
	inner   store.Client
	chances Chances

	mu     sync.Mutex
	random *rand.Rand
	late   []func()
}

// NewUnreliable wraps a client; the seed decides which calls go wrong.
func NewUnreliable(inner store.Client, chances Chances, seed uint64) *Unreliable {
	return &Unreliable{inner: inner, chances: chances, random: rand.New(rand.NewPCG(seed, 1))}
}

type fate uint8

const (
	fine fate = iota
	refused
	lostBefore
	lostAfter
	lateWrite
)

// draw decides what becomes of a call, and carries out some late writes.
func (u *Unreliable) draw(write bool) fate {
	u.mu.Lock()
	var due func()
	if len(u.late) > 0 && u.random.Float64() < 0.3 {
		due = u.late[0]
		u.late = u.late[1:]
	}
	at := u.random.Float64()
	pause := time.Duration(0)
	if u.chances.Pause > 0 {
		pause = time.Duration(u.random.Int64N(int64(u.chances.Pause)))
	}
	u.mu.Unlock()
	time.Sleep(pause)
	if due != nil {
		due()
	}
	for _, row := range []struct {
		chance float64
		fate   fate
	}{
		{u.chances.Refused, refused},
		{u.chances.LostBefore, lostBefore},
		{u.chances.LostAfter, lostAfter},
		{u.chances.Late, lateWrite},
	} {
		if at < row.chance {
			if row.fate == lateWrite && !write {
				return lostBefore
			}
			return row.fate
		}
		at -= row.chance
	}
	return fine
}

func outcome[T any](f fate, v T, err error) (T, error) {
	var zero T
	switch f {
	case refused:
		return zero, store.ErrNotApplied
	case lostBefore, lostAfter, lateWrite:
		return zero, store.ErrUnknown
	default:
		return v, err
	}
}

// Get reads one key.
func (u *Unreliable) Get(ctx context.Context, key string) (store.Record, error) {
	f := u.draw(false)
	r, err := u.inner.Get(ctx, key)
	return outcome(f, r, err)
}

// List reads all keys below a prefix.
func (u *Unreliable) List(ctx context.Context, prefix string) (store.Page, error) {
	f := u.draw(false)
	p, err := u.inner.List(ctx, prefix)
	return outcome(f, p, err)
}

// Watch waits for changes below a prefix.
func (u *Unreliable) Watch(ctx context.Context, prefix string, after store.Revision, wait time.Duration) (store.Page, error) {
	f := u.draw(false)
	p, err := u.inner.Watch(ctx, prefix, after, wait)
	return outcome(f, p, err)
}

// Put writes a key.
func (u *Unreliable) Put(ctx context.Context, key string, value []byte, expected store.Revision) (store.Revision, error) {
	f := u.draw(true)
	if f == refused || f == lostBefore {
		return outcome[store.Revision](f, 0, nil)
	}
	if f == lateWrite {
		u.postpone(func() { _, _ = u.inner.Put(context.Background(), key, value, expected) })
		return outcome[store.Revision](f, 0, nil)
	}
	revision, err := u.inner.Put(ctx, key, value, expected)
	return outcome(f, revision, err)
}

// Delete removes a key.
func (u *Unreliable) Delete(ctx context.Context, key string, expected store.Revision) error {
	f := u.draw(true)
	if f != fine && f != lostAfter {
		_, err := outcome(f, 0, nil)
		return err
	}
	_, err := outcome(f, 0, u.inner.Delete(ctx, key, expected))
	return err
}

func (u *Unreliable) postpone(write func()) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.late = append(u.late, write)
}
