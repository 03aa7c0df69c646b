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
	"cactusspoke/internal/queue"
	"cactusspoke/internal/routing"
	"cactusspoke/internal/sample"
	"cactusspoke/internal/step"

	"github.com/rcrowley/go-metrics"
	"go.uber.org/zap"
)

const (
	maxConcurrentSamples = 128
	checkInterval        = 200 * time.Millisecond
	retryDelay           = 100 * time.Millisecond
	sealTimeout          = 5 * time.Second
	replicaCount         = 2
	stepTimeout          = time.Hour
	chatPath             = "/v1/chat/completions"
	contentType          = "application/json"
	maxGroups            = 8192
	maxSamplesPerGroup   = 1024
)

// Driver runs the training steps opened on this instance: it generates their
// samples, stores the samples on replicas and seals the steps.
type Driver struct {
	ctx            context.Context
	forwarder      *forward.Forwarder
	registry       *step.Registry
	members        *peer.Members
	clients        *peer.Clients
	newestVersion  func(service string) int64
	log            *zap.Logger
	sampleSlots    chan struct{}
	droppedSamples metrics.Counter

	mu    sync.Mutex
	steps map[step.ID]*activeStep
}

// activeStep is a step known to this instance with the state shared by its
// goroutines. mu guards run.
type activeStep struct {
	request StepRequest
	results *queue.Queue[sampleResult]
	cancel  context.CancelFunc

	mu  sync.Mutex
	run *run
}

// sampleResult is the outcome of one attempt to generate a sample.
type sampleResult struct {
	sample *sample.Sample
	ref    sampleRef
	err    error
}

// StepRequest is a trainer's request to run a step.
type StepRequest struct {
	id            step.ID
	service       *profile.Service
	profile       *profile.Profile
	customer      *profile.Customer
	keyDigest     string
	apiKey        string
	weightVersion int64
	groups        []Group
}

// NewStepRequest returns a request to run a step. digest and secret identify the
// customer's API key; version is the trainer's current weight version.
func NewStepRequest(id step.ID, s *profile.Service, p *profile.Profile, c *profile.Customer, digest, secret string, version int64, groups []Group) StepRequest {
	return StepRequest{id, s, p, c, digest, secret, version, groups}
}

// Validate checks the number of groups, their ids and their sample counts.
func (r StepRequest) Validate() error {
	if len(r.groups) == 0 || len(r.groups) > maxGroups {
		return failure.New(failure.BadRequest, "groups: %d must be from 1 to %d", len(r.groups), maxGroups)
	}
	seen := map[string]bool{}
	for i, g := range r.groups {
		if g.id == "" || seen[g.id] {
			return failure.New(failure.BadRequest, "groups[%d].id: must be present and unique", i)
		}
		if g.sampleCount < 1 || g.sampleCount > maxSamplesPerGroup {
			return failure.New(failure.BadRequest, "groups[%d].samples: %d must be from 1 to %d", i, g.sampleCount, maxSamplesPerGroup)
		}
		seen[g.id] = true
	}
	return nil
}

// NewDriver returns a driver whose steps are abandoned when ctx is done.
// newestVersion returns the newest known weight version of a service.
func NewDriver(ctx context.Context, forwarder *forward.Forwarder, registry *step.Registry, members *peer.Members,
	clients *peer.Clients, newestVersion func(service string) int64, metricsRegistry metrics.Registry, log *zap.Logger,
) *Driver {
	return &Driver{
		ctx: ctx, forwarder: forwarder, registry: registry, members: members, clients: clients,
		newestVersion: newestVersion, log: log, sampleSlots: make(chan struct{}, maxConcurrentSamples),
		droppedSamples: metrics.GetOrRegisterCounter("rollout-samples-dropped", metricsRegistry),
		steps:          map[step.ID]*activeStep{},
	}
}

// OpenStepCount returns the number of open steps on this instance.
func (d *Driver) OpenStepCount() int {
	d.mu.Lock()
	defer d.mu.Unlock()
	count := 0
	for _, a := range d.steps {
		a.mu.Lock()
		if a.run.state() == Open {
			count++
		}
		a.mu.Unlock()
	}
	return count
}

// Open starts a step. It is idempotent: it does nothing if the step is already
// known to this instance or sealed.
func (d *Driver) Open(ctx context.Context, stepRequest StepRequest) error {
	if err := stepRequest.Validate(); err != nil {
		return err
	}
	existing, err := d.registry.Manifest(ctx, stepRequest.id)
	if err != nil {
		return failure.New(failure.StoreUnavailable, "%w", err)
	}
	if existing != nil {
		return nil
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	if _, ok := d.steps[stepRequest.id]; ok {
		return nil
	}
	totalSamples := 0
	for _, g := range stepRequest.groups {
		totalSamples += g.sampleCount
	}
	runCtx, cancel := context.WithTimeout(d.ctx, stepTimeout)
	active := &activeStep{
		request: stepRequest, cancel: cancel, results: queue.New[sampleResult](totalSamples),
		run: newRun(stepRequest.id, stepRequest.profile.SealShare(), stepRequest.profile.StalenessBound(), stepRequest.weightVersion, stepRequest.groups),
	}
	d.steps[stepRequest.id] = active
	go d.runStep(runCtx, active)
	return nil
}

// runStep generates the samples of a step until the step is sealed or ctx is
// done. Only this goroutine changes the state of the step.
func (d *Driver) runStep(ctx context.Context, a *activeStep) {
	defer a.cancel()
	for _, g := range a.request.groups {
		for index := range g.sampleCount {
			go d.runSample(ctx, a, sampleRef{g.id, index})
		}
	}
	ticker := time.NewTicker(checkInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			d.abandonStep(a)
			return
		case r := <-a.results.Items():
			d.handleResult(ctx, a, r)
		case <-ticker.C:
			d.advanceVersion(ctx, a)
		}
		if d.trySeal(ctx, a) {
			return
		}
	}
}

// abandonStep marks a step as abandoned and removes it from this instance.
func (d *Driver) abandonStep(a *activeStep) {
	a.mu.Lock()
	_ = a.run.machine.Fire(abandon)
	a.mu.Unlock()
	d.mu.Lock()
	delete(d.steps, a.request.id)
	d.mu.Unlock()
}

// handleResult records a generated sample. It starts the sample again if the
// attempt failed or the sample is stale, and abandons the step if the trainer's
// key was withdrawn.
func (d *Driver) handleResult(ctx context.Context, a *activeStep, r sampleResult) {
	a.mu.Lock()
	accepted := r.err == nil && a.run.addSample(r.ref, r.sample)
	a.mu.Unlock()
	if accepted {
		return
	}
	if r.err == nil {
		d.droppedSamples.Inc(1)
	}
	if failure.KindOf(r.err) == failure.KeyWithdrawn {
		d.log.Info("rollout: step abandoned because the trainer's key was withdrawn", zap.Stringer("step", a.request.id))
		a.cancel()
		return
	}
	go d.runSample(ctx, a, r.ref)
}

// advanceVersion applies the newest known weight version and generates again the
// samples that have become stale.
func (d *Driver) advanceVersion(ctx context.Context, a *activeStep) {
	a.mu.Lock()
	rerun := a.run.advanceVersion(d.newestVersion(a.request.service.Name()))
	a.mu.Unlock()
	d.droppedSamples.Inc(int64(len(rerun)))
	for _, ref := range rerun {
		go d.runSample(ctx, a, ref)
	}
}

// runSample generates one sample, within the instance's limit of concurrent
// samples, and puts the outcome into the results of the step.
func (d *Driver) runSample(ctx context.Context, a *activeStep, ref sampleRef) {
	select {
	case d.sampleSlots <- struct{}{}:
	case <-ctx.Done():
		return
	}
	defer func() { <-d.sampleSlots }()
	s, err := d.generateSample(ctx, a, ref)
	if err != nil {
		d.log.Debug("rollout: sample generation failed", zap.Stringer("step", a.request.id), logs.Err(err))
		sleep(ctx, retryDelay)
	}
	_ = a.results.Put(ctx, sampleResult{sample: s, ref: ref, err: err})
}

// generateSample sends the group's request through the forwarder and builds the
// sample from the response stream.
func (d *Driver) generateSample(ctx context.Context, a *activeStep, ref sampleRef) (*sample.Sample, error) {
	a.mu.Lock()
	minVersion := a.run.trainerVersion - a.run.stalenessBound
	group := a.run.groups[ref.group]
	a.mu.Unlock()
	stepRequest := a.request
	attributes := routing.NewAttributes()
	if hash, ok := routing.PrefixHash(group.requestBody); ok {
		attributes = attributes.WithPrefix(hash)
	}
	request := forward.New(stepRequest.service, stepRequest.profile, "POST", chatPath, chatPath).
		WithCustomer(stepRequest.customer, stepRequest.keyDigest, stepRequest.apiKey).
		WithBody(contentType, group.requestBody, nil).
		WithIdempotency(true, "").
		WithRouting(attributes, float64(len(group.requestBody))).
		WithPriority(admission.Rollout).
		WithMinWeightVersion(max(0, minVersion))
	sink := &sampleSink{builder: sample.NewBuilder(fmt.Sprintf("%s-%d", group.id, ref.index), group.id)}
	if err := d.forwarder.Do(ctx, request, sink); err != nil {
		return nil, err
	}
	return sink.builder.Finish()
}

// trySeal stores the samples and seals the step once enough groups are
// complete. It returns true when the step is sealed. Nothing is sealed when a
// newer weight version appeared meanwhile, since that can make samples stale.
func (d *Driver) trySeal(ctx context.Context, a *activeStep) bool {
	a.mu.Lock()
	samples, ok := a.run.samplesToSeal()
	version, bound, dropped := a.run.trainerVersion, a.run.stalenessBound, a.run.droppedCount
	a.mu.Unlock()
	if !ok {
		return false
	}
	replicas, entries, err := d.storeSamples(ctx, a.request.id, samples)
	if err != nil {
		d.log.Info("rollout: cannot store samples; retrying", zap.Stringer("step", a.request.id), logs.Err(err))
		sleep(ctx, checkInterval)
		return false
	}
	if newest := d.newestVersion(a.request.service.Name()); newest > version {
		return false
	}
	manifest := step.NewManifest(a.request.id, version, bound, entries, replicas, dropped)
	sealCtx, cancel := context.WithTimeout(ctx, sealTimeout)
	defer cancel()
	if _, err := d.registry.Seal(sealCtx, manifest); err != nil {
		d.log.Info("rollout: cannot seal step; retrying", zap.Stringer("step", a.request.id), logs.Err(err))
		sleep(ctx, checkInterval)
		return false
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	_ = a.run.machine.Fire(seal)
	d.log.Info("rollout: step sealed", zap.Stringer("step", a.request.id), zap.Int("samples", len(entries)))
	return true
}

// storeSamples writes the sample bodies to two instances with data folders, in
// different failure domains if possible. This must succeed before the step is
// sealed. It returns the names of the instances and the manifest entries.
func (d *Driver) storeSamples(ctx context.Context, id step.ID, samples []*sample.Sample) ([]string, []step.Entry, error) {
	bodies := map[string][]byte{}
	entries := make([]step.Entry, 0, len(samples))
	for _, s := range samples {
		body := sample.Encode(s)
		digest := sample.Digest(body)
		bodies[digest] = body
		entries = append(entries, step.NewEntry(s.ID(), digest, s.OldestVersion()))
	}
	replicas := chooseReplicas(d.members.Rank(time.Now(), id.String()))
	if len(replicas) < replicaCount {
		return nil, nil, failure.New(failure.KeepersUnavailable, "%d of %d instances with a data folder are there", len(replicas), replicaCount)
	}
	var names []string
	for _, m := range replicas {
		if err := d.clients.PutSamples(ctx, m.PeersAddress(), id.String(), bodies); err != nil {
			return nil, nil, err
		}
		names = append(names, m.Name())
	}
	return names, entries, nil
}

// chooseReplicas picks two instances with a data folder from a ranking, the
// second in another failure domain than the first if possible.
func chooseReplicas(ranked []peer.Member) []peer.Member {
	var chosen []peer.Member
	for _, m := range ranked {
		if m.Keeper() && (len(chosen) == 0 || m.FailureDomain() != chosen[0].FailureDomain()) {
			chosen = append(chosen, m)
		}
		if len(chosen) == replicaCount {
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

// sampleSink is a forward.Sink that builds a sample from an event stream.
type sampleSink struct {
	builder *sample.Builder
}

// Begin rejects responses that are not a successful event stream.
func (c *sampleSink) Begin(status int, contentType string) error {
	if status != 200 || !strings.HasPrefix(contentType, "text/event-stream") {
		return errors.New("the engine did not respond with an event stream")
	}
	return nil
}

// Event adds one event to the sample.
func (c *sampleSink) Event(data []byte) error {
	c.builder.Add(data)
	return nil
}

// Body always fails, since a sample can only be built from a stream.
func (c *sampleSink) Body([]byte) error {
	return errors.New("the engine did not respond with an event stream")
}

// sleep waits for d or until the context is done.
func sleep(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}
