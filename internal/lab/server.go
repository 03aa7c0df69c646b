// Package lab holds the stand-ins for the systems that the product serves,
// and the load tool. The product never imports it.
package lab

import (
	"context"
	"encoding/json"
	"time"

	"cactusspoke/internal/web"

	"github.com/cloudwego/hertz/pkg/app"
)

// Paths that every stand-in has.
const (
	PathFaults = "/lab/faults"
	PathSeen   = "/lab/seen"
	PathReady  = "/lab/ready"
)

// Limits of the stand-ins' servers.
const (
	maxBodyBytes = 64 << 20
	exitWait     = time.Second
)

// server is the part that all stand-ins share.
type server struct {
	http   *web.Server
	faults *Faults
}

func newServer(address string) *server {
	s := &server{http: web.NewServer(address, maxBodyBytes, exitWait), faults: NewFaults()}
	s.http.Handle("POST", PathFaults, s.setFaults)
	s.http.Handle("GET", PathReady, func(_ context.Context, c *app.RequestContext) { reply(c, 200, struct{}{}) })
	return s
}

// Serve runs until the context ends.
func (s *server) Serve(ctx context.Context) error { return s.http.Serve(ctx) }

func (s *server) setFaults(_ context.Context, c *app.RequestContext) {
	if err := s.faults.Set(c.Request.Body()); err != nil {
		c.String(400, err.Error())
		return
	}
	reply(c, 200, struct{}{})
}

// handle registers a handler behind the faults.
func (s *server) handle(method, pattern string, next web.Handler) {
	s.http.Handle(method, pattern, func(ctx context.Context, c *app.RequestContext) {
		if !s.faults.before(ctx, c) {
			return
		}
		next(ctx, c)
		s.faults.after(ctx, c)
	})
}

func reply(c *app.RequestContext, status int, v any) {
	data, err := json.Marshal(v)
	if err != nil {
		panic(err)
	}
	c.Data(status, "application/json", data)
}
