package scheduler

import (
	"cmp"
	"math"
	"slices"
	"time"

	"cactusspoke/internal/pool"

	"go.uber.org/zap"
)

// remainingTime returns the time that the rest of an item's output is expected to
// take on an average engine.
func (s *Scheduler) remainingTime(t *task) time.Duration {
	var events int
	if t.run != nil {
		events = t.run.resumedEvents + int(t.run.newEvents.Load())
	} else {
		events = t.output.events
	}
	return itemOverhead + time.Duration(s.lengths.remaining(t.expectedTokens, events)*s.latencies.average()*float64(time.Millisecond))
}

// groupKey identifies a group of a job.
type groupKey struct{ job, group string }

// updateUrgency decides, at most once per selectionInterval, which groups the engines
// can run.
func (s *Scheduler) updateUrgency(now time.Time) {
	if now.Sub(s.selectedAt) < selectionInterval {
		return
	}
	s.selectedAt = now
	var groups []pendingGroup
	indexes := map[groupKey]int{}
	jobs, items := 0, 0
	var work time.Duration
	for id, j := range s.jobs {
		jobs++
		for _, t := range j.tasks {
			if t.state != taskQueued && t.state != taskRunning {
				continue
			}
			key := groupKey{id, t.item.Group}
			i, ok := indexes[key]
			if !ok {
				i = len(groups)
				indexes[key] = i
				groups = append(groups, pendingGroup{model: j.spec.Model, priority: j.priority, due: j.due, job: jobs, needed: j.groups.needed()})
			}
			rest := s.remainingTime(t)
			items++
			work += rest
			groups[i].work += rest
			groups[i].longest = max(groups[i].longest, rest)
			groups[i].carried = groups[i].carried || t.carried
		}
	}
	urgencies := selectGroups(now, groups, s.slots(work/time.Duration(max(1, items))), s.onTimeShare)
	for id, j := range s.jobs {
		for _, t := range j.tasks {
			if i, ok := indexes[groupKey{id, t.item.Group}]; ok {
				t.urgency, t.groupWork = urgencies[i], groups[i].work
			}
		}
	}
}

// slots returns the number of slots of all engines that items of a mean duration can keep
// in use.
func (s *Scheduler) slots(mean time.Duration) int {
	table := s.View.Table()
	total := 0.0
	for name := range table.Services() {
		for _, server := range s.Pool.Servers(name) {
			if len(server.Server.Models) > 0 && !server.Server.Draining && !server.Ejected && !server.Evacuated {
				total += usableSlots(server, mean)
			}
		}
	}
	return int(math.Ceil(total))
}

// usableSlots returns how many slots of an engine items of a mean duration can keep in
// use: by Little's law, an engine that takes a limited rate of requests runs as many as
// begin during one.
func usableSlots(server pool.Snapshot, mean time.Duration) float64 {
	slots := float64(max(1, server.Server.Slots))
	if server.Limited {
		return min(slots, server.Rate*mean.Seconds())
	}
	return slots
}

// recordGroup records whether a group of a model was complete in time.
func (s *Scheduler) recordGroup(model string, onTime bool) {
	share, known := s.onTimeShare[model]
	if !known {
		share = 1
	}
	value := 0.0
	if onTime {
		value = 1
	}
	s.onTimeShare[model] = share + onTimeSmoothing*(value-share)
}

// preempt cancels runs whose groups were dropped, or for which no trainer waits, if
// items that must start now found no slot. The outputs are resumed later.
func (s *Scheduler) preempt(tasks []*task, queued []queuedItem, running []*task, p *placement) {
	waiting := 0
	for _, q := range queued {
		if q.urgency == urgencyNeeded && tasks[q.index].state == taskQueued && q.startBy().Sub(p.now) < preemptionSlack {
			waiting++
		}
	}
	if waiting == 0 || p.anyFreeSlot() {
		return
	}
	var victims []*task
	for _, t := range running {
		switch {
		case t.preempted || t.migratingTo != "":
			waiting--
		case p.slots[t.run.server.ID] != nil && p.slots[t.run.server.ID].limited:
		case t.state == taskRunning && t.urgency != urgencyNeeded && t.preemptions < maxPreemptions && s.remainingTime(t) > minPreemptionGain:
			victims = append(victims, t)
		}
	}
	slices.SortStableFunc(victims, func(a, b *task) int {
		return cmp.Or(cmp.Compare(b.urgency, a.urgency), cmp.Compare(s.remainingTime(b), s.remainingTime(a)))
	})
	for _, t := range victims[:max(0, min(waiting, len(victims)))] {
		s.Log.Info("item: preempted", zap.String("id", t.item.ID), zap.String("job", t.job.spec.ID), zap.String("server", t.run.server.ID),
			zap.Int("waiting", waiting), zap.Duration("remaining", s.remainingTime(t)))
		t.preempted = true
		t.preemptions++
		t.cancel()
	}
}
