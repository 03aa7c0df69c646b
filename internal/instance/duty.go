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

// Intervals and limits of the duties.
const (
	dutyCandidateCount  = 3
	usageInterval       = 500 * time.Millisecond
	weightsInterval     = 500 * time.Millisecond
	shrinkPatiencePlans = 5
	// inFlightGrace is the maximum time an order may be in transit.
	inFlightGrace = time.Second
)

// buildDuties sets up the duties whose platform addresses are in the settings.
func (i *Instance) buildDuties() {
	if i.settings.OrdersAddress() != "" {
		controller := order.NewController(i.incarnation, i.settings.OrdersAddress(), i.store, i.platform,
			order.NewPlanner(i.settings.MaxServers(), shrinkPatiencePlans), i.demand, i.log)
		i.addDuty("orders", i.settings.OrderPeriod(), controller.Reconcile)
	}
	if i.settings.UsageAddress() != "" {
		reporter := usage.NewReporter(i.incarnation, i.settings.UsageAddress(), i.usageRecorder, i.store, i.platform, i.collectUsage, i.log)
		i.addDuty("usage", usageInterval, reporter.ReportNext)
	}
	if i.settings.WeightsAddress() != "" {
		updater := weights.NewUpdater(i.settings.WeightsAddress(), i.platform, i.backends, i.modelServices, i.engineServers, i.log)
		i.addDuty("weights", weightsInterval, updater.Update)
	}
}

func (i *Instance) addDuty(name string, period time.Duration, work duty.Work) {
	eligible := func(now time.Time) bool { return i.members.IsAmongFirst(now, "duty/"+name, dutyCandidateCount) }
	i.duties = append(i.duties, duty.NewRunner(name, i.incarnation, i.settings.LeaseTTL(), i.settings.LeaseMargin(),
		inFlightGrace, i.store, eligible, period, work, i.timers, i.log))
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

// engineServers returns the backend servers of a model service.
func (i *Instance) engineServers(service string) []fleet.Server {
	return i.fleet.Servers(time.Now(), service, 1)
}

// demand returns the load and the backend server counts of each service for the
// order planner.
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

// collectUsage requests the usage counters of a window from all known instances.
// An instance that fails to respond is marked as such in the result.
func (i *Instance) collectUsage(ctx context.Context, window uint64) []usage.InstanceUsage {
	self := i.members.Self()
	out := []usage.InstanceUsage{usage.NewInstanceUsage(self.Name(), i.usageRecorder.Counters(window), false)}
	var mu sync.Mutex
	var group sync.WaitGroup
	for _, m := range i.members.Others(time.Now()) {
		group.Go(func() {
			counters, err := i.collectUsageFrom(ctx, m, window)
			mu.Lock()
			defer mu.Unlock()
			out = append(out, usage.NewInstanceUsage(m.Name(), counters, err != nil))
		})
	}
	group.Wait()
	return out
}

func (i *Instance) collectUsageFrom(ctx context.Context, m peer.Member, window uint64) ([]peer.UsageCounter, error) {
	return i.clients.Usage(ctx, m.PeersAddress(), window)
}
