// Package lab implements simulators of the systems around cactusspoke (model
// engines, plain services, the platform's services and a trainer), and the load
// generator. Production code must not import it.
package lab

import (
	"context"
	"encoding/json"
	"time"

	"cactusspoke/internal/web"

	"github.com/cloudwego/hertz/pkg/app"
)

// Paths for controlling and inspecting simulators.
const (
	PathFaults = "/lab/faults"
	PathSeen   = "/lab/seen"
	PathReady  = "/lab/ready"
)

// Limits of the simulators' HTTP servers.
const (
	maxBodyBytes    = 64 << 20
	shutdownTimeout = time.Second
)

// server is the HTTP server with fault injection that every simulator embeds.
type server struct {
	http   *web.Server
	faults *Faults
}

func newServer(address string) *server {
	s := &server{http: web.NewServer(address, maxBodyBytes, shutdownTimeout), faults: NewFaults()}
	s.http.Handle("POST", PathFaults, s.setFaults)
	s.http.Handle("GET", PathReady, func(_ context.Context, c *app.RequestContext) { replyJSON(c, 200, struct{}{}) })
	return s
}

// Serve runs the server until the context is cancelled.
func (s *server) Serve(ctx context.Context) error {
	defer context.AfterFunc(ctx, s.faults.stop)()
	return s.http.Serve(ctx)
}

func (s *server) setFaults(_ context.Context, c *app.RequestContext) {
	if err := s.faults.Set(c.Request.Body()); err != nil {
		c.String(400, err.Error())
		return
	}
	replyJSON(c, 200, struct{}{})
}

// handleWithFaults registers a handler that the configured faults apply to.
func (s *server) handleWithFaults(method, pattern string, next web.Handler) {
	s.http.Handle(method, pattern, func(ctx context.Context, c *app.RequestContext) {
		if !s.faults.beforeRequest(c) {
			return
		}
		next(ctx, c)
		s.faults.afterRequest(ctx, c)
	})
}

func replyJSON(c *app.RequestContext, status int, v any) {
	data, err := json.Marshal(v)
	if err != nil {
		panic(err)
	}
	c.Data(status, "application/json", data)
}
