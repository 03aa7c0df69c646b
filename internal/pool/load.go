package pool

import (
	"math"
	"math/rand/v2"
	"time"

	"cactusspoke/internal/load"

	"go.uber.org/zap"
)

const (
	// typicalSmoothing is the weight of a measured server in the usual time of its service.
	typicalSmoothing = 0.05
	// staleWeight is the weight from which on a report still says enough about the present.
	staleWeight = 0.5
	// initialProbeTime is the assumed time of a probe before one was answered.
	initialProbeTime = 5 * time.Millisecond
	// maxProbeTime is the longest time that a probe counts for. A single one that was delayed for
	// other reasons, such as a pause of this process, would end all probes for seconds.
	maxProbeTime = 30 * time.Millisecond
	// probeTimeSmoothing is the weight of a probe in the expected time of the next.
	probeTimeSmoothing = 0.2
	// minProbePause is how long a server is not probed after a probe that brought no report.
	// Each further one doubles the pause, up to maxProbePause.
	minProbePause = 2 * time.Second
	maxProbePause = time.Minute
	// probeTimeDecay is the time constant with which the expected time of a probe decays towards
	// initialProbeTime while there is none. Otherwise some slow ones would end all probes.
	probeTimeDecay = 5 * time.Second
	// maxPauseDoublings limits how often the pause is doubled.
	maxPauseDoublings = 5
)

// probeHistory is what is known about the health path of a server.
type probeHistory struct {
	took        time.Duration
	at          time.Time
	failures    int
	pausedUntil time.Time
}

// expected returns how long a probe is expected to take.
func (h *probeHistory) expected(now time.Time) time.Duration {
	weight := math.Exp(-float64(now.Sub(h.at)) / float64(probeTimeDecay))
	return initialProbeTime + time.Duration(weight*float64(h.took-initialProbeTime))
}

// record adds a probe that was answered.
func (h *probeHistory) record(now time.Time, took time.Duration) {
	expected := h.expected(now)
	h.took = expected + time.Duration(probeTimeSmoothing*float64(min(took, maxProbeTime)-expected))
	h.at, h.failures = now, 0
}

// contest is how a server of a small pool was selected.
type contest struct {
	// rival is the drawn server that seemed worse; nil if there was no choice.
	rival  *serverState
	domain string
	// uneven means that the service is unevenly loaded.
	uneven bool
	// gain is what probes were expected to save the request; 0 if there were none.
	gain time.Duration
}

// field holds the servers that are suitable for a request, up to load.MaxSmall.
type field struct {
	n         int
	reporting bool
	states    [load.MaxSmall]*serverState
	scores    [load.MaxSmall]float64
}

// add adds a server.
func (f *field) add(s *serverState, score float64) {
	if f.n < load.MaxSmall {
		f.states[f.n], f.scores[f.n] = s, score
	}
	f.n++
	f.reporting = f.reporting || s.estimator != nil
}

// small reports whether the better of two drawn servers is used.
func (f *field) small() bool { return f.reporting && f.n <= load.MaxSmall }

// draw draws two servers and returns the better one.
func (f *field) draw(domain string, now time.Time) (*serverState, contest) {
	better, other := load.Pair(f.scores[:f.n], rand.Float64)
	if better == other {
		return f.states[better], contest{}
	}
	var estimators []*load.Estimator
	for _, s := range f.states[:f.n] {
		if s.estimator != nil {
			estimators = append(estimators, s.estimator)
		}
	}
	return f.states[better], contest{rival: f.states[other], domain: domain, uneven: load.Uneven(now, estimators)}
}

// candidate returns a server that reports its slowness as a candidate for a request from a
// failure domain.
func (s *serverState) candidate(domain string) load.Candidate {
	penalty := 1.0
	if s.server.FailureDomain != domain {
		penalty = crossDomainFactor
	}
	return load.Candidate{Estimator: s.estimator, Slots: s.server.Slots, Running: s.running, Penalty: penalty}
}

// serviceLoad is the state of a service whose servers report their slowness.
type serviceLoad struct {
	// typicalMS is the average usual time of requests in milliseconds; measured is set once it
	// is not assumed.
	typicalMS float64
	measured  bool
	gains     load.GainRecord
}

// serviceLoad returns the state of a service; the caller holds mu.
func (p *Pool) serviceLoad(service string) *serviceLoad {
	l, ok := p.serviceLoads[service]
	if !ok {
		l = &serviceLoad{typicalMS: defaultLatencyMS}
		p.serviceLoads[service] = l
	}
	return l
}

// record adds the usual time of a server.
func (l *serviceLoad) record(usualMS float64) {
	if !l.measured {
		l.typicalMS, l.measured = usualMS, true
	}
	l.typicalMS += typicalSmoothing * (usualMS - l.typicalMS)
}

// recordReport records a load report of a server; the caller holds mu.
func (p *Pool) recordReport(s *serverState, report load.Report) {
	s.report = report
	s.reportedLoad = report.Load()
	s.loadReportedAt = report.At
	if report.Slowness <= 0 {
		s.estimator = nil
		return
	}
	if s.estimator == nil {
		s.estimator = load.NewEstimator()
		p.log.Info("pool: server reports its slowness", zap.String("server", s.server.ID), zap.Float64("slowness", report.Slowness), zap.Int("slots", report.Slots))
	}
	s.estimator.Report(report)
}

// IgnoreReport logs an invalid load report, once for each server.
func (h *Handle) IgnoreReport(text string, reason error) {
	h.pool.mu.Lock()
	defer h.pool.mu.Unlock()
	if h.state.invalidReportLogged {
		return
	}
	h.state.invalidReportLogged = true
	h.pool.log.Warn("pool: invalid load report ignored", zap.String("server", h.server.ID),
		zap.String("report", text[:min(len(text), maxLoggedReport)]), zap.String("reason", reason.Error()))
}

// maxLoggedReport bounds how much of an invalid load report is logged.
const maxLoggedReport = 64

// noteSent records that a request is sent and returns how many times longer than usual it is
// expected to take, or 0 if that is not known.
func (s *serverState) noteSent(now time.Time) float64 {
	if s.estimator == nil {
		return 0
	}
	factor := s.estimator.Factor(now, s.server.Slots, s.running-1)
	s.estimator.Sent()
	return factor
}

// noteRejected records that the server had no room for a request.
func (s *serverState) noteRejected(now time.Time) {
	if s.estimator != nil {
		s.estimator.Rejected(now)
	}
}

// forgetTimes drops the measured times.
func (s *serverState) forgetTimes() {
	if s.estimator != nil {
		s.estimator.ForgetTimes()
	}
}

// recordTime records how long the request took; the caller holds mu.
func (h *Handle) recordTime(now time.Time, took time.Duration) {
	s := h.state
	if s.estimator != nil && !s.estimator.Reports(now) {
		// The server responds without reports.
		s.estimator = nil
	}
	if s.estimator == nil || h.factor == 0 {
		return
	}
	service := h.pool.serviceLoad(s.server.Service)
	s.estimator.Measured(now, took, h.factor, service.typicalMS)
	service.record(s.estimator.UsualMS())
}

// ServersToProbe returns the servers whose health paths to ask before the request is sent: those
// of the two drawn servers whose reports are too old, if the service is unevenly loaded and the
// probes are expected to save the caller more time than they take. longest bounds the wait.
func (h *Handle) ServersToProbe(longest time.Duration) []Server {
	h.pool.mu.Lock()
	defer h.pool.mu.Unlock()
	rival := h.contest.rival
	if rival == nil || !h.contest.uneven {
		return nil
	}
	now := time.Now()
	var out []Server
	wait := time.Duration(0)
	for _, s := range []*serverState{h.state, rival} {
		// A probe is a request and would use up the limit of a server that names one.
		if s.estimator == nil || h.pool.isLimited(s, now) || now.Before(s.probes.pausedUntil) {
			return nil
		}
		if s.estimator.Freshness(now) < staleWeight {
			wait = max(wait, s.probes.expected(now))
			out = append(out, s.server)
		}
	}
	if len(out) == 0 || wait > longest {
		return nil
	}
	service := h.pool.serviceLoad(h.server.Service)
	gain := load.Gain(now, h.state.candidate(h.contest.domain), rival.candidate(h.contest.domain), service.typicalMS)
	if service.gains.Correct(now, gain) <= wait {
		return nil
	}
	h.contest.gain = gain
	return out
}

// RecordProbe records that a probe of a server was answered with a report.
func (p *Pool) RecordProbe(server Server, took time.Duration, report load.Report) {
	p.mu.Lock()
	defer p.mu.Unlock()
	s := p.byAddress(server.Address)
	if s == nil || s.server.ID != server.ID || s.server.Born != server.Born {
		return
	}
	s.probes.record(time.Now(), took)
	p.recordReport(s, report)
}

// RecordFailedProbe records that a probe of a server brought no report. It is not probed again
// for a while.
func (p *Pool) RecordFailedProbe(server Server, reason string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	s := p.byAddress(server.Address)
	if s == nil || s.server.ID != server.ID || s.server.Born != server.Born {
		return
	}
	pause := min(maxProbePause, minProbePause<<min(s.probes.failures, maxPauseDoublings))
	s.probes.failures++
	s.probes.pausedUntil = time.Now().Add(pause)
	p.log.Info("pool: health path brought no load report, not asked for a while", zap.String("server", server.ID),
		zap.String("reason", reason), zap.Duration("pause", pause))
}

// Reconsider selects the other one of the two drawn servers if it is better now, and reports
// whether it did. The request must not have been sent yet.
func (h *Handle) Reconsider() bool {
	rival := h.contest.rival
	if rival == nil || !(&Handle{pool: h.pool, state: rival}).Usable() {
		return false
	}
	h.pool.mu.Lock()
	defer h.pool.mu.Unlock()
	now := time.Now()
	current := h.state
	if current.estimator == nil || rival.estimator == nil || h.pool.isLimited(rival, now) || h.pool.isEvacuated(rival) || now.Before(rival.ejectedUntil) {
		return false
	}
	current.running--
	current.estimator.NotSent()
	service := h.pool.serviceLoad(h.server.Service)
	gain := current.candidate(h.contest.domain).ExpectedMS(now, service.typicalMS) - rival.candidate(h.contest.domain).ExpectedMS(now, service.typicalMS)
	service.gains.Record(now, h.contest.gain, time.Duration(gain*float64(time.Millisecond)))
	chosen := current
	if gain > 0 {
		chosen = rival
	}
	chosen.running++
	h.factor = chosen.noteSent(now)
	h.state, h.server, h.startedAt = chosen, chosen.server, now
	return chosen == rival
}
