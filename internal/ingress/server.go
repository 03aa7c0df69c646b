// Package ingress serves callers at an entry instance: it finds the route and
// the customer of a request, forwards it to a backend server, and takes in
// batch jobs.
package ingress

import (
	"context"
	"net/http"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"cactusspoke/internal/batch"
	"cactusspoke/internal/directory"
	"cactusspoke/internal/http1"
	"cactusspoke/internal/meter"
	"cactusspoke/internal/poison"
	"cactusspoke/internal/pool"
	"cactusspoke/internal/protocol"
	"cactusspoke/internal/routetable"
	"cactusspoke/internal/telemetry"

	"github.com/cloudwego/hertz/pkg/app"
	"go.uber.org/zap"
)

const (
	// keepAddresses is how long callers may keep a list of addresses. Some keep
	// it three times as long, which must fit into the time to stop.
	keepAddresses = 2 * time.Second
	// defaultTimeout bounds requests of routes without a timeout of their own.
	defaultTimeout = 30 * time.Second
	// comeBackSoon is the Retry-After where capacity returns within moments.
	comeBackSoon = 200 * time.Millisecond
	// comeBackLater is the Retry-After while the instance or its store is away.
	comeBackLater = time.Second
)

// Codec reads and writes the bodies of the platform's calls.
type Codec struct {
	Job     func(body []byte) (*batch.Job, error)
	Results func(total, next int, results []batch.Result) []byte
	Lookup  func(addresses []string, keepSeconds float64) []byte
}

// Parts is what a server works with.
type Parts struct {
	Headers  protocol.Headers
	Paths    protocol.Paths
	Codec    Codec
	View     *routetable.View
	Pool     *pool.Pool
	Backends *http1.Client
	Ledger   *batch.JobStore
	// StoreReachable tells whether the last call reached the store.
	StoreReachable func() bool
	Directory      *directory.Directory
	Meter          *meter.Meter
	Poison         *poison.List
	Figures        *telemetry.Registry
	Log            *zap.Logger
	// Address is where callers reach this instance.
	Address       string
	FailureDomain string
	KeepMax       time.Duration
}

// Server answers callers.
type Server struct {
	Parts
	draining atomic.Bool
	stopping atomic.Bool
	active   atomic.Int64
}

// New returns a server.
func New(parts Parts) *Server { return &Server{Parts: parts} }

// Drain makes the instance report that it is not ready and name only others.
func (s *Server) Drain() { s.draining.Store(true) }

// StopKeeping makes each answer end its connection.
func (s *Server) StopKeeping() { s.stopping.Store(true) }

// Active returns how many requests are being served.
func (s *Server) Active() int64 { return s.active.Load() }

// ServeReady answers the platform's check.
func (s *Server) ServeReady(_ context.Context, c *app.RequestContext) {
	if s.draining.Load() || s.View.Table() == nil {
		c.SetStatusCode(http.StatusServiceUnavailable)
		return
	}
	c.SetStatusCode(http.StatusOK)
}

// ServeLookup answers a caller that asks where to connect.
func (s *Server) ServeLookup(_ context.Context, c *app.RequestContext) {
	if string(c.Path()) != s.Paths.Lookup {
		c.SetStatusCode(http.StatusNotFound)
		return
	}
	addresses := s.Directory.Addresses(c.Query("Zone"))
	if len(addresses) == 0 && !s.draining.Load() {
		addresses = []string{s.Address}
	}
	if len(addresses) == 0 {
		c.SetStatusCode(http.StatusServiceUnavailable)
		return
	}
	c.SetContentType("application/json")
	c.SetStatusCode(http.StatusOK)
	c.SetBodyString(string(s.Codec.Lookup(addresses, min(keepAddresses, s.KeepMax).Seconds())))
}

// call is one request of a caller.
type call struct {
	arrived  time.Time
	id       string
	method   string
	uri      string
	path     string
	host     string
	route    *routetable.Route
	customer string
	deadline time.Time
}

// Serve answers a request at the address for callers.
func (s *Server) Serve(ctx context.Context, c *app.RequestContext) {
	s.active.Add(1)
	started := time.Now()
	defer func() {
		s.active.Add(-1)
		s.Figures.Inc("requests_total", "status", strconv.Itoa(c.Response.StatusCode()))
		s.Figures.Observe("request", time.Since(started))
	}()
	if s.stopping.Load() {
		c.SetConnectionClose()
	}
	table := s.View.Table()
	if table == nil {
		s.refuse(c, nil, http.StatusServiceUnavailable, comeBackLater, "no configuration yet")
		return
	}
	r := s.read(c)
	if s.serveJobCall(ctx, c, r, table) {
		return
	}
	route, ok := table.Match(r.host, r.path)
	if !ok {
		s.refuse(c, r, http.StatusNotFound, 0, "no route")
		return
	}
	r.route = route
	if !s.identify(c, r, table, route.Public) {
		return
	}
	if limit := table.Limits().BodyBytes; limit > 0 && len(c.Request.Body()) > limit {
		s.refuse(c, r, http.StatusRequestEntityTooLarge, 0, "body over the operator's limit")
		return
	}
	r.deadline = s.deadline(c, r)
	if route.Kind == routetable.Rollout {
		s.submit(ctx, c, r)
		return
	}
	s.forward(ctx, c, r)
}

// read takes what the decisions need from a request.
func (s *Server) read(c *app.RequestContext) *call {
	uri := string(c.Request.Header.RequestURI())
	path, _, _ := strings.Cut(uri, "?")
	return &call{
		arrived: time.Now(), method: string(c.Method()), uri: uri, path: path,
		host: string(c.Request.Header.Host()),
		id:   string(c.Request.Header.Peek(s.Headers.RequestID)),
	}
}

// identify finds the customer of the caller's key.
func (s *Server) identify(c *app.RequestContext, r *call, table *routetable.Table, public bool) bool {
	if !table.Keyed() || public {
		return true
	}
	key, found := strings.CutPrefix(string(c.Request.Header.Peek("Authorization")), s.Headers.AuthScheme)
	customer, known := table.Customer(key)
	if !found || !known {
		s.refuse(c, r, http.StatusUnauthorized, 0, "unknown key")
		return false
	}
	r.customer = customer.Name
	return true
}

// deadline is when the caller or the operator gives the request up.
func (s *Server) deadline(c *app.RequestContext, r *call) time.Time {
	limit := defaultTimeout
	if r.route != nil && r.route.Timeout > 0 {
		limit = r.route.Timeout
	}
	if ms, err := strconv.ParseFloat(string(c.Request.Header.Peek(s.Headers.DeadlineMS)), 64); err == nil && ms > 0 {
		limit = min(limit, time.Duration(ms*float64(time.Millisecond)))
	}
	return r.arrived.Add(limit)
}

// refuse answers with a status of our own and logs why.
func (s *Server) refuse(c *app.RequestContext, r *call, status int, comeBack time.Duration, reason string) {
	c.SetStatusCode(status)
	if comeBack > 0 && (status == http.StatusServiceUnavailable || status == http.StatusTooManyRequests) {
		c.Response.Header.Set("Retry-After", strconv.FormatFloat(comeBack.Seconds(), 'f', 3, 64))
	}
	if r == nil {
		return
	}
	c.Response.Header.Set(s.Headers.RequestID, r.id)
	route := ""
	if r.route != nil {
		route = r.route.Name
	}
	s.Log.Info("request: refused", zap.String("id", r.id), zap.Int("status", status), zap.String("reason", reason),
		zap.String("route", route), zap.String("customer", r.customer),
		zap.Int64("configuration", s.View.Table().Version()), zap.Duration("took", time.Since(r.arrived)))
}
