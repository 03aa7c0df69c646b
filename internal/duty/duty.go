// Package duty keeps leases in the key-value service and lets the holder of
// each act, and nobody else.
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

// Prefix is the prefix of lease keys in the store.
const Prefix = "leases/"

// Periods of a runner.
const (
	keepPeriod    = 250 * time.Millisecond
	observeShare  = 3
	minCallWindow = 200 * time.Millisecond
)

// Act is the work of a duty's holder. Its context ends with the term.
type Act func(ctx context.Context, term *Term)

// Runner competes for one duty and acts while it holds it.
type Runner struct {
	name     string
	ttl      time.Duration
	client   store.Client
	eligible func(now time.Time) bool
	period   time.Duration
	act      Act
	timers   *timer.Service
	log      *zap.Logger

	mu        sync.Mutex
	candidate *lease.Candidate
	observed  time.Time
}

// NewRunner returns a runner for a duty. Only eligible instances compete, so
// that a large fleet does not poll the store; the holder acts every period.
func NewRunner(name, me string, ttl, margin, grace time.Duration, client store.Client,
	eligible func(now time.Time) bool, period time.Duration, act Act, timers *timer.Service, log *zap.Logger,
) *Runner {
	return &Runner{
		name: name, ttl: ttl, client: client, eligible: eligible, period: period, act: act, timers: timers, log: log,
		candidate: lease.New(me, ttl, margin, grace),
	}
}

// Name returns the duty's name.
func (r *Runner) Name() string { return r.name }

// Holding tells whether this instance holds the duty, and its epoch.
func (r *Runner) Holding(now time.Time) (epoch uint64, holding bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.candidate.Epoch(), r.candidate.Valid(now)
}

// Holder returns the holder that was last seen.
func (r *Runner) Holder() string {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.candidate.Holder()
}

// RunKeep competes for the lease and renews it until the context ends.
func (r *Runner) RunKeep(ctx context.Context) error {
	return r.timers.Subscribe(ctx, keepPeriod, 0, func(time.Time) { r.keep(ctx) })
}

func (r *Runner) keep(ctx context.Context) {
	_, holding := r.Holding(time.Now())
	if !holding {
		if time.Since(r.observed) < r.ttl/observeShare || !r.eligible(time.Now()) || !r.observe(ctx) {
			return
		}
	}
	r.mu.Lock()
	write, due := r.candidate.Next(time.Now())
	r.mu.Unlock()
	if due {
		r.write(ctx, write)
	}
}

// observe reads the record; it returns false when it could not be read.
func (r *Runner) observe(ctx context.Context) bool {
	ctx, cancel := context.WithTimeout(store.WithPriority(ctx, store.PriorityUrgent), r.ttl/2)
	defer cancel()
	record, err := r.client.Get(ctx, Prefix+r.name)
	r.observed = time.Now()
	if err != nil {
		return false
	}
	content, err := lease.Decode(record.Value())
	if err != nil {
		r.log.Error("duty: lease record not readable", zap.String("duty", r.name), logs.Err(err))
		return false
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.candidate.Observe(time.Now(), content, record.Revision())
	return true
}

func (r *Runner) write(ctx context.Context, w lease.Write) {
	ctx, cancel := context.WithTimeout(store.WithPriority(ctx, store.PriorityUrgent), r.ttl/2)
	defer cancel()
	sentAt := time.Now()
	revision, err := r.client.Put(ctx, Prefix+r.name, lease.Encode(w.Record()), w.Expected())
	if errors.Is(err, store.ErrConflict) {
		r.observe(ctx)
		return
	}
	if err != nil {
		return
	}
	r.mu.Lock()
	before := r.candidate.State()
	r.candidate.Written(sentAt, w, revision)
	after := r.candidate.State()
	r.mu.Unlock()
	if before != after {
		r.log.Info("duty: taken", zap.String("duty", r.name), zap.Uint64("epoch", w.Record().Epoch()))
	}
}

// RunAct lets the holder act every period until the context ends.
func (r *Runner) RunAct(ctx context.Context) error {
	return r.timers.Subscribe(ctx, r.period, 0, func(time.Time) { r.actOnce(ctx) })
}

func (r *Runner) actOnce(ctx context.Context) {
	r.mu.Lock()
	term := &Term{runner: r, epoch: r.candidate.Epoch(), deadline: r.candidate.Deadline()}
	r.mu.Unlock()
	if !term.Valid() || time.Until(term.deadline) < minCallWindow {
		return
	}
	r.act(ctx, term)
}

// Term is one holder's time in charge.
type Term struct {
	runner   *Runner
	epoch    uint64
	deadline time.Time
}

// Epoch returns the fencing epoch of the term.
func (t *Term) Epoch() uint64 { return t.epoch }

// Valid tells whether the holder may act now. It must be asked again after
// every wait.
func (t *Term) Valid() bool {
	epoch, holding := t.runner.Holding(time.Now())
	return holding && epoch == t.epoch
}

// Deadline returns the time after which the holder must not act unless the
// lease is renewed.
func (t *Term) Deadline() time.Time {
	t.runner.mu.Lock()
	defer t.runner.mu.Unlock()
	return t.runner.candidate.Deadline()
}

// Context returns a context that ends with the right to act.
func (t *Term) Context(ctx context.Context) (context.Context, context.CancelFunc) {
	return context.WithDeadline(ctx, t.Deadline())
}
