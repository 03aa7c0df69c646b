package pool

import (
	"math"
	"math/rand/v2"
	"strconv"
	"time"

	"cactusspoke/internal/telemetry"

	"go.uber.org/zap"
)

const (
	// defaultColdRate is the requests a second that cold servers get of a service whose
	// configuration names no usable rate.
	defaultColdRate = 1
	// maxColdTime is the longest time for which a server is believed to remain cold.
	maxColdTime = 10 * time.Minute
)

// ColdFunc returns how long a server of a service may be cold after its start and how many
// requests a second it takes while it is cold; start is 0 for a service without cold servers.
type ColdFunc func(service string) (start time.Duration, perSecond float64)

// UseColdStarts makes the pool limit the requests to cold servers of the services that have
// them.
func (p *Pool) UseColdStarts(cold ColdFunc, metrics *telemetry.Registry) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.cold, p.metrics = cold, metrics
}

// coldStart returns how long a server of a service may be cold; 0 without cold servers.
func (p *Pool) coldStart(service string) time.Duration {
	if p.cold == nil {
		return 0
	}
	start, _ := p.cold(service)
	return start
}

// coldRate returns the requests a second that a cold server of a service takes.
func (p *Pool) coldRate(service string) float64 {
	if _, rate := p.cold(service); rate > 0 && !math.IsInf(rate, 0) {
		return rate
	}
	return defaultColdRate
}

// isCold reports whether a server is cold; the caller holds mu.
func (p *Pool) isCold(s *serverState, now time.Time) bool {
	return now.Before(s.coldUntil) && p.coldStart(s.server.Service) > 0
}

// isLimited reports whether the requests to a server are paced, because it named a limit or
// is cold; the caller holds mu.
func (p *Pool) isLimited(s *serverState, now time.Time) bool { return s.limited || p.isCold(s, now) }

// readColdTime records how long a server remains cold according to a registration that was
// not seen before; the caller holds mu.
func (p *Pool) readColdTime(s *serverState, now time.Time) {
	left := s.server.ColdFor
	if left < 0 || left > maxColdTime {
		if !s.coldTimeInvalid && p.coldStart(s.server.Service) > 0 {
			p.log.Warn("pool: invalid cold time of a server ignored", zap.String("server", s.server.ID), zap.Duration("cold", left))
		}
		s.coldTimeInvalid = true
		return
	}
	p.setCold(s, now, left, "registration")
}

// setCold records for how long a server is cold from now on. The first request waits for a
// random time, since other processes learn of it at the same moment.
func (p *Pool) setCold(s *serverState, now time.Time, left time.Duration, reason string) {
	before := p.isCold(s, now)
	s.coldUntil = now.Add(left)
	cold := p.isCold(s, now)
	if cold == before {
		return
	}
	p.log.Info("pool: server is cold or no longer is", zap.String("server", s.server.ID), zap.String("service", s.server.Service),
		zap.Bool("cold", cold), zap.Duration("left", left), zap.String("reason", reason))
	if !cold {
		return
	}
	if p.metrics != nil {
		p.metrics.Inc("servers_cold_total", "service", s.server.Service)
	}
	pacer := p.pacer(s, now)
	pacer.Delay(now, time.Duration(rand.Float64()*float64(pacer.Interval())))
}

// readCold records the cold time, in milliseconds, that a server stated in a response.
func (p *Pool) readCold(address, text string) {
	if text == "" {
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	s := p.byAddress(address)
	if s == nil || p.coldStart(s.server.Service) == 0 {
		return
	}
	ms, err := strconv.ParseFloat(text, 64)
	if err != nil || !(ms >= 0 && ms <= float64(maxColdTime/time.Millisecond)) {
		if p.metrics != nil {
			p.metrics.Inc("invalid_cold_times_total", "service", s.server.Service)
		}
		return
	}
	p.setCold(s, time.Now(), time.Duration(ms*float64(time.Millisecond)), "response")
}

// AssumeCold assumes that all servers of a failure domain have just become cold, until a
// registration received from now on states otherwise.
func (p *Pool) AssumeCold(domain string, now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, s := range p.servers {
		if s.server.FailureDomain == domain {
			p.assumeCold(s, now, "domain")
		}
	}
}

// assumeCold assumes that a server has just become cold, unless it is known to be cold for
// longer; the caller holds mu.
func (p *Pool) assumeCold(s *serverState, now time.Time, reason string) {
	if start := p.coldStart(s.server.Service); start > 0 && now.Add(start).After(s.coldUntil) {
		p.setCold(s, now, start, reason)
	}
}
