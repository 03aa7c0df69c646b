package kv

import (
	"context"
	"errors"
	"sync"
	"sync/atomic"
	"time"

	"go.uber.org/zap"
)

const (
	// probeInterval is the time between two probes. A shorter silence of the store may go
	// unnoticed.
	probeInterval = 300 * time.Millisecond
	// probeDelay is the time between the start of a watch and the probe that follows it. The
	// probe must reach the store after the watch.
	probeDelay = 10 * time.Millisecond
	// probeTimeout is when a probe counts as lost. A slow store takes up to half a second.
	probeTimeout = 800 * time.Millisecond
	// probeLeaseTTL is the lifetime of the lease that probes renew. No key is bound to it.
	probeLeaseTTL = time.Minute
	// maxUnprobedWait is the longest wait of a watch that is not probed: it ends soon anyway.
	maxUnprobedWait = 2 * time.Second
)

// errSilence is the cause for which a watch is ended.
var errSilence = Class.New("the store was silent since the watch began")

// probeRecord holds the outcomes of probes.
type probeRecord struct {
	// answeredAt is when the latest answered probe was sent.
	answeredAt time.Time
	// lostAt is when the latest lost probe was sent that no later answered one followed.
	lostAt time.Time
}

// answered records that a probe was answered. Watches that began before the returned time may
// have lost their response; the time is zero if no probe was lost.
func (r *probeRecord) answered(sentAt time.Time) (doubtfulBefore time.Time) {
	if sentAt.After(r.answeredAt) {
		r.answeredAt = sentAt
	}
	return r.resolve()
}

// lost records that a probe was never answered, and returns the same as answered.
func (r *probeRecord) lost(sentAt time.Time) (doubtfulBefore time.Time) {
	if sentAt.After(r.lostAt) {
		r.lostAt = sentAt
	}
	return r.resolve()
}

// resolve returns the time from which the store is known to answer again after it was silent,
// once that is known.
func (r *probeRecord) resolve() time.Time {
	if r.lostAt.IsZero() || !r.answeredAt.After(r.lostAt) {
		return time.Time{}
	}
	r.lostAt = time.Time{}
	return r.answeredAt
}

// ProbedStore is a Store whose long watches end with an error once the store was silent since
// they began. A store that is silent for a moment never answers the calls that reached it then,
// and a response that it sent is lost; a watch, which waits without any sign of life, would wait
// for its whole timeout. So while there are watches, the process renews a lease at short
// intervals: if a renewal is lost and a later one is answered, watches that began before are
// ended.
type ProbedStore struct {
	Store
	// probes is where probes are sent.
	probes Store
	log    *zap.Logger
	begun  chan struct{}
	lease  atomic.Int64
	// lent returns a lease of another part of the process.
	lent func() LeaseID

	mu      sync.Mutex
	record  probeRecord
	nextID  int
	watches map[int]runningWatch
}

type runningWatch struct {
	startedAt time.Time
	end       context.CancelCauseFunc
}

// NewProbedStore returns a store whose watches are those of another one. While Run runs, probes
// are sent through a client of the same store, which may leave out what the first one records.
func NewProbedStore(store, probes Store, log *zap.Logger) *ProbedStore {
	return &ProbedStore{Store: store, probes: probes, log: log, begun: make(chan struct{}, 1), watches: map[int]runningWatch{}}
}

// UseLease makes probes renew a lease that the process has anyway, instead of one of their own.
// It returns 0 before there is one. UseLease must be called before Run.
func (p *ProbedStore) UseLease(lease func() LeaseID) { p.lent = lease }

// Watch implements Store.
func (p *ProbedStore) Watch(ctx context.Context, prefix string, after Revision, wait time.Duration) ([]Item, Revision, error) {
	if wait <= maxUnprobedWait {
		return p.Store.Watch(ctx, prefix, after, wait)
	}
	ctx, end := context.WithCancelCause(ctx)
	defer end(nil)
	id := p.begin(end)
	defer p.remove(id)
	events, at, err := p.Store.Watch(ctx, prefix, after, wait)
	if err != nil && errors.Is(context.Cause(ctx), errSilence) {
		return nil, 0, Class.New("%w: %w", ErrOutcomeUnknown, errSilence)
	}
	return events, at, err
}

// begin records that a watch begins and wakes Run.
func (p *ProbedStore) begin(end context.CancelCauseFunc) int {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.nextID++
	p.watches[p.nextID] = runningWatch{time.Now(), end}
	select {
	case p.begun <- struct{}{}:
	default:
	}
	return p.nextID
}

func (p *ProbedStore) remove(id int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.watches, id)
}

func (p *ProbedStore) watching() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return len(p.watches) > 0
}

// Run probes the store while there are watches, until ctx ends.
func (p *ProbedStore) Run(ctx context.Context) error {
	for ctx.Err() == nil {
		var interval <-chan time.Time
		if p.watching() {
			interval = time.After(probeInterval)
		}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-p.begun:
			Sleep(ctx, probeDelay)
		case <-interval:
		}
		go p.probe(ctx)
	}
	return ctx.Err()
}

// probe sends one probe and ends the watches that may have lost their response.
func (p *ProbedStore) probe(parent context.Context) {
	ctx, cancel := context.WithTimeout(parent, probeTimeout)
	defer cancel()
	sentAt := time.Now()
	err := p.renew(ctx)
	if parent.Err() != nil || errors.Is(err, ErrRefused) {
		return // refused watches end by themselves
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	var doubtfulBefore time.Time
	if err == nil || errors.Is(err, ErrNotFound) {
		doubtfulBefore = p.record.answered(sentAt)
	} else {
		doubtfulBefore = p.record.lost(sentAt)
	}
	ended := 0
	for _, w := range p.watches {
		if w.startedAt.Before(doubtfulBefore) {
			w.end(errSilence)
			ended++
		}
	}
	if ended > 0 {
		p.log.Warn("store: was silent, watches are sent again", zap.Int("watches", ended), zap.Time("answers-since", doubtfulBefore))
	}
}

// renew renews the lease of the probes. Whether the lease still exists does not matter, as long
// as the store answers.
func (p *ProbedStore) renew(ctx context.Context) error {
	if p.lent != nil {
		lease := p.lent()
		if lease == 0 {
			return ErrRefused // there is nothing to renew yet
		}
		return p.probes.KeepAlive(ctx, lease)
	}
	lease := p.lease.Load()
	if lease == 0 {
		granted, err := p.probes.Grant(ctx, probeLeaseTTL)
		p.lease.CompareAndSwap(0, int64(granted))
		return err
	}
	err := p.probes.KeepAlive(ctx, LeaseID(lease))
	if errors.Is(err, ErrNotFound) {
		p.lease.CompareAndSwap(lease, 0)
	}
	return err
}
