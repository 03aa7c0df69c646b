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
	// updateInterval is the time between checks for engines with outdated weights.
	updateInterval = 50 * time.Millisecond
	// orderTimeout bounds one order or report request; engines reply within
	// milliseconds.
	orderTimeout = 300 * time.Millisecond
	// maxOrderAttempts bounds how often an order without a reply is sent.
	maxOrderAttempts = 5
	// defaultFirstPollDelay is the delay before an engine is first polled while no
	// load has been measured.
	defaultFirstPollDelay = 300 * time.Millisecond
	// reportAge is how old the values in an engine's report are.
	reportAge = 100 * time.Millisecond
	// loadPollInterval is the time between polls of a loading engine.
	loadPollInterval = 30 * time.Millisecond
	// engineRetryDelay is the delay before an engine that refused or did not reply
	// gets another order. A crashed engine takes seconds to return.
	engineRetryDelay = 500 * time.Millisecond
	// loadTimeout is how long an engine that does not report a load in progress may
	// take to carry out an order before it is ordered again.
	loadTimeout = 2500 * time.Millisecond
	// requestsPerLoad is about how many requests a load takes: a report, the order and
	// two polls.
	requestsPerLoad = 4
	// loadRequestShare is the share of an engine's limit that loads may use, so that
	// items get the rest.
	loadRequestShare = 0.5
)

// Report is an engine's description of its state.
type Report struct {
	// Orders is the number of orders that the engine has accepted.
	Orders int64
	// Busy means that an order is in progress.
	Busy bool
	// Models is the loaded weight version by model.
	Models map[string]int64
}

// EngineClient sends the requests of the duty holder to engines.
type EngineClient interface {
	// Report requests an engine's report.
	Report(ctx context.Context, address string) (Report, error)
	// SetVersion orders an engine to load a weight version of a model and returns
	// the HTTP status of the reply. The engine accepts the order only if it has
	// accepted expected orders so far.
	SetVersion(ctx context.Context, instance, address, model string, version, expected int64, retain bool, fence int64) (int, error)
}

// WeightUpdater updates engines to the weight versions that trainers request.
type WeightUpdater struct {
	Config
	engineClient EngineClient
	fence        int64
	stats        func(ctx context.Context) (stats, bool)
	avoid        func(server, model string, until time.Time)

	// mu guards the fields below, which the goroutines of running orders update.
	mu       sync.Mutex
	assigned map[string]map[string]string
	limiters map[string]*loadLimiter
	// Engines get no orders before backoffUntil. loads holds the orders in progress
	// by engine.
	backoffUntil map[string]time.Time
	loads        map[string]activeLoad
	// rates holds the requests a second that this process may send to the engines that
	// named a limit, and orderedAt when the last load of each engine began.
	rates     map[string]float64
	orderedAt map[string]time.Time
}

// activeLoad is an order in progress. It counts against the limit of concurrent
// loads until the load is expected to have ended.
type activeLoad struct {
	service string
	until   time.Time
}

// NewWeightUpdater returns the weight updater for one term of the duty.
func NewWeightUpdater(s *Scheduler, engineClient EngineClient, fence int64) *WeightUpdater {
	return &WeightUpdater{
		Config: s.Config, engineClient: engineClient, fence: fence, stats: s.Stats, avoid: s.Avoid, assigned: map[string]map[string]string{},
		limiters: map[string]*loadLimiter{}, backoffUntil: map[string]time.Time{}, loads: map[string]activeLoad{},
		rates: map[string]float64{}, orderedAt: map[string]time.Time{},
	}
}

// Run updates engines until the context ends.
func (u *WeightUpdater) Run(ctx context.Context) error {
	for ctx.Err() == nil {
		sleep(ctx, updateInterval)
		table := u.View.Table()
		if table == nil {
			continue
		}
		versions := u.View.WeightVersions()
		if len(versions) == 0 {
			continue
		}
		current, ok := u.stats(ctx)
		if !ok {
			continue
		}
		for name := range table.Services() {
			u.startLoads(ctx, name, versions, current)
		}
	}
	return ctx.Err()
}

// startLoads orders the loads of a service's engines that are due now.
func (u *WeightUpdater) startLoads(ctx context.Context, service string, versions map[string]int64, current stats) {
	servers := map[string]pool.Server{}
	demand := map[string]modelDemand{}
	var engines []engineState
	now := time.Now()
	u.mu.Lock()
	defer u.mu.Unlock()
	for _, s := range u.Pool.Servers(service) {
		if s.Server.Draining || s.Evacuated || len(s.Server.Models) == 0 {
			continue
		}
		id := s.Server.ID
		servers[id] = s.Server
		_, busy := u.loads[id]
		busy = busy || now.Before(u.backoffUntil[id])
		if s.Limited {
			u.rates[id] = s.Rate
			busy = busy || now.Sub(u.orderedAt[id]) < loadInterval(s.Rate)
		} else {
			delete(u.rates, id)
		}
		engines = append(engines, engineState{
			id: id, running: s.Running, msPerEvent: current.msPerEvent(id), versions: s.Server.Models, busy: busy,
		})
		for model := range s.Server.Models {
			d := current.demand[model]
			d.newestVersion = versions[model]
			demand[model] = d
		}
	}
	if len(engines) == 0 {
		return
	}
	limiter, ok := u.limiters[service]
	if !ok {
		limiter = newLoadLimiter(len(engines))
		u.limiters[service] = limiter
	}
	u.assigned[service] = assignModels(engines, demand, u.assigned[service])
	for _, l := range planLoads(engines, demand, u.assigned[service], int(limiter.limit)-u.activeLoads(service, now)) {
		u.loads[l.engine] = activeLoad{service, now.Add(loadTimeout)}
		u.orderedAt[l.engine] = now
		go u.updateEngine(ctx, servers[l.engine], l.model, demand[l.model].newestVersion, limiter)
	}
}

// activeLoads returns the number of engines of a service that are loading. The
// caller holds mu.
func (u *WeightUpdater) activeLoads(service string, now time.Time) int {
	n := 0
	for _, l := range u.loads {
		if l.service == service && now.Before(l.until) {
			n++
		}
	}
	return n
}

// updateEngine orders one engine to load a version and waits until it has. An
// order without a reply is sent again while the engine reports no load; since it
// names the number of orders accepted so far, the engine accepts only one of
// them.
func (u *WeightUpdater) updateEngine(ctx context.Context, server pool.Server, model string, version int64, limiter *loadLimiter) {
	defer func() {
		u.mu.Lock()
		defer u.mu.Unlock()
		delete(u.loads, server.ID)
	}()
	for range maxOrderAttempts {
		report, err := u.report(ctx, server)
		if err != nil {
			u.Log.Warn("weights: no report from engine", zap.String("server", server.ID), zap.String("reason", err.Error()))
			break
		}
		if report.Models[model] >= version {
			u.Pool.UpdateWeightVersion(server.ID, model, report.Models[model])
			return
		}
		if report.Busy {
			u.awaitLoad(ctx, server, model, version, limiter, false)
			return
		}
		status, err := u.sendOrder(ctx, server, model, version, report)
		if err == nil && (status == http.StatusOK || status == http.StatusAccepted) {
			u.awaitLoad(ctx, server, model, version, limiter, true)
			return
		}
		if _, limited := u.rate(server.ID); err == nil || limited || ctx.Err() != nil || !u.IsHolder() {
			break
		}
		sleep(ctx, reportAge)
	}
	u.backOff(server.ID)
}

// loadInterval returns the least time between two loads of an engine that takes rate
// requests a second from this process.
func loadInterval(rate float64) time.Duration {
	return time.Duration(requestsPerLoad / loadRequestShare * float64(requestInterval(rate)))
}

// requestInterval returns the time between two requests at a rate in requests a second.
func requestInterval(rate float64) time.Duration {
	if rate <= 0 {
		return loadTimeout
	}
	return min(loadTimeout, time.Duration(float64(time.Second)/rate))
}

// rate returns the requests a second that this process may send to an engine, and whether
// there is a limit.
func (u *WeightUpdater) rate(server string) (float64, bool) {
	u.mu.Lock()
	defer u.mu.Unlock()
	rate, limited := u.rates[server]
	return rate, limited
}

// pollInterval returns the time between two polls of a loading engine.
func (u *WeightUpdater) pollInterval(server string) time.Duration {
	if rate, limited := u.rate(server); limited {
		return max(loadPollInterval, requestInterval(rate))
	}
	return loadPollInterval
}

// backOff withholds orders from an engine for engineRetryDelay.
func (u *WeightUpdater) backOff(server string) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.backoffUntil[server] = time.Now().Add(engineRetryDelay)
}

// errEvacuated means that the engine's failure domain is evacuated.
var errEvacuated = errors.New("the engine's domain is evacuated")

// report requests an engine's report within orderTimeout.
func (u *WeightUpdater) report(ctx context.Context, server pool.Server) (Report, error) {
	if u.Pool.Evacuated(server.FailureDomain) {
		return Report{}, errEvacuated
	}
	ctx, cancel := context.WithTimeout(ctx, orderTimeout)
	defer cancel()
	return u.engineClient.Report(ctx, server.Address)
}

// sendOrder sends an order if this node still holds the duty.
func (u *WeightUpdater) sendOrder(ctx context.Context, server pool.Server, model string, version int64, report Report) (int, error) {
	ctx, cancel := context.WithTimeout(ctx, orderTimeout)
	defer cancel()
	if !u.IsHolder() {
		return 0, errors.New("this node no longer holds the duty")
	}
	if u.Pool.Evacuated(server.FailureDomain) {
		return 0, errEvacuated
	}
	status, err := u.engineClient.SetVersion(ctx, server.ID, server.Address, model, version, report.Orders, u.retainRunning(), u.fence)
	fields := []zap.Field{
		zap.String("server", server.ID), zap.String("model", model), zap.Int64("version", version),
		zap.Int64("had", report.Models[model]), zap.Int64("after-orders", report.Orders), zap.Int("status", status),
	}
	if err != nil {
		u.Log.Warn("weights: order without an answer", append(fields, zap.String("reason", err.Error()))...)
	} else {
		u.Log.Info("weights: ordered", fields...)
	}
	return status, err
}

// awaitLoad polls an engine until it has loaded a version, since the list of
// servers shows the change a second or two late. An order without a reply may
// start at any time.
func (u *WeightUpdater) awaitLoad(ctx context.Context, server pool.Server, model string, version int64, limiter *loadLimiter, answered bool) {
	startedAt := time.Now()
	until := startedAt.Add(loadTimeout)
	u.avoid(server.ID, model, until)
	defer func() { u.avoid(server.ID, model, time.Now()) }()
	u.mu.Lock()
	service := u.loads[server.ID].service
	atOnce := u.activeLoads(service, startedAt)
	u.loads[server.ID] = activeLoad{service, startedAt.Add(limiter.expectedDuration())}
	wait := limiter.firstPollDelay()
	u.mu.Unlock()
	if !answered {
		atOnce = 0
	}
	sleep(ctx, wait)
	for ; time.Now().Before(until) && ctx.Err() == nil; sleep(ctx, u.pollInterval(server.ID)) {
		report, err := u.report(ctx, server)
		switch {
		case err != nil:
			continue
		case report.Models[model] >= version:
			u.recordLoaded(server, model, report.Models[model], startedAt, limiter, atOnce)
			return
		case report.Busy && time.Until(until) < loadTimeout/2:
			until = time.Now().Add(loadTimeout)
			u.avoid(server.ID, model, until)
		}
	}
	u.Log.Warn("weights: order not carried out yet", zap.String("server", server.ID), zap.String("model", model), zap.Int64("version", version))
}

// recordLoaded records a finished load. atOnce is 0 if the start of the load is
// unknown, so that its duration does not adjust the limiter.
func (u *WeightUpdater) recordLoaded(server pool.Server, model string, version int64, startedAt time.Time, limiter *loadLimiter, atOnce int) {
	u.Pool.UpdateWeightVersion(server.ID, model, version)
	u.mu.Lock()
	if atOnce > 0 {
		limiter.recordLoad(startedAt, time.Now(), atOnce)
	}
	limit := limiter.limit
	u.mu.Unlock()
	u.Log.Info("weights: loaded", zap.String("server", server.ID), zap.String("model", model), zap.Int64("version", version),
		zap.Duration("took", time.Since(startedAt)), zap.Int("at-once", atOnce), zap.Float64("limit", limit))
}

// retainRunning reports whether running items may continue under the new
// version: not if any route requires outputs of a single version.
func (u *WeightUpdater) retainRunning() bool {
	for _, route := range u.View.Table().Routes() {
		if route.SingleVersion {
			return false
		}
	}
	return true
}
