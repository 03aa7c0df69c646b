package forward

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"cactusspoke/internal/admission"
	"cactusspoke/internal/backendserver"
	"cactusspoke/internal/claim"
	"cactusspoke/internal/configuration"
	"cactusspoke/internal/failure"
	"cactusspoke/internal/fleet"
	"cactusspoke/internal/profile"
	"cactusspoke/internal/quarantine"
	"cactusspoke/internal/routing"
	"cactusspoke/internal/trace"
	"cactusspoke/internal/usage"

	"go.uber.org/zap"
)

// Limits of attempts.
const (
	maxAttempts       = 4
	retriesPerSuccess = 0.1
	maxRetryBudget    = 10.0
	// suspectPollInterval is how often a suspect request checks whether the
	// suspect running before it has ended.
	suspectPollInterval = 20 * time.Millisecond
	claimTimeout        = 2 * time.Second
)

// Claimer acquires and releases claims at the instance that owns their range.
type Claimer interface {
	Claim(ctx context.Context, c claim.Claim) claim.Result
	Release(ctx context.Context, c claim.Claim)
}

type gate = admission.Gate[fleet.Server, *call]

// Forwarder runs requests on backend servers. It is safe for concurrent use.
type Forwarder struct {
	incarnation    string
	view           *configuration.View
	fleet          *fleet.Fleet
	backends       *backendserver.Client
	claimer        Claimer
	quarantine     *quarantine.Tracker
	usageRecorder  *usage.Recorder
	responses      *ResponseCache
	tracer         *trace.Tracer
	log            *zap.Logger
	keysVerifiable func(now time.Time) bool

	sequence atomic.Uint64
	running  atomic.Int64

	mu     sync.Mutex
	states map[string]*serviceState
}

// serviceState holds the admission gate, routing policy and retry budget of one
// service.
type serviceState struct {
	gate *gate

	mu          sync.Mutex
	policyName  string
	policy      routing.Policy[fleet.Server]
	retryBudget float64
}

// Config holds the dependencies of a Forwarder.
type Config struct {
	View          *configuration.View
	Fleet         *fleet.Fleet
	Backends      *backendserver.Client
	Claimer       Claimer
	Quarantine    *quarantine.Tracker
	UsageRecorder *usage.Recorder
	ResponseCache *ResponseCache
	Tracer        *trace.Tracer
	Log           *zap.Logger
	// KeysVerifiable reports whether the configuration view is recent enough to
	// tell if a key was withdrawn.
	KeysVerifiable func(now time.Time) bool
}

// NewForwarder returns a Forwarder. The incarnation is the prefix of its
// request IDs and makes them unique across instances and restarts.
func NewForwarder(incarnation string, config Config) *Forwarder {
	return &Forwarder{
		incarnation: incarnation, view: config.View, fleet: config.Fleet, backends: config.Backends, claimer: config.Claimer,
		quarantine: config.Quarantine, usageRecorder: config.UsageRecorder, responses: config.ResponseCache, tracer: config.Tracer, log: config.Log,
		keysVerifiable: config.KeysVerifiable, states: map[string]*serviceState{},
	}
}

// Running returns the number of requests in progress.
func (f *Forwarder) Running() int64 { return f.running.Load() }

// DispatchWaiting assigns free backend servers to waiting requests of all
// services.
func (f *Forwarder) DispatchWaiting() {
	f.mu.Lock()
	gates := make([]*gate, 0, len(f.states))
	for _, s := range f.states {
		gates = append(gates, s.gate)
	}
	f.mu.Unlock()
	for _, g := range gates {
		g.DispatchWaiting()
	}
}

// WaitingByService returns the number of waiting requests by service.
func (f *Forwarder) WaitingByService() map[string]int {
	f.mu.Lock()
	defer f.mu.Unlock()
	out := make(map[string]int, len(f.states))
	for name, s := range f.states {
		out[name] = s.gate.Waiting()
	}
	return out
}

func (f *Forwarder) serviceState(p *profile.Profile, s *profile.Service) *serviceState {
	f.mu.Lock()
	defer f.mu.Unlock()
	v, ok := f.states[s.Name()]
	if !ok {
		v = &serviceState{retryBudget: maxRetryBudget}
		v.gate = admission.NewGate(p.QueueLength(), f.reserveFunc(v, s.Name()))
		f.states[s.Name()] = v
	}
	v.setPolicy(p.Routing())
	return v
}

func (s *serviceState) setPolicy(name string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.policyName == name {
		return
	}
	random := rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))
	if policy, ok := routing.NewPolicy[fleet.Server](name, random); ok {
		s.policy = policy
		s.policyName = name
	}
}

// takeRetry takes one retry from the budget and reports whether one was left.
// Successful requests refill the budget, which limits retries to a share of
// them.
func (s *serviceState) takeRetry() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.retryBudget < 1 {
		return false
	}
	s.retryBudget--
	return true
}

func (s *serviceState) refillRetryBudget() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.retryBudget = min(maxRetryBudget, s.retryBudget+retriesPerSuccess)
}

// reserveFunc returns a function that reserves a server with a free slot for
// the next waiting call.
func (f *Forwarder) reserveFunc(s *serviceState, name string) admission.ReserveFunc[fleet.Server, *call] {
	return func(now time.Time, c *call) (fleet.Server, bool) {
		var free []fleet.Server
		for _, server := range f.fleet.Servers(now, name, c.request.service.Slots()) {
			if server.HasFreeSlot() && c.canUse(server) {
				free = append(free, server)
			}
		}
		s.mu.Lock()
		server, ok := s.policy.Choose(c.request.attributes, free)
		s.mu.Unlock()
		if !ok || !f.fleet.BeginRequest(now, server.ID()) {
			return fleet.Server{}, false
		}
		return server, true
	}
}

// call is one request in progress.
type call struct {
	lifecycle        lifecycle
	request          *Request
	state            *serviceState
	sink             Sink
	fingerprint      quarantine.Fingerprint
	isolated         bool
	excluded         []string
	claim            claim.Claim
	claimed          bool
	responseStarted  bool
	completionTokens uint64
	promptTokens     uint64
	usageRecord      *usage.RequestRecord
	attempt          int
	id               string
}

// HasServerConstraints reports whether the call excludes some servers that
// others may use.
func (c *call) HasServerConstraints() bool { return len(c.excluded) > 0 || c.request.minVersion > 0 }

func (c *call) canUse(s fleet.Server) bool {
	if s.WeightVersion() < c.request.minVersion {
		return false
	}
	for _, id := range c.excluded {
		if id == s.ID() {
			return false
		}
	}
	return true
}

// Do runs a request and writes its response to the sink. The kind of a returned
// error states whether the request ran. An error after Sink.Begin was called
// means that the response is truncated. Every outcome is counted by the usage
// recorder, except an AlreadyRunError, for which the caller may still get a
// cached response.
func (f *Forwarder) Do(ctx context.Context, r *Request, sink Sink) error {
	f.running.Add(1)
	defer f.running.Add(-1)
	c := &call{request: r, sink: sink, lifecycle: lifecycle{state: Received}}
	c.id = fmt.Sprintf("%s-%d", f.incarnation, f.sequence.Add(1))
	c.usageRecord = f.usageRecorder.Start(r.CustomerName(), r.service.Name())
	ctx, cancel := context.WithTimeout(f.executionContext(ctx, r), r.profile.Deadline())
	defer cancel()
	err := f.run(ctx, c)
	var ran *AlreadyRunError
	if err != nil && !errors.As(err, &ran) {
		c.usageRecord.Refuse(failure.KindOf(err).String())
	}
	return err
}

// executionContext returns the context in which a request runs. A claimed
// request keeps running when its caller disconnects, so that its response is
// cached when the caller repeats it.
func (f *Forwarder) executionContext(ctx context.Context, r *Request) context.Context {
	if r.claimed() {
		return context.WithoutCancel(ctx)
	}
	return ctx
}

func (f *Forwarder) run(ctx context.Context, c *call) error {
	c.state = f.serviceState(c.request.profile, c.request.service)
	c.fingerprint = quarantine.FingerprintOf(c.request.service.Name(), c.request.route, c.request.body)
	if err := f.checkQuarantine(ctx, c); err != nil {
		c.lifecycle.fire(ctx, refuse)
		return err
	}
	if c.isolated {
		defer f.quarantine.Release(c.request.service.Name(), c.fingerprint)
	}
	c.lifecycle.fire(ctx, enqueue)
	for {
		c.attempt++
		shouldRetry, err := f.attempt(ctx, c)
		if !shouldRetry {
			return err
		}
	}
}

// checkQuarantine rejects quarantined requests and runs suspects one at a time
// per service.
func (f *Forwarder) checkQuarantine(ctx context.Context, c *call) error {
	for {
		switch f.quarantine.Check(time.Now(), c.fingerprint) {
		case quarantine.Allow:
			return nil
		case quarantine.Reject:
			return failure.New(failure.Quarantined, "backend servers crashed each time this request ran")
		case quarantine.Isolate:
			if f.quarantine.TryAcquire(c.request.service.Name(), c.fingerprint) {
				c.isolated = true
				return nil
			}
		}
		select {
		case <-ctx.Done():
			return failure.New(failure.QueueTimeout, "another suspect request is running")
		case <-time.After(suspectPollInterval):
		}
	}
}
