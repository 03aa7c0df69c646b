package scheduler

import (
	"context"
	"errors"
	"net/http"
	"sync"
	"time"

	"cactusspoke/internal/pool"

	"go.uber.org/zap"
)

const (
	// moveTick is how often it is looked at which engines are behind.
	moveTick = 50 * time.Millisecond
	// orderTimeout bounds one order or report; engines answer in some
	// milliseconds.
	orderTimeout = 300 * time.Millisecond
	// orderTries is how often an order is sent that gets no answer.
	orderTries = 5
	// firstLook is when an engine is first asked whether it has loaded, as long
	// as nothing is known of how long loads take.
	firstLook = 300 * time.Millisecond
	// reportLag is how old the values of an engine's report are.
	reportLag = 100 * time.Millisecond
	// followEvery is how often an engine that loads is asked whether it has.
	followEvery = 30 * time.Millisecond
	// askAgain is the pause before an engine that refused or did not answer is
	// asked again; one that crashed is back after seconds.
	askAgain = 500 * time.Millisecond
	// loadMost is how long an engine that does not say that it loads may take
	// to carry an order out before it is ordered again.
	loadMost = 2500 * time.Millisecond
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
	survey func(ctx context.Context) (survey, bool)
	avoid  func(server, model string, until time.Time)

	// mu guards what follows; orders report from goroutines of their own.
	mu    sync.Mutex
	home  map[string]map[string]string
	rates map[string]*loadRate
	// paused engines are not asked before a time, loading ones were asked.
	paused  map[string]time.Time
	loading map[string]loading
}

// loading is an order that an engine carries out, and when it will have done
// so as far as the rate tells.
type loading struct {
	service string
	until   time.Time
}

// NewMover returns the mover of a term.
func NewMover(s *Scheduler, orders Orders, fence int64) *Mover {
	return &Mover{
		Parts: s.Parts, orders: orders, fence: fence, survey: s.Survey, avoid: s.Avoid, home: map[string]map[string]string{},
		rates: map[string]*loadRate{}, paused: map[string]time.Time{}, loading: map[string]loading{},
	}
}

// Run moves engines until the context ends.
func (m *Mover) Run(ctx context.Context) error {
	for ctx.Err() == nil {
		sleep(ctx, moveTick)
		table := m.View.Table()
		if table == nil {
			continue
		}
		versions := m.View.WeightVersions()
		if len(versions) == 0 {
			continue
		}
		seen, ok := m.survey(ctx)
		if !ok {
			continue
		}
		for name := range table.Services() {
			m.move(ctx, name, versions, seen)
		}
	}
	return ctx.Err()
}

// move begins the loads of a service's engines that are due now.
func (m *Mover) move(ctx context.Context, service string, versions map[string]int64, seen survey) {
	servers := map[string]pool.Server{}
	needs := map[string]need{}
	var engines []loader
	now := time.Now()
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, s := range m.Pool.Servers(service) {
		if s.Server.Draining || len(s.Server.Models) == 0 {
			continue
		}
		id := s.Server.ID
		servers[id] = s.Server
		_, busy := m.loading[id]
		engines = append(engines, loader{
			id: id, running: s.Running, speed: seen.speed(id), versions: s.Server.Models, busy: busy || now.Before(m.paused[id]),
		})
		for model := range s.Server.Models {
			n := seen.needs[model]
			n.named = versions[model]
			needs[model] = n
		}
	}
	if len(engines) == 0 {
		return
	}
	rate, ok := m.rates[service]
	if !ok {
		rate = newLoadRate()
		m.rates[service] = rate
	}
	m.home[service] = homes(engines, needs, m.home[service])
	for _, l := range planLoads(engines, needs, m.home[service], int(rate.limit)-m.atOnce(service, now)) {
		m.loading[l.engine] = loading{service, now.Add(loadMost)}
		go m.order(ctx, servers[l.engine], l.model, needs[l.model].named, rate)
	}
}

// atOnce returns how many engines of a service load now. The caller holds mu.
func (m *Mover) atOnce(service string, now time.Time) int {
	n := 0
	for _, l := range m.loading {
		if l.service == service && now.Before(l.until) {
			n++
		}
	}
	return n
}

// order asks one engine to load a version and follows it until it has. An order
// without an answer is sent again as long as the engine does not load: it names
// the number of orders accepted so far, so that only one of them is accepted.
func (m *Mover) order(ctx context.Context, server pool.Server, model string, version int64, rate *loadRate) {
	defer func() {
		m.mu.Lock()
		defer m.mu.Unlock()
		delete(m.loading, server.ID)
	}()
	for range orderTries {
		report, err := m.report(ctx, server.Address)
		if err != nil {
			m.Log.Warn("weights: engine does not report", zap.String("server", server.ID), zap.String("reason", err.Error()))
			break
		}
		if report.Models[model] >= version {
			m.Pool.UpdateWeightVersion(server.ID, model, report.Models[model])
			return
		}
		if report.Busy {
			m.follow(ctx, server, model, version, rate, false)
			return
		}
		status, err := m.send(ctx, server, model, version, report)
		if err == nil && (status == http.StatusOK || status == http.StatusAccepted) {
			m.follow(ctx, server, model, version, rate, true)
			return
		}
		if err == nil || ctx.Err() != nil || !m.Valid() {
			break
		}
		sleep(ctx, reportLag)
	}
	m.pause(server.ID)
}

// pause keeps an engine from being asked for a while.
func (m *Mover) pause(server string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.paused[server] = time.Now().Add(askAgain)
}

func (m *Mover) report(ctx context.Context, address string) (Report, error) {
	ctx, cancel := context.WithTimeout(ctx, orderTimeout)
	defer cancel()
	return m.orders.Report(ctx, address)
}

// send sends the order, unless the right to do so has ended meanwhile.
func (m *Mover) send(ctx context.Context, server pool.Server, model string, version int64, report Report) (int, error) {
	ctx, cancel := context.WithTimeout(ctx, orderTimeout)
	defer cancel()
	if !m.Valid() {
		return 0, errors.New("no longer the holder of the duty")
	}
	status, err := m.orders.SetVersion(ctx, server.ID, server.Address, model, version, report.Orders, m.retain(), m.fence)
	fields := []zap.Field{
		zap.String("server", server.ID), zap.String("model", model), zap.Int64("version", version),
		zap.Int64("had", report.Models[model]), zap.Int64("after-orders", report.Orders), zap.Int("status", status),
	}
	if err != nil {
		m.Log.Warn("weights: order without an answer", append(fields, zap.String("reason", err.Error()))...)
	} else {
		m.Log.Info("weights: ordered", fields...)
	}
	return status, err
}

// follow asks an engine until it has loaded, since the list of servers tells
// a second or two later. An order without an answer may begin at any time.
func (m *Mover) follow(ctx context.Context, server pool.Server, model string, version int64, rate *loadRate, answered bool) {
	began := time.Now()
	until := began.Add(loadMost)
	m.avoid(server.ID, model, until)
	defer func() { m.avoid(server.ID, model, time.Now()) }()
	m.mu.Lock()
	service := m.loading[server.ID].service
	atOnce := m.atOnce(service, began)
	m.loading[server.ID] = loading{service, began.Add(rate.lasts())}
	wait := rate.firstLook()
	m.mu.Unlock()
	if !answered {
		atOnce = 0
	}
	sleep(ctx, wait)
	for ; time.Now().Before(until) && ctx.Err() == nil; sleep(ctx, followEvery) {
		report, err := m.report(ctx, server.Address)
		switch {
		case err != nil:
			continue
		case report.Models[model] >= version:
			m.loaded(server, model, report.Models[model], began, rate, atOnce)
			return
		case report.Busy && time.Until(until) < loadMost/2:
			until = time.Now().Add(loadMost)
			m.avoid(server.ID, model, until)
		}
	}
	m.Log.Warn("weights: order not carried out yet", zap.String("server", server.ID), zap.String("model", model), zap.Int64("version", version))
}

// loaded notes that an engine has what it was ordered to load. atOnce is 0
// where the load tells nothing of the weight store.
func (m *Mover) loaded(server pool.Server, model string, version int64, began time.Time, rate *loadRate, atOnce int) {
	m.Pool.UpdateWeightVersion(server.ID, model, version)
	m.mu.Lock()
	if atOnce > 0 {
		rate.ended(began, time.Now(), atOnce)
	}
	limit := rate.limit
	m.mu.Unlock()
	m.Log.Info("weights: loaded", zap.String("server", server.ID), zap.String("model", model), zap.Int64("version", version),
		zap.Duration("took", time.Since(began)), zap.Int("at-once", atOnce), zap.Float64("limit", limit))
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
