// Package instance assembles and runs an entry instance.
package instance

import (
	"context"
	"errors"
	"fmt"
	"net"
	"os"
	"path/filepath"
	"sync"
	"time"

	"cactusspoke/internal/backendserver"
	"cactusspoke/internal/caller"
	"cactusspoke/internal/claim"
	"cactusspoke/internal/configuration"
	"cactusspoke/internal/duty"
	"cactusspoke/internal/fleet"
	"cactusspoke/internal/forward"
	"cactusspoke/internal/invariant"
	"cactusspoke/internal/logs"
	"cactusspoke/internal/operator"
	"cactusspoke/internal/peer"
	"cactusspoke/internal/platform"
	"cactusspoke/internal/quarantine"
	"cactusspoke/internal/rollout"
	"cactusspoke/internal/samplestore"
	"cactusspoke/internal/settings"
	"cactusspoke/internal/step"
	"cactusspoke/internal/store"
	"cactusspoke/internal/supervisor"
	"cactusspoke/internal/timer"
	"cactusspoke/internal/trace"
	"cactusspoke/internal/usage"
	"cactusspoke/internal/web"

	"github.com/google/uuid"
	"github.com/rcrowley/go-metrics"
	"github.com/zeebo/errs"
	"go.uber.org/zap"
)

// Class prefixes the errors of this package.
var Class = errs.Class("instance")

// Intervals and limits of the components.
const (
	// pollJitter spreads periodic work of instances over time, as a fraction of
	// the interval.
	pollJitter           = 0.2
	instanceListInterval = time.Second
	loadPollInterval     = 500 * time.Millisecond
	dispatchInterval     = 250 * time.Millisecond
	claimTrimInterval    = 10 * time.Second
	drainPollInterval    = 20 * time.Millisecond
	// loadObserverCount is the number of instances that poll each backend server.
	loadObserverCount = 2
	// configWatcherCount is the number of instances that watch the store.
	configWatcherCount = 2
	// fullLoadRequests is the number of running requests reported as full load.
	fullLoadRequests = 512
)

// Instance is one entry instance.
type Instance struct {
	settings    *settings.Settings
	log         *zap.Logger
	incarnation string
	registry    metrics.Registry
	tracer      *trace.Tracer
	timers      *timer.Service

	store         store.Client
	platform      *platform.Client
	backends      *backendserver.Client
	clients       *peer.Clients
	members       *peer.Members
	view          *configuration.View
	fleet         *fleet.Fleet
	quarantine    *quarantine.Tracker
	committer     *claim.Committer
	usageRecorder *usage.Recorder
	responses     *forward.ResponseCache
	forwarder     *forward.Forwarder
	gossip        *peer.Gossip
	sampleStore   *samplestore.Store
	driver        *rollout.Driver
	duties        []*duty.Runner

	peerServer     *peer.Server
	callerServer   *caller.Server
	operatorServer *operator.Server

	drainOnce sync.Once
	drain     chan struct{}
}

// New returns an instance that is ready to run. Background work that outlives a
// request ends when ctx does.
func New(ctx context.Context, s *settings.Settings, log *zap.Logger) (*Instance, error) {
	i := &Instance{
		settings: s, log: log, incarnation: s.Instance() + "-" + uuid.NewString()[:8],
		registry: metrics.NewRegistry(), timers: timer.New(), drain: make(chan struct{}),
	}
	invariant.SetHandler(func(id invariant.ID, message string) {
		log.Error("invariant: violated", zap.Stringer("invariant", id), zap.String("message", message))
	})
	if err := checkAddresses(s); err != nil {
		return nil, err
	}
	if err := i.buildClients(); err != nil {
		return nil, err
	}
	i.buildState()
	i.buildRequests()
	i.buildRollouts(ctx)
	i.buildDuties()
	i.buildServers()
	return i, nil
}

func (i *Instance) buildClients() error {
	tracer, err := trace.New(i.settings.TraceFile(), i.settings.Instance())
	if err != nil {
		return err
	}
	i.tracer = tracer
	control, err := web.NewClient(0)
	if err != nil {
		return err
	}
	data, err := web.NewClient(0)
	if err != nil {
		return err
	}
	http := store.NewHTTP(control, i.settings.StoreAddress(), i.settings.StoreTimeout())
	i.store = store.NewResolvingClient(store.NewLimitedClient(http, i.settings.StoreCallsPerSecond()))
	i.platform = platform.New(control)
	i.backends = backendserver.New(data)
	i.clients = peer.NewClients(i.tracer)
	return i.openDataFolder()
}

// openDataFolder opens the data folder. It first writes a test file, so that an
// unwritable folder fails at startup.
func (i *Instance) openDataFolder() error {
	folder := i.settings.DataFolder()
	if folder == "" {
		return nil
	}
	if err := os.MkdirAll(folder, 0o700); err != nil {
		return Class.New("data.folder cannot be created: %w", err)
	}
	probe := filepath.Join(folder, ".probe")
	if err := os.WriteFile(probe, []byte("probe"), 0o600); err != nil {
		return Class.New("data.folder is not writable: %w", err)
	}
	if err := os.Remove(probe); err != nil {
		return Class.Wrap(err)
	}
	sampleStore, err := samplestore.Open(folder)
	i.sampleStore = sampleStore
	return err
}

func (i *Instance) buildState() {
	self := peer.NewMember(i.settings.Instance(), i.incarnation, i.settings.FailureDomain(),
		i.settings.PeersAddress(), i.settings.CallersAddress(), i.sampleStore != nil)
	i.members = peer.NewMembers(self)
	i.view = configuration.NewView(func() { i.gossip.Push() })
	i.fleet = fleet.New(func() { i.forwarder.DispatchWaiting() })
	i.quarantine = quarantine.New()
	i.committer = claim.NewCommitter(i.store, i.settings.ResendWindow())
	i.usageRecorder = usage.NewRecorder(i.settings.UsageWindow())
	i.responses = forward.NewResponseCache()
	i.gossip = peer.NewGossip(i.members, i.view, i.fleet, i.quarantine, i.clients, i.timers, i.registry, i.log, i.loadFraction)
}

// loadFraction returns the load of this instance from 0 to 1.
func (i *Instance) loadFraction() float64 {
	return min(1, float64(i.forwarder.Running())/fullLoadRequests)
}

func (i *Instance) buildRequests() {
	i.forwarder = forward.NewForwarder(i.incarnation, forward.Config{
		View: i.view, Fleet: i.fleet, Backends: i.backends, Claimer: &claimer{i}, Quarantine: i.quarantine,
		UsageRecorder: i.usageRecorder, ResponseCache: i.responses, Tracer: i.tracer, Log: i.log, KeysVerifiable: i.keysVerifiable,
	})
}

// keysVerifiable reports whether this instance may rely on its view of the keys.
// It may not if it is cut off, because other instances may then know of changes
// that this one has missed.
func (i *Instance) keysVerifiable(now time.Time) bool {
	age, seen := i.view.Age(now)
	if !seen {
		return false
	}
	viewStatus := peer.AssessView(age, i.members.Self(), i.members.Others(now), now)
	return viewStatus != peer.Isolated
}

func (i *Instance) buildRollouts(ctx context.Context) {
	i.driver = rollout.NewDriver(ctx, i.forwarder, step.NewRegistry(i.store), i.members, i.clients,
		i.newestVersion, i.registry, i.log)
}

// newestVersion returns the highest weight version that any backend server of a
// service has loaded.
func (i *Instance) newestVersion(service string) int64 {
	newest := int64(0)
	for _, s := range i.fleet.Servers(time.Now(), service, 1) {
		newest = max(newest, s.WeightVersion())
	}
	return newest
}

func (i *Instance) buildServers() {
	var sampleStore peer.SampleStore
	if i.sampleStore != nil {
		sampleStore = i.sampleStore
	}
	i.peerServer = peer.NewServer(i.settings.PeersAddress(), i.members.Self(), i.gossip, i.committer, sampleStore, i.usageRecorder, i.responses, i.tracer)
	i.callerServer = caller.NewServer(i.settings.CallersAddress(), caller.Config{
		DigestSecret: i.settings.DigestSecret(), View: i.view, Forwarder: i.forwarder, Driver: i.driver, Members: i.members,
		Clients: i.clients, ResponseCache: i.responses, UsageRecorder: i.usageRecorder, Tracer: i.tracer, Metrics: i.registry,
		Log: i.log, EntriesTTL: i.settings.KeepTime(),
	})
	i.operatorServer = operator.NewServer(i.settings.OperatorsAddress(), operator.Config{
		View: i.view, Members: i.members, Fleet: i.fleet, Forwarder: i.forwarder, Driver: i.driver, UsageRecorder: i.usageRecorder,
		Duties: i.duties, Registry: i.registry, Drain: i.Drain,
	})
}

// Drain starts the graceful shutdown.
func (i *Instance) Drain() { i.drainOnce.Do(func() { close(i.drain) }) }

// Run serves until the context ends or Drain is called, and then shuts down
// gracefully.
func (i *Instance) Run(ctx context.Context) error {
	serving, stop := context.WithCancel(context.Background())
	defer stop()
	ended := make(chan error, 1)
	go func() { ended <- i.supervisorTree().Serve(serving) }()
	i.log.Info("instance: running", zap.String("instance", i.settings.Instance()),
		zap.String("callers", i.settings.CallersAddress()))
	select {
	case <-ctx.Done():
	case <-i.drain:
	case err := <-ended:
		return Class.Wrap(err)
	}
	i.shutDown()
	stop()
	<-ended
	return i.close()
}

// checkAddresses checks that the listen addresses are free before anything else
// is started.
func checkAddresses(s *settings.Settings) error {
	for _, a := range []struct{ path, address string }{
		{"callers.address", s.CallersAddress()},
		{"peers.address", s.PeersAddress()},
		{"operators.address", s.OperatorsAddress()},
	} {
		l, err := net.Listen("tcp", a.address)
		if err != nil {
			return Class.New("%s is not free: %w", a.path, err)
		}
		if err := l.Close(); err != nil {
			return Class.Wrap(err)
		}
	}
	return nil
}

// shutDown announces the shutdown to the other instances and keeps serving while
// callers may still have this instance's address cached. It then refuses new
// requests and waits for the running ones.
func (i *Instance) shutDown() {
	i.log.Info("instance: draining")
	i.members.SetDraining()
	i.gossip.Push()
	time.Sleep(i.settings.KeepTime())
	i.callerServer.StartDraining()
	deadline := time.Now().Add(i.settings.DrainWait())
	for time.Now().Before(deadline) && i.busy() {
		time.Sleep(drainPollInterval)
	}
	invariant.Check(invariant.GracefulShutdown, !i.busy(), "%d requests were aborted by the shutdown", i.callerServer.ActiveRequests())
	i.log.Info("instance: stopped serving", zap.Int64("cut-off", i.callerServer.ActiveRequests()))
}

func (i *Instance) busy() bool {
	return i.callerServer.ActiveRequests() > 0 || i.driver.OpenStepCount() > 0 || i.forwarder.Running() > 0
}

func (i *Instance) close() error {
	i.clients.Close()
	i.tracer.Close(context.Background())
	if i.sampleStore == nil {
		return nil
	}
	return i.sampleStore.Close()
}

func (i *Instance) supervisorTree() *supervisor.Tree {
	root := supervisor.New("instance", i.log)
	root.Add(i.peerTree())
	root.Add(i.platformTree())
	root.Add(i.requestTree())
	root.Add(i.dutyTree())
	return root
}

func (i *Instance) peerTree() *supervisor.Tree {
	t := supervisor.New("peers", i.log)
	t.Go("peer-server", i.peerServer.Serve)
	t.Go("peer-exchange", i.gossip.RunExchange)
	t.Go("peer-push", i.gossip.RunPush)
	return t
}

func (i *Instance) platformTree() *supervisor.Tree {
	t := supervisor.New("platform", i.log)
	isDesignated := func(now time.Time) bool { return i.members.IsAmongFirst(now, "configuration", configWatcherCount) }
	t.Go("configuration-watcher", configuration.NewWatcher(i.view, i.store, isDesignated, i.log).Run)
	t.Go("instance-list", func(ctx context.Context) error {
		i.readInstances(ctx)
		return i.timers.RunEvery(ctx, instanceListInterval, pollJitter, func(time.Time) { i.readInstances(ctx) })
	})
	t.Go("load-poll", func(ctx context.Context) error {
		return i.timers.RunEvery(ctx, loadPollInterval, pollJitter, func(now time.Time) { i.pollLoads(ctx, now) })
	})
	return t
}

func (i *Instance) requestTree() *supervisor.Tree {
	t := supervisor.New("requests", i.log)
	t.Go("caller-server", i.callerServer.Serve)
	t.Go("operator-server", i.operatorServer.Serve)
	t.Go("admission-pump", func(ctx context.Context) error {
		return i.timers.RunEvery(ctx, dispatchInterval, 0, func(time.Time) { i.forwarder.DispatchWaiting() })
	})
	for number := range claim.Ranges {
		t.Go(fmt.Sprintf("claim-range-%d", number), func(ctx context.Context) error {
			return i.committer.Run(ctx, number)
		})
	}
	t.Go("claim-trim", func(ctx context.Context) error {
		return i.timers.RunEvery(ctx, claimTrimInterval, pollJitter, func(now time.Time) { i.trimClaims(ctx, now) })
	})
	return t
}

func (i *Instance) trimClaims(ctx context.Context, now time.Time) {
	ctx, cancel := context.WithTimeout(ctx, claimTrimInterval/2)
	defer cancel()
	i.committer.Trim(ctx, now)
}

func (i *Instance) dutyTree() *supervisor.Tree {
	t := supervisor.New("duties", i.log)
	for _, d := range i.duties {
		t.Go("duty-keep-"+d.Name(), d.RunLease)
		t.Go("duty-act-"+d.Name(), d.RunWork)
	}
	return t
}

// readInstances updates the members and backend servers from the platform's
// instance list. If the list cannot be read, the previous one stays in use.
func (i *Instance) readInstances(ctx context.Context) {
	list, err := i.platform.Instances(ctx, i.settings.InstancesAddress())
	if err != nil {
		if !errors.Is(err, context.Canceled) {
			i.log.Debug("instance: cannot read the platform's instance list; keeping the previous one", logs.Err(err))
		}
		return
	}
	now := time.Now()
	i.members.UpdateListed(list)
	i.fleet.UpdateInstances(now, list)
}

// pollLoads reads the load of the backend servers assigned to this instance. Each
// server is polled by only a few instances.
func (i *Instance) pollLoads(ctx context.Context, now time.Time) {
	var group sync.WaitGroup
	for _, s := range i.fleet.AllServers(now) {
		if !i.members.IsAmongFirst(now, "load/"+s.ID(), loadObserverCount) {
			continue
		}
		group.Go(func() {
			load, err := i.backends.Load(ctx, s)
			if err == nil {
				i.fleet.UpdateLoad(time.Now(), load)
			}
		})
	}
	group.Wait()
}
