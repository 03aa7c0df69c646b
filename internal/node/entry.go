package node

import (
	"context"
	"time"

	"cactusspoke/internal/batch"
	"cactusspoke/internal/directory"
	"cactusspoke/internal/evacuation"
	"cactusspoke/internal/http1"
	"cactusspoke/internal/ingress"
	"cactusspoke/internal/intake"
	"cactusspoke/internal/kv"
	"cactusspoke/internal/meter"
	"cactusspoke/internal/poison"
	"cactusspoke/internal/pool"
	"cactusspoke/internal/protocol"
	"cactusspoke/internal/ratelimit"
	"cactusspoke/internal/reach"
	"cactusspoke/internal/results"
	"cactusspoke/internal/routetable"
	"cactusspoke/internal/streamorigin"
	"cactusspoke/internal/telemetry"
	"cactusspoke/internal/walltime"
	"cactusspoke/internal/web"

	"go.uber.org/zap"
)

const (
	// entryPrefix is the key prefix that every entry instance watches.
	entryPrefix = "cluster/entry"
	// entryWatchInterval is the minimum time between two watch calls for
	// entryPrefix. Many instances register at once when a deployment starts, and
	// one call then returns several registrations.
	entryWatchInterval = 250 * time.Millisecond
	// entryServersWatchInterval is the minimum time between two watch calls of an
	// entry instance for the backend servers. Store calls are billed.
	entryServersWatchInterval = time.Second
	// schedulerServersWatchInterval is the same for the scheduler. It is shorter
	// because the scheduler places most of the work.
	schedulerServersWatchInterval = 300 * time.Millisecond
	// responsesShare is the share of the memory for clients that responses of backend servers may
	// take while they are read, so that servers which send without end leave room for others.
	responsesShare = 0.75
	// maxBodyBytes limits the size of a request body.
	maxBodyBytes = 34 << 20
	// shutdownMargin is the part of the shutdown grace period that is reserved for
	// closing the remaining connections.
	shutdownMargin = 700 * time.Millisecond
	// addressTTL is how long callers are told to cache a list of addresses.
	addressTTL = 2 * time.Second
	// addressCacheFactor accounts for callers that cache a list of addresses for
	// several times the TTL.
	addressCacheFactor = 3
	// addressCacheSlack is added to the time for which callers may still use a
	// cached address.
	addressCacheSlack = 500 * time.Millisecond
	// pollInterval is the time between two checks of a condition that is waited for.
	pollInterval = 20 * time.Millisecond
)

// Adapter holds the names, formats and clients of a platform.
type Adapter struct {
	Headers       protocol.Headers
	Paths         protocol.Paths
	Codec         ingress.Codec
	Decoder       routetable.Decoder
	DecodeServer  pool.DecodeFunc
	ServersPrefix string
	// NewStore returns a client of the key-value store at an address.
	NewStore func(*http1.Client, string) kv.Store
	// NewControlClient returns a client that sends calls on behalf of the duty holder.
	NewControlClient func(client *http1.Client, holder, cloud string) ControlClient
	// DialServers opens the connections of an entry instance to backend servers and peers.
	// If it is nil, they are opened by http1.
	DialServers http1.DialFunc
	// RetireKey and RetireStatus return the key and the value with which a node
	// reports whether its machine is drained.
	RetireKey    func(node string) string
	RetireStatus func(done bool) []byte
}

// Entry is an entry instance: it accepts requests from callers and forwards them
// to backend servers.
type Entry struct {
	settings *Settings
	adapter  Adapter
	metrics  *telemetry.Registry
	log      *zap.Logger
}

func NewEntry(settings *Settings, adapter Adapter, metrics *telemetry.Registry, log *zap.Logger) *Entry {
	return &Entry{settings: settings, adapter: adapter, metrics: metrics, log: log}
}

// Run serves callers until the context is done and then shuts down gracefully:
// it leaves the directory, waits until callers no longer use a cached address of
// this instance, closes each connection after its response and lets running
// requests finish. Requests that may last too long are refused meanwhile.
func (e *Entry) Run(ctx context.Context) error {
	workCtx, stopWork := context.WithCancel(context.Background())
	defer stopWork()
	s := e.settings
	backends := http1.NewClient()
	metered := kv.WithMetrics(e.adapter.NewStore(http1.NewClient(), s.StoreAddress), e.metrics)
	monitored := kv.NewMonitoredStore(metered)
	probes := kv.NewMonitoredStore(metered)
	store := kv.NewProbedStore(monitored, probes, e.log)
	view := routetable.NewView(e.adapter.Decoder, e.log, func() {})
	view.UseRegions(s.knownRegions())
	s.logWarnings(e.log)
	serverPool := pool.New(e.adapter.DecodeServer, e.log, func() {})
	if e.adapter.DialServers != nil {
		backends.UseDialer(e.adapter.DialServers)
	}
	paths := reach.NewMonitor(reach.Config{Addresses: serverPool.Addresses, Connect: backends.Connect, Restored: serverPool.ForgetFailures, Metrics: e.metrics, Log: e.log})
	backends.Observe(http1.Combine(pool.NewObserver(func() *pool.Pool { return serverPool }, e.adapter.Headers, e.metrics, false), paths.Observer()))
	members := ratelimit.NewMembers(directory.Prefix)
	serverPool.UseShares(limitShares(s.Name, false, view, members))
	serverPool.UseColdStarts(view.ColdStart, e.metrics)
	serverPool.NotifyEvacuationEnds(serverPool.AssumeCold)
	entryDirectory := directory.New()
	poisonTracker := poison.New(store, e.log)
	serverPool.NotifyCrashes(func(server pool.Server) { poisonTracker.ServerCrashed(server.ID, server.Born) })
	clock := walltime.New()
	usageMeter := meter.New(store, incarnation(s.Name), s.UsageWindow, entryDirectory.Size, clock, e.log)
	streams := streamorigin.NewRecords(store, func(services []string) map[string][]string {
		return serverPool.SoftwareSeen(services, streamorigin.Retention)
	}, entryDirectory.Size, e.log)
	holderResults := results.NewClient(http1.NewClient(), e.metrics, e.log)
	limits := intake.LimitsFor(s.MemoryBytes, s.MaxDescriptors)
	frontServer := ingress.New(ingress.Config{
		HolderResults: holderResults,
		Headers:       e.adapter.Headers, Paths: e.adapter.Paths, Codec: e.adapter.Codec,
		View: view, Pool: serverPool, Backends: backends, Jobs: batch.NewJobStore(store, s.MaxValueBytes),
		StoreReachable: monitored.Reachable, Directory: entryDirectory, Clock: clock, Meter: usageMeter, Poison: poisonTracker, Streams: streams, Software: pool.NewSoftwareReader(store, e.adapter.ServersPrefix, serverPool), Reach: paths, Metrics: e.metrics, Log: e.log,
		MaxBufferedBytes: int64(responsesShare * float64(limits.Bytes)),
		Address:          s.FrontAddress, FailureDomain: s.FailureDomain, Regions: s.Regions, MaxAddressTTL: s.MaxAddressTTL,
	})
	serverSubscriber := pool.NewSubscriber(serverPool, func(ctx context.Context, view kv.View) error {
		return kv.NewFollower(store, e.adapter.ServersPrefix, entryServersWatchInterval, view, e.log).Run(ctx)
	}, e.log)
	entryViews := kv.NewMux()
	if s.EvacuateWithin > 0 {
		// Evacuations are applied before the servers of the same list.
		entryViews.Add(evacuation.Key, evacuation.NewPublishedView(serverPool.SetEvacuated, e.metrics, e.log))
	}
	entryViews.Add(directory.Prefix, entryDirectory).Add(poison.Prefix, poisonTracker).
		Add(pool.ServerListKey, serverSubscriber).Add(directory.Prefix, members).Add(pool.LimitListKey, serverPool.LimitView()).
		Add(pool.SoftwareListKey, serverPool.SoftwareView()).Add(results.HolderKey, holderResults)
	if s.MaxDescriptors < 0 {
		e.log.Warn("entry: limit of descriptors in the settings is invalid, connections are not limited in number")
	}
	budget := intake.NewBudget(limits)
	components := newComponentGroup(workCtx, e.log)
	replicas := e.newReplicas(store, monitored, entryDirectory, view, entryViews, web.NewIntake(budget))
	entryDirectory.UseContact(func() (time.Duration, bool) {
		return min(monitored.SinceContact(), probes.SinceContact()), replicas.follower.Direct()
	})
	registration := directory.NewRegistration(store, s.Name, s.FrontAddress, s.FailureDomain, replicas.follower.Direct, paths.Lost, e.log)
	store.UseLease(registration.Lease)
	components.start("probes", store.Run)
	components.start("replica", replicas.follower.Run)
	components.start("replica-server", replicas.serve)
	components.start("servers", serverSubscriber.Run)
	components.start("poison", poisonTracker.Run)
	components.start("limits", serverPool.LogLimits)
	components.start("members", func(ctx context.Context) error { return members.Run(ctx, view.HasColdServers) })
	components.start("paths", paths.Run)
	components.start("directory-checks", func(ctx context.Context) error { return entryDirectory.CheckMembers(ctx, backends.Connect) })
	components.start("lateness", measureLateness(e.metrics, e.log))
	components.start("activity", logActivity("entry", metered, backends.Connections, e.log))
	components.start("intake", func(ctx context.Context) error { return budget.Report(ctx, e.metrics, e.log) })
	components.start("ready", e.listen(s.ReadyAddress, frontServer.ServeReady, web.NewIntake(budget)))
	components.start("directory", e.listen(s.DirectoryAddress, frontServer.ServeLookup, web.NewIntake(budget)))
	frontCtx, stopFront := context.WithCancel(context.Background())
	defer stopFront()
	frontDone := components.startIn(frontCtx, "callers", e.listen(s.FrontAddress, frontServer.Serve, e.callerIntake(budget, view)))
	registrationCtx, stopRegistration := context.WithCancel(workCtx)
	defer stopRegistration()
	components.start("registration", func(context.Context) error {
		pollUntil(registrationCtx, func() bool { return view.Table() != nil })
		return registration.Run(registrationCtx)
	})
	components.start("streams", streams.Run)
	usageCtx, stopUsage := context.WithCancel(context.Background())
	defer stopUsage()
	usageDone := components.startIn(usageCtx, "usage", usageMeter.Run)
	e.log.Info("entry: started", zap.String("node", s.Name), zap.String("front", s.FrontAddress))
	<-ctx.Done()
	e.log.Info("entry: stopping", zap.Int64("active", frontServer.Active()))
	deadline := time.Now().Add(s.ShutdownGrace - shutdownMargin)
	frontServer.Stop(deadline)
	stopRegistration()
	drainTime := min(addressCacheFactor*addressTTL+addressCacheSlack, s.ShutdownGrace-2*shutdownMargin)
	time.Sleep(drainTime / 2)
	frontServer.DisableKeepAlives()
	time.Sleep(drainTime / 2)
	stopUsage()
	<-usageDone
	stopFront()
	pollUntilDeadline(deadline, func() bool { return frontServer.Active() == 0 })
	select {
	case <-frontDone:
	case <-time.After(time.Until(deadline)):
	}
	e.log.Info("entry: stopped", zap.Int64("active", frontServer.Active()))
	return nil
}

// listen returns a function that serves an address until its context is done. An
// empty address is not served.
func (e *Entry) listen(address string, handler web.Handler, in *web.Intake) func(context.Context) error {
	return func(ctx context.Context) error {
		if address == "" {
			return nil
		}
		server := web.NewServer(address, maxBodyBytes, e.settings.ShutdownGrace).UseIntake(in)
		server.HandleUnmatched(handler)
		return server.Serve(ctx)
	}
}

// pollUntil returns when the condition holds or the context is done.
func pollUntil(ctx context.Context, done func() bool) {
	for ctx.Err() == nil && !done() {
		kv.Sleep(ctx, pollInterval)
	}
}

// pollUntilDeadline returns when the condition holds or the deadline has passed.
func pollUntilDeadline(deadline time.Time, done func() bool) {
	for time.Now().Before(deadline) && !done() {
		time.Sleep(20 * time.Millisecond)
	}
}
