package ingress

import (
	"context"
	"errors"
	"hash/maphash"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"cactusspoke/internal/admission"
	"cactusspoke/internal/load"
	"cactusspoke/internal/pool"
	"cactusspoke/internal/routetable"

	"github.com/cloudwego/hertz/pkg/app"
	"go.uber.org/zap"
)

const (
	// maxWaitingRequests limits the requests of one customer that wait for one service.
	maxWaitingRequests = 256
	// partInterval is the minimum time between two counts of the slots of a service.
	partInterval = time.Second
	// pressureLogInterval is the minimum time between two log lines about the pressure on a
	// service. explain shows lines within three seconds of a request.
	pressureLogInterval = 2 * time.Second
)

// unconstrained is a waiting request that any server of its service may run.
type unconstrained struct{}

func (unconstrained) HasServerConstraints() bool { return false }

// serviceGate is the gate of one plain service.
type serviceGate struct {
	name string
	gate *admission.Gate[time.Time, unconstrained]
	// enabled means that servers of the service report how slow they are. Until then, the gate
	// only counts the requests in progress, and the servers' own queues decide.
	enabled atomic.Bool

	mu           sync.Mutex
	countedAt    time.Time
	loggedAt     time.Time
	loggedActive bool
	counts       pressureCounts
}

// pressure is the state of a service at one point in time.
type pressure struct {
	active  bool
	window  float64
	waiting int
}

// pressureCounts counts what happened since the last log line about a service. admitted and
// returned count the requests that had to queue.
type pressureCounts struct {
	admitted, refused, returned, rejections int
	longestWait                             time.Duration
}

// gates holds the gates of the services that have had requests.
type gates struct {
	mu        sync.RWMutex
	byService map[string]*serviceGate
	seed      maphash.Seed
}

func newGates() *gates { return &gates{byService: map[string]*serviceGate{}, seed: maphash.MakeSeed()} }

// find returns the gate of a service; nil if it has had no requests.
func (g *gates) find(service string) *serviceGate {
	g.mu.RLock()
	defer g.mu.RUnlock()
	return g.byService[service]
}

// get returns the gate of a service, which is created if it is missing.
func (g *gates) get(service string) *serviceGate {
	if found := g.find(service); found != nil {
		return found
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	if found := g.byService[service]; found != nil {
		return found
	}
	controller := admission.NewController(time.Now(), maxWaitingRequests)
	created := &serviceGate{name: service, gate: admission.NewControlledGate[unconstrained](controller)}
	g.byService[service] = created
	return created
}

// origin identifies a caller's request across its attempts.
func (g *gates) origin(r *callerRequest) uint64 {
	var h maphash.Hash
	h.SetSeed(g.seed)
	_, _ = h.WriteString(r.route.Name)
	_ = h.WriteByte(0)
	_, _ = h.WriteString(r.path)
	return max(1, h.Sum64())
}

// admittedRequest is a request that counts against the window of its service.
type admittedRequest struct {
	gate    *serviceGate
	begunAt time.Time
}

// admissible reports whether the requests of a route to a service pass its gate.
func (s *Server) admissible(r *callerRequest, service string) bool {
	if r.route.Kind != routetable.Safe && r.route.Kind != routetable.Unsafe {
		return false
	}
	found, ok := s.View.Table().Service(service)
	return !ok || len(found.Models) == 0
}

// admit admits a request to the servers of a service, at once unless the service is under
// pressure. If the request cannot be answered in time, it responds and returns false.
func (s *Server) admit(ctx context.Context, c *app.RequestContext, r *callerRequest, state *forwardState, service string) bool {
	if state.admitted.gate != nil || !s.admissible(r, service) {
		return true
	}
	g := s.gates.get(service)
	now := time.Now()
	if g.gate.TryEnter(now) {
		state.admitted = admittedRequest{gate: g, begunAt: now}
		return true
	}
	ticket := s.newTicket(r, g, now)
	if state.rejections > 0 {
		ticket.Return()
	}
	begunAt, err := g.gate.Acquire(ctx, ticket, unconstrained{})
	wait := time.Since(now)
	if err == nil {
		state.admitted = admittedRequest{gate: g, begunAt: begunAt}
		s.recordWait(g, ticket, wait)
		return true
	}
	var refused *admission.RefusedError
	switch {
	case errors.As(err, &refused):
		s.recordRefusal(g, wait)
		if r.relayed {
			c.Response.Header.Set(noRoomHeader, "1")
		}
		s.respondError(c, r, http.StatusServiceUnavailable, refused.RetryAfter, "no capacity in time")
	case s.requestsEnd.Err() != nil:
		c.SetConnectionClose()
		s.respondError(c, r, http.StatusServiceUnavailable, retryAfterStopping, "the instance stops")
	default:
		s.respondError(c, r, http.StatusServiceUnavailable, retryAfterBusy, "the caller left while waiting")
	}
	return false
}

// newTicket returns the ticket of a request that may have to wait.
func (s *Server) newTicket(r *callerRequest, g *serviceGate, now time.Time) *admission.Ticket {
	due := r.deadline.Add(-responseMargin)
	cost := 0.0
	g.gate.Update(now, func(controller *admission.Controller) { cost = controller.Cost(r.route.Name) })
	return admission.NewTicket(r.customer, 1, cost, admission.Live, admission.LatestStart(now, due)).
		WithClass(s.View.Table().Priority(r.route, r.customer)).WithOrigin(s.gates.origin(r)).AnswerBy(due)
}

// endAdmission counts the end of an admitted request. served means that a server responded. A
// request that all servers rejected has to be admitted again, ahead of new ones.
func (s *Server) endAdmission(r *callerRequest, state *forwardState, served bool) {
	a := state.admitted
	if a.gate == nil {
		return
	}
	state.admitted = admittedRequest{}
	s.updateGate(a.gate, func(now time.Time, controller *admission.Controller) {
		controller.End(now, a.begunAt, r.route.Name, served)
	})
}

// busyRetryAfter returns when there is room for a request that all servers rejected.
func (s *Server) busyRetryAfter(r *callerRequest, state *forwardState, service string) time.Duration {
	g := s.gates.find(service)
	if g == nil || state.rejections == 0 || !s.admissible(r, service) {
		return retryAfterBusy
	}
	now := time.Now()
	ticket := s.newTicket(r, g, now)
	retryAfter := retryAfterBusy
	g.gate.Update(now, func(controller *admission.Controller) {
		if controller.UnderPressure(now) {
			retryAfter = controller.Refused(now, ticket)
		}
	})
	return retryAfter
}

// reportToGate passes the load that a server reported to the gate of its service. The first
// report of a slowness enables the gate.
func (s *Server) reportToGate(server pool.Server, report load.Report) {
	g := s.gates.find(server.Service)
	if g == nil {
		return
	}
	if report.Slowness > 0 {
		g.enabled.Store(true)
	}
	if !g.enabled.Load() {
		return
	}
	if report.Waiting > 0 {
		s.countPart(g)
	}
	s.updateGate(g, func(now time.Time, controller *admission.Controller) {
		controller.Capacity().Report(now, server.ID, report.Running, report.Waiting, server.Slots)
	})
}

// rejectionToGate reports to the gate of its service that a server had no room for a request.
func (s *Server) rejectionToGate(server pool.Server) {
	g := s.gates.find(server.Service)
	if g == nil || !g.enabled.Load() {
		return
	}
	s.countPart(g)
	g.mu.Lock()
	g.counts.rejections++
	g.mu.Unlock()
	s.updateGate(g, func(now time.Time, controller *admission.Controller) {
		controller.Capacity().Reject(now, server.ID, server.Slots)
	})
}

// lossToGate reports to the gate of its service that a server did not respond.
func (s *Server) lossToGate(server pool.Server) {
	if g := s.gates.find(server.Service); g != nil {
		s.updateGate(g, func(_ time.Time, controller *admission.Controller) { controller.Capacity().Forget(server.ID) })
	}
}

// updateGate passes an event to a gate and logs the pressure.
func (s *Server) updateGate(g *serviceGate, event func(time.Time, *admission.Controller)) {
	now := time.Now()
	var p pressure
	g.gate.Update(now, func(controller *admission.Controller) {
		event(now, controller)
		p = pressure{controller.UnderPressure(now), controller.Capacity().Window(), controller.Waiting()}
	})
	s.logPressure(g, now, p)
}

// countPart counts the slots of a service and the entry instances that share them, at most once
// in partInterval.
func (s *Server) countPart(g *serviceGate) {
	now := time.Now()
	g.mu.Lock()
	due := now.Sub(g.countedAt) >= partInterval
	if due {
		g.countedAt = now
	}
	g.mu.Unlock()
	if !due {
		return
	}
	slots := 0
	for _, server := range s.Pool.Servers(g.name) {
		if !server.Server.Draining && !server.Evacuated {
			slots += server.Server.Slots
		}
	}
	instances := s.Directory.Size()
	if instances == 0 {
		slots = 0 // the others are not known, so no part is certain
	}
	g.gate.Update(now, func(controller *admission.Controller) { controller.Capacity().SetPart(slots, instances) })
}

// recordWait counts a request that was admitted under pressure.
func (s *Server) recordWait(g *serviceGate, ticket *admission.Ticket, wait time.Duration) {
	s.Metrics.Observe("admission_wait", wait)
	if ticket.Returning() {
		s.Metrics.Inc("admission_returns_total", "service", g.name)
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	g.counts.admitted++
	if ticket.Returning() {
		g.counts.returned++
	}
	g.counts.longestWait = max(g.counts.longestWait, wait)
}

// recordRefusal counts a request that could not be answered in time.
func (s *Server) recordRefusal(g *serviceGate, wait time.Duration) {
	s.Metrics.Inc("admission_refusals_total", "service", g.name)
	s.Metrics.Observe("admission_refusal", wait)
	g.mu.Lock()
	defer g.mu.Unlock()
	g.counts.refused++
}

// logPressure logs that a service is under pressure or no longer is, with what happened since
// the last line, at most once in pressureLogInterval.
func (s *Server) logPressure(g *serviceGate, now time.Time, p pressure) {
	g.mu.Lock()
	n := g.counts
	if !p.active && !g.loggedActive && n == (pressureCounts{}) || now.Sub(g.loggedAt) < pressureLogInterval {
		g.mu.Unlock()
		return
	}
	g.counts, g.loggedActive, g.loggedAt = pressureCounts{}, p.active, now
	g.mu.Unlock()
	active := int64(0)
	if p.active {
		active = 1
	}
	s.Metrics.SetGauge("admission_pressure", active, "service", g.name)
	s.Log.Info("admission: pressure", zap.String("service", g.name), zap.Bool("under-pressure", p.active), zap.Float64("window", p.window),
		zap.Int("waiting", p.waiting), zap.Int("admitted", n.admitted), zap.Int("refused", n.refused), zap.Int("returned", n.returned),
		zap.Int("rejections", n.rejections), zap.Duration("longest-wait", n.longestWait))
}
