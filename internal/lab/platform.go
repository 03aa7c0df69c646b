package lab

import (
	"context"
	"encoding/json"
	"fmt"
	"os"
	"sync"
	"time"

	"cactusspoke/internal/platform"

	"github.com/cloudwego/hertz/pkg/app"
)

// Instances stands in for the platform's list of instances. It reads a file
// on each call, and shows changes only after a lag.
type Instances struct {
	*server
	path string
	lag  time.Duration

	mu      sync.Mutex
	history []listed
	leaving map[string]bool
}

type listed struct {
	at   time.Time
	list []platform.WireInstance
}

// PathLeaving marks an instance as leaving.
const PathLeaving = "/lab/leaving"

// NewInstances returns a list that is kept in a JSON file.
func NewInstances(address, path string, lag time.Duration) *Instances {
	s := &Instances{server: newServer(address), path: path, lag: lag, leaving: map[string]bool{}}
	s.handle("GET", platform.PathInstances, s.get)
	s.http.Handle("POST", PathLeaving, s.mark)
	return s
}

func (s *Instances) mark(_ context.Context, c *app.RequestContext) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.leaving[c.Query("name")] = c.Query("leaving") != "false"
	reply(c, 200, struct{}{})
}

func (s *Instances) get(_ context.Context, c *app.RequestContext) {
	data, err := os.ReadFile(s.path)
	if err != nil {
		c.String(500, err.Error())
		return
	}
	var wire platform.WireInstances
	if err := json.Unmarshal(data, &wire); err != nil {
		c.String(500, err.Error())
		return
	}
	reply(c, 200, platform.WireInstances{Instances: s.lagging(time.Now(), wire.Instances)})
}

func (s *Instances) lagging(now time.Time, list []platform.WireInstance) []platform.WireInstance {
	s.mu.Lock()
	defer s.mu.Unlock()
	for i := range list {
		if s.leaving[list[i].Name] {
			list[i].State = "leaving"
		}
	}
	s.history = append(s.history, listed{now, list})
	for len(s.history) > 1 && now.Sub(s.history[1].at) >= s.lag {
		s.history = s.history[1:]
	}
	return s.history[0].list
}

// Orders stands in for the interface that takes orders of backend servers. It
// records every order and what two holders did at the same time.
type Orders struct {
	*server

	mu         sync.Mutex
	newest     uint64
	byEpoch    map[uint64]string
	orders     []platform.WireOrder
	violations []string
}

// NewOrders returns the interface on an IP address and port.
func NewOrders(address string) *Orders {
	s := &Orders{server: newServer(address), byEpoch: map[uint64]string{}}
	s.handle("POST", platform.PathOrders, s.take)
	s.http.Handle("GET", PathSeen, s.seen)
	return s
}

func (s *Orders) take(_ context.Context, c *app.RequestContext) {
	var order platform.WireOrder
	if err := json.Unmarshal(c.Request.Body(), &order); err != nil {
		c.String(400, err.Error())
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if order.Epoch < s.newest {
		if !s.faults.now().IgnoreEpochs {
			c.SetStatusCode(412)
			return
		}
		s.violations = append(s.violations, fmt.Sprintf("order %s of epoch %d after epoch %d", order.ID, order.Epoch, s.newest))
	}
	if holder, ok := s.byEpoch[order.Epoch]; ok && holder != order.Holder {
		s.violations = append(s.violations, fmt.Sprintf("epoch %d was used by %s and %s", order.Epoch, holder, order.Holder))
	}
	s.byEpoch[order.Epoch] = order.Holder
	s.newest = max(s.newest, order.Epoch)
	s.orders = append(s.orders, order)
	reply(c, 200, struct{}{})
}

type ordersSeen struct {
	Orders     []platform.WireOrder `json:"orders"`
	Violations []string             `json:"violations"`
}

func (s *Orders) seen(_ context.Context, c *app.RequestContext) {
	s.mu.Lock()
	defer s.mu.Unlock()
	reply(c, 200, ordersSeen{s.orders, s.violations})
}

// Usage stands in for the interface that takes usage reports. It records any
// window that is reported with different figures or out of turn.
type Usage struct {
	*server

	mu         sync.Mutex
	newest     uint64
	windows    map[uint64]string
	reports    int
	violations []string
}

// NewUsage returns the interface on an IP address and port.
func NewUsage(address string) *Usage {
	s := &Usage{server: newServer(address), windows: map[uint64]string{}}
	s.handle("POST", platform.PathUsage, s.take)
	s.http.Handle("GET", PathSeen, s.seen)
	return s
}

func (s *Usage) take(_ context.Context, c *app.RequestContext) {
	var report platform.WireReport
	if err := json.Unmarshal(c.Request.Body(), &report); err != nil {
		c.String(400, err.Error())
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if report.Epoch < s.newest {
		if !s.faults.now().IgnoreEpochs {
			c.SetStatusCode(412)
			return
		}
		s.violations = append(s.violations, fmt.Sprintf("window %d from epoch %d after epoch %d", report.Window, report.Epoch, s.newest))
	}
	s.newest = max(s.newest, report.Epoch)
	if before, ok := s.windows[report.Window]; ok && before != report.Sealed {
		s.violations = append(s.violations, fmt.Sprintf("window %d was reported with other figures", report.Window))
	}
	s.windows[report.Window] = report.Sealed
	s.reports++
	reply(c, 200, struct{}{})
}

type usageSeen struct {
	Reports    int               `json:"reports"`
	Windows    map[uint64]string `json:"windows"`
	Violations []string          `json:"violations"`
}

func (s *Usage) seen(_ context.Context, c *app.RequestContext) {
	s.mu.Lock()
	defer s.mu.Unlock()
	reply(c, 200, usageSeen{s.reports, s.windows, s.violations})
}

// Weights stands in for the rate-limited weight store.
type Weights struct {
	*server
	fetch time.Duration
	gate  chan struct{}

	mu       sync.Mutex
	versions map[string]int64
}

// Paths of the weight store's stand-in.
const (
	PathPublish = "/v1/weights/publish"
	PathFetch   = "/v1/weights/fetch"
)

// NewWeights returns a store that serves parallel fetches at a time, each of
// which takes fetch.
func NewWeights(address string, parallel int, fetch time.Duration) *Weights {
	s := &Weights{server: newServer(address), fetch: fetch, gate: make(chan struct{}, parallel), versions: map[string]int64{}}
	s.handle("GET", platform.PathWeights, s.get)
	s.handle("POST", PathPublish, s.publish)
	s.handle("GET", PathFetch, s.serveFetch)
	return s
}

func (s *Weights) get(_ context.Context, c *app.RequestContext) {
	s.mu.Lock()
	defer s.mu.Unlock()
	service := c.Query("service")
	reply(c, 200, platform.WireWeights{Service: service, Version: s.versions[service]})
}

func (s *Weights) publish(_ context.Context, c *app.RequestContext) {
	var wire platform.WireWeights
	if err := json.Unmarshal(c.Request.Body(), &wire); err != nil {
		c.String(400, err.Error())
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.versions[wire.Service] = max(s.versions[wire.Service], wire.Version)
	reply(c, 200, wire)
}

func (s *Weights) serveFetch(_ context.Context, c *app.RequestContext) {
	s.gate <- struct{}{}
	defer func() { <-s.gate }()
	time.Sleep(s.fetch)
	reply(c, 200, struct{}{})
}

// Scorer stands in for a service that scores samples.
type Scorer struct {
	*server
}

// PathScore scores a text.
const PathScore = "/v1/score"

// NewScorer returns a scorer on an IP address and port.
func NewScorer(address string) *Scorer {
	s := &Scorer{server: newServer(address)}
	s.handle("POST", PathScore, func(_ context.Context, c *app.RequestContext) {
		echo(c)
		reply(c, 200, scoreWire{Score: float64(len(c.Request.Body())%100) / 100})
	})
	return s
}

type scoreWire struct {
	Score float64 `json:"score"`
}
