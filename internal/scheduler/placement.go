package scheduler

import (
	"time"

	"cactusspoke/internal/pool"
)

// placement is the view of a service's engines during one pass: which accept items of
// a model, and how many slots are left.
type placement struct {
	scheduler *Scheduler
	service   string
	now       time.Time
	servers   []pool.Snapshot
	slots     map[string]*engineSlots
	byModel   map[string][]target
}

// newPlacement returns the current placement of a service. Slots of items that are
// migrating to an engine count as taken.
func (s *Scheduler) newPlacement(service string, now time.Time) *placement {
	p := &placement{scheduler: s, service: service, now: now, servers: s.Pool.Servers(service), slots: map[string]*engineSlots{}, byModel: map[string][]target{}}
	reserved := s.pendingMigrations()
	for _, snapshot := range p.servers {
		used := snapshot.Running + reserved[snapshot.Server.ID]
		free := max(1, snapshot.Server.Slots) - used
		if snapshot.Evacuated {
			free = 0
		}
		if snapshot.Limited {
			free = min(free, snapshot.Allowed-reserved[snapshot.Server.ID])
		}
		p.slots[snapshot.Server.ID] = &engineSlots{free: free, running: used, limited: snapshot.Limited || snapshot.Evacuated, cold: snapshot.Cold}
	}
	return p
}

// cold reports whether an engine is cold.
func (p *placement) cold(server string) bool {
	slots, ok := p.slots[server]
	return ok && slots.cold
}

// anyFreeSlot reports whether any engine has a free slot.
func (p *placement) anyFreeSlot() bool {
	for _, slots := range p.slots {
		if slots.free > 0 {
			return true
		}
	}
	return false
}

// targets returns the engines that accept items of a model.
func (p *placement) targets(model string) []target {
	list, ok := p.byModel[model]
	if !ok {
		list = p.findTargets(model)
		p.byModel[model] = list
	}
	return list
}

func (p *placement) findTargets(model string) []target {
	var out []target
	latencies := p.scheduler.latencies
	for _, snapshot := range p.servers {
		id := snapshot.Server.ID
		e := latencies.get(id)
		if snapshot.Server.Draining || snapshot.Ejected || snapshot.Evacuated || p.now.Before(e.backoffUntil) || p.now.Before(e.loadingUntil[model]) {
			continue
		}
		expected := latencies.expectedDuringRun(id, p.now)
		if snapshot.Cold {
			expected = latencies.expectedCold(id, p.now)
		}
		out = append(out, target{
			id: id, slots: p.slots[id], version: snapshot.Server.Models[model], software: snapshot.Server.Software,
			region: p.scheduler.Regions[snapshot.Server.FailureDomain], msPerEvent: expected,
		})
	}
	return out
}
