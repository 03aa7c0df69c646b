// Package ingress implements the HTTP handlers of an entry instance. It matches
// each request to a route, authenticates the customer, forwards the request to
// a backend server and accepts batch jobs.
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
	"cactusspoke/internal/load"
	"cactusspoke/internal/memory"
	"cactusspoke/internal/meter"
	"cactusspoke/internal/poison"
	"cactusspoke/internal/pool"
	"cactusspoke/internal/prefill"
	"cactusspoke/internal/protocol"
	"cactusspoke/internal/reach"
	"cactusspoke/internal/results"
	"cactusspoke/internal/routetable"
	"cactusspoke/internal/streamorigin"
	"cactusspoke/internal/telemetry"
	"cactusspoke/internal/walltime"

	"github.com/cloudwego/hertz/pkg/app"
	"go.uber.org/zap"
	"golang.org/x/sync/singleflight"
)

const (
	// addressTTL is how long callers may cache a list of addresses. Some callers
	// cache it three times as long, which must fit into the shutdown grace period.
	addressTTL = 2 * time.Second
	// defaultTimeout limits requests on routes that configure no timeout.
	defaultTimeout = 30 * time.Second
	// retryAfterBusy is the Retry-After value while backend servers lack capacity,
	// which usually frees up within a fraction of a second.
	retryAfterBusy = 200 * time.Millisecond
	// retryAfterUnavailable is the Retry-After value while the instance or its
	// store is unavailable.
	retryAfterUnavailable = time.Second
)

// Codec decodes and encodes the bodies of the platform's requests and responses.
type Codec struct {
	// Job decodes a job and calls add for each of its items.
	Job     func(body []byte, add func(*batch.Item)) (*batch.Job, error)
	Results func(total, next int, results []batch.Result) []byte
	Lookup  func(addresses []string, ttlSeconds float64) []byte
	// Load decodes the load header of servers.
	Load load.DecodeFunc
}

// Config holds the dependencies and settings of a Server.
type Config struct {
	Headers  protocol.Headers
	Paths    protocol.Paths
	Codec    Codec
	View     *routetable.View
	Pool     *pool.Pool
	Backends *http1.Client
	Jobs     *batch.JobStore
	// HolderResults reads results at the duty holder instead of the store.
	HolderResults *results.Client
	// StoreReachable reports whether the last call reached the store.
	StoreReachable func() bool
	Directory      *directory.Directory
	Clock          *walltime.Clock
	Meter          *meter.Meter
	Poison         *poison.Tracker
	Streams        *streamorigin.Records
	// Software brings the software versions in Pool up to date.
	Software *pool.SoftwareReader
	// Reach tells whether this instance reaches the servers of a service.
	Reach   *reach.Monitor
	Metrics *telemetry.Registry
	Log     *zap.Logger
	// Address is the host and port at which callers reach this instance.
	Address       string
	FailureDomain string
	// Regions is the region of each failure domain.
	Regions map[string]string
	// MaxBufferedBytes limits the responses of backend servers that are in memory while they
	// are read.
	MaxBufferedBytes int64
	// MaxAddressTTL is the operator's upper bound for the TTL of a list of addresses.
	MaxAddressTTL time.Duration
}

// Server handles the requests of callers.
type Server struct {
	Config
	// stopping is set once the instance stops.
	stopping atomic.Pointer[stopPlan]
	// requestsEnd ends when the remaining requests of an instance that stops are ended.
	requestsEnd      context.Context
	endRequests      context.CancelFunc
	closeConnections atomic.Bool
	active           atomic.Int64
	responses        *memory.Budget
	submissions      submissions
	relayedRequests  atomic.Int64
	peerPauses       pauses
	prefills         *prefill.Tracker
	// prefillPlacements counts the streams of the next log line about prefill.
	prefillPlacements atomic.Int64
	prefillLoggedAt   atomic.Int64
	gates             *gates
	// probes merges simultaneous probes of a server.
	probes singleflight.Group
}

// New returns a server.
func New(config Config) *Server {
	ctx, cancel := context.WithCancel(context.Background())
	return &Server{Config: config, responses: memory.NewBudget(config.MaxBufferedBytes), prefills: prefill.NewTracker(), requestsEnd: ctx, endRequests: cancel, gates: newGates()}
}

// DisableKeepAlives disables keep-alive: each response closes its connection.
func (s *Server) DisableKeepAlives() { s.closeConnections.Store(true) }

// Active returns the number of requests in progress.
func (s *Server) Active() int64 { return s.active.Load() }

// ServeReady handles the platform's readiness check.
func (s *Server) ServeReady(_ context.Context, c *app.RequestContext) {
	if s.stopping.Load() != nil || s.View.Table() == nil {
		c.SetStatusCode(http.StatusServiceUnavailable)
		return
	}
	c.SetStatusCode(http.StatusOK)
}

// ServeLookup responds with the addresses that a caller may connect to.
func (s *Server) ServeLookup(_ context.Context, c *app.RequestContext) {
	if string(c.Path()) != s.Paths.Lookup {
		c.SetStatusCode(http.StatusNotFound)
		return
	}
	addresses := s.Directory.Addresses(c.Query("Zone"), s.lookupPreferences(c.Query("Name"), c.Query("Region"), c.Query("Zone"))...)
	if len(addresses) == 0 && s.stopping.Load() == nil {
		addresses = []string{s.Address}
	}
	if len(addresses) == 0 {
		c.SetStatusCode(http.StatusServiceUnavailable)
		return
	}
	c.SetContentType("application/json")
	c.SetStatusCode(http.StatusOK)
	c.SetBodyString(string(s.Codec.Lookup(addresses, min(addressTTL, s.MaxAddressTTL).Seconds())))
}

// callerRequest is the part of a caller's request that routing and logging use.
type callerRequest struct {
	receivedAt time.Time
	id         string
	method     string
	requestURI string
	path       string
	host       string
	route      *routetable.Route
	// configurationVersion is that of the configuration in which the route was found.
	configurationVersion int64
	customer             string
	deadline             time.Time
	// regions are those that the request may reach.
	regions routetable.RegionSet
	// relayed means that another entry instance relayed the request.
	relayed bool
	// maxAttempts limits the attempts that may run the request.
	maxAttempts int
	// mayHaveRun is set once a server may have started to run the request, or a peer or the
	// store may have carried out the call. Such a request is not refused.
	mayHaveRun bool
	// probed is set once the request waited for probes.
	probed bool
	// resumesAt is the origin of the stream that the request resumes; nil if it resumes
	// none.
	resumesAt *streamorigin.Origin
	// prompt is what the request states of its prompt, and prefill that of its attempt.
	prompt  prefill.Prompt
	prefill *prefill.Running
}

// Serve handles a caller's request.
func (s *Server) Serve(ctx context.Context, c *app.RequestContext) {
	s.active.Add(1)
	startedAt := time.Now()
	defer func() {
		s.active.Add(-1)
		s.Metrics.Inc("requests_total", "status", strconv.Itoa(c.Response.StatusCode()))
		s.Metrics.Observe("request", time.Since(startedAt))
	}()
	if s.closeConnections.Load() {
		c.SetConnectionClose()
	}
	table := s.View.Table()
	if table == nil {
		s.respondError(c, nil, http.StatusServiceUnavailable, retryAfterUnavailable, "no configuration yet")
		return
	}
	r := s.parseRequest(c)
	ctx, cancel := s.untilStopped(ctx)
	defer cancel()
	if s.serveJobRequest(ctx, c, r, table) {
		return
	}
	route, ok := table.Match(r.host, r.path)
	if !ok {
		s.respondError(c, r, http.StatusNotFound, 0, "no route")
		return
	}
	r.route, r.configurationVersion = route, table.Version()
	if !s.authenticate(c, r, table, route.Public) {
		return
	}
	if limit := table.Limits().BodyBytes; limit > 0 && len(c.Request.Body()) > limit {
		s.respondError(c, r, http.StatusRequestEntityTooLarge, 0, "body over the operator's limit")
		return
	}
	r.regions = table.AllowedRegions(route, r.customer)
	if r.regions.Restricted() && !r.regions.AllowsAny(s.knownRegions()) {
		s.respondError(c, r, http.StatusServiceUnavailable, retryAfterUnavailable, "no allowed region is known")
		return
	}
	r.deadline = s.requestDeadline(c, r)
	r.maxAttempts = attemptLimit(c, r)
	longest := r.deadline
	if route.Kind == routetable.Rollout {
		longest = r.receivedAt.Add(jobCallTime)
	}
	if s.refusedWhileStopping(c, r, longest) {
		return
	}
	if route.Kind == routetable.Rollout {
		s.submitJob(ctx, c, r)
		return
	}
	s.forward(ctx, c, r)
}

// parseRequest extracts the fields of a request that are needed to route it.
func (s *Server) parseRequest(c *app.RequestContext) *callerRequest {
	requestURI := string(c.Request.Header.RequestURI())
	path, _, _ := strings.Cut(requestURI, "?")
	return &callerRequest{
		receivedAt: time.Now(), method: string(c.Method()), requestURI: requestURI, path: path,
		host:    string(c.Request.Header.Host()),
		id:      string(c.Request.Header.Peek(s.Headers.RequestID)),
		relayed: len(c.Request.Header.Peek(relayedHeader)) > 0,
	}
}

// attemptLimit returns how many attempts may run a request: those of its route, or fewer
// if an instance that relayed it has used some.
func attemptLimit(c *app.RequestContext, r *callerRequest) int {
	limit, err := strconv.Atoi(string(c.Request.Header.Peek(attemptsHeader)))
	if !r.relayed || err != nil {
		return r.route.MaxAttempts
	}
	return max(1, min(limit, r.route.MaxAttempts))
}

// authenticate sets the customer that the caller's API key belongs to. It
// responds with 401 and returns false if the key is missing or unknown.
func (s *Server) authenticate(c *app.RequestContext, r *callerRequest, table *routetable.Table, public bool) bool {
	if !table.RequiresKey() || public {
		return true
	}
	key, found := strings.CutPrefix(string(c.Request.Header.Peek("Authorization")), s.Headers.AuthScheme)
	customer, known := table.CustomerByKey(key)
	if !found || !known {
		s.respondError(c, r, http.StatusUnauthorized, 0, "unknown key")
		return false
	}
	r.customer = customer.Name
	return true
}

// requestDeadline returns the earlier of the caller's deadline and the route's
// timeout.
func (s *Server) requestDeadline(c *app.RequestContext, r *callerRequest) time.Time {
	limit := defaultTimeout
	if r.route != nil && r.route.Timeout > 0 {
		limit = r.route.Timeout
	}
	// A larger number may not fit into a Duration.
	if ms, err := strconv.ParseFloat(string(c.Request.Header.Peek(s.Headers.DeadlineMS)), 64); err == nil && ms > 0 && ms < float64(limit.Milliseconds()) {
		limit = time.Duration(ms * float64(time.Millisecond))
	}
	return r.receivedAt.Add(limit)
}

// respondError responds with an error status generated by this instance and logs
// the reason. retryAfter is sent only with statuses 429 and 503. A request that may have run
// gets 502 instead of a refusal.
func (s *Server) respondError(c *app.RequestContext, r *callerRequest, status int, retryAfter time.Duration, reason string) {
	if r != nil && r.mayHaveRun && isRefusal(status) {
		status = http.StatusBadGateway
	}
	c.SetStatusCode(status)
	if retryAfter > 0 && (status == http.StatusServiceUnavailable || status == http.StatusTooManyRequests) {
		c.Response.Header.Set("Retry-After", strconv.FormatFloat(retryAfter.Seconds(), 'f', 3, 64))
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
		zap.Int64("configuration", s.View.Table().Version()), zap.Duration("took", time.Since(r.receivedAt)))
}
