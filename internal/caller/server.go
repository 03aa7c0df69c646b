// Package caller speaks to callers and trainers over HTTP.
package caller

import (
	"context"
	"errors"
	"sync/atomic"
	"time"

	"cactusspoke/internal/configuration"
	"cactusspoke/internal/failure"
	"cactusspoke/internal/forward"
	"cactusspoke/internal/peer"
	"cactusspoke/internal/profile"
	"cactusspoke/internal/rollout"
	"cactusspoke/internal/trace"
	"cactusspoke/internal/usage"
	"cactusspoke/internal/web"

	"github.com/cloudwego/hertz/pkg/app"
	"github.com/rcrowley/go-metrics"
	"go.uber.org/zap"
)

// exitWait bounds the library's own shutdown; requests have ended by then.
const exitWait = 5 * time.Second

// Server answers callers and trainers.
type Server struct {
	http      *web.Server
	secret    []byte
	view      *configuration.View
	forwarder *forward.Forwarder
	driver    *rollout.Driver
	members   *peer.Members
	clients   *peer.Clients
	answers   *forward.Answers
	ledger    *usage.Ledger
	tracer    *trace.Tracer
	log       *zap.Logger
	keepTime  time.Duration
	closed    atomic.Bool
	active    atomic.Int64
	latency   metrics.Timer
}

// Parts are what a server works with.
type Parts struct {
	Secret    []byte
	View      *configuration.View
	Forwarder *forward.Forwarder
	Driver    *rollout.Driver
	Members   *peer.Members
	Clients   *peer.Clients
	Answers   *forward.Answers
	Ledger    *usage.Ledger
	Tracer    *trace.Tracer
	Registry  metrics.Registry
	Log       *zap.Logger
	KeepTime  time.Duration
}

// NewServer returns a server on an IP address and port.
func NewServer(address string, p Parts) *Server {
	s := &Server{
		http:   web.NewServer(address, profile.MaxBodyBytesLimit+1, exitWait),
		secret: p.Secret, view: p.View, forwarder: p.Forwarder, driver: p.Driver, members: p.Members,
		clients: p.Clients, answers: p.Answers, ledger: p.Ledger, tracer: p.Tracer, log: p.Log, keepTime: p.KeepTime,
		latency: metrics.GetOrRegisterTimer("caller-requests", p.Registry),
	}
	s.routes()
	return s
}

func (s *Server) routes() {
	s.http.Handle("POST", "/v1/chat/completions", s.guard(s.complete))
	s.http.Handle("POST", "/v1/completions", s.guard(s.complete))
	s.http.Handle("GET", "/v1/models", s.guard(s.models))
	s.http.Handle("GET", "/v1/entries", s.entries)
	s.http.Any("/v1/services/:service/*path", s.guard(s.plain))
	s.http.Handle("POST", "/v1/steps", s.guard(s.openStep))
	s.http.Handle("GET", "/v1/steps/:step", s.guard(s.getStep))
	s.http.Handle("POST", "/v1/steps/:step/ack", s.guard(s.acknowledgeStep))
	s.http.Otherwise(s.guard(func(context.Context, *app.RequestContext) error {
		return failure.New(failure.UnknownRoute, "there is no such route")
	}))
}

// Serve runs until the context ends.
func (s *Server) Serve(ctx context.Context) error { return s.http.Serve(ctx) }

// Refuse turns new requests away; running ones go on.
func (s *Server) Refuse() { s.closed.Store(true) }

// Active returns how many requests are being answered.
func (s *Server) Active() int64 { return s.active.Load() }

type handler func(ctx context.Context, c *app.RequestContext) error

// guard counts and traces a request, and answers its error from the table.
func (s *Server) guard(next handler) web.Handler {
	return func(ctx context.Context, c *app.RequestContext) {
		s.active.Add(1)
		defer s.active.Add(-1)
		defer s.latency.UpdateSince(time.Now())
		ctx, span := s.tracer.Start(s.tracer.Extract(ctx, c.Request.Header.Get(trace.Header)), "caller "+string(c.Method()))
		defer span.End()
		c.Set(accountKey, &account{customer: unknown, service: unknown})
		err := s.open()
		if err == nil {
			err = next(ctx, c)
		}
		if err != nil {
			s.count(c, err)
			s.refuse(c, err)
		}
	}
}

func (s *Server) open() error {
	if s.closed.Load() {
		return failure.New(failure.Draining, "this instance is shutting down; ask for another")
	}
	return nil
}

// refuse answers an error, unless the answer has begun; then it is cut off,
// so that the caller sees a truncated answer.
func (s *Server) refuse(c *app.RequestContext, err error) {
	var begun *truncatedError
	if errors.As(err, &begun) {
		begun.sink.breakOff(begun.cause)
		return
	}
	writeError(c, err)
}
