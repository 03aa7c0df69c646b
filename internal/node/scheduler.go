package node

import (
	"context"
	"sync/atomic"
	"time"

	"cactusspoke/internal/batch"
	"cactusspoke/internal/http1"
	"cactusspoke/internal/kv"
	"cactusspoke/internal/meter"
	"cactusspoke/internal/pool"
	"cactusspoke/internal/routetable"
	"cactusspoke/internal/scheduler"
	"cactusspoke/internal/telemetry"
	"cactusspoke/internal/tenure"

	"go.uber.org/zap"
)

// duty is the name of the one duty: orders, usage, scaling and batch items.
const duty = "scheduler"

// retireTick is how often it is looked at whether the machine is to be emptied.
const retireTick = 100 * time.Millisecond

// Orders sends the calls of the holder of the duty.
type Orders interface {
	scheduler.Orders
	scheduler.Scaling
	// Usage reports a window.
	Usage(ctx context.Context, window int64, counts map[string]int64, fence int64) (int, error)
}

// Scheduler is a node that may hold the duty.
type Scheduler struct {
	settings *Settings
	adapter  Adapter
	figures  *telemetry.Set
	log      *zap.Logger
	current  atomic.Pointer[scheduler.Scheduler]
}

// NewScheduler returns a node that may hold the duty.
func NewScheduler(settings *Settings, adapter Adapter, figures *telemetry.Set, log *zap.Logger) *Scheduler {
	return &Scheduler{settings: settings, adapter: adapter, figures: figures, log: log}
}

// kick tells the term in progress that something changed.
func (n *Scheduler) kick() {
	if s := n.current.Load(); s != nil {
		s.Kick()
	}
}

// Run is a candidate for the duty until the context ends.
func (n *Scheduler) Run(ctx context.Context) error {
	s := n.settings
	store := kv.Counted(n.adapter.Store(http1.NewClient(), s.Store), n.figures)
	view := routetable.NewView(n.adapter.Decoder, n.log, n.kick)
	held := tenure.New(store, duty, s.Name, s.HolderGap, n.log)
	parts := newGroup(ctx, n.log)
	parts.start("configuration", kv.NewFollower(store, n.adapter.Decoder.ConfigKey, 0, view, n.log).Run)
	parts.start("retiring", kv.NewFollower(store, n.adapter.Decoder.RetirePrefix, 0, view, n.log).Run)
	parts.start("duties", kv.NewFollower(store, tenure.Prefix, 0, held, n.log).Run)
	n.log.Info("scheduler: started", zap.String("node", s.Name))
	candidate, resign := context.WithCancel(ctx)
	defer resign()
	parts.start("retire", func(ctx context.Context) error {
		waitFor(ctx, func() bool {
			kv.Sleep(ctx, retireTick)
			return view.Retiring(s.Name)
		})
		resign()
		return n.retire(ctx, store)
	})
	waitFor(candidate, func() bool { return view.Table() != nil })
	_ = held.Run(candidate, func(ctx context.Context, lease kv.LeaseID) { n.term(ctx, store, view, held, lease) })
	<-ctx.Done()
	n.log.Info("scheduler: stopped")
	return nil
}

// retire reports that nothing on this machine is needed any more: it keeps
// nothing, and has given up the duty.
func (n *Scheduler) retire(ctx context.Context, store kv.Store) error {
	kv.Sleep(ctx, retireTick)
	_, err := store.Commit(ctx, kv.Txn{Puts: []kv.Put{{Key: n.adapter.RetireKey(n.settings.Name), Value: n.adapter.RetireStatus(true)}}})
	if err == nil {
		n.log.Info("scheduler: machine emptied")
	}
	return err
}

// term works as the holder of the duty until the context ends.
func (n *Scheduler) term(ctx context.Context, store kv.Store, view *routetable.View, held *tenure.Tenure, lease kv.LeaseID) {
	s := n.settings
	fence := held.Fence()
	servers := pool.New(n.adapter.DecodeServer, n.log, n.kick)
	parts := scheduler.Parts{
		Headers: n.adapter.Headers, View: view, Pool: servers, Backends: http1.NewClient(),
		Ledger: batch.NewLedger(store, s.ValueBytes), Fence: func() kv.Condition { return fence }, Valid: held.Valid,
		Figures: n.figures, Log: n.log, FailureDomain: s.FailureDomain, JobStatus: s.JobStatus,
	}
	work := scheduler.New(ctx, parts)
	orders := n.adapter.Orders(http1.NewClient(), s.Name, s.Cloud)
	token := int64(fence.Revision)
	group := newGroup(ctx, n.log)
	n.current.Store(work)
	defer n.current.Store(nil)
	n.figures.Gauge("duty_held", 1)
	defer n.figures.Gauge("duty_held", 0)
	publisher := pool.NewPublisher(store, fence, lease, n.adapter.DecodeServer, view.ForwardsTo, n.log)
	group.start("servers", kv.NewFollower(store, n.adapter.ServersPrefix, schedulerPace, kv.Tee(servers, publisher), n.log).Run)
	group.start("publisher", publisher.Run)
	group.start("versions", kv.NewFollower(store, n.adapter.Decoder.VersionPrefix, 0, view, n.log).Run)
	ran := group.startIn(ctx, "items", work.Run)
	group.start("jobs", kv.NewFollower(store, batch.JobPrefix, 0, work.JobView(), n.log).Run)
	group.start("weights", scheduler.NewMover(work, orders, token).Run)
	group.start("scale", scheduler.NewScaler(work, orders, token, s.Domains).Run)
	group.start("usage", meter.NewReporter(store, s.UsageWindow, s.UsageDue, orders.Usage, held.Valid, fence, n.log).Run)
	<-ctx.Done()
	<-ran
}
