package web

import (
	"context"
	"sync"
	"time"

	"github.com/cloudwego/hertz/pkg/app"
	"github.com/cloudwego/hertz/pkg/app/server"
	"github.com/cloudwego/hertz/pkg/common/hlog"
	"github.com/cloudwego/hertz/pkg/network/netpoll"
)

// Limits of the server.
const (
	keepAliveTimeout = 60 * time.Second
	bodyReadTimeout  = 30 * time.Second
)

// Handler answers one request.
type Handler func(ctx context.Context, c *app.RequestContext)

// Server is an HTTP server on one IP address and port.
type Server struct {
	hertz *server.Hertz
}

// quiet silences the library's own log, once for the process.
var quiet sync.Once

// NewServer returns a server that is not yet listening. Bodies over
// maxBodyBytes are answered with 413 by the library. Shutdown waits up to
// exitWait for running requests.
func NewServer(address string, maxBodyBytes int, exitWait time.Duration) *Server {
	quiet.Do(func() { hlog.SetLevel(hlog.LevelFatal) })
	hertz := server.New(
		server.WithHostPorts(address),
		server.WithTransport(netpoll.NewTransporter),
		server.WithMaxRequestBodySize(maxBodyBytes),
		server.WithExitWaitTime(exitWait),
		server.WithSenseClientDisconnection(true),
		server.WithReadTimeout(bodyReadTimeout),
		server.WithKeepAliveTimeout(keepAliveTimeout),
		server.WithDisablePrintRoute(true),
		server.WithDisablePreParseMultipartForm(true),
	)
	return &Server{hertz: hertz}
}

// Handle registers a handler for a method and a route pattern.
func (s *Server) Handle(method, pattern string, handler Handler) {
	s.hertz.Handle(method, pattern, app.HandlerFunc(handler))
}

// Any registers a handler for every method of a route pattern.
func (s *Server) Any(pattern string, handler Handler) {
	s.hertz.Any(pattern, app.HandlerFunc(handler))
}

// Otherwise registers the handler of requests that match no pattern.
func (s *Server) Otherwise(handler Handler) {
	s.hertz.NoRoute(app.HandlerFunc(handler))
}

// Serve runs until the context ends, then shuts down and waits for running
// requests.
func (s *Server) Serve(ctx context.Context) error {
	failed := make(chan error, 1)
	go func() {
		// The library panics where the address is taken.
		defer func() {
			if problem := recover(); problem != nil {
				failed <- Class.New("%v", problem)
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

// Cut closes the connection of a request without a clean end, after what was
// written so far went out, so that the caller sees a truncated answer.
func Cut(c *app.RequestContext) {
	_ = c.Flush()
	c.Response.Header.SetConnectionClose(true)
	_ = c.GetConn().Close()
}
