package scheduler

import (
	"time"

	"cactusspoke/internal/batch"
)

const (
	// commitEvery is how long finished items are gathered before they are
	// written, unless the trainer can go on with them: each write is paid for,
	// and a trainer that has just read something pauses for half a second.
	commitEvery = time.Second
	// commitBytes is how many bytes of texts are gathered at most: they are
	// held in memory several times while they are written and read.
	commitBytes = 128 << 10
	// commitSoon is how long they are gathered around the job's due time.
	commitSoon = 50 * time.Millisecond
	// dueSpan is the time around the due time in which results are not kept
	// waiting.
	dueSpan = 800 * time.Millisecond
)

// groups counts the complete groups of a job. The trainer goes on when enough
// of them are complete, and with them all those carried over from an earlier
// step.
type groups struct {
	wanted   int
	left     map[string]int
	carried  map[string]bool
	complete int
	open     int
}

// newGroups returns the groups of a job, of which nothing is finished yet.
func newGroups(job *batch.Job) *groups {
	g := &groups{wanted: job.WantedGroups, left: map[string]int{}, carried: map[string]bool{}}
	for i := range job.Items {
		g.left[job.Items[i].Group]++
	}
	return g
}

// carry notes that a group comes from an earlier step.
func (g *groups) carry(group string) {
	if !g.carried[group] && g.left[group] > 0 {
		g.carried[group] = true
		g.open++
	}
}

// finish notes a finished item and tells whether it lets the trainer go on.
func (g *groups) finish(group string) bool {
	g.left[group]--
	if g.left[group] != 0 {
		return false
	}
	g.complete++
	if g.carried[group] {
		g.open--
	}
	return g.enough()
}

// enough tells whether the trainer can go on.
func (g *groups) enough() bool { return g.wanted > 0 && g.complete >= g.wanted && g.open == 0 }

// commitWait returns how long finished items of a job may be gathered.
func commitWait(now, due time.Time, size int, decisive bool) time.Duration {
	if decisive || size >= commitBytes {
		return 0
	}
	if now.After(due.Add(-dueSpan)) && now.Before(due.Add(dueSpan)) {
		return commitSoon
	}
	return commitEvery
}
