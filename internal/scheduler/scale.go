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
	// scaleInterval is how often the number of servers is looked at.
	scaleInterval = 500 * time.Millisecond
	// scaleOrderInterval is the least time between two orders for one failure domain;
	// an unanswered order may be carried out in that time.
	scaleOrderInterval = 3 * time.Second
	// peakWindow is how long the highest demand counts: steps come every few
	// seconds, and a server takes seconds to boot.
	peakWindow = 20 * time.Second
	// slotsPerItem is the share of slots over the highest demand: texts that wait
	// at the start of a step end it late.
	slotsPerItem = 1.0
)

// Scaling orders backend servers.
type Scaling interface {
	// Scale orders a number of servers in a failure domain and returns the
	// status of the answer.
	Scale(ctx context.Context, service, domain string, wanted int, spot bool, fence int64) (int, error)
}

// peakTracker remembers the highest number of texts of a service.
type peakTracker struct {
	mu    sync.Mutex
	peaks map[string]peak
}

type peak struct {
	items int
	at    time.Time
}

// record takes in how many texts wait or run.
func (d *peakTracker) record(service string, texts int, now time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	p, ok := d.peaks[service]
	if !ok || texts >= p.items || now.Sub(p.at) > peakWindow {
		d.peaks[service] = peak{texts, now}
	}
}

// peak returns the highest number peak texts peak late.
func (d *peakTracker) peak(service string) int {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.peaks[service].items
}

// all returns the highest number of texts of late, by name.
func (d *peakTracker) all() map[string]int {
	d.mu.Lock()
	defer d.mu.Unlock()
	out := make(map[string]int, len(d.peaks))
	for name, p := range d.peaks {
		out[name] = p.items
	}
	return out
}

// distribute returns how many servers each failure domain is to have for a total.
// No domain loses what it has; what is missing goes where the fewest are, the
// cheapest domain first, so that the loss of one costs least.
func distribute(total int, have map[string]int, domains []string, scaling *routetable.Scaling) map[string]int {
	out := map[string]int{}
	sum := 0
	for _, d := range domains {
		out[d] = have[d]
		sum += out[d]
	}
	order := slices.Clone(domains)
	slices.SortStableFunc(order, func(a, b string) int {
		switch pa, pb := scaling.Prices[a], scaling.Prices[b]; {
		case pa < pb:
			return -1
		case pa > pb:
			return 1
		}
		return 0
	})
	for sum < total {
		best := ""
		for _, d := range order {
			if out[d] < scaling.Max && (best == "" || out[d] < out[best]) {
				best = d
			}
		}
		if best == "" {
			break
		}
		out[best]++
		sum++
	}
	return out
}

// Scaler orders servers while the node holds the duty.
type Scaler struct {
	Parts
	orders  Scaling
	fence   int64
	peaks   *peakTracker
	domains []string
	ordered map[string]scaleOrder
}

type scaleOrder struct {
	wanted int
	done   bool
	at     time.Time
}

// NewScaler returns the scaler of a term.
func NewScaler(s *Scheduler, orders Scaling, fence int64, domains []string) *Scaler {
	return &Scaler{Parts: s.Parts, orders: orders, fence: fence, peaks: s.servicePeaks, domains: domains, ordered: map[string]scaleOrder{}}
}

// Run orders servers until the context ends.
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

func (s *Scaler) scale(ctx context.Context, service string, scaling *routetable.Scaling) {
	have := map[string]int{}
	slots, total := 0, 0
	for _, server := range s.Pool.Servers(service) {
		if server.Server.Draining || server.Server.Spot {
			continue
		}
		have[server.Server.FailureDomain]++
		slots = max(slots, server.Server.Slots)
		total++
	}
	if total == 0 || slots == 0 {
		return
	}
	texts := s.peaks.peak(service)
	wanted := max(total, int(math.Ceil(slotsPerItem*float64(texts)/float64(slots))))
	for domain, n := range distribute(wanted, have, s.domains, scaling) {
		if n != have[domain] {
			s.order(ctx, service, domain, n, have[domain], texts)
		}
	}
}

func (s *Scaler) order(ctx context.Context, service, domain string, wanted, had, texts int) {
	key := service + "/" + domain
	last, ok := s.ordered[key]
	if ok && time.Since(last.at) < scaleOrderInterval {
		return
	}
	if ok && last.done && last.wanted >= wanted && time.Since(last.at) < 2*scaleOrderInterval {
		return
	}
	if !s.Valid() {
		return
	}
	status, err := s.orders.Scale(ctx, service, domain, wanted, false, s.fence)
	s.ordered[key] = scaleOrder{wanted, err == nil && status == http.StatusOK, time.Now()}
	fields := []zap.Field{
		zap.String("service", service), zap.String("domain", domain), zap.Int("wanted", wanted), zap.Int("had", had),
		zap.Int("texts", texts), zap.Int("status", status),
	}
	if err != nil {
		s.Log.Warn("scale: order without an answer", append(fields, zap.String("reason", err.Error()))...)
		return
	}
	s.Log.Info("scale: ordered", fields...)
}
