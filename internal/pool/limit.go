package pool

import (
	"context"
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

// NewObserver returns the observer of a client that sends to the servers of the current
// pool, which may be nil. It counts the requests to each server and reads the limits that
// the servers name.
func NewObserver(current func() *Pool, headers protocol.Headers, metrics *telemetry.Registry) http1.Observer {
	return http1.Observer{
		Sent: func(address string) {
			if p := current(); p != nil {
				p.countRequest(address, metrics)
			}
		},
		Answered: func(address string, status int, header http.Header) {
			if p := current(); p != nil && status != http.StatusMisdirectedRequest {
				p.readLimit(address, header.Get(headers.RateLimit), header.Get(headers.RequestID) != "")
			}
		},
	}
}

// countRequest counts a request to the server at an address.
func (p *Pool) countRequest(address string, metrics *telemetry.Registry) {
	p.mu.Lock()
	defer p.mu.Unlock()
	s := p.byAddress(address)
	if s == nil {
		return
	}
	s.sent.Add(time.Now())
	if s.limit > 0 {
		metrics.Inc("limited_server_requests_total", "service", s.server.Service)
	}
}

// byAddress returns the server at an address, or nil. Of several registrations, the one
// that started last holds the address.
func (p *Pool) byAddress(address string) *serverState {
	var newest *serverState
	for _, s := range p.servers {
		if s.server.Address == address && (newest == nil || s.server.Born > newest.server.Born) {
			newest = s
		}
	}
	return newest
}

// readLimit records the limit in a response. A response to a request that names none
// ends the limit; control calls are answered without one.
func (p *Pool) readLimit(address, text string, request bool) {
	if text == "" && !request {
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	s := p.byAddress(address)
	if s == nil || text == "" && s.limit == 0 {
		return
	}
	limit, err := strconv.ParseFloat(text, 64)
	if text != "" && (err != nil || limit < 0) {
		p.log.Warn("pool: unreadable limit ignored", zap.String("server", s.server.ID), zap.String("limit", text))
		return
	}
	if limit != s.limit {
		p.log.Info("pool: server named a limit", zap.String("server", s.server.ID), zap.String("service", s.server.Service),
			zap.Float64("per-second", limit), zap.Float64("before", s.limit))
	}
	s.limit = limit
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
		first, counts := s.sent.Window(now)
		total := 0
		for _, n := range counts {
			total += n
		}
		if s.limit > 0 && total > 0 {
			p.log.Info("pool: requests to a limited server", zap.String("server", s.server.ID), zap.Float64("per-second", s.limit),
				zap.Int64("from", first), zap.Ints("sent", counts))
		}
	}
}
