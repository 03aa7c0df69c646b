package scheduler

import (
	"cmp"
	"slices"
	"time"

	"cactusspoke/internal/pool"
	"cactusspoke/internal/routetable"
)

const (
	// batchSlowdown is the share by which each running item raises an engine's
	// latency per event, since engines slow down as their batch grows.
	batchSlowdown = 0.007
	// staleWeightsPenalty is the share by which older weights raise an engine's
	// score, since the trainer prefers output of the newest version.
	staleWeightsPenalty = 0.05
	// minMeasuredEvents is the number of events before a run's latency is used.
	minMeasuredEvents = 4
	// longMigrationRatio is how many times slower than on the best free engine a
	// long output must be to migrate there. Migration repeats the prefill, which
	// takes some 20 ms.
	longMigrationRatio = 1.22
	// longOutputEvents is the length from which an output counts as long. A step
	// waits for its long outputs; shorter ones end soon on any engine.
	longOutputEvents = 30
	// shortMigrationRatio is longMigrationRatio for shorter outputs.
	shortMigrationRatio = 2.2
	// minBias is the median slowdown from which measurements are assumed to be
	// distorted by the delay of the scheduler itself. A slowdown beyond maxBias is
	// attributed to the engines.
	minBias = 1.12
	maxBias = 1.6
	// minBiasSamples is the number of running items needed to detect the bias.
	minBiasSamples = 5
	// stallFactor is the number of mean event intervals without an event after
	// which the current wait counts as the run's latency.
	stallFactor = 3
)

// queuedItem is the placement policy's view of an item that is not running.
type queuedItem struct {
	// index identifies the item to the caller.
	index int
	// priority is the priority of the job's route or customer; 0 is the highest.
	priority int
	due      time.Time
	// carried means that the item's group is carried over from an earlier step; the
	// trainer waits for all such groups.
	carried bool
	// expected is the time that the rest of the output is expected to take.
	expected time.Duration
	// urgency and groupWork are those of the item's group.
	urgency   urgency
	groupWork time.Duration
	// minVersion is the oldest acceptable weight version.
	minVersion int64
	// resumes means that the item goes on with a part of its output, which only engines
	// of the software version that began it can do.
	resumes  bool
	software string
	// regions are those whose engines may run the item.
	regions routetable.RegionSet
	// preferred says which engines to prefer because of prefill in progress; nil if it makes no
	// difference.
	preferred []bool
}

// runsOn reports whether the item may run on an engine.
func (q queuedItem) runsOn(t target) bool {
	return t.version >= q.minVersion && q.regions.Allows(t.region) && (!q.resumes || t.software == q.software)
}

// engineSlots counts the items on an engine during one pass of the scheduler. The
// targets of all models share it.
type engineSlots struct {
	free    int
	running int
	// limited means that the engine takes a limited rate of requests or none, so that a
	// slot that becomes free does not admit another item.
	limited bool
	// cold means that the engine is cold, and therefore slower than usual.
	cold bool
}

// take counts one more running item.
func (e *engineSlots) take() {
	e.free--
	e.running++
}

// target is the placement policy's view of an engine for the items of one model.
type target struct {
	id    string
	slots *engineSlots
	// version is the loaded weight version of the item's model.
	version int64
	// software is the version of the engine's software.
	software string
	// region is that of the engine's failure domain; empty if it is not known.
	region string
	// msPerEvent is the expected latency per event in milliseconds.
	msPerEvent float64
}

// assignment places a queued item on a server.
type assignment struct {
	index  int
	server string
}

// startBy returns when the item must start to be complete when it is due.
func (q queuedItem) startBy() time.Time { return q.due.Add(-q.expected) }

// sortQueue sorts queued items. Those of groups that are needed come first, by the
// time at which they must start, so that a long output of a later step goes before a
// short one of an earlier step. Then come dropped groups, those with the least work
// first, and then groups that no trainer waits for.
func sortQueue(items []queuedItem) {
	slices.SortStableFunc(items, func(a, b queuedItem) int {
		if a.urgency != b.urgency {
			return cmp.Compare(a.urgency, b.urgency)
		}
		if a.urgency == urgencyNeeded {
			return cmp.Or(a.startBy().Compare(b.startBy()), cmp.Compare(a.priority, b.priority), trueFirst(a.carried, b.carried))
		}
		return cmp.Or(cmp.Compare(a.groupWork, b.groupWork), cmp.Compare(a.priority, b.priority), a.due.Compare(b.due))
	})
}

// assign places items, in their order, on the servers with the lowest expected
// latency, and updates the slots of targets. Items that fit nowhere are skipped.
func assign(items []queuedItem, targets []target) []assignment {
	var out []assignment
	newest := int64(0)
	for _, p := range targets {
		newest = max(newest, p.version)
	}
	for _, t := range items {
		best := -1
		score := 0.0
		for i, p := range targets {
			if p.slots.free <= 0 || !t.runsOn(p) || t.preferred != nil && !t.preferred[i] {
				continue
			}
			expected := p.msPerEvent * (1 + batchSlowdown*float64(p.slots.running))
			if p.version < newest {
				expected *= 1 + staleWeightsPenalty
			}
			if best < 0 || expected < score {
				best, score = i, expected
			}
		}
		if best < 0 {
			continue
		}
		targets[best].slots.take()
		out = append(out, assignment{t.index, targets[best].id})
	}
	return out
}

// measurementBias returns the factor by which measured latencies are too high.
// slowdowns holds the ratio of measured latency to engine baseline for each
// running item. If most items are slow at once, the delay of the scheduler
// itself is the likely cause.
func measurementBias(slowdowns []float64) float64 {
	if len(slowdowns) < minBiasSamples {
		return 1
	}
	slices.Sort(slowdowns)
	median := slowdowns[len(slowdowns)/2]
	if median < minBias {
		return 1
	}
	return min(median, maxBias)
}

// fasterTarget returns the index of the best target on which a running output
// would be generated sufficiently faster to justify migration.
func fasterTarget(msPerEvent float64, events int, current pool.Server, minVersion int64, regions routetable.RegionSet, targets []target) (int, bool) {
	best := -1
	score := msPerEvent / longMigrationRatio
	if events < longOutputEvents {
		score = msPerEvent / shortMigrationRatio
	}
	for i, p := range targets {
		if p.id == current.ID || p.software != current.Software || p.slots.free <= 0 || p.version < minVersion || !regions.Allows(p.region) {
			continue
		}
		if expected := p.msPerEvent * (1 + batchSlowdown*float64(p.slots.running)); expected < score {
			best, score = i, expected
		}
	}
	return best, best >= 0
}
