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

// InstanceList simulates the platform's list of instances. It reads a file on
// each call and returns changes only after a lag.
type InstanceList struct {
	*server
	path string
	lag  time.Duration

	mu      sync.Mutex
	history []timedList
	leaving map[string]bool
}

type timedList struct {
	at   time.Time
	list []platform.WireInstance
}

// PathLeaving marks an instance as leaving, or with leaving=false no longer so.
const PathLeaving = "/lab/leaving"

// NewInstanceList returns a list that is read from the JSON file at path.
func NewInstanceList(address, path string, lag time.Duration) *InstanceList {
	s := &InstanceList{server: newServer(address), path: path, lag: lag, leaving: map[string]bool{}}
	s.handleWithFaults("GET", platform.PathInstances, s.get)
	s.http.Handle("POST", PathLeaving, s.handleLeaving)
	return s
}

func (s *InstanceList) handleLeaving(_ context.Context, c *app.RequestContext) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.leaving[c.Query("name")] = c.Query("leaving") != "false"
	replyJSON(c, 200, struct{}{})
}

func (s *InstanceList) get(_ context.Context, c *app.RequestContext) {
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
	replyJSON(c, 200, platform.WireInstances{Instances: s.delayedList(time.Now(), wire.Instances)})
}

func (s *InstanceList) delayedList(now time.Time, list []platform.WireInstance) []platform.WireInstance {
	s.mu.Lock()
	defer s.mu.Unlock()
	for i := range list {
		if s.leaving[list[i].Name] {
			list[i].State = "leaving"
		}
	}
	s.history = append(s.history, timedList{now, list})
	for len(s.history) > 1 && now.Sub(s.history[1].at) >= s.lag {
		s.history = s.history[1:]
	}
	return s.history[0].list
}

// OrderReceiver simulates the API that receives orders for backend servers. It
// records every order, and as violations accepted orders of an outdated epoch and
// epochs that two holders used.
type OrderReceiver struct {
	*server

	mu            sync.Mutex
	newestEpoch   uint64
	holderByEpoch map[uint64]string
	orders        []platform.WireOrder
	violations    []string
}

// NewOrderReceiver returns the API on an IP address and port.
func NewOrderReceiver(address string) *OrderReceiver {
	s := &OrderReceiver{server: newServer(address), holderByEpoch: map[uint64]string{}}
	s.handleWithFaults("POST", platform.PathOrders, s.handleOrder)
	s.http.Handle("GET", PathSeen, s.seen)
	return s
}

func (s *OrderReceiver) handleOrder(_ context.Context, c *app.RequestContext) {
	var order platform.WireOrder
	if err := json.Unmarshal(c.Request.Body(), &order); err != nil {
		c.String(400, err.Error())
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if order.Epoch < s.newestEpoch {
		if !s.faults.current().IgnoreEpochs {
			c.SetStatusCode(412)
			return
		}
		s.violations = append(s.violations, fmt.Sprintf("order %s of epoch %d after epoch %d", order.ID, order.Epoch, s.newestEpoch))
	}
	if holder, ok := s.holderByEpoch[order.Epoch]; ok && holder != order.Holder {
		s.violations = append(s.violations, fmt.Sprintf("epoch %d was used by %s and %s", order.Epoch, holder, order.Holder))
	}
	s.holderByEpoch[order.Epoch] = order.Holder
	s.newestEpoch = max(s.newestEpoch, order.Epoch)
	s.orders = append(s.orders, order)
	replyJSON(c, 200, struct{}{})
}

type ordersSeen struct {
	Orders     []platform.WireOrder `json:"orders"`
	Violations []string             `json:"violations"`
}

func (s *OrderReceiver) seen(_ context.Context, c *app.RequestContext) {
	s.mu.Lock()
	defer s.mu.Unlock()
	replyJSON(c, 200, ordersSeen{s.orders, s.violations})
}

// UsageReceiver simulates the API that receives usage reports. It records as
// violations windows that are reported again with different figures and accepted
// reports of an outdated epoch.
type UsageReceiver struct {
	*server

	mu          sync.Mutex
	newestEpoch uint64
	windows     map[uint64]string
	reports     int
	violations  []string
}

// NewUsageReceiver returns the API on an IP address and port.
func NewUsageReceiver(address string) *UsageReceiver {
	s := &UsageReceiver{server: newServer(address), windows: map[uint64]string{}}
	s.handleWithFaults("POST", platform.PathUsage, s.handleReport)
	s.http.Handle("GET", PathSeen, s.seen)
	return s
}

func (s *UsageReceiver) handleReport(_ context.Context, c *app.RequestContext) {
	var report platform.WireReport
	if err := json.Unmarshal(c.Request.Body(), &report); err != nil {
		c.String(400, err.Error())
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if report.Epoch < s.newestEpoch {
		if !s.faults.current().IgnoreEpochs {
			c.SetStatusCode(412)
			return
		}
		s.violations = append(s.violations, fmt.Sprintf("window %d from epoch %d after epoch %d", report.Window, report.Epoch, s.newestEpoch))
	}
	s.newestEpoch = max(s.newestEpoch, report.Epoch)
	if before, ok := s.windows[report.Window]; ok && before != report.Sealed {
		s.violations = append(s.violations, fmt.Sprintf("window %d was reported with other figures", report.Window))
	}
	s.windows[report.Window] = report.Sealed
	s.reports++
	replyJSON(c, 200, struct{}{})
}

type usageSeen struct {
	Reports    int               `json:"reports"`
	Windows    map[uint64]string `json:"windows"`
	Violations []string          `json:"violations"`
}

func (s *UsageReceiver) seen(_ context.Context, c *app.RequestContext) {
	s.mu.Lock()
	defer s.mu.Unlock()
	replyJSON(c, 200, usageSeen{s.reports, s.windows, s.violations})
}

// WeightStore simulates the weight store, which limits parallel fetches.
type WeightStore struct {
	*server
	fetchTime  time.Duration
	fetchSlots chan struct{}

	mu       sync.Mutex
	versions map[string]int64
}

// Paths of the simulated weight store.
const (
	PathPublish = "/v1/weights/publish"
	PathFetch   = "/v1/weights/fetch"
)

// NewWeightStore returns a weight store that serves up to parallel fetches at a
// time, each of which takes fetchTime.
func NewWeightStore(address string, parallel int, fetchTime time.Duration) *WeightStore {
	s := &WeightStore{server: newServer(address), fetchTime: fetchTime, fetchSlots: make(chan struct{}, parallel), versions: map[string]int64{}}
	s.handleWithFaults("GET", platform.PathWeights, s.get)
	s.handleWithFaults("POST", PathPublish, s.publish)
	s.handleWithFaults("GET", PathFetch, s.serveFetch)
	return s
}

func (s *WeightStore) get(_ context.Context, c *app.RequestContext) {
	s.mu.Lock()
	defer s.mu.Unlock()
	service := c.Query("service")
	replyJSON(c, 200, platform.WireWeights{Service: service, Version: s.versions[service]})
}

func (s *WeightStore) publish(_ context.Context, c *app.RequestContext) {
	var wire platform.WireWeights
	if err := json.Unmarshal(c.Request.Body(), &wire); err != nil {
		c.String(400, err.Error())
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.versions[wire.Service] = max(s.versions[wire.Service], wire.Version)
	replyJSON(c, 200, wire)
}

func (s *WeightStore) serveFetch(_ context.Context, c *app.RequestContext) {
	s.fetchSlots <- struct{}{}
	defer func() { <-s.fetchSlots }()
	time.Sleep(s.fetchTime)
	replyJSON(c, 200, struct{}{})
}

// Scorer simulates a service that scores samples.
type Scorer struct {
	*server
}

// PathScore is the path for scoring a text.
const PathScore = "/v1/score"

// NewScorer returns a scorer on an IP address and port.
func NewScorer(address string) *Scorer {
	s := &Scorer{server: newServer(address)}
	s.handleWithFaults("POST", PathScore, func(_ context.Context, c *app.RequestContext) {
		echoRequestID(c)
		replyJSON(c, 200, scoreWire{Score: float64(len(c.Request.Body())%100) / 100})
	})
	return s
}

type scoreWire struct {
	Score float64 `json:"score"`
}
