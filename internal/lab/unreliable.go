package lab

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"cactusspoke/internal/store"
)

// FaultProbabilities holds the probability of each fault, from 0 to 1, and the
// maximum delay. A call has at most one fault.
type FaultProbabilities struct {
	// Refused calls have no effect and return store.ErrNotApplied.
	Refused float64
	// LostBefore calls have no effect and return store.ErrUnknown.
	LostBefore float64
	// LostAfter calls take effect and return store.ErrUnknown.
	LostAfter float64
	// Late calls of Put return store.ErrUnknown and take effect during a later
	// call. A late Delete has no effect.
	Late float64
	// Pause is the upper bound of the random delay of a call.
	Pause time.Duration
}

// UnreliableStore wraps a store client and injects faults into its calls at random.
type UnreliableStore struct {
	inner         store.Client
	probabilities FaultProbabilities

	mu             sync.Mutex
	random         *rand.Rand
	deferredWrites []func()
}

// NewUnreliableStore wraps a client. The seed determines which calls fail.
func NewUnreliableStore(inner store.Client, probabilities FaultProbabilities, seed uint64) *UnreliableStore {
	return &UnreliableStore{inner: inner, probabilities: probabilities, random: rand.New(rand.NewPCG(seed, 1))}
}

// deferredWriteProbability is the probability that a call first applies the oldest
// deferred write.
const deferredWriteProbability = 0.3

type fault uint8

const (
	noFault fault = iota
	refused
	lostBefore
	lostAfter
	lateWrite
)

// drawFault picks the fault of a call at random, waits for a random delay and, with
// deferredWriteProbability, applies the oldest deferred write. Reads get lostBefore
// in place of lateWrite.
func (u *UnreliableStore) drawFault(write bool) fault {
	u.mu.Lock()
	var dueWrite func()
	if len(u.deferredWrites) > 0 && u.random.Float64() < deferredWriteProbability {
		dueWrite = u.deferredWrites[0]
		u.deferredWrites = u.deferredWrites[1:]
	}
	point := u.random.Float64()
	pause := time.Duration(0)
	if u.probabilities.Pause > 0 {
		pause = time.Duration(u.random.Int64N(int64(u.probabilities.Pause)))
	}
	u.mu.Unlock()
	time.Sleep(pause)
	if dueWrite != nil {
		dueWrite()
	}
	for _, row := range []struct {
		probability float64
		fault       fault
	}{
		{u.probabilities.Refused, refused},
		{u.probabilities.LostBefore, lostBefore},
		{u.probabilities.LostAfter, lostAfter},
		{u.probabilities.Late, lateWrite},
	} {
		if point < row.probability {
			if row.fault == lateWrite && !write {
				return lostBefore
			}
			return row.fault
		}
		point -= row.probability
	}
	return noFault
}

func outcome[T any](f fault, v T, err error) (T, error) {
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
func (u *UnreliableStore) Get(ctx context.Context, key string) (store.Record, error) {
	f := u.drawFault(false)
	r, err := u.inner.Get(ctx, key)
	return outcome(f, r, err)
}

// List reads all keys below a prefix.
func (u *UnreliableStore) List(ctx context.Context, prefix string) (store.Page, error) {
	f := u.drawFault(false)
	p, err := u.inner.List(ctx, prefix)
	return outcome(f, p, err)
}

// Watch waits for changes below a prefix.
func (u *UnreliableStore) Watch(ctx context.Context, prefix string, after store.Revision, wait time.Duration) (store.Page, error) {
	f := u.drawFault(false)
	p, err := u.inner.Watch(ctx, prefix, after, wait)
	return outcome(f, p, err)
}

// Put writes a key.
func (u *UnreliableStore) Put(ctx context.Context, key string, value []byte, expected store.Revision) (store.Revision, error) {
	f := u.drawFault(true)
	if f == refused || f == lostBefore {
		return outcome[store.Revision](f, 0, nil)
	}
	if f == lateWrite {
		u.deferWrite(func() { _, _ = u.inner.Put(context.Background(), key, value, expected) })
		return outcome[store.Revision](f, 0, nil)
	}
	revision, err := u.inner.Put(ctx, key, value, expected)
	return outcome(f, revision, err)
}

// Delete removes a key.
func (u *UnreliableStore) Delete(ctx context.Context, key string, expected store.Revision) error {
	f := u.drawFault(true)
	if f != noFault && f != lostAfter {
		_, err := outcome(f, 0, nil)
		return err
	}
	_, err := outcome(f, 0, u.inner.Delete(ctx, key, expected))
	return err
}

func (u *UnreliableStore) deferWrite(write func()) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.deferredWrites = append(u.deferredWrites, write)
}
