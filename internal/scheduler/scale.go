package scheduler

import (
	"context"
	"math"
	"net/http"
	"slices"
	"sync"
	"time"

	"cactusspoke/internal/routetable"

	"go.uber.org/zap"
)

const (
	// scaleInterval is the time between checks of the number of servers.
	scaleInterval = 500 * time.Millisecond
	// scaleOrderInterval is the minimum time between two orders for one failure
	// domain, since an order without a reply may still be carried out.
	scaleOrderInterval = 3 * time.Second
	// peakWindow is how long a peak is remembered: steps come every few seconds,
	// and a server takes seconds to boot.
	peakWindow = 20 * time.Second
	// slotsPerItem is the number of slots provided per item at the peak. With less
	// than 1, items queued at the start of a step would delay its end.
	slotsPerItem = 1.0
)

// ScalingClient sends scaling orders to the platform.
type ScalingClient interface {
	// Scale orders a number of servers in a failure domain and returns the HTTP
	// status of the reply.
	Scale(ctx context.Context, service, domain string, wanted int, spot bool, fence int64) (int, error)
}

// peakTracker tracks the recent peak of a quantity by service or model, such as the
// queued and running items.
type peakTracker struct {
	mu    sync.Mutex
	peaks map[string]peak
}

// peak is the highest number of items and when it was observed.
type peak struct {
	items int
	at    time.Time
}

// record adds an observation of the number of queued and running items.
func (t *peakTracker) record(service string, items int, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	p, ok := t.peaks[service]
	if !ok || items >= p.items || now.Sub(p.at) > peakWindow {
		t.peaks[service] = peak{items, now}
	}
}

// peak returns the recent peak of items.
func (t *peakTracker) peak(service string) int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.peaks[service].items
}

// all returns the recent peak of items by name.
func (t *peakTracker) all() map[string]int {
	t.mu.Lock()
	defer t.mu.Unlock()
	out := make(map[string]int, len(t.peaks))
	for name, p := range t.peaks {
		out[name] = p.items
	}
	return out
}

// distribute returns the number of servers that each failure domain should have
// to reach a total. No domain is reduced. Missing servers are added to the
// domain with the fewest, the cheapest first, so that the loss of one domain
// costs least.
func distribute(total int, have map[string]int, domains []string, scaling *routetable.Scaling) map[string]int {
	out := map[string]int{}
	assigned := 0
	for _, d := range domains {
		out[d] = have[d]
		assigned += out[d]
	}
	byPrice := slices.Clone(domains)
	slices.SortStableFunc(byPrice, func(a, b string) int {
		switch pa, pb := scaling.Prices[a], scaling.Prices[b]; {
		case pa < pb:
			return -1
		case pa > pb:
			return 1
		}
		return 0
	})
	for assigned < total {
		best := ""
		for _, d := range byPrice {
			if out[d] < scaling.Max && (best == "" || out[d] < out[best]) {
				best = d
			}
		}
		if best == "" {
			break
		}
		out[best]++
		assigned++
	}
	return out
}

// Scaler orders backend servers while this node holds the duty.
type Scaler struct {
	Config
	scalingClient ScalingClient
	fence         int64
	peaks         *peakTracker
	domains       []string
	ordered       map[string]scaleOrder
}

// scaleOrder is the last order for a service in a failure domain.
type scaleOrder struct {
	wanted int
	// done means that the platform accepted the order.
	done bool
	at   time.Time
}

// NewScaler returns the scaler for one term of the duty.
func NewScaler(s *Scheduler, scalingClient ScalingClient, fence int64, domains []string) *Scaler {
	return &Scaler{Config: s.Config, scalingClient: scalingClient, fence: fence, peaks: s.servicePeaks, domains: domains, ordered: map[string]scaleOrder{}}
}

// Run sends scaling orders until the context ends.
func (s *Scaler) Run(ctx context.Context) error {
	for ctx.Err() == nil {
		sleep(ctx, scaleInterval)
		table := s.View.Table()
		if table == nil {
			continue
		}
		for name, service := range table.Services() {
			if service.Scaling != nil {
				s.scale(ctx, name, service.Scaling)
			}
		}
	}
	return ctx.Err()
}

// scale compares the servers of a service with the recent demand. Draining and spot servers
// and those in evacuated domains do not count; the other domains replace the latter as far as
// the demand requires it.
func (s *Scaler) scale(ctx context.Context, service string, scaling *routetable.Scaling) {
	have := map[string]int{}
	slots, total, known := 0, 0, false
	for _, server := range s.Pool.Servers(service) {
		if server.Server.Draining || server.Server.Spot {
			continue
		}
		slots = max(slots, server.Server.Slots)
		known = true
		if server.Evacuated {
			continue
		}
		have[server.Server.FailureDomain]++
		total++
	}
	if !known || slots == 0 {
		return
	}
	items := s.peaks.peak(service)
	wanted := max(total, int(math.Ceil(slotsPerItem*float64(items)/float64(slots))))
	for domain, n := range distribute(wanted, have, s.openDomains(), scaling) {
		if n != have[domain] {
			s.order(ctx, service, domain, n, have[domain], items)
		}
	}
}

// openDomains returns the failure domains that are not evacuated.
func (s *Scaler) openDomains() []string {
	return slices.DeleteFunc(slices.Clone(s.domains), s.Pool.Evacuated)
}

// order sends a scaling order unless one was sent recently.
func (s *Scaler) order(ctx context.Context, service, domain string, wanted, had, items int) {
	key := service + "/" + domain
	last, ok := s.ordered[key]
	if ok && time.Since(last.at) < scaleOrderInterval {
		return
	}
	if ok && last.done && last.wanted >= wanted && time.Since(last.at) < 2*scaleOrderInterval {
		return
	}
	if !s.IsHolder() {
		return
	}
	status, err := s.scalingClient.Scale(ctx, service, domain, wanted, false, s.fence)
	s.ordered[key] = scaleOrder{wanted, err == nil && status == http.StatusOK, time.Now()}
	fields := []zap.Field{
		zap.String("service", service), zap.String("domain", domain), zap.Int("wanted", wanted), zap.Int("had", had),
		zap.Int("texts", items), zap.Int("status", status),
	}
	if err != nil {
		s.Log.Warn("scale: no reply to order", append(fields, zap.String("reason", err.Error()))...)
		return
	}
	s.Log.Info("scale: ordered", fields...)
}
