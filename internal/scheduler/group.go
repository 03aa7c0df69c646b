package scheduler

import (
	"time"

	"cactusspoke/internal/batch"
)

const (
	// commitDelay is how long finished items are gathered before they are
	// written, unless the trainer can go on with them: each write is paid for,
	// and a trainer that has just read something pauses for half a second.
	commitDelay = time.Second
	// commitMaxBytes is how many bytes of texts are gathered at most: they are
	// held in memory several times while they are written and read.
	commitMaxBytes = 128 << 10
	// commitDelayNearDue is how long they are gathered around the job's due time.
	commitDelayNearDue = 50 * time.Millisecond
	// dueWindow is the time around the due time in which results are not kept
	// waiting.
	dueWindow = 800 * time.Millisecond
)

// groupTracker counts the complete groupTracker of a job. The trainer goes on when enough
// of them are complete, and with them all those carried over from an earlier
// step.
type groupTracker struct {
	wanted      int
	remaining   map[string]int
	carried     map[string]bool
	complete    int
	carriedOpen int
}

// newGroupTracker returns the groups of a job, of which nothing is finished yet.
func newGroupTracker(job *batch.Job) *groupTracker {
	g := &groupTracker{wanted: job.Wanted, remaining: map[string]int{}, carried: map[string]bool{}}
	for i := range job.Items {
		g.remaining[job.Items[i].Group]++
	}
	return g
}

// markCarried notes that a group comes from an earlier step.
func (g *groupTracker) markCarried(group string) {
	if !g.carried[group] && g.remaining[group] > 0 {
		g.carried[group] = true
		g.carriedOpen++
	}
}

// finishItem notes a finished item and tells whether it lets the trainer go on.
func (g *groupTracker) finishItem(group string) bool {
	g.remaining[group]--
	if g.remaining[group] != 0 {
		return false
	}
	g.complete++
	if g.carried[group] {
		g.carriedOpen--
	}
	return g.satisfied()
}

// satisfied tells whether the trainer can go on.
func (g *groupTracker) satisfied() bool {
	return g.wanted > 0 && g.complete >= g.wanted && g.carriedOpen == 0
}

// commitDelayFor returns how long finished items of a job may be gathered.
func commitDelayFor(now, due time.Time, size int, decisive bool) time.Duration {
	if decisive || size >= commitMaxBytes {
		return 0
	}
	if now.After(due.Add(-dueWindow)) && now.Before(due.Add(dueWindow)) {
		return commitDelayNearDue
	}
	return commitDelay
}
