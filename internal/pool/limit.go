package pool

import (
	"context"
	"math"
	"math/rand/v2"
	"net/http"
	"strconv"
	"time"

	"cactusspoke/internal/http1"
	"cactusspoke/internal/kv"
	"cactusspoke/internal/protocol"
	"cactusspoke/internal/ratelimit"
	"cactusspoke/internal/telemetry"

	"go.uber.org/zap"
)

const (
	// rateMaxAge is how long a share is used before it is determined again.
	rateMaxAge = 250 * time.Millisecond
	// answerMaxAge is how long a response that this process received takes precedence over
	// the limits that the duty holder published.
	answerMaxAge = 5 * time.Second
	// noShareWait is the reported wait while this process has no share of any server's
	// limit. A caller that retries reaches another process, which may have one.
	noShareWait = 200 * time.Millisecond
)

// ShareFunc returns the requests a second that this process may send to a server that
// takes limit requests a second from all processes, and whether it does so because it is cold.
type ShareFunc func(server Server, limit float64, cold bool, now time.Time) float64

// UseShares sets the function that decides this process's shares. Without one, it uses
// whole limits.
func (p *Pool) UseShares(share ShareFunc) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.share = share
}

// pacer returns the pacer of a server with a limit or a cold one, set to this process's current share.
// The caller holds mu.
func (p *Pool) pacer(s *serverState, now time.Time) *ratelimit.Pacer {
	cold := p.isCold(s, now)
	if s.rateAt.IsZero() || now.Sub(s.rateAt) > rateMaxAge || cold != s.pacedCold {
		s.rateAt, s.pacedCold = now, cold
		limit := p.currentLimit(s, cold, now)
		rate := limit
		if p.share != nil {
			rate = p.share(s.server, limit, cold, now)
		}
		s.pacing.SetStrict(cold)
		s.pacing.SetRate(now, rate)
	}
	return &s.pacing
}

// currentLimit returns the requests a second that a server takes from all processes: the
// lower of the limit that it named, or what the slow start after it allows, and of the rate
// of a cold server. The caller holds mu.
func (p *Pool) currentLimit(s *serverState, cold bool, now time.Time) float64 {
	limit := s.limit
	if !s.limitEndedAt.IsZero() {
		limit = ratelimit.Ramp(s.limit, now.Sub(s.limitEndedAt))
	}
	switch {
	case !cold:
		return limit
	case !s.limited:
		return p.coldRate(s.server.Service)
	}
	return min(limit, p.coldRate(s.server.Service))
}

// endRamps lifts the pacing of servers whose limit ended some time ago; the caller holds
// mu.
func (p *Pool) endRamps(now time.Time) {
	if p.rampsUntil.IsZero() || now.Before(p.rampsUntil) {
		return
	}
	p.rampsUntil = time.Time{}
	for _, s := range p.servers {
		if !s.limitEndedAt.IsZero() && now.Sub(s.limitEndedAt) >= ratelimit.RampTime {
			s.limited, s.limit, s.limitEndedAt = false, 0, time.Time{}
		}
	}
}

// NewObserver returns the observer of a client that sends to the servers of the current
// pool, which may be nil. It counts the requests to each server and reads the limits that
// servers name and whether they are leaving. control means that the requests are not
// acquired from the pool, but delay those that are.
func NewObserver(current func() *Pool, headers protocol.Headers, metrics *telemetry.Registry, control bool) http1.Observer {
	return http1.Observer{
		Sent: func(address string) {
			if p := current(); p != nil {
				p.countRequest(address, metrics, control)
			}
		},
		Answered: func(address string, status int, header http.Header) {
			if p := current(); p != nil && status != http.StatusMisdirectedRequest {
				p.readLimit(address, header.Get(headers.RateLimit), header.Get(headers.RequestID) != "")
				p.readLeaving(address, header.Get(headers.Leaving))
				p.readCold(address, header.Get(headers.ColdMS))
			}
		},
	}
}

// countRequest counts a request to the server at an address.
func (p *Pool) countRequest(address string, metrics *telemetry.Registry, control bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	s := p.byAddress(address)
	if s == nil {
		return
	}
	now := time.Now()
	s.sent.Add(now)
	if p.isCold(s, now) {
		metrics.Inc("cold_server_requests_total", "service", s.server.Service)
	}
	if !p.isLimited(s, now) {
		return
	}
	metrics.Inc("limited_server_requests_total", "service", s.server.Service)
	if control {
		p.pacer(s, now).Take(now)
	}
}

// byAddress returns the server at an address, or nil.
func (p *Pool) byAddress(address string) *serverState { return p.servers[p.addresses[address]] }

// indexAddress records that a server holds its address. Of several registrations with the
// same address, the one that started last holds it.
func (p *Pool) indexAddress(key string, server Server) {
	if holder := p.byAddress(server.Address); holder == nil || holder.server.Born <= server.Born {
		p.addresses[server.Address] = key
	}
}

// unindexAddress forgets the address of a server that is removed or has another now.
func (p *Pool) unindexAddress(key string, server Server) {
	if p.addresses[server.Address] == key {
		delete(p.addresses, server.Address)
	}
}

// readLimit records the limit in a response. A response to a request that names none
// ends the limit; control requests may be answered without one.
func (p *Pool) readLimit(address, text string, request bool) {
	if text == "" && !request {
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	s := p.byAddress(address)
	if s == nil {
		return
	}
	limit, err := strconv.ParseFloat(text, 64)
	if text != "" && (err != nil || limit < 0 || math.IsNaN(limit) || math.IsInf(limit, 0)) {
		p.log.Warn("pool: unreadable limit ignored", zap.String("server", s.server.ID), zap.String("limit", text))
		return
	}
	now := time.Now()
	s.answeredAt = now
	p.setLimit(s, text != "", limit, now)
}

// setLimit records that a server has a limit or none. The first request under a limit
// waits as if another had just been sent.
func (p *Pool) setLimit(s *serverState, limited bool, limit float64, now time.Time) {
	named := s.limited && s.limitEndedAt.IsZero()
	if limited == named && (!limited || limit == s.limit) {
		return
	}
	p.log.Info("pool: limit of a server", zap.String("server", s.server.ID), zap.String("service", s.server.Service),
		zap.Bool("limited", limited), zap.Float64("per-second", limit), zap.Float64("before", s.limit))
	begins := limited && !p.isLimited(s, now)
	s.rateAt = time.Time{}
	if !limited {
		s.limitEndedAt = now
		p.rampsUntil = now.Add(ratelimit.RampTime)
		return
	}
	s.limited, s.limit, s.limitEndedAt = true, limit, time.Time{}
	if begins {
		pacer := p.pacer(s, now)
		pacer.Delay(now, pacer.Interval())
	}
}

// Reserve selects the server of a service that can get a request soonest under its limit,
// among those that accept allows, if that is until latest. The caller sends the request
// after the returned wait, unless the handle is no longer usable then. Without a handle,
// the wait is that of the soonest server, or 0 if there is none.
func (p *Pool) Reserve(service string, accept func(Server) bool, latest time.Time) (*Handle, time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := time.Now()
	p.removeMissing(now)
	var best *serverState
	var soonest time.Duration
	limited := false
	for _, s := range p.servers {
		if s.server.Service != service || s.server.Draining || s.misdirected || p.isEvacuated(s) || !p.isLimited(s, now) || !accept(s.server) {
			continue
		}
		limited = true
		pacer := p.pacer(s, now)
		if pacer.Rate() == 0 {
			continue
		}
		wait := max(pacer.Wait(now), s.ejectedUntil.Sub(now))
		if best == nil || wait < soonest {
			best, soonest = s, wait
		}
	}
	if best == nil && limited {
		return nil, noShareWait
	}
	if best == nil || now.Add(soonest).After(latest) {
		return nil, soonest
	}
	h := p.take(best, now)
	h.startedAt = now.Add(soonest)
	return h, soonest
}

// Usable reports whether the server may still get the request.
func (h *Handle) Usable() bool {
	h.pool.mu.Lock()
	defer h.pool.mu.Unlock()
	s := h.state
	return !s.server.Draining && !s.misdirected && !h.pool.isEvacuated(s) && s.missingSince.IsZero()
}

// PublishedLimit is a server's limit that the duty holder published.
type PublishedLimit struct {
	Born      int64
	PerSecond float64
}

// Limits returns the limits of the pool's servers, by id.
func (p *Pool) Limits() map[string]PublishedLimit {
	p.mu.Lock()
	defer p.mu.Unlock()
	out := map[string]PublishedLimit{}
	for _, s := range p.servers {
		if s.limited && s.limitEndedAt.IsZero() {
			out[s.server.ID] = PublishedLimit{s.server.Born, s.limit}
		}
	}
	return out
}

// SeedLimits records the limits that another process published. They apply to servers
// that did not answer this process lately.
func (p *Pool) SeedLimits(seeds map[string]PublishedLimit) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.seeds = seeds
	now := time.Now()
	for _, s := range p.servers {
		p.applySeed(s, now)
	}
}

// applySeed applies a published limit to a server. The first request waits for a random
// time, since other processes learn of the limit at the same time.
func (p *Pool) applySeed(s *serverState, now time.Time) {
	if !s.answeredAt.IsZero() && now.Sub(s.answeredAt) < answerMaxAge {
		return
	}
	seed, ok := p.seeds[s.server.ID]
	if !ok || seed.Born != s.server.Born || s.limited {
		return
	}
	p.setLimit(s, true, seed.PerSecond, now)
	pacer := p.pacer(s, now)
	pacer.Delay(now, time.Duration((1+rand.Float64())*float64(pacer.Interval())))
}

// LogLimits logs how many requests this process sent to each server with a limit, by
// second of the wall clock, until the context ends.
func (p *Pool) LogLimits(ctx context.Context) error {
	for ctx.Err() == nil {
		now := time.Now()
		interval := ratelimit.CountedSeconds * time.Second
		kv.Sleep(ctx, now.Truncate(interval).Add(interval).Sub(now))
		p.logCounts(time.Now())
	}
	return ctx.Err()
}

func (p *Pool) logCounts(now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, s := range p.servers {
		// A server that is no longer cold may have been so in the seconds counted.
		if !s.limited && !p.isCold(s, now.Add(-ratelimit.CountedSeconds*time.Second)) {
			continue
		}
		first, counts := s.sent.Window(now)
		total := 0
		for _, n := range counts {
			total += n
		}
		if total > 0 {
			p.log.Info("pool: requests to a limited server", zap.String("server", s.server.ID), zap.Float64("per-second", s.limit),
				zap.Time("cold-until", s.coldUntil), zap.Float64("share", p.pacer(s, now).Rate()), zap.Int64("from", first), zap.Ints("sent", counts))
		}
	}
}
