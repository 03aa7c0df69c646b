package scheduler

import (
	"cmp"
	"context"
	"errors"
	"net/http"
	"slices"
	"sync"
	"time"

	"cactusspoke/internal/pool"

	"go.uber.org/zap"
)

const (
	// moveTick is how often it is looked at which engines are behind.
	moveTick = 100 * time.Millisecond
	// orderTimeout bounds one order.
	orderTimeout = 800 * time.Millisecond
	// loadTime is how long an engine takes no new texts while it loads.
	loadTime = 900 * time.Millisecond
	// askAgain is the pause before an engine that refused is asked again.
	askAgain = 300 * time.Millisecond
	// settleTime is how long an engine may take to carry an order out before it
	// is asked again: a load takes about a second, its report lags behind.
	settleTime = 2500 * time.Millisecond
	// loadersShare is the share of a service's engines that load at once; more
	// of them slow each other down.
	loadersShare = 0.2
	// loadersMin is the least number that load at once.
	loadersMin = 2
)

// Report is what an engine says of itself.
type Report struct {
	// Orders is the number of orders that it has accepted.
	Orders int64
	// Busy says that an order is in progress.
	Busy bool
	// Models is the version of the weights by model.
	Models map[string]int64
}

// Orders sends the orders of the holder.
type Orders interface {
	// Report asks an engine about itself.
	Report(ctx context.Context, address string) (Report, error)
	// SetVersion moves an engine to a version of a model's weights.
	SetVersion(ctx context.Context, instance, address, model string, version, expected int64, retain bool, fence int64) (int, error)
}

// Mover moves engines to the versions that trainers name.
type Mover struct {
	Parts
	orders Orders
	fence  int64
	avoid  func(server string, until time.Time)
	mu     sync.Mutex
	asked  map[string]asked
}

type asked struct {
	version int64
	until   time.Time
}

// NewMover returns the mover of a term. avoid is told which engines load.
func NewMover(parts Parts, orders Orders, fence int64, avoid func(server string, until time.Time)) *Mover {
	return &Mover{Parts: parts, orders: orders, fence: fence, avoid: avoid, asked: map[string]asked{}}
}

// Run moves engines until the context ends.
func (m *Mover) Run(ctx context.Context) error {
	for ctx.Err() == nil {
		sleep(ctx, moveTick)
		table := m.View.Table()
		if table == nil {
			continue
		}
		versions := m.View.Versions()
		for name := range table.Services() {
			m.move(ctx, name, versions)
		}
	}
	return ctx.Err()
}

// behind is an engine that is to load a version.
type behind struct {
	snapshot pool.Snapshot
	model    string
	version  int64
	lag      int64
}

func (m *Mover) move(ctx context.Context, service string, versions map[string]int64) {
	servers := m.Pool.Servers(service)
	list, loading := m.behind(servers, versions, time.Now())
	slices.SortFunc(list, func(a, b behind) int {
		if a.lag != b.lag {
			return cmp.Compare(b.lag, a.lag)
		}
		return cmp.Compare(a.snapshot.Running, b.snapshot.Running)
	})
	most := max(loadersMin, int(loadersShare*float64(len(servers))))
	asked := map[string]bool{}
	for _, b := range list {
		if loading >= most || ctx.Err() != nil {
			return
		}
		if asked[b.snapshot.Server.ID] {
			continue
		}
		asked[b.snapshot.Server.ID] = true
		loading++
		m.note(b, time.Now())
		go m.order(ctx, b)
	}
}

// behind returns the engines that are to load a version, and how many load now.
func (m *Mover) behind(servers []pool.Snapshot, versions map[string]int64, now time.Time) (list []behind, loading int) {
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, s := range servers {
		if s.Server.Draining {
			continue
		}
		busy := false
		var mine []behind
		for model, version := range s.Server.Models {
			wanted := versions[model]
			if wanted <= version {
				continue
			}
			if a, ok := m.asked[s.Server.ID+"/"+model]; ok && a.version > version && now.Before(a.until) {
				busy = true
				continue
			}
			mine = append(mine, behind{s, model, wanted, wanted - version})
		}
		if busy {
			loading++
			continue
		}
		list = append(list, mine...)
	}
	return list, loading
}

// note remembers that an engine was asked, until when its answer is awaited.
func (m *Mover) note(b behind, now time.Time) { m.wait(b, now.Add(settleTime)) }

func (m *Mover) wait(b behind, until time.Time) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.asked[b.snapshot.Server.ID+"/"+b.model] = asked{b.version, until}
}

// order asks one engine to load a version and follows it until it has.
func (m *Mover) order(ctx context.Context, b behind) {
	server := b.snapshot.Server
	report, err := m.report(ctx, server.Address)
	if err != nil {
		m.Log.Warn("weights: engine does not report", zap.String("server", server.ID), zap.String("reason", err.Error()))
		m.wait(b, time.Now().Add(askAgain))
		return
	}
	if report.Models[b.model] >= b.version {
		m.Pool.Learn(server.ID, b.model, report.Models[b.model])
		return
	}
	if report.Busy || !m.Valid() {
		m.wait(b, time.Now().Add(askAgain))
		return
	}
	m.avoid(server.ID, time.Now().Add(loadTime))
	status, err := m.send(ctx, b, report.Orders)
	fields := []zap.Field{
		zap.String("server", server.ID), zap.String("model", b.model), zap.Int64("version", b.version),
		zap.Int64("had", report.Models[b.model]), zap.Int64("after-orders", report.Orders), zap.Int("status", status),
	}
	if err != nil {
		// The order may still be carried out, so it is awaited like the others.
		m.Log.Warn("weights: order without an answer", append(fields, zap.String("reason", err.Error()))...)
	} else {
		m.Log.Info("weights: ordered", fields...)
	}
	if err == nil && status != http.StatusOK && status != http.StatusAccepted {
		m.wait(b, time.Now().Add(askAgain))
		return
	}
	m.follow(ctx, b)
}

func (m *Mover) report(ctx context.Context, address string) (Report, error) {
	ctx, cancel := context.WithTimeout(ctx, orderTimeout)
	defer cancel()
	return m.orders.Report(ctx, address)
}

// send sends the order, unless the right to do so has ended meanwhile.
func (m *Mover) send(ctx context.Context, b behind, accepted int64) (int, error) {
	ctx, cancel := context.WithTimeout(ctx, orderTimeout)
	defer cancel()
	if !m.Valid() {
		return 0, errors.New("no longer the holder of the duty")
	}
	server := b.snapshot.Server
	return m.orders.SetVersion(ctx, server.ID, server.Address, b.model, b.version, accepted, m.retain(), m.fence)
}

// follow asks an engine until it has loaded, since the list of servers tells
// a second or two later.
func (m *Mover) follow(ctx context.Context, b behind) {
	sleep(ctx, loadTime)
	for until := time.Now().Add(settleTime - loadTime); time.Now().Before(until) && ctx.Err() == nil; sleep(ctx, loadTime/4) {
		report, err := m.report(ctx, b.snapshot.Server.Address)
		if err == nil && report.Models[b.model] >= b.version {
			m.Pool.Learn(b.snapshot.Server.ID, b.model, report.Models[b.model])
			m.avoid(b.snapshot.Server.ID, time.Now())
			return
		}
		if err == nil && report.Busy {
			m.avoid(b.snapshot.Server.ID, time.Now().Add(loadTime/2))
		}
	}
}

// retain tells whether running texts may go on under the new version.
func (m *Mover) retain() bool {
	for _, route := range m.View.Table().Routes() {
		if route.SingleVersion {
			return false
		}
	}
	return true
}
