// Package duty runs work that at most one instance does at a time. Each duty has a
// lease in the key-value store, and only the holder of the lease does the work.
package duty

import (
	"context"
	"errors"
	"sync"
	"time"

	"cactusspoke/internal/lease"
	"cactusspoke/internal/logs"
	"cactusspoke/internal/store"
	"cactusspoke/internal/timer"

	"github.com/zeebo/errs"
	"go.uber.org/zap"
)

// Class prefixes the errors of this package.
var Class = errs.Class("duty")

// Prefix is the key prefix of leases in the store.
const Prefix = "leases/"

const (
	// checkInterval is how often a runner checks whether a read or a write of the
	// lease record is due.
	checkInterval = 250 * time.Millisecond
	// readsPerTTL is how often a runner that is not the holder reads the lease
	// record in one time to live.
	readsPerTTL = 3
	// minTimeLeft is how much time the lease must have left for a round of work to
	// start.
	minTimeLeft = 200 * time.Millisecond
)

// Work does one round of a duty's work as its holder. The context does not end with
// the term; see Term.Context.
type Work func(ctx context.Context, term *Term)

// Runner competes for the lease of one duty and does the work while it holds it.
type Runner struct {
	name     string
	ttl      time.Duration
	client   store.Client
	eligible func(now time.Time) bool
	period   time.Duration
	work     Work
	timers   *timer.Service
	log      *zap.Logger

	mu        sync.Mutex
	candidate *lease.Candidate
	lastRead  time.Time
}

// NewRunner returns a runner for a duty. The instance competes only while eligible
// returns true, so that a large fleet does not poll the store. The holder calls
// work every period. See lease.New for ttl, margin and grace.
func NewRunner(name, instance string, ttl, margin, grace time.Duration, client store.Client,
	eligible func(now time.Time) bool, period time.Duration, work Work, timers *timer.Service, log *zap.Logger,
) *Runner {
	return &Runner{
		name: name, ttl: ttl, client: client, eligible: eligible, period: period, work: work, timers: timers, log: log,
		candidate: lease.New(instance, ttl, margin, grace),
	}
}

// Name returns the duty's name.
func (r *Runner) Name() string { return r.name }

// Holding reports whether this instance holds the duty at now, and the epoch that
// it holds or held last.
func (r *Runner) Holding(now time.Time) (epoch uint64, holding bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.candidate.Epoch(), r.candidate.Valid(now)
}

// Holder returns the holder in the last known lease record.
func (r *Runner) Holder() string {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.candidate.Holder()
}

// RunLease acquires the lease when it is free and renews it, until ctx ends.
func (r *Runner) RunLease(ctx context.Context) error {
	return r.timers.RunEvery(ctx, checkInterval, 0, func(time.Time) { r.maintainLease(ctx) })
}

// maintainLease reads the lease record if this instance is not the holder, and
// then acquires or renews the lease if that is due.
func (r *Runner) maintainLease(ctx context.Context) {
	_, holding := r.Holding(time.Now())
	if !holding {
		if time.Since(r.lastRead) < r.ttl/readsPerTTL || !r.eligible(time.Now()) || !r.readRecord(ctx) {
			return
		}
	}
	r.mu.Lock()
	write, due := r.candidate.NextWrite(time.Now())
	r.mu.Unlock()
	if due {
		r.writeRecord(ctx, write)
	}
}

// readRecord reads the lease record and reports whether it succeeded.
func (r *Runner) readRecord(ctx context.Context) bool {
	ctx, cancel := context.WithTimeout(store.WithPriority(ctx, store.PriorityUrgent), r.ttl/2)
	defer cancel()
	record, err := r.client.Get(ctx, Prefix+r.name)
	r.lastRead = time.Now()
	if err != nil {
		return false
	}
	content, err := lease.Decode(record.Value())
	if err != nil {
		r.log.Error("duty: lease record cannot be decoded", zap.String("duty", r.name), logs.Err(err))
		return false
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.candidate.Observe(time.Now(), content, record.Revision())
	return true
}

// writeRecord writes the lease record. If another instance wrote it first, it reads
// the new one. After any other error the write may have taken effect; the next read,
// or a conflict of the next write, shows it.
func (r *Runner) writeRecord(ctx context.Context, w lease.Write) {
	ctx, cancel := context.WithTimeout(store.WithPriority(ctx, store.PriorityUrgent), r.ttl/2)
	defer cancel()
	sentAt := time.Now()
	revision, err := r.client.Put(ctx, Prefix+r.name, lease.Encode(w.Record()), w.Expected())
	if errors.Is(err, store.ErrConflict) {
		r.readRecord(ctx)
		return
	}
	if err != nil {
		return
	}
	r.mu.Lock()
	before := r.candidate.State()
	r.candidate.ConfirmWrite(sentAt, w, revision)
	after := r.candidate.State()
	r.mu.Unlock()
	if before != after {
		r.log.Info("duty: taken", zap.String("duty", r.name), zap.Uint64("epoch", w.Record().Epoch()))
	}
}

// RunWork does a round of the duty's work every period while this instance is the
// holder, until ctx ends.
func (r *Runner) RunWork(ctx context.Context) error {
	return r.timers.RunEvery(ctx, r.period, 0, func(time.Time) { r.workOnce(ctx) })
}

func (r *Runner) workOnce(ctx context.Context) {
	r.mu.Lock()
	term := &Term{runner: r, epoch: r.candidate.Epoch(), deadline: r.candidate.Deadline()}
	r.mu.Unlock()
	if !term.Valid() || time.Until(term.deadline) < minTimeLeft {
		return
	}
	r.work(ctx, term)
}

// Term is the time in which one holder holds the duty under one epoch.
type Term struct {
	runner   *Runner
	epoch    uint64
	deadline time.Time
}

// Epoch returns the fencing epoch of the term.
func (t *Term) Epoch() uint64 { return t.epoch }

// Valid reports whether the duty is still held in this term. Check it again after
// every blocking call.
func (t *Term) Valid() bool {
	epoch, holding := t.runner.Holding(time.Now())
	return holding && epoch == t.epoch
}

// Deadline returns the time from which the holder must stop, unless the lease is
// renewed before.
func (t *Term) Deadline() time.Time {
	t.runner.mu.Lock()
	defer t.runner.mu.Unlock()
	return t.runner.candidate.Deadline()
}

// Context returns a context that ends at the current deadline of the lease.
func (t *Term) Context(ctx context.Context) (context.Context, context.CancelFunc) {
	return context.WithDeadline(ctx, t.Deadline())
}
