package scheduler

import (
	"time"

	"cactusspoke/internal/batch"
)

const (
	// commitDelay is how long finished items are collected into one commit
	// unless they let the trainer continue. The store bills each write, and a
	// trainer that has just read results waits half a second before it reads on.
	commitDelay = time.Second
	// commitMaxBytes of collected outputs are committed without delay, since
	// several copies are in memory while they are written and read.
	commitMaxBytes = 128 << 10
	// incompleteGroupDelay replaces commitDelay while none of the collected results
	// completes a group, since a trainer uses whole groups only.
	incompleteGroupDelay = 2 * commitDelay
	// commitDelayNearDue replaces commitDelay near the job's due time.
	commitDelayNearDue = 50 * time.Millisecond
	// dueWindow is how far before and after the due time commitDelayNearDue
	// applies.
	dueWindow = 800 * time.Millisecond
)

// groupTracker counts the complete groups of a job. The trainer continues when
// the wanted number of groups is complete, including every group carried over
// from an earlier step.
type groupTracker struct {
	// wanted is 0 if the trainer waits for no particular number of groups.
	wanted int
	// remaining counts the unfinished items by group.
	remaining map[string]int
	carried   map[string]bool
	complete  int
	// carriedOpen counts the incomplete groups that were carried over.
	carriedOpen int
}

// newGroupTracker returns a tracker for a job without finished items.
func newGroupTracker(job *batch.Job) *groupTracker {
	g := &groupTracker{wanted: job.WantedGroups, remaining: map[string]int{}, carried: map[string]bool{}}
	for i := range job.Items {
		g.remaining[job.Items[i].Group]++
	}
	return g
}

// markCarried marks a group as carried over from an earlier step.
func (g *groupTracker) markCarried(group string) {
	if !g.carried[group] && g.remaining[group] > 0 {
		g.carried[group] = true
		g.carriedOpen++
	}
}

// finishItem counts a finished item and returns what the trainer can do with its result.
func (g *groupTracker) finishItem(group string) commitUrgency {
	g.remaining[group]--
	if g.remaining[group] != 0 {
		if g.wanted > 0 {
			return commitIncomplete
		}
		return commitUsable
	}
	g.complete++
	if g.carried[group] {
		g.carriedOpen--
	}
	if g.satisfied() {
		return commitUnblocks
	}
	return commitUsable
}

// needed returns how many more complete groups the trainer waits for, or -1 if it
// waits for all.
func (g *groupTracker) needed() int {
	if g.wanted <= 0 {
		return -1
	}
	return max(0, g.wanted-g.complete)
}

// satisfied reports whether the trainer can continue.
func (g *groupTracker) satisfied() bool {
	return g.wanted > 0 && g.complete >= g.wanted && g.carriedOpen == 0
}

// commitUrgency is what a trainer can do with the finished items of a commit.
type commitUrgency int

const (
	// commitIncomplete means that they complete no group that the trainer waits for.
	commitIncomplete commitUrgency = iota
	// commitUsable means that the trainer can use them, or that the job belongs to none.
	commitUsable
	// commitUnblocks means that they let the trainer continue.
	commitUnblocks
)

// commitDelayFor returns how long finished items of a job may wait for a commit.
// size is the total of their outputs in bytes.
//
// Load pattern: the outputs of a step end one by one. A trainer that reads a result of an
// incomplete group pauses for half a second before it sees the one that it waits for.
func commitDelayFor(now, due time.Time, size int, urgency commitUrgency) time.Duration {
	if urgency == commitUnblocks || size >= commitMaxBytes {
		return 0
	}
	nearDue := now.After(due.Add(-dueWindow)) && now.Before(due.Add(dueWindow))
	switch {
	case urgency == commitIncomplete && nearDue:
		return commitDelay
	case urgency == commitIncomplete:
		return incompleteGroupDelay
	case nearDue:
		return commitDelayNearDue
	}
	return commitDelay
}
