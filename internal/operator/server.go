// Package operator serves the operators' HTTP interface: metrics, status, usage
// accounts, CPU profiles, key suspensions and draining.
package operator

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"os"
	runtimemetrics "runtime/metrics"
	"strconv"
	"syscall"
	"time"

	"cactusspoke/internal/configuration"
	"cactusspoke/internal/duty"
	"cactusspoke/internal/failure"
	"cactusspoke/internal/fleet"
	"cactusspoke/internal/forward"
	"cactusspoke/internal/invariant"
	"cactusspoke/internal/peer"
	"cactusspoke/internal/rollout"
	"cactusspoke/internal/usage"
	"cactusspoke/internal/web"

	"github.com/cloudwego/hertz/pkg/app"
	"github.com/rcrowley/go-metrics"
)

// Paths of the operator interface.
const (
	PathMetrics     = "/metrics"
	PathStatus      = "/v1/status"
	PathSuspensions = "/v1/suspensions"
	PathDrain       = "/v1/drain"
	PathAccount     = "/v1/account"
	PathProfile     = "/v1/profile"
)

// Limits of the server.
const (
	maxBodyBytes    = 1 << 20
	shutdownTimeout = time.Second
)

// Server serves the operator interface of an instance.
type Server struct {
	http          *web.Server
	view          *configuration.View
	members       *peer.Members
	fleet         *fleet.Fleet
	forwarder     *forward.Forwarder
	driver        *rollout.Driver
	usageRecorder *usage.Recorder
	duties        []*duty.Runner
	registry      metrics.Registry
	drain         func()
}

// Config holds the dependencies of a Server.
type Config struct {
	View          *configuration.View
	Members       *peer.Members
	Fleet         *fleet.Fleet
	Forwarder     *forward.Forwarder
	Driver        *rollout.Driver
	UsageRecorder *usage.Recorder
	Duties        []*duty.Runner
	Registry      metrics.Registry
	// Drain starts the graceful shutdown of this instance.
	Drain func()
}

// NewServer returns a server that will listen on the given address.
func NewServer(address string, config Config) *Server {
	s := &Server{
		http: web.NewServer(address, maxBodyBytes, shutdownTimeout), view: config.View, members: config.Members, fleet: config.Fleet,
		forwarder: config.Forwarder, driver: config.Driver, usageRecorder: config.UsageRecorder, duties: config.Duties, registry: config.Registry, drain: config.Drain,
	}
	s.http.Handle("GET", PathMetrics, s.metrics)
	s.http.Handle("GET", PathStatus, s.status)
	s.http.Handle("GET", PathAccount, s.account)
	s.http.Handle("GET", PathProfile, s.cpuProfile)
	s.http.Handle("POST", PathSuspensions, s.suspend)
	s.http.Handle("POST", PathDrain, s.startDrain)
	return s
}

// Serve handles requests until the context ends.
func (s *Server) Serve(ctx context.Context) error { return s.http.Serve(ctx) }

func (s *Server) metrics(_ context.Context, c *app.RequestContext) {
	for _, count := range invariant.Counts() {
		metrics.GetOrRegisterGauge("invariant-checks-"+count.ID().String(), s.registry).Update(int64(count.Checks()))
		metrics.GetOrRegisterGauge("invariant-violations-"+count.ID().String(), s.registry).Update(int64(count.Violations()))
	}
	s.updateProcessMetrics()
	var out bytes.Buffer
	metrics.WriteJSONOnce(s.registry, &out)
	c.Data(200, "application/json", out.Bytes())
}

// updateProcessMetrics updates the gauges of CPU time, resident memory and heap
// allocations.
func (s *Server) updateProcessMetrics() {
	allocations := []runtimemetrics.Sample{{Name: "/gc/heap/allocs:objects"}}
	runtimemetrics.Read(allocations)
	metrics.GetOrRegisterGauge("process-allocations", s.registry).Update(int64(allocations[0].Value.Uint64()))
	var used syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &used); err != nil {
		return
	}
	cpu := time.Duration(used.Utime.Nano() + used.Stime.Nano())
	metrics.GetOrRegisterGauge("process-cpu-ms", s.registry).Update(cpu.Milliseconds())
	if resident, err := residentBytes(); err == nil {
		metrics.GetOrRegisterGauge("process-rss-kb", s.registry).Update(resident >> 10)
	}
}

// residentBytes returns the resident memory of the process.
func residentBytes() (int64, error) {
	data, err := os.ReadFile("/proc/self/statm")
	if err != nil {
		return 0, err
	}
	var size, resident int64
	if _, err := fmt.Sscan(string(data), &size, &resident); err != nil {
		return 0, err
	}
	return resident * int64(os.Getpagesize()), nil
}

// MemberStatus is an instance in a StatusResponse.
type MemberStatus struct {
	Name          string `json:"name"`
	FailureDomain string `json:"failure-domain"`
	Draining      bool   `json:"draining,omitempty"`
	Keeper        bool   `json:"keeper,omitempty"`
}

// ServerStatus is a backend server in a StatusResponse.
type ServerStatus struct {
	Name          string  `json:"name"`
	Service       string  `json:"service"`
	FailureDomain string  `json:"failure-domain"`
	WeightVersion int64   `json:"weight-version"`
	Estimate      float64 `json:"estimate"`
	Slots         int     `json:"slots"`
	Leaving       bool    `json:"leaving,omitempty"`
}

// DutyStatus is a duty in a StatusResponse.
type DutyStatus struct {
	Name    string `json:"name"`
	Holding bool   `json:"holding"`
	Holder  string `json:"holder"`
	Epoch   uint64 `json:"epoch,omitempty"`
}

// StatusResponse is the response of PathStatus. AgeMS is -1 if the store never
// confirmed the configuration.
type StatusResponse struct {
	Instance   string            `json:"instance"`
	Revision   uint64            `json:"configuration-revision"`
	AgeMS      int64             `json:"configuration-age-ms"`
	Rejected   []string          `json:"rejected-records,omitempty"`
	Running    int64             `json:"running"`
	Waiting    map[string]int    `json:"waiting"`
	OpenSteps  int               `json:"open-steps"`
	Members    []MemberStatus    `json:"members"`
	Servers    []ServerStatus    `json:"backend-servers"`
	Duties     []DutyStatus      `json:"duties"`
	Violations map[string]uint64 `json:"violations"`
}

func (s *Server) status(_ context.Context, c *app.RequestContext) {
	now := time.Now()
	age, seen := s.view.Age(now)
	response := StatusResponse{
		Instance: s.members.Self().Name(), Revision: uint64(s.view.Current().Revision()), AgeMS: age.Milliseconds(),
		Rejected: s.view.Rejected(), Running: s.forwarder.Running(), Waiting: s.forwarder.WaitingByService(),
		OpenSteps:  s.driver.OpenStepCount(),
		Violations: map[string]uint64{},
	}
	if !seen {
		response.AgeMS = -1
	}
	for _, m := range s.members.Alive(now) {
		response.Members = append(response.Members, MemberStatus{m.Name(), m.FailureDomain(), m.Draining(), m.Keeper()})
	}
	for _, b := range s.fleet.AllServers(now) {
		response.Servers = append(response.Servers, ServerStatus{b.ID(), b.Service(), b.FailureDomain(), b.WeightVersion(), b.EstimatedLoad(), b.Slots(), b.Leaving()})
	}
	for _, d := range s.duties {
		epoch, holding := d.Holding(now)
		response.Duties = append(response.Duties, DutyStatus{d.Name(), holding, d.Holder(), epoch})
	}
	for _, count := range invariant.Counts() {
		if count.Violations() > 0 {
			response.Violations[count.ID().String()] = count.Violations()
		}
	}
	writeJSON(c, 200, response)
}

// Suspensions lists the digests of keys to deny immediately.
type Suspensions struct {
	Digests []string `json:"digests"`
}

// suspend denies keys immediately and propagates the denial to the other
// instances. It does not depend on the store.
func (s *Server) suspend(_ context.Context, c *app.RequestContext) {
	var request Suspensions
	if err := json.Unmarshal(c.Request.Body(), &request); err != nil || len(request.Digests) == 0 {
		writeJSON(c, 400, ErrorResponse{failure.BadRequest.String(), "digests: must be present"})
		return
	}
	s.view.Suspend(request.Digests)
	writeJSON(c, 200, request)
}

// ErrorResponse is an error response.
type ErrorResponse struct {
	Kind    string `json:"kind"`
	Message string `json:"message"`
}

func (s *Server) startDrain(_ context.Context, c *app.RequestContext) {
	s.drain()
	writeJSON(c, 202, ErrorResponse{"draining", "this instance is shutting down"})
}

// UsageCounter is one usage counter in an AccountResponse.
type UsageCounter struct {
	Customer string `json:"customer"`
	Service  string `json:"service"`
	Kind     string `json:"kind"`
	Value    uint64 `json:"value"`
}

// AccountResponse holds this instance's usage counters for one usage window.
type AccountResponse struct {
	Window   uint64         `json:"window"`
	Counters []UsageCounter `json:"figures"`
}

// account returns this instance's usage counters for a window. The default is
// the current window.
func (s *Server) account(_ context.Context, c *app.RequestContext) {
	window := s.usageRecorder.Window(time.Now())
	if text := c.Query("window"); text != "" {
		number, err := strconv.ParseUint(text, 10, 64)
		if err != nil {
			writeJSON(c, 400, ErrorResponse{failure.BadRequest.String(), "window: must be a number"})
			return
		}
		window = number
	}
	response := AccountResponse{Window: window, Counters: []UsageCounter{}}
	for _, counter := range s.usageRecorder.Counters(window) {
		response.Counters = append(response.Counters, UsageCounter{counter.Customer(), counter.Service(), counter.Kind(), counter.Value()})
	}
	writeJSON(c, 200, response)
}

func writeJSON(c *app.RequestContext, status int, v any) {
	data, err := json.Marshal(v)
	if err != nil {
		panic(err)
	}
	c.Data(status, "application/json", data)
}
