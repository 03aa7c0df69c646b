package scheduler

import (
	"testing"
	"time"

	"cactusspoke/internal/batch"
	"cactusspoke/internal/kv"
	"cactusspoke/internal/routetable"
	"cactusspoke/internal/telemetry"
	"cactusspoke/internal/walltime"

	"github.com/stretchr/testify/require"
	"go.uber.org/zap"
)

// routedScheduler returns a scheduler and a function that applies a version of the configuration
// with a route for all requests.
func routedScheduler(t *testing.T) (*Scheduler, func(version int64, route routetable.Route)) {
	var table *routetable.Table
	decoder := routetable.Decoder{ConfigKey: "config", VersionPrefix: "version/", RetirePrefix: "retire/", DecodeConfig: func([]byte) (*routetable.Table, error) { return table, nil }}
	view := routetable.NewView(decoder, zap.NewNop(), func() {})
	s := New(t.Context(), Config{View: view, Clock: walltime.New(), Metrics: telemetry.NewRegistry(), Log: zap.NewNop()})
	return s, func(version int64, route routetable.Route) {
		table = routetable.New(version, []*routetable.Route{&route}, nil, nil, routetable.Limits{})
		view.Apply([]kv.Item{{Key: "config"}})
		s.applyConfiguration()
	}
}

// TestJobFollowsConfiguration guards against a job that keeps what an old configuration said of
// its route, or nothing at all (review/12).
func TestJobFollowsConfiguration(t *testing.T) {
	s, apply := routedScheduler(t)
	apply(3, routetable.Route{Prefix: "/other/", MaxAttempts: 1})
	job := &batch.Job{ID: "j", ConfigurationVersion: 4, SubmittedAt: time.Now().UnixMilli(), Items: []batch.Item{{ID: "i", Path: "/x"}}}
	s.loading["j"] = true
	s.startJob(loadedJob{spec: job})
	require.Empty(t, s.jobs, "begun before its configuration is known")

	apply(4, routetable.Route{Prefix: "/", MaxAttempts: 3, DueAfter: time.Minute, RetryFor: time.Hour, LatencyObjective: time.Second, Priority: 2, SingleVersion: true})
	j := s.jobs["j"]
	require.NotNil(t, j)
	require.False(t, s.loading["j"])
	require.Equal(t, 3, j.maxAttempts)
	require.True(t, j.singleVersion && j.dueConfigured)

	apply(5, routetable.Route{Prefix: "/", MaxAttempts: 5, LatencyObjective: 2 * time.Second, Priority: 1})
	require.Equal(t, 5, j.maxAttempts)
	require.Equal(t, 1, j.priority)
	require.Equal(t, 2*time.Second, j.objective)
	require.False(t, j.singleVersion || j.dueConfigured)
	require.Equal(t, j.submittedAt.Add(defaultDue), j.due)

	apply(6, routetable.Route{Prefix: "/other/", MaxAttempts: 1})
	require.False(t, j.routeKnown)
	require.Equal(t, 5, j.maxAttempts, "a job whose route is gone keeps its limit")
}

// TestJobOfUnknownRoute guards against items that are given up by a job whose route is not
// known, as it may be for jobs that an earlier version accepted.
func TestJobOfUnknownRoute(t *testing.T) {
	s, apply := routedScheduler(t)
	apply(3, routetable.Route{Prefix: "/other/", MaxAttempts: 1})
	s.startJob(loadedJob{spec: &batch.Job{ID: "j", Items: []batch.Item{{ID: "i", Path: "/x"}}}})
	item := s.jobs["j"].tasks[0]
	item.failures = 1
	require.False(t, item.failedTooOften())
	apply(4, routetable.Route{Prefix: "/", MaxAttempts: 1})
	require.True(t, item.failedTooOften())
}

// TestEndOfWaitingJob guards against a job that keeps its place in memory if it ends while it
// waits for its configuration.
func TestEndOfWaitingJob(t *testing.T) {
	s, apply := routedScheduler(t)
	apply(3, routetable.Route{Prefix: "/"})
	job := &batch.Job{ID: "j", ConfigurationVersion: 4, Items: []batch.Item{{ID: "i", Path: "/x"}}}
	s.loading["j"] = true
	require.True(t, s.backlog.add(pendingJob{record: job.Record()}))
	s.startJob(loadedJob{spec: job})
	s.applyEvent(batch.Event{ID: "j", Ended: true}, true)
	s.applyConfiguration()
	require.Empty(t, s.unconfigured)
	require.Empty(t, s.loading)
	require.Zero(t, s.backlog.items)
}

// TestSingleVersionRequiredLater guards against a result of several weight versions on a route
// that requires a single one by the time it is complete.
func TestSingleVersionRequiredLater(t *testing.T) {
	tests := []struct {
		name     string
		single   bool
		versions []int64
		finished int
	}{
		{"not required", false, []int64{1, 2}, 1},
		{"one version", true, []int64{2}, 1},
		{"two versions", true, []int64{1, 2}, 0},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			s, apply := routedScheduler(t)
			apply(1, routetable.Route{Prefix: "/", SingleVersion: tt.single})
			s.startJob(loadedJob{spec: &batch.Job{ID: "j", Items: []batch.Item{{ID: "i", Path: "/x"}}}})
			item := s.jobs["j"].tasks[0]
			for _, version := range tt.versions {
				item.output.addEvent(version, []byte("text"))
			}
			item.complete = true
			s.scoreOrFinish(item)
			require.Len(t, s.jobs["j"].finished, tt.finished)
			require.Equal(t, tt.finished == 0, item.state == taskQueued && !item.complete)
		})
	}
}
