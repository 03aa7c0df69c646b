package instance

import (
	"context"
	"sync"
	"time"

	"cactusspoke/internal/duty"
	"cactusspoke/internal/fleet"
	"cactusspoke/internal/order"
	"cactusspoke/internal/peer"
	"cactusspoke/internal/profile"
	"cactusspoke/internal/usage"
	"cactusspoke/internal/weights"
)

// Periods and sizes of the duties.
const (
	candidates    = 3
	usagePeriod   = 500 * time.Millisecond
	weightsPeriod = 500 * time.Millisecond
	shrinkPlans   = 5
	// flightGrace is the longest time an order may be on its way.
	flightGrace = time.Second
)

// buildDuties sets up the duties whose peers the settings name.
func (i *Instance) buildDuties() {
	if i.settings.OrdersAddress() != "" {
		desk := order.NewController(i.incarnation, i.settings.OrdersAddress(), i.store, i.platform,
			order.NewPlanner(i.settings.MaxServers(), shrinkPlans), i.demand, i.log)
		i.addDuty("orders", i.settings.OrderPeriod(), desk.Reconcile)
	}
	if i.settings.UsageAddress() != "" {
		desk := usage.NewReporter(i.incarnation, i.settings.UsageAddress(), i.ledger, i.store, i.platform, i.collect, i.log)
		i.addDuty("usage", usagePeriod, desk.ReportNext)
	}
	if i.settings.WeightsAddress() != "" {
		desk := weights.NewUpdater(i.settings.WeightsAddress(), i.platform, i.backends, i.modelServices, i.engines, i.log)
		i.addDuty("weights", weightsPeriod, desk.Update)
	}
}

func (i *Instance) addDuty(name string, period time.Duration, act duty.Work) {
	eligible := func(now time.Time) bool { return i.members.IsAmongFirst(now, "duty/"+name, candidates) }
	i.duties = append(i.duties, duty.NewRunner(name, i.incarnation, i.settings.LeaseTTL(), i.settings.LeaseMargin(),
		flightGrace, i.store, eligible, period, act, i.timers, i.log))
}

func (i *Instance) modelServices() []string {
	var names []string
	for name, s := range i.view.Current().Services() {
		if s.Kind() == profile.Model {
			names = append(names, name)
		}
	}
	return names
}

func (i *Instance) engines(service string) []fleet.Server {
	return i.fleet.Servers(time.Now(), service, 1)
}

// demand is the state of each service for the planner.
func (i *Instance) demand(now time.Time) []order.Demand {
	waiting := i.forwarder.WaitingByService()
	var out []order.Demand
	for name, s := range i.view.Current().Services() {
		busy := float64(waiting[name])
		current := map[string]int{}
		for _, server := range i.fleet.Servers(now, name, s.Slots()) {
			busy += server.EstimatedLoad()
			current[server.FailureDomain()]++
		}
		out = append(out, order.NewDemand(name, busy, s.Slots(), current))
	}
	return out
}

// collect asks every known instance for its figures of a window.
func (i *Instance) collect(ctx context.Context, window uint64) []usage.InstanceUsage {
	self := i.members.Self()
	out := []usage.InstanceUsage{usage.NewInstanceUsage(self.Name(), i.ledger.Counters(window), false)}
	var mu sync.Mutex
	var group sync.WaitGroup
	for _, m := range i.members.Others(time.Now()) {
		group.Go(func() {
			counters, err := i.collectOne(ctx, m, window)
			mu.Lock()
			defer mu.Unlock()
			out = append(out, usage.NewInstanceUsage(m.Name(), counters, err != nil))
		})
	}
	group.Wait()
	return out
}

func (i *Instance) collectOne(ctx context.Context, m peer.Member, window uint64) ([]peer.UsageCounter, error) {
	return i.clients.Usage(ctx, m.PeersAddress(), window)
}
