package rollout

import (
	"context"
	"errors"
	"fmt"
	"strings"
	"sync"
	"time"

	"cactusspoke/internal/admission"
	"cactusspoke/internal/failure"
	"cactusspoke/internal/forward"
	"cactusspoke/internal/logs"
	"cactusspoke/internal/peer"
	"cactusspoke/internal/profile"
	"cactusspoke/internal/ring"
	"cactusspoke/internal/routing"
	"cactusspoke/internal/sample"
	"cactusspoke/internal/step"

	"github.com/rcrowley/go-metrics"
	"go.uber.org/zap"
)

// Limits of a driver.
const (
	maxRunning    = 128
	sealPeriod    = 200 * time.Millisecond
	retryPause    = 100 * time.Millisecond
	storeTimeout  = 5 * time.Second
	copies        = 2
	maxStepTime   = time.Hour
	pathChat      = "/v1/chat/completions"
	contentType   = "application/json"
	maxGroups     = 8192
	maxGroupCount = 1024
)

// Driver runs the steps that trainers opened on this instance.
type Driver struct {
	ctx       context.Context
	forwarder *forward.Forwarder
	registry  *step.Registry
	members   *peer.Members
	clients   *peer.Clients
	newest    func(service string) int64
	log       *zap.Logger
	slots     chan struct{}
	wasted    metrics.Counter

	mu   sync.Mutex
	runs map[step.ID]*active
}

// active is a step under way with the goroutines that serve it.
type active struct {
	order    Order
	finished *ring.Ring[result]
	cancel   context.CancelFunc

	mu  sync.Mutex
	run *run
}

type result struct {
	sample *sample.Sample
	at     place
	err    error
}

// Order is what a trainer asks for.
type Order struct {
	id       step.ID
	service  *profile.Service
	profile  *profile.Profile
	customer *profile.Customer
	digest   string
	secret   string
	version  int64
	groups   []Group
}

// NewOrder returns a trainer's order of a step at its weight version.
func NewOrder(id step.ID, s *profile.Service, p *profile.Profile, c *profile.Customer, digest, secret string, version int64, groups []Group) Order {
	return Order{id, s, p, c, digest, secret, version, groups}
}

// Validate checks the order's sizes.
func (o Order) Validate() error {
	if len(o.groups) == 0 || len(o.groups) > maxGroups {
		return failure.New(failure.BadRequest, "groups: %d must be from 1 to %d", len(o.groups), maxGroups)
	}
	seen := map[string]bool{}
	for i, g := range o.groups {
		if g.id == "" || seen[g.id] {
			return failure.New(failure.BadRequest, "groups[%d].id: must be present and unique", i)
		}
		if g.samples < 1 || g.samples > maxGroupCount {
			return failure.New(failure.BadRequest, "groups[%d].samples: %d must be from 1 to %d", i, g.samples, maxGroupCount)
		}
		seen[g.id] = true
	}
	return nil
}

// NewDriver returns a driver whose work ends with ctx. newest tells the newest
// weight version that is known for a service.
func NewDriver(ctx context.Context, forwarder *forward.Forwarder, registry *step.Registry, members *peer.Members,
	clients *peer.Clients, newest func(service string) int64, registryOfMetrics metrics.Registry, log *zap.Logger,
) *Driver {
	return &Driver{
		ctx: ctx, forwarder: forwarder, registry: registry, members: members, clients: clients,
		newest: newest, log: log, slots: make(chan struct{}, maxRunning),
		wasted: metrics.GetOrRegisterCounter("rollout-samples-dropped", registryOfMetrics),
		runs:   map[step.ID]*active{},
	}
}

// Running returns how many steps are open here.
func (d *Driver) Running() int {
	d.mu.Lock()
	defer d.mu.Unlock()
	n := 0
	for _, a := range d.runs {
		a.mu.Lock()
		if a.run.state() == Open {
			n++
		}
		a.mu.Unlock()
	}
	return n
}

// Open begins a step, unless it is open here or was sealed before. Opening
// the same step again is harmless.
func (d *Driver) Open(ctx context.Context, o Order) error {
	if err := o.Validate(); err != nil {
		return err
	}
	standing, err := d.registry.Manifest(ctx, o.id)
	if err != nil {
		return failure.New(failure.StoreUnavailable, "%w", err)
	}
	if standing != nil {
		return nil
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	if _, ok := d.runs[o.id]; ok {
		return nil
	}
	total := 0
	for _, g := range o.groups {
		total += g.samples
	}
	runCtx, cancel := context.WithTimeout(d.ctx, maxStepTime)
	a := &active{
		order: o, cancel: cancel, finished: ring.New[result](total),
		run: newRun(o.id, o.profile.SealShare(), o.profile.StalenessBound(), o.version, o.groups),
	}
	d.runs[o.id] = a
	go d.serve(runCtx, a)
	return nil
}

// serve runs a step to its seal. It is the only goroutine that decides.
func (d *Driver) serve(ctx context.Context, a *active) {
	defer a.cancel()
	for _, g := range a.order.groups {
		for index := range g.samples {
			go d.sample(ctx, a, place{g.id, index})
		}
	}
	tick := time.NewTicker(sealPeriod)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			d.forget(a)
			return
		case r := <-a.finished.Items():
			d.take(ctx, a, r)
		case <-tick.C:
			d.advance(ctx, a)
		}
		if d.trySeal(ctx, a) {
			return
		}
	}
}

func (d *Driver) forget(a *active) {
	a.mu.Lock()
	_ = a.run.machine.Fire(abandon)
	a.mu.Unlock()
	d.mu.Lock()
	delete(d.runs, a.order.id)
	d.mu.Unlock()
}

func (d *Driver) take(ctx context.Context, a *active, r result) {
	a.mu.Lock()
	kept := r.err == nil && a.run.finish(r.at, r.sample)
	a.mu.Unlock()
	if kept {
		return
	}
	if r.err == nil {
		d.wasted.Inc(1)
	}
	if failure.KindOf(r.err) == failure.KeyWithdrawn {
		d.log.Info("rollout: step abandoned, its trainer's key was withdrawn", zap.Stringer("step", a.order.id))
		a.cancel()
		return
	}
	go d.sample(ctx, a, r.at)
}

// advance follows the trainer's version and runs again what became too old.
func (d *Driver) advance(ctx context.Context, a *active) {
	a.mu.Lock()
	again := a.run.advance(d.newest(a.order.service.Name()))
	a.mu.Unlock()
	d.wasted.Inc(int64(len(again)))
	for _, at := range again {
		go d.sample(ctx, a, at)
	}
}

// sample runs one sample and reports its end.
func (d *Driver) sample(ctx context.Context, a *active, at place) {
	select {
	case d.slots <- struct{}{}:
	case <-ctx.Done():
		return
	}
	defer func() { <-d.slots }()
	s, err := d.runOne(ctx, a, at)
	if err != nil {
		d.log.Debug("rollout: sample failed", zap.Stringer("step", a.order.id), logs.Err(err))
		pause(ctx, retryPause)
	}
	_ = a.finished.Put(ctx, result{sample: s, at: at, err: err})
}

func (d *Driver) runOne(ctx context.Context, a *active, at place) (*sample.Sample, error) {
	a.mu.Lock()
	minVersion := a.run.version - a.run.bound
	g := a.run.groups[at.group]
	a.mu.Unlock()
	o := a.order
	work := routing.NewAttributes()
	if hash, ok := routing.PrefixHash(g.body); ok {
		work = work.WithPrefix(hash)
	}
	request := forward.New(o.service, o.profile, "POST", pathChat, pathChat).
		WithCustomer(o.customer, o.digest, o.secret).
		WithBody(contentType, g.body, nil).
		WithIdempotency(true, "").
		WithRouting(work, float64(len(g.body))).
		WithPriority(admission.Rollout).
		WithMinWeightVersion(max(0, minVersion))
	sink := &collector{builder: sample.NewBuilder(fmt.Sprintf("%s-%d", g.id, at.index), g.id)}
	if err := d.forwarder.Do(ctx, request, sink); err != nil {
		return nil, err
	}
	return sink.builder.Finish()
}

// trySeal seals the step when enough groups are whole.
func (d *Driver) trySeal(ctx context.Context, a *active) bool {
	a.mu.Lock()
	samples, ok := a.run.ready()
	version, bound, dropped := a.run.version, a.run.bound, a.run.dropped
	a.mu.Unlock()
	if !ok {
		return false
	}
	keepers, entries, err := d.keep(ctx, a.order.id, samples)
	if err != nil {
		d.log.Info("rollout: samples not stored yet", zap.Stringer("step", a.order.id), logs.Err(err))
		pause(ctx, sealPeriod)
		return false
	}
	if newest := d.newest(a.order.service.Name()); newest > version {
		return false
	}
	m := step.NewManifest(a.order.id, version, bound, entries, keepers, dropped)
	sealCtx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	if _, err := d.registry.Seal(sealCtx, m); err != nil {
		d.log.Info("rollout: step not sealed yet", zap.Stringer("step", a.order.id), logs.Err(err))
		pause(ctx, sealPeriod)
		return false
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	_ = a.run.machine.Fire(seal)
	d.log.Info("rollout: step sealed", zap.Stringer("step", a.order.id), zap.Int("samples", len(entries)))
	return true
}

// keep stores the bodies by digest on two instances with disks, in different failure
// domains where there are any, before the step may be sealed.
func (d *Driver) keep(ctx context.Context, id step.ID, samples []*sample.Sample) ([]string, []step.Entry, error) {
	bodies := map[string][]byte{}
	entries := make([]step.Entry, 0, len(samples))
	for _, s := range samples {
		body := sample.Encode(s)
		digest := sample.Digest(body)
		bodies[digest] = body
		entries = append(entries, step.NewEntry(s.ID(), digest, s.OldestVersion()))
	}
	chosen := chooseKeepers(d.members.Rank(time.Now(), id.String()))
	if len(chosen) < copies {
		return nil, nil, failure.New(failure.KeepersUnavailable, "%d of %d instances with a data folder are there", len(chosen), copies)
	}
	var names []string
	for _, m := range chosen {
		if err := d.clients.PutSamples(ctx, m.PeersAddress(), id.String(), bodies); err != nil {
			return nil, nil, err
		}
		names = append(names, m.Name())
	}
	return names, entries, nil
}

// chooseKeepers picks two keepers from a ranking, the second in another
// failure domain than the first if possible.
func chooseKeepers(ranked []peer.Member) []peer.Member {
	var chosen []peer.Member
	for _, m := range ranked {
		if m.Keeper() && (len(chosen) == 0 || m.FailureDomain() != chosen[0].FailureDomain()) {
			chosen = append(chosen, m)
		}
		if len(chosen) == copies {
			return chosen
		}
	}
	for _, m := range ranked {
		if m.Keeper() && len(chosen) == 1 && m.Name() != chosen[0].Name() {
			return append(chosen, m)
		}
	}
	return chosen
}

// collector is the sink that builds a sample from a stream.
type collector struct {
	builder *sample.Builder
}

// Begin accepts only streams.
func (c *collector) Begin(status int, kind string) error {
	if status != 200 || !strings.HasPrefix(kind, "text/event-stream") {
		return errors.New("the engine did not answer with a stream")
	}
	return nil
}

// Event takes in one event.
func (c *collector) Event(data []byte) error {
	c.builder.Add(data)
	return nil
}

// Body is not expected.
func (c *collector) Body([]byte) error { return errors.New("the engine did not answer with a stream") }

func pause(ctx context.Context, d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
	case <-t.C:
	}
}
