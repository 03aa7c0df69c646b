package scheduler

import (
	"cmp"
	"slices"
	"time"
)

const (
	// certainShare is the share of the expected length of an output that it almost
	// surely needs. A group counts as late only if that does not fit, since expected
	// lengths are often far off.
	certainShare = 0.6
	// lateCost multiplies the cost of a late group, which earns less than one in time.
	lateCost = 2.5
	// slotEfficiency is the share of the slots' time that items can use. The rest is
	// lost between two items and to outputs that are longer than expected.
	slotEfficiency = 0.9
	// overdueShare is the expected rest of an output that has exceeded its expected
	// length, relative to the length so far.
	overdueShare = 0.25
	// fairnessFloor is the weight of a group's cost if the groups of its model were
	// never in time lately. The lower it is, the sooner others are dropped instead.
	fairnessFloor = 0.2
	// priorityCost is the share by which each level of priority raises the cost of a
	// group, so that less urgent ones are dropped first.
	priorityCost = 0.15
	// brokenStepCost multiplies the cost of the groups of a job that has lost another
	// group: its trainer waits for its deadline anyway.
	brokenStepCost = 3
	// minLengthSamples is the number of finished outputs after which their lengths
	// replace assumedEventsPerToken.
	minLengthSamples = 20
	// assumedEventsPerToken is the number of events for each expected token.
	assumedEventsPerToken = 1.0 / 60
	// itemOverhead is the slot time of an item besides its events: the prefill and the
	// time until the slot has its next item.
	itemOverhead = 60 * time.Millisecond
	// preemptionSlack is how long before the time at which an item must start it may
	// preempt others.
	preemptionSlack = 300 * time.Millisecond
	// maxPreemptions bounds how often one item is preempted.
	maxPreemptions = 1
	// minPreemptionGain is the least remaining time of a run that is preempted, since
	// resuming it repeats the prefill.
	minPreemptionGain = 400 * time.Millisecond
	// selectionInterval is the time between two selections of groups.
	selectionInterval = 100 * time.Millisecond
	// onTimeSlack is how long after the due time a group still counts as in time.
	onTimeSlack = 500 * time.Millisecond
	// onTimeSmoothing is the weight of one group in the share of groups in time.
	onTimeSmoothing = 0.1
)

// urgency is what can still be gained by finishing a group.
type urgency int

const (
	// urgencyNeeded means that the group should be complete when it is due, or as soon
	// as possible if that has become impossible: its trainer waits for it.
	urgencyNeeded urgency = iota
	// urgencyDropped means that the trainer waits for the group, but the engines cannot
	// run all such groups.
	urgencyDropped
	// urgencySpare means that the trainer does not wait for the group.
	urgencySpare
)

// pendingGroup is an incomplete group of items.
type pendingGroup struct {
	model string
	// priority is the priority of the job; 0 is the highest.
	priority int
	due      time.Time
	carried  bool
	// work is the slot time that its remaining items need.
	work time.Duration
	// longest is the time that its longest item needs.
	longest time.Duration
	// job numbers the job, and needed is how many groups of it the trainer still waits
	// for; negative if it waits for all.
	job    int
	needed int
}

// late reports whether the group cannot be complete in time any more.
func (g pendingGroup) late(now time.Time) bool {
	return now.Add(time.Duration(certainShare * float64(g.longest))).After(g.due.Add(onTimeSlack))
}

// finishBy returns when the group should be complete: in time, or else as soon as its
// longest item allows.
func (g pendingGroup) finishBy(now time.Time) time.Time {
	if g.late(now) {
		return now.Add(g.longest + onTimeSlack)
	}
	return g.due.Add(onTimeSlack)
}

// selectGroups decides which groups the engines can run, given the number of slots. onTimeShare holds, by model, the recent share of groups that
// were complete in time.
//
// Load pattern: trainers that submit steps faster than the engines run them. Working
// on the oldest step first makes all steps late. As in Moore and Hodgson's algorithm,
// groups are added in the order in which they are due, and whenever they do not fit,
// the most expensive one so far is dropped.
func selectGroups(now time.Time, groups []pendingGroup, slots int, onTimeShare map[string]float64) []urgency {
	out := make([]urgency, len(groups))
	markSpare(groups, out)
	order := make([]int, 0, len(groups))
	broken := map[int]bool{}
	for i, g := range groups {
		if out[i] != urgencySpare {
			order = append(order, i)
			broken[g.job] = broken[g.job] || g.late(now)
		}
	}
	slices.SortStableFunc(order, func(a, b int) int { return groups[a].finishBy(now).Compare(groups[b].finishBy(now)) })
	var kept []int
	var work time.Duration
	for _, i := range order {
		kept = append(kept, i)
		work += groups[i].work
		room := time.Duration(slotEfficiency * float64(slots) * float64(groups[i].finishBy(now).Sub(now)))
		for work > room && len(kept) > 0 {
			worst := mostExpensive(now, groups, kept, broken, onTimeShare)
			work -= groups[kept[worst]].work
			out[kept[worst]] = urgencyDropped
			broken[groups[kept[worst]].job] = true
			kept = slices.Delete(kept, worst, worst+1)
		}
	}
	return out
}

// markSpare marks the groups that a trainer does not wait for. Those that are
// carried over from an earlier step are always needed, then those that take the
// least time.
func markSpare(groups []pendingGroup, out []urgency) {
	byJob := map[int][]int{}
	for i, g := range groups {
		if g.needed >= 0 {
			byJob[g.job] = append(byJob[g.job], i)
		}
	}
	for _, list := range byJob {
		slices.SortStableFunc(list, func(a, b int) int {
			return cmp.Or(trueFirst(groups[a].carried, groups[b].carried), cmp.Compare(groups[a].longest, groups[b].longest), cmp.Compare(groups[a].work, groups[b].work))
		})
		for n, i := range list {
			if n >= groups[i].needed && !groups[i].carried {
				out[i] = urgencySpare
			}
		}
	}
}

// mostExpensive returns the index in kept of the group to drop first: the one with
// the most work, less urgent ones before others, ones of jobs that have lost a group
// before those of whole ones, and ones of models that were served well before those
// that were not.
func mostExpensive(now time.Time, groups []pendingGroup, kept []int, broken map[int]bool, onTimeShare map[string]float64) int {
	worst, highest := 0, -1.0
	for n, i := range kept {
		g := groups[i]
		share, known := onTimeShare[g.model]
		if !known {
			share = 1
		}
		cost := float64(g.work) * (fairnessFloor + share) * (1 + priorityCost*float64(g.priority))
		if broken[g.job] {
			cost *= brokenStepCost
		}
		if g.late(now) {
			cost *= lateCost
		}
		if cost > highest {
			worst, highest = n, cost
		}
	}
	return worst
}

// lengthModel predicts the number of events of an output from its expected tokens.
type lengthModel struct {
	events, tokens float64
	samples        int
}

// record adds a finished output.
func (m *lengthModel) record(events, expectedTokens int) {
	if events > 0 && expectedTokens > 0 {
		m.events += float64(events)
		m.tokens += float64(expectedTokens)
		m.samples++
	}
}

// remaining returns the expected number of events that are left of an output.
func (m *lengthModel) remaining(expectedTokens, events int) float64 {
	ratio := assumedEventsPerToken
	if m.samples >= minLengthSamples {
		ratio = m.events / m.tokens
	}
	return max(float64(expectedTokens)*ratio-float64(events), overdueShare*float64(events), 1)
}
