package scheduler

import (
	"testing"
	"time"

	"cactusspoke/internal/batch"

	"github.com/stretchr/testify/require"
)

// TestGroupTracker checks which finished item lets the trainer continue.
func TestGroupTracker(t *testing.T) {
	job := func(wanted int, groups ...string) *batch.Job {
		j := &batch.Job{WantedGroups: wanted}
		for _, g := range groups {
			j.Items = append(j.Items, batch.Item{Group: g})
		}
		return j
	}
	tests := []struct {
		name     string
		job      *batch.Job
		carried  []string
		finished []string
		want     []bool
	}{
		{"the last item of the last wanted group", job(2, "a", "a", "b", "b", "c"), nil, []string{"a", "b", "a", "b"}, []bool{false, false, false, true}},
		{"a group beyond those wanted", job(1, "a", "b"), nil, []string{"a", "b"}, []bool{true, true}},
		{"a carried-over group is required", job(1, "a", "b"), []string{"b"}, []string{"a", "b"}, []bool{false, true}},
		{"a carried-over group counts as one of those wanted", job(2, "a", "b", "c"), []string{"b"}, []string{"b", "c"}, []bool{false, true}},
		{"a group of another job", job(1, "a"), []string{"z"}, []string{"a"}, []bool{true}},
		{"a job without wanted groups", job(0, "a"), nil, []string{"a"}, []bool{false}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			g := newGroupTracker(tt.job)
			for _, group := range tt.carried {
				g.markCarried(group)
				g.markCarried(group)
			}
			var got []bool
			for _, group := range tt.finished {
				got = append(got, g.finishItem(group))
			}
			require.Equal(t, tt.want, got)
		})
	}
}

// TestCommitDelayFor checks how long finished items wait for a commit. At the
// end of a step, outputs finish one by one, and the trainer must not wait long
// for the last ones.
func TestCommitDelayFor(t *testing.T) {
	due := start.Add(10 * time.Second)
	tests := []struct {
		name            string
		now             time.Time
		size            int
		unblocksTrainer bool
		want            time.Duration
	}{
		{"long before the due time", start, 100, false, commitDelay},
		{"a result that unblocks the trainer", start, 100, true, 0},
		{"outputs of the maximum size", start, commitMaxBytes, false, 0},
		{"shortly before the due time", due.Add(-dueWindow / 2), 100, false, commitDelayNearDue},
		{"shortly after it", due.Add(dueWindow / 2), 100, false, commitDelayNearDue},
		{"long after it", due.Add(2 * dueWindow), 100, false, commitDelay},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			require.Equal(t, tt.want, commitDelayFor(tt.now, due, tt.size, tt.unblocksTrainer))
		})
	}
}
