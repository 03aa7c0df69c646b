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

// Limits of tries.
const (
	maxAttempts   = 4
	retryShare    = 0.1
	retryBurst    = 10.0
	suspectPeriod = 20 * time.Millisecond
	claimTimeout  = 2 * time.Second
)

// Claimer decides claims wherever their range is owned, and gives one back.
type Claimer interface {
	Claim(ctx context.Context, c claim.Claim) claim.Result
	Release(ctx context.Context, c claim.Claim)
}

type gate = admission.Gate[fleet.Server, *call]

// Forwarder runs requests. It is safe for several goroutines.
type Forwarder struct {
	prefix   string
	view     *configuration.View
	fleet    *fleet.Fleet
	backends *backendserver.Client
	claimer  Claimer
	suspects *quarantine.List
	ledger   *usage.Recorder
	answers  *Answers
	tracer   *trace.Tracer
	log      *zap.Logger
	trusted  func(now time.Time) bool

	sequence atomic.Uint64
	running  atomic.Int64

	mu       sync.Mutex
	services map[string]*service
}

// service is what the forwarder keeps for one service.
type service struct {
	gate *gate

	mu      sync.Mutex
	routing string
	policy  routing.Policy[fleet.Server]
	retries float64
}

// Parts are what a forwarder works with.
type Parts struct {
	View     *configuration.View
	Fleet    *fleet.Fleet
	Backends *backendserver.Client
	Claimer  Claimer
	Suspects *quarantine.List
	Ledger   *usage.Recorder
	Answers  *Answers
	Tracer   *trace.Tracer
	Log      *zap.Logger
	// Trusted tells whether the view of the configuration may be relied on.
	Trusted func(now time.Time) bool
}

// NewForwarder returns a forwarder. incarnation makes its request ids unique.
func NewForwarder(incarnation string, p Parts) *Forwarder {
	return &Forwarder{
		prefix: incarnation, view: p.View, fleet: p.Fleet, backends: p.Backends, claimer: p.Claimer,
		suspects: p.Suspects, ledger: p.Ledger, answers: p.Answers, tracer: p.Tracer, log: p.Log,
		trusted: p.Trusted, services: map[string]*service{},
	}
}

// Running returns how many requests are under way.
func (f *Forwarder) Running() int64 { return f.running.Load() }

// Pump grants waiting requests after capacity became free.
func (f *Forwarder) Pump() {
	f.mu.Lock()
	gates := make([]*gate, 0, len(f.services))
	for _, s := range f.services {
		gates = append(gates, s.gate)
	}
	f.mu.Unlock()
	for _, g := range gates {
		g.Pump()
	}
}

// Waiting returns how many requests wait in all queues.
func (f *Forwarder) Waiting() map[string]int {
	f.mu.Lock()
	defer f.mu.Unlock()
	out := make(map[string]int, len(f.services))
	for name, s := range f.services {
		out[name] = s.gate.Waiting()
	}
	return out
}

func (f *Forwarder) serviceOf(p *profile.Profile, s *profile.Service) *service {
	f.mu.Lock()
	defer f.mu.Unlock()
	v, ok := f.services[s.Name()]
	if !ok {
		v = &service{retries: retryBurst}
		v.gate = admission.NewGate(p.QueueLength(), f.chooser(v, s.Name()))
		f.services[s.Name()] = v
	}
	v.setPolicy(p.Routing())
	return v
}

func (s *service) setPolicy(name string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.routing == name {
		return
	}
	random := rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))
	if policy, ok := routing.New[fleet.Server](name, random); ok {
		s.policy = policy
		s.routing = name
	}
}

// spendRetry takes one retry from the budget, which is a share of successes.
func (s *service) spendRetry() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.retries < 1 {
		return false
	}
	s.retries--
	return true
}

func (s *service) earnRetry() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.retries = min(retryBurst, s.retries+retryShare)
}

// chooser picks a server with room for the next waiting call and reserves it.
func (f *Forwarder) chooser(s *service, name string) admission.Chooser[fleet.Server, *call] {
	return func(now time.Time, c *call) (fleet.Server, bool) {
		var free []fleet.Server
		for _, server := range f.fleet.Servers(now, name, c.request.service.Slots()) {
			if server.Free() && c.accepts(server) {
				free = append(free, server)
			}
		}
		s.mu.Lock()
		server, ok := s.policy.Choose(c.request.work, free)
		s.mu.Unlock()
		if !ok || !f.fleet.Begin(now, server.ID()) {
			return fleet.Server{}, false
		}
		return server, true
	}
}

// call is one request under way.
type call struct {
	life    life
	request *Request
	service *service
	sink    Sink
	fp      quarantine.Fingerprint
	alone   bool
	avoid   []string
	claim   claim.Claim
	claimed bool
	begun   bool
	tokens  uint64
	prompt  uint64
	entry   *usage.RequestRecord
	attempt int
	id      string
}

// Picky tells whether the call may find no room where others do.
func (c *call) Picky() bool { return len(c.avoid) > 0 || c.request.minVersion > 0 }

func (c *call) accepts(s fleet.Server) bool {
	if s.WeightVersion() < c.request.minVersion {
		return false
	}
	for _, id := range c.avoid {
		if id == s.ID() {
			return false
		}
	}
	return true
}

// Do runs a request and gives its answer to the sink. The error's kind tells
// truthfully whether the request ran. Once the sink was begun, an error means
// that the answer is truncated. Every end is counted in the ledger, but for an
// AlreadyRunError, which may still be answered with a stored answer.
func (f *Forwarder) Do(ctx context.Context, r *Request, sink Sink) error {
	f.running.Add(1)
	defer f.running.Add(-1)
	c := &call{request: r, sink: sink, life: life{state: Received}}
	c.id = fmt.Sprintf("%s-%d", f.prefix, f.sequence.Add(1))
	c.entry = f.ledger.Start(r.CustomerName(), r.service.Name())
	ctx, cancel := context.WithTimeout(f.detached(ctx, r), r.profile.Deadline())
	defer cancel()
	err := f.run(ctx, c)
	var ran *AlreadyRunError
	if err != nil && !errors.As(err, &ran) {
		c.entry.Refuse(failure.KindOf(err).String())
	}
	return err
}

// detached keeps a claimed request running when its caller leaves, so that
// the answer is there when the caller sends it again.
func (f *Forwarder) detached(ctx context.Context, r *Request) context.Context {
	if r.claimed() {
		return context.WithoutCancel(ctx)
	}
	return ctx
}

func (f *Forwarder) run(ctx context.Context, c *call) error {
	c.service = f.serviceOf(c.request.profile, c.request.service)
	c.fp = quarantine.Of(c.request.service.Name(), c.request.route, c.request.body)
	if err := f.screen(ctx, c); err != nil {
		c.life.step(ctx, refuse)
		return err
	}
	if c.alone {
		defer f.suspects.Done(c.request.service.Name(), c.fp)
	}
	c.life.step(ctx, enqueue)
	for {
		c.attempt++
		again, err := f.try(ctx, c)
		if !again {
			return err
		}
	}
}

// screen refuses what may not run and lets suspects in one at a time.
func (f *Forwarder) screen(ctx context.Context, c *call) error {
	for {
		switch f.suspects.Judge(time.Now(), c.fp) {
		case quarantine.Clear:
			return nil
		case quarantine.Refuse:
			return failure.New(failure.Quarantined, "backend servers crashed each time this request ran")
		case quarantine.Alone:
			if f.suspects.TryRun(c.request.service.Name(), c.fp) {
				c.alone = true
				return nil
			}
		}
		select {
		case <-ctx.Done():
			return failure.New(failure.QueueTimeout, "another suspect request is running")
		case <-time.After(suspectPeriod):
		}
	}
}
