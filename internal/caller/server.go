// Package caller serves the HTTP API for callers, which send requests to
// services, and trainers, which run training steps.
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

// shutdownTimeout limits the shutdown of the HTTP library, which starts after all
// requests have ended.
const shutdownTimeout = 5 * time.Second

// Server is the HTTP server for callers and trainers.
type Server struct {
	httpServer     *web.Server
	digestSecret   []byte
	view           *configuration.View
	forwarder      *forward.Forwarder
	driver         *rollout.Driver
	members        *peer.Members
	clients        *peer.Clients
	responses      *forward.ResponseCache
	usageRecorder  *usage.Recorder
	tracer         *trace.Tracer
	log            *zap.Logger
	entriesTTL     time.Duration
	draining       atomic.Bool
	activeRequests atomic.Int64
	latency        metrics.Timer
}

// Config holds the dependencies and settings of a Server. DigestSecret is the key
// of the digests of API keys; EntriesTTL is how long callers may cache the list of
// entries.
type Config struct {
	DigestSecret  []byte
	View          *configuration.View
	Forwarder     *forward.Forwarder
	Driver        *rollout.Driver
	Members       *peer.Members
	Clients       *peer.Clients
	ResponseCache *forward.ResponseCache
	UsageRecorder *usage.Recorder
	Tracer        *trace.Tracer
	Metrics       metrics.Registry
	Log           *zap.Logger
	EntriesTTL    time.Duration
}

// NewServer returns a server that listens on an IP address and port.
func NewServer(address string, config Config) *Server {
	s := &Server{
		httpServer:   web.NewServer(address, profile.MaxBodyBytesLimit+1, shutdownTimeout),
		digestSecret: config.DigestSecret, view: config.View, forwarder: config.Forwarder, driver: config.Driver, members: config.Members,
		clients: config.Clients, responses: config.ResponseCache, usageRecorder: config.UsageRecorder, tracer: config.Tracer, log: config.Log, entriesTTL: config.EntriesTTL,
		latency: metrics.GetOrRegisterTimer("caller-requests", config.Metrics),
	}
	s.routes()
	return s
}

func (s *Server) routes() {
	s.httpServer.Handle("POST", "/v1/chat/completions", s.wrapHandler(s.serveCompletion))
	s.httpServer.Handle("POST", "/v1/completions", s.wrapHandler(s.serveCompletion))
	s.httpServer.Handle("GET", "/v1/models", s.wrapHandler(s.serveModels))
	s.httpServer.Handle("GET", "/v1/entries", s.serveEntries)
	s.httpServer.HandleAllMethods("/v1/services/:service/*path", s.wrapHandler(s.servePlain))
	s.httpServer.Handle("POST", "/v1/steps", s.wrapHandler(s.openStep))
	s.httpServer.Handle("GET", "/v1/steps/:step", s.wrapHandler(s.getStep))
	s.httpServer.Handle("POST", "/v1/steps/:step/ack", s.wrapHandler(s.acknowledgeStep))
	s.httpServer.HandleUnmatched(s.wrapHandler(func(context.Context, *app.RequestContext) error {
		return failure.New(failure.UnknownRoute, "there is no such route")
	}))
}

// Serve serves requests until the context is done.
func (s *Server) Serve(ctx context.Context) error { return s.httpServer.Serve(ctx) }

// StartDraining makes the server refuse new requests. Running requests continue.
func (s *Server) StartDraining() { s.draining.Store(true) }

// ActiveRequests returns the number of running requests.
func (s *Server) ActiveRequests() int64 { return s.activeRequests.Load() }

// handler handles a request and returns the error to respond with, if any.
type handler func(ctx context.Context, c *app.RequestContext) error

// wrapHandler returns a web handler that counts, times and traces requests,
// refuses them while the server is draining, and responds with the error that
// next returns.
func (s *Server) wrapHandler(next handler) web.Handler {
	return func(ctx context.Context, c *app.RequestContext) {
		s.activeRequests.Add(1)
		defer s.activeRequests.Add(-1)
		defer s.latency.UpdateSince(time.Now())
		ctx, span := s.tracer.Start(s.tracer.Extract(ctx, c.Request.Header.Get(trace.Header)), "caller "+string(c.Method()))
		defer span.End()
		c.Set(requestInfoKey, &requestInfo{customer: unknown, service: unknown})
		err := s.checkDraining()
		if err == nil {
			err = next(ctx, c)
		}
		if err != nil {
			s.countRefusal(c, err)
			s.respondError(c, err)
		}
	}
}

// checkDraining returns an error if the server refuses new requests.
func (s *Server) checkDraining() error {
	if s.draining.Load() {
		return failure.New(failure.Draining, "this instance is shutting down; ask for another")
	}
	return nil
}

// respondError responds with an error. If the response has already started, it
// aborts the connection instead, so that the caller sees a truncated response.
func (s *Server) respondError(c *app.RequestContext, err error) {
	var truncated *truncatedError
	if errors.As(err, &truncated) {
		truncated.sink.abort(truncated.cause)
		return
	}
	writeError(c, err)
}
