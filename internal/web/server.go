package web

import (
	"context"
	"sync"
	"time"

	"cactusspoke/internal/intake"

	"github.com/cloudwego/hertz/pkg/app"
	"github.com/cloudwego/hertz/pkg/app/server"
	"github.com/cloudwego/hertz/pkg/common/config"
	"github.com/cloudwego/hertz/pkg/common/hlog"
	"github.com/cloudwego/hertz/pkg/network"
)

// Limits of the server.
const (
	// keepAliveTimeout is how long a connection may stay open without a request.
	keepAliveTimeout = 60 * time.Second
	// readTimeout is how long a peer may pause within a request.
	readTimeout = 30 * time.Second
	// maxHeaderBytes limits the headers of a request, whatever the configuration says.
	maxHeaderBytes = 1 << 20
)

// Handler handles a request. Its context ends when the peer closes the connection.
type Handler func(ctx context.Context, c *app.RequestContext)

// Server is an HTTP server that listens on one IP address and port.
type Server struct {
	hertz        *server.Hertz
	intake       *Intake
	maxBodyBytes int
	readTimeout  time.Duration
}

// silenceLog disables the log of the HTTP library. The log is global to the process.
var silenceLog sync.Once

// NewServer returns a server that does not listen yet. Bodies larger than
// maxBodyBytes are refused with status 413. A shutdown waits up to shutdownTimeout for
// running requests.
func NewServer(address string, maxBodyBytes int, shutdownTimeout time.Duration) *Server {
	return newServer(address, maxBodyBytes, shutdownTimeout, keepAliveTimeout, readTimeout)
}

func newServer(address string, maxBodyBytes int, shutdownTimeout, keepAlive, read time.Duration) *Server {
	silenceLog.Do(func() { hlog.SetLevel(hlog.LevelFatal) })
	s := &Server{intake: NewIntake(intake.Unlimited()), maxBodyBytes: maxBodyBytes, readTimeout: read}
	s.hertz = server.New(
		server.WithHostPorts(address),
		server.WithTransport(func(options *config.Options) network.Transporter {
			return &transporter{options: options, server: s}
		}),
		server.WithStreamBody(true),
		server.WithOnAccept(withConnection),
		server.WithOnConnect(func(ctx context.Context, conn network.Conn) context.Context {
			// The transport applies its read timeout only after the first request.
			_ = conn.SetReadTimeout(read)
			return ctx
		}),
		server.WithMaxRequestBodySize(maxBodyBytes),
		server.WithExitWaitTime(shutdownTimeout),
		server.WithReadTimeout(read),
		server.WithKeepAliveTimeout(keepAlive),
		server.WithIdleTimeout(keepAlive),
		server.WithMaxHeaderBytes(maxHeaderBytes),
		server.WithDisablePrintRoute(true),
		server.WithDisablePreParseMultipartForm(true),
	)
	return s
}

// UseIntake makes the server take memory and connections from an intake. It must be called
// before Serve. Without it, only heads and the framing of bodies are limited.
func (s *Server) UseIntake(in *Intake) *Server {
	s.intake = in
	return s
}

// Handle registers the handler for a method and a route pattern.
func (s *Server) Handle(method, pattern string, handler Handler) {
	s.hertz.Handle(method, pattern, s.receive(handler))
}

// HandleAllMethods registers the handler for all methods of a route pattern.
func (s *Server) HandleAllMethods(pattern string, handler Handler) {
	s.hertz.Any(pattern, s.receive(handler))
}

// HandleUnmatched registers the handler for requests that match no route pattern.
func (s *Server) HandleUnmatched(handler Handler) {
	s.hertz.NoRoute(s.receive(handler))
}

// Serve listens and serves until ctx ends. It then shuts down and waits for running
// requests.
func (s *Server) Serve(ctx context.Context) error {
	failed := make(chan error, 1)
	go func() {
		// The HTTP library panics if the address is in use.
		defer func() {
			if cause := recover(); cause != nil {
				failed <- Class.New("%v", cause)
			}
		}()
		failed <- s.hertz.Run()
	}()
	select {
	case err := <-failed:
		return Class.Wrap(err)
	case <-ctx.Done():
		return Class.Wrap(s.hertz.Shutdown(context.Background()))
	}
}

// AbortResponse flushes the part of the response that has been written and closes the
// connection without ending the body, so that the caller sees that the response is
// truncated.
func AbortResponse(c *app.RequestContext) {
	_ = c.Flush()
	c.Response.Header.SetConnectionClose(true)
	_ = c.GetConn().Close()
}
