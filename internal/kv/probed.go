package kv

import (
	"context"
	"errors"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"go.uber.org/zap"
)

const (
	// probeInterval is the time between two probes. A shorter silence of the store may go
	// unnoticed. Where answers take longer it is that time, up to maxProbeInterval, so that
	// probes do not pile up at a store or in a process that has too much to do.
	probeInterval    = 300 * time.Millisecond
	maxProbeInterval = time.Second
	// probeDelay is the time between the start of a watch and the probe that follows it. The
	// probe must reach the store after the watch.
	probeDelay = 10 * time.Millisecond
	// minPatience is how long a probe may still be answered after a later one was, before it
	// counts as lost. A slow store takes up to half a second.
	minPatience = 500 * time.Millisecond
	// patienceMemory is how long a slow answer to a probe extends the patience with others and
	// the time between probes.
	patienceMemory = 10 * time.Second
	// probeTimeout is when a probe counts as lost even if no later one was answered.
	probeTimeout = 1500 * time.Millisecond
	// minEndInterval is the time between two times that watches are ended. Each is sent again
	// with a list before it, so a store that is too busy to answer some probes must not get
	// that work as often as it is probed.
	minEndInterval = time.Second
	// probeLeaseTTL is the lifetime of the lease that probes renew. No key is bound to it.
	probeLeaseTTL = time.Minute
	// maxUnprobedWait is the longest wait of a watch that is not probed: it ends soon anyway.
	maxUnprobedWait = 2 * time.Second
	// answersKept bounds the answered probes that a record remembers: more than are sent while
	// one is awaited.
	answersKept = 32
)

// errSilence is the cause for which a watch is ended.
var errSilence = Class.New("the store was silent since the watch began")

// probeRecord holds the outcomes of probes. Probes are named by the time at which they were
// sent. It distinguishes a silent store, which loses calls, from a slow one, which answers all
// of them late, about in the order in which they were sent.
type probeRecord struct {
	// awaited are the probes that are under way.
	awaited []time.Time
	// answers are the latest answered probes, in the order in which they were sent.
	answers []time.Time
	// slowest is the longest time that an answer took lately, slowAt when it came.
	slowest time.Duration
	slowAt  time.Time
	// lostAt is when the latest lost probe was sent, and answersSince when the first answered one
	// after it was; zero if there is none yet.
	lostAt, answersSince time.Time
}

// sent records that a probe is sent.
func (r *probeRecord) sent(at time.Time) { r.awaited = append(r.awaited, at) }

// forget removes a probe that is not awaited any more.
func (r *probeRecord) forget(sentAt time.Time) {
	r.awaited = slices.DeleteFunc(r.awaited, sentAt.Equal)
}

// answered records that a probe was answered, and returns how long to wait for the answers to
// earlier ones before passedOver.
func (r *probeRecord) answered(sentAt, now time.Time) (patience time.Duration) {
	r.forget(sentAt)
	i, _ := slices.BinarySearchFunc(r.answers, sentAt, time.Time.Compare)
	r.answers = slices.Insert(r.answers, i, sentAt)
	r.answers = r.answers[max(0, len(r.answers)-answersKept):]
	if took := now.Sub(sentAt); took >= r.latency(now) {
		r.slowest, r.slowAt = took, now
	}
	return min(max(minPatience, r.slowest), probeTimeout)
}

// latency returns the longest time that an answer took lately.
func (r *probeRecord) latency(now time.Time) time.Duration {
	if now.Sub(r.slowAt) > patienceMemory {
		return 0
	}
	return r.slowest
}

// passedOver records that probes which were sent before an answered one, and are not answered
// after the patience with them, are lost.
func (r *probeRecord) passedOver(answered time.Time) {
	for _, sentAt := range r.awaited {
		if sentAt.Before(answered) {
			r.lost(sentAt)
		}
	}
}

// lost records that a probe is never answered.
func (r *probeRecord) lost(sentAt time.Time) {
	if sentAt.After(r.lostAt) {
		r.lostAt, r.answersSince = sentAt, time.Time{}
	}
}

// doubtfulBefore returns the time before which watches began that may have lost their response:
// when the first answered probe after the latest lost one was sent. It is zero if no probe
// was lost or none was answered since.
func (r *probeRecord) doubtfulBefore() time.Time {
	if r.lostAt.IsZero() || !r.answersSince.IsZero() {
		return r.answersSince
	}
	if i := slices.IndexFunc(r.answers, func(at time.Time) bool { return at.After(r.lostAt) }); i >= 0 {
		r.answersSince = r.answers[i]
	}
	return r.answersSince
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
	// endedAt is when watches were last ended. deferred is set while an end is put off.
	endedAt  time.Time
	deferred bool
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

// Run probes the store while there are watches, until ctx ends: at intervals and after the
// start of each watch, unless the store is slow.
func (p *ProbedStore) Run(ctx context.Context) error {
	var probedAt time.Time
	for ctx.Err() == nil {
		interval := p.interval(time.Now())
		var due <-chan time.Time
		if p.watching() {
			due = time.After(time.Until(probedAt.Add(interval)))
		}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-p.begun:
			if interval > probeInterval {
				continue
			}
			Sleep(ctx, probeDelay)
		case <-due:
		}
		probedAt = time.Now()
		go p.probe(ctx)
	}
	return ctx.Err()
}

// interval returns the time between two probes.
func (p *ProbedStore) interval(now time.Time) time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	return min(max(probeInterval, p.record.latency(now)), maxProbeInterval)
}

// probe sends one probe and ends the watches that may have lost their response.
func (p *ProbedStore) probe(parent context.Context) {
	ctx, cancel := context.WithTimeout(parent, probeTimeout)
	defer cancel()
	sentAt := time.Now()
	p.mu.Lock()
	p.record.sent(sentAt)
	p.mu.Unlock()
	err := p.renew(ctx)
	patience, answered := p.recordOutcome(sentAt, err)
	if answered && patience > 0 {
		Sleep(parent, patience)
		p.mu.Lock()
		p.record.passedOver(sentAt)
		p.mu.Unlock()
	}
	if parent.Err() == nil {
		p.endDoubtful(parent)
	}
}

// recordOutcome records the outcome of a probe and reports whether it was answered. If it was
// and earlier ones are not yet, patience is how long to wait for these; otherwise it is 0.
func (p *ProbedStore) recordOutcome(sentAt time.Time, err error) (patience time.Duration, answered bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	switch {
	case errors.Is(err, ErrRefused):
		p.record.forget(sentAt) // refused watches end by themselves
		return 0, false
	case err != nil && !errors.Is(err, ErrNotFound):
		p.record.forget(sentAt)
		p.record.lost(sentAt)
		return 0, false
	}
	patience = p.record.answered(sentAt, time.Now())
	if !slices.ContainsFunc(p.record.awaited, sentAt.After) {
		return 0, true
	}
	return patience, true
}

// endDoubtful ends the watches that may have lost their response, now or minEndInterval after
// it last did.
func (p *ProbedStore) endDoubtful(ctx context.Context) {
	p.mu.Lock()
	defer p.mu.Unlock()
	doubtfulBefore := p.record.doubtfulBefore()
	var doubtful []runningWatch
	for _, w := range p.watches {
		if w.startedAt.Before(doubtfulBefore) {
			doubtful = append(doubtful, w)
		}
	}
	if len(doubtful) == 0 || p.deferred {
		return
	}
	if rest := minEndInterval - time.Since(p.endedAt); rest > 0 {
		p.deferred = true
		go func() {
			Sleep(ctx, rest)
			p.mu.Lock()
			p.deferred = false
			p.mu.Unlock()
			p.endDoubtful(ctx)
		}()
		return
	}
	p.endedAt = time.Now()
	for _, w := range doubtful {
		w.end(errSilence)
	}
	p.log.Warn("store: was silent, watches are sent again", zap.Int("watches", len(doubtful)), zap.Time("answers-since", doubtfulBefore))
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
