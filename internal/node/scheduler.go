package node

import (
	"context"
	"net"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"cactusspoke/internal/batch"
	"cactusspoke/internal/directory"
	"cactusspoke/internal/election"
	"cactusspoke/internal/evacuation"
	"cactusspoke/internal/http1"
	"cactusspoke/internal/intake"
	"cactusspoke/internal/kv"
	"cactusspoke/internal/meter"
	"cactusspoke/internal/pool"
	"cactusspoke/internal/ratelimit"
	"cactusspoke/internal/results"
	"cactusspoke/internal/routetable"
	"cactusspoke/internal/scheduler"
	"cactusspoke/internal/telemetry"
	"cactusspoke/internal/walltime"
	"cactusspoke/internal/web"

	"go.uber.org/zap"
)

// schedulerDuty names the duty of the scheduler. A duty is held by at most one
// node at a time, under a lease; its holder runs batch items, moves engines to
// new weights, orders backend servers and reports usage.
const schedulerDuty = "scheduler"

// retireCheckInterval is the time between two checks whether the machine is to
// be drained.
const retireCheckInterval = 100 * time.Millisecond

// maxResultsRequestBytes limits the body of a read of results, which has none.
const maxResultsRequestBytes = 4 << 10

// cachedResultsShare is the share of the memory that results in memory may take.
const cachedResultsShare = 0.05

// outputsShare is the share of the memory that outputs may take until they are committed. A byte
// takes up to three at times: in the output, in its result and in the encoded write.
const outputsShare = 0.1

// Memory that the items of unfinished jobs may take. An item takes up to 1 KiB with its task,
// its text and the headers that it has usually.
const (
	jobItemsShare = 0.5
	jobItemBytes  = 1 << 10
)

// ControlClient sends the calls of the duty holder to backend servers and the platform.
type ControlClient interface {
	scheduler.EngineClient
	scheduler.ScalingClient
	// ReportUsage reports the requests of a usage window by customer and returns the
	// status of the response.
	ReportUsage(ctx context.Context, window int64, counts map[string]int64, fence int64) (int, error)
}

// Scheduler is a node that competes for the duty and schedules work while it
// holds it.
type Scheduler struct {
	settings *Settings
	adapter  Adapter
	metrics  *telemetry.Registry
	log      *zap.Logger
	backends *http1.Client
	clock    *walltime.Clock
	// active is the scheduler of the current term; nil while the node does not
	// hold the duty.
	active atomic.Pointer[scheduler.Scheduler]
	// pool is that of the current or last term.
	pool atomic.Pointer[pool.Pool]
	// departures are shared by the pools of all terms.
	departures *pool.Departures
	// results answers reads of results during a term.
	results *results.Server
	// evacuations is nil if the deployment has none. evacuating serializes their
	// application to the pool.
	evacuations *evacuation.View
	evacuating  sync.Mutex
}

func NewScheduler(settings *Settings, adapter Adapter, metrics *telemetry.Registry, log *zap.Logger) *Scheduler {
	n := &Scheduler{settings: settings, adapter: adapter, metrics: metrics, log: log, backends: http1.NewClient(), clock: walltime.New(), departures: pool.NewDepartures()}
	n.backends.Observe(n.observer(false))
	return n
}

// observer counts requests at the pool of the current term. control is set for a client
// whose requests are not acquired from the pool.
func (n *Scheduler) observer(control bool) http1.Observer {
	return pool.NewObserver(n.pool.Load, n.adapter.Headers, n.metrics, control)
}

// notifyActive makes the scheduler of the current term look for changes.
func (n *Scheduler) notifyActive() {
	if s := n.active.Load(); s != nil {
		s.Wake()
	}
}

// Run competes for the duty until the context is done. It resigns when the
// operator asks to drain the machine.
func (n *Scheduler) Run(ctx context.Context) error {
	s := n.settings
	metered := kv.WithMetrics(n.adapter.NewStore(http1.NewClient(), s.StoreAddress), n.metrics)
	store := kv.NewProbedStore(metered, metered, n.log)
	view := routetable.NewView(n.adapter.Decoder, n.log, n.notifyActive)
	view.UseRegions(s.knownRegions())
	s.logWarnings(n.log)
	candidate := election.New(store, schedulerDuty, s.Name, s.HolderCooldown, n.log)
	components := newComponentGroup(ctx, n.log)
	n.results = results.NewServer(candidate.IsHolder)
	components.start("probes", store.Run)
	components.start("results", n.serveResults)
	components.start("configuration", kv.NewFollower(store, n.adapter.Decoder.ConfigKey, 0, view, n.log).Run)
	components.start("lateness", measureLateness(n.metrics, n.log))
	components.start("activity", logActivity("scheduler", metered, n.backends.Connections, n.log))
	components.start("retiring", kv.NewFollower(store, n.adapter.Decoder.RetirePrefix, 0, view, n.log).Run)
	n.followEvacuations(components, store)
	components.start("duties", kv.NewFollower(store, election.Prefix, 0, candidate, n.log).Run)
	n.log.Info("scheduler: started", zap.String("node", s.Name))
	candidateCtx, resign := context.WithCancel(ctx)
	defer resign()
	components.start("retire", func(ctx context.Context) error {
		pollUntil(ctx, func() bool {
			kv.Sleep(ctx, retireCheckInterval)
			return view.Retiring(s.Name)
		})
		resign()
		return n.reportDrained(ctx, store)
	})
	pollUntil(candidateCtx, func() bool { return view.Table() != nil && n.knowsEvacuations() })
	_ = candidate.Run(candidateCtx, func(ctx context.Context, lease kv.LeaseID) { n.runTerm(ctx, store, view, candidate, lease) })
	<-ctx.Done()
	n.log.Info("scheduler: stopped")
	return nil
}

// resultsAddress returns the address at which this node answers reads of results.
func (n *Scheduler) resultsAddress() string {
	return net.JoinHostPort(n.settings.IP, strconv.Itoa(n.settings.ReplicaPort))
}

// serveResults serves reads of results until the context ends.
func (n *Scheduler) serveResults(ctx context.Context) error {
	budget := intake.NewBudget(intake.LimitsFor(n.settings.MemoryBytes, n.settings.MaxDescriptors))
	server := web.NewServer(n.resultsAddress(), maxResultsRequestBytes, n.settings.ShutdownGrace).UseIntake(web.NewIntake(budget))
	n.results.Register(server)
	return server.Serve(ctx)
}

// reportDrained reports that the machine can be removed. A scheduler stores no
// data of its own, so giving up the duty is all that draining takes.
func (n *Scheduler) reportDrained(ctx context.Context, store kv.Store) error {
	kv.Sleep(ctx, retireCheckInterval)
	_, err := store.Commit(ctx, kv.Txn{Puts: []kv.Put{{Key: n.adapter.RetireKey(n.settings.Name), Value: n.adapter.RetireStatus(true)}}})
	if err == nil {
		n.log.Info("scheduler: machine drained")
	}
	return err
}

// runTerm schedules work as the duty holder until the context is done.
func (n *Scheduler) runTerm(ctx context.Context, store kv.Store, view *routetable.View, candidate *election.Candidate, lease kv.LeaseID) {
	s := n.settings
	fence := candidate.Fence()
	serverPool := pool.New(n.adapter.DecodeServer, n.log, n.notifyActive)
	serverPool.UseDepartures(n.departures)
	cache := results.NewCache(int64(cachedResultsShare * float64(s.MemoryBytes)))
	n.results.Use(cache)
	defer n.results.Use(nil)
	config := scheduler.Config{
		Results: cache, DecodeLoad: n.adapter.Codec.Load,
		Headers: n.adapter.Headers, View: view, Pool: serverPool, Backends: n.backends,
		Jobs: batch.NewJobStore(store, s.MaxValueBytes), Fence: func() kv.Condition { return fence }, IsHolder: candidate.IsHolder,
		Metrics: n.metrics, Log: n.log, FailureDomain: s.FailureDomain, Regions: s.Regions, Clock: n.clock, JobRetention: s.JobRetention,
		MaxItems: int(jobItemsShare*float64(s.MemoryBytes)) / jobItemBytes, MaxOutputBytes: int64(outputsShare * float64(s.MemoryBytes)),
	}
	sched := scheduler.New(ctx, config)
	controlConnections := http1.NewClient()
	controlConnections.Observe(n.observer(true))
	controlClient := n.adapter.NewControlClient(controlConnections, s.Name, s.CloudAddress)
	fencingToken := int64(fence.Revision)
	components := newComponentGroup(ctx, n.log)
	members := ratelimit.NewMembers(directory.Prefix)
	serverPool.UseShares(limitShares(s.Name, true, view, members))
	serverPool.UseColdStarts(view.ColdStart, n.metrics)
	serverPool.NotifyEvacuationEnds(serverPool.AssumeCold)
	limits := pool.NewLimitPublisher(store, fence, serverPool, n.log)
	if err := limits.Load(ctx); err != nil {
		n.log.Warn("scheduler: the limits of servers are unknown", zap.String("reason", err.Error()))
	}
	n.beginEvacuations(serverPool)
	n.active.Store(sched)
	defer n.active.Store(nil)
	n.metrics.SetGauge("duty_held", 1)
	defer n.metrics.SetGauge("duty_held", 0)
	publisher := pool.NewPublisher(store, fence, lease, n.adapter.DecodeServer, view.ForwardsTo, n.log)
	publisher.UseColdStarts(view.ColdStart)
	components.start("servers", kv.NewFollower(store, n.adapter.ServersPrefix, schedulerServersWatchInterval, kv.Tee(serverPool, publisher), n.log).Run)
	components.start("publisher", publisher.Run)
	components.start("results-address", func(ctx context.Context) error {
		return results.Announce(ctx, store, fence, lease, n.resultsAddress(), n.log)
	})
	n.publishEvacuations(components, store, fence)
	components.start("entries", kv.NewFollower(store, directory.Prefix, entryWatchInterval, members, n.log).Run)
	components.start("limit-counts", serverPool.LogLimits)
	components.start("limits", limits.Run)
	components.start("members", func(ctx context.Context) error { return members.Run(ctx, view.HasColdServers) })
	components.start("software", pool.NewSoftwarePublisher(store, fence, serverPool, view.ForwardsTo, n.log).Run)
	components.start("versions", kv.NewFollower(store, n.adapter.Decoder.VersionPrefix, 0, view, n.log).Run)
	schedulerDone := components.startIn(ctx, "items", sched.Run)
	components.start("jobs", kv.NewFollower(store, batch.JobPrefix, 0, sched.JobView(), n.log).Run)
	components.start("weights", scheduler.NewWeightUpdater(sched, controlClient, fencingToken).Run)
	components.start("scale", scheduler.NewScaler(sched, controlClient, fencingToken, s.FailureDomains).Run)
	components.start("usage", meter.NewReporter(store, s.UsageWindow, s.MaxUsageDelay, controlClient.ReportUsage, candidate.IsHolder, fence, n.clock, n.log).Run)
	<-ctx.Done()
	<-schedulerDone
}
