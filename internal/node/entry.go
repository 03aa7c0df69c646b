package node

import (
	"context"
	"time"

	"cactusspoke/internal/batch"
	"cactusspoke/internal/directory"
	"cactusspoke/internal/http1"
	"cactusspoke/internal/ingress"
	"cactusspoke/internal/kv"
	"cactusspoke/internal/meter"
	"cactusspoke/internal/poison"
	"cactusspoke/internal/pool"
	"cactusspoke/internal/protocol"
	"cactusspoke/internal/routetable"
	"cactusspoke/internal/telemetry"
	"cactusspoke/internal/web"

	"go.uber.org/zap"
)

const (
	// entriesPrefix is the part of the store that all entry instances watch.
	entriesPrefix = "cluster/entry"
	// entriesPace is the least time between two looks at it: many instances
	// register at once when a deployment starts.
	entriesPace = 250 * time.Millisecond
	// serversPace is the least time between two looks of an entry instance at
	// the list of servers, each of which is paid for.
	serversPace = time.Second
	// schedulerPace is the same for the scheduler, which places most work.
	schedulerPace = 300 * time.Millisecond
	// bodyLimit bounds a request's body in bytes.
	bodyLimit = 34 << 20
	// stopMargin is kept of the time to stop for closing what is left.
	stopMargin = 700 * time.Millisecond
	// keepFactor is how many times longer than told some callers keep a list of
	// addresses.
	keepFactor = 3
	// keepTold is how long callers are told to keep a list of addresses.
	keepTold = 2 * time.Second
)

// Adapter is what the platform's folder provides.
type Adapter struct {
	Headers       protocol.Headers
	Paths         protocol.Paths
	Codec         ingress.Codec
	Decoder       routetable.Decoder
	DecodeServer  pool.DecodeFunc
	ServersPrefix string
	Store         func(*http1.Client, string) kv.Store
	Orders        func(client *http1.Client, holder, cloud string) Orders
	// RetireKey and RetireStatus answer a request to empty a machine.
	RetireKey    func(node string) string
	RetireStatus func(done bool) []byte
}

// Entry is an entry instance.
type Entry struct {
	settings *Settings
	adapter  Adapter
	figures  *telemetry.Set
	log      *zap.Logger
}

// NewEntry returns an entry instance.
func NewEntry(settings *Settings, adapter Adapter, figures *telemetry.Set, log *zap.Logger) *Entry {
	return &Entry{settings: settings, adapter: adapter, figures: figures, log: log}
}

// Run serves callers until the context ends, and then until they have had time
// to go elsewhere.
func (e *Entry) Run(ctx context.Context) error {
	work, stop := context.WithCancel(context.Background())
	defer stop()
	s := e.settings
	backends := http1.NewClient()
	store := kv.NewReach(kv.Counted(e.adapter.Store(http1.NewClient(), s.Store), e.figures))
	view := routetable.NewView(e.adapter.Decoder, e.log, func() {})
	servers := pool.New(e.adapter.DecodeServer, e.log, func() {})
	entries := directory.New()
	list := poison.New(store, e.log)
	count := meter.New(store, incarnation(s.Name), s.UsageWindow, entries.Size, e.log)
	server := ingress.New(ingress.Options{
		Headers: e.adapter.Headers, Paths: e.adapter.Paths, Codec: e.adapter.Codec,
		View: view, Pool: servers, Backends: backends, Jobs: batch.NewLedger(store, s.ValueBytes),
		StoreReachable: store.Reachable, Directory: entries, Meter: count, Poison: list, Metrics: e.figures, Log: e.log,
		Address: s.Front, FailureDomain: s.FailureDomain, MaxAddressTTL: s.KeepMax,
	})
	source := pool.NewSubscriber(servers, func(ctx context.Context, view kv.View) error {
		return kv.NewFollower(store, e.adapter.ServersPrefix, serversPace, view, e.log).Run(ctx)
	}, e.log)
	shared := kv.NewMux().Add(directory.Prefix, entries).Add(poison.Prefix, list).Add(pool.ServerListKey, source)
	parts := newGroup(work, e.log)
	parts.start("configuration", kv.NewFollower(store, e.adapter.Decoder.ConfigKey, 0, view, e.log).Run)
	parts.start("servers", source.Run)
	parts.start("shared", kv.NewFollower(store, entriesPrefix, entriesPace, shared, e.log).Run)
	parts.start("poison", list.Run)
	parts.start("ready", e.listen(s.Ready, server.ServeReady))
	parts.start("directory", e.listen(s.Directory, server.ServeLookup))
	front, stopFront := context.WithCancel(context.Background())
	defer stopFront()
	served := parts.startIn(front, "callers", e.listen(s.Front, server.Serve))
	registered, leave := context.WithCancel(work)
	defer leave()
	parts.start("registration", func(context.Context) error {
		waitFor(registered, func() bool { return view.Table() != nil })
		return directory.NewRegistration(store, s.Name, s.Front, s.FailureDomain, e.log).Run(registered)
	})
	counting, stopCounting := context.WithCancel(context.Background())
	defer stopCounting()
	counted := parts.startIn(counting, "usage", count.Run)
	e.log.Info("entry: started", zap.String("node", s.Name), zap.String("front", s.Front))
	<-ctx.Done()
	e.log.Info("entry: stopping", zap.Int64("active", server.Active()))
	server.Drain()
	leave()
	deadline := time.Now().Add(s.Grace - stopMargin)
	rest := min(keepFactor*keepTold+500*time.Millisecond, s.Grace-2*stopMargin)
	time.Sleep(rest / 2)
	server.DisableKeepAlives()
	time.Sleep(rest / 2)
	stopCounting()
	<-counted
	stopFront()
	waitUntil(deadline, func() bool { return server.Active() == 0 })
	select {
	case <-served:
	case <-time.After(time.Until(deadline)):
	}
	e.log.Info("entry: stopped", zap.Int64("active", server.Active()))
	return nil
}

func (e *Entry) listen(address string, handler web.Handler) func(context.Context) error {
	return func(ctx context.Context) error {
		if address == "" {
			return nil
		}
		server := web.NewServer(address, bodyLimit, e.settings.Grace)
		server.Otherwise(handler)
		return server.Serve(ctx)
	}
}

func waitFor(ctx context.Context, done func() bool) {
	for ctx.Err() == nil && !done() {
		kv.Sleep(ctx, 20*time.Millisecond)
	}
}

func waitUntil(deadline time.Time, done func() bool) {
	for time.Now().Before(deadline) && !done() {
		time.Sleep(20 * time.Millisecond)
	}
}
