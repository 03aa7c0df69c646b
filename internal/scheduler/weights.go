package scheduler

import (
	"context"
	"net/http"
	"slices"
	"time"

	"cactusspoke/internal/pool"

	"go.uber.org/zap"
)

const (
	// moveTick is how often it is looked at which engines are behind.
	moveTick = 100 * time.Millisecond
	// orderTimeout bounds one order.
	orderTimeout = 800 * time.Millisecond
	// settleTime is how long an engine may take to carry an order out before it
	// is asked again: a load takes about a second, its report lags behind.
	settleTime = 2500 * time.Millisecond
	// loadersShare is the share of a service's engines that load at once; more
	// of them slow each other down.
	loadersShare = 0.2
	// loadersMin is the least number that load at once.
	loadersMin = 2
)

// Orders sends the orders of the holder.
type Orders interface {
	// SetVersion moves an engine to a version of a model's weights.
	SetVersion(ctx context.Context, instance, address, model string, version int64, retain bool, fence int64) (int, error)
}

// Mover moves engines to the versions that trainers name.
type Mover struct {
	Parts
	orders Orders
	fence  int64
	asked  map[string]asked
}

type asked struct {
	version int64
	at      time.Time
}

// NewMover returns the mover of a term.
func NewMover(parts Parts, orders Orders, fence int64) *Mover {
	return &Mover{Parts: parts, orders: orders, fence: fence, asked: map[string]asked{}}
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
	now := time.Now()
	loading := 0
	var list []behind
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
			a, ok := m.asked[s.Server.ID+"/"+model]
			if ok && a.version >= wanted && now.Sub(a.at) < settleTime {
				busy = true
				continue
			}
			if ok && now.Sub(a.at) < settleTime && a.version > version {
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
	slices.SortFunc(list, func(a, b behind) int {
		if a.lag != b.lag {
			return int(b.lag - a.lag)
		}
		return a.snapshot.Running - b.snapshot.Running
	})
	most := max(loadersMin, int(loadersShare*float64(len(servers))))
	done := map[string]bool{}
	for _, b := range list {
		if loading >= most || ctx.Err() != nil || !m.Valid() {
			return
		}
		if done[b.snapshot.Server.ID] {
			continue
		}
		done[b.snapshot.Server.ID] = true
		if m.order(ctx, b) {
			loading++
		}
	}
}

// order asks one engine to load a version.
func (m *Mover) order(ctx context.Context, b behind) bool {
	server := b.snapshot.Server
	ctx, cancel := context.WithTimeout(ctx, orderTimeout)
	defer cancel()
	m.asked[server.ID+"/"+b.model] = asked{b.version, time.Now()}
	status, err := m.orders.SetVersion(ctx, server.ID, server.Address, b.model, b.version, m.retain(b.model), m.fence)
	fields := []zap.Field{
		zap.String("server", server.ID), zap.String("model", b.model), zap.Int64("version", b.version),
		zap.Int64("had", server.Models[b.model]), zap.Int("status", status),
	}
	if err != nil {
		m.Log.Warn("weights: order without an answer", append(fields, zap.String("reason", err.Error()))...)
		return true
	}
	m.Log.Info("weights: ordered", fields...)
	switch status {
	case http.StatusOK:
		m.Pool.Learn(server.ID, b.model, b.version)
	case http.StatusAccepted:
		return true
	case http.StatusConflict:
		m.asked[server.ID+"/"+b.model] = asked{b.version, time.Now().Add(-settleTime + 300*time.Millisecond)}
		return true
	}
	return false
}

// retain tells whether running texts may go on under the new version.
func (m *Mover) retain(string) bool {
	for _, route := range m.View.Table().Routes() {
		if route.SingleVersion {
			return false
		}
	}
	return true
}
