package scheduler

import (
	"cactusspoke/internal/batch"
	"cactusspoke/internal/routetable"

	"go.uber.org/zap"
)

// loadedJob is a job that was read from the store.
type loadedJob struct {
	spec     *batch.Job
	results  []batch.Result
	partials map[string]batch.PartialResult
	// waits means that its wait for a configuration was logged.
	waits bool
}

// knowsConfiguration reports whether the configuration under which a job was accepted, or a
// later one, is known. The jobs and the configuration are watched separately, so that a job
// may arrive before its route.
func (s *Scheduler) knowsConfiguration(j *batch.Job) bool {
	table := s.View.Table()
	return table != nil && table.Version() >= j.ConfigurationVersion
}

// awaitConfiguration keeps a job until its configuration is known.
func (s *Scheduler) awaitConfiguration(l loadedJob) {
	if !l.waits {
		l.waits = true
		known := int64(0)
		if table := s.View.Table(); table != nil {
			known = table.Version()
		}
		s.Log.Warn("job: waits for its configuration", zap.String("id", l.spec.ID), zap.Int64("accepted-under", l.spec.ConfigurationVersion), zap.Int64("configuration", known))
		s.Metrics.Inc("jobs_before_configuration_total")
	}
	s.unconfigured = append(s.unconfigured, l)
}

// applyConfiguration starts the jobs that waited for the current configuration, and applies its
// routes to the jobs in progress.
func (s *Scheduler) applyConfiguration() {
	loaded := s.unconfigured
	s.unconfigured = nil
	for _, l := range loaded {
		s.startJob(l)
	}
	table := s.View.Table()
	if table == s.appliedTable {
		return
	}
	s.appliedTable = table
	for _, j := range s.jobs {
		s.applyRoute(j, table)
	}
}

// applyRoute sets what the route and the customer of a job determine. A job whose route is gone
// keeps what it had.
func (s *Scheduler) applyRoute(j *job, table *routetable.Table) {
	if j.path == "" {
		return
	}
	route, known := table.Match(j.spec.Host, j.path)
	if !known {
		if j.routeKnown {
			s.Log.Warn("job: its route is gone", zap.String("id", j.spec.ID), zap.Int64("configuration", table.Version()))
		}
		j.routeKnown = false
		return
	}
	j.routeKnown = true
	j.due, j.dueConfigured = j.submittedAt.Add(defaultDue), false
	if route.DueAfter > 0 {
		j.due, j.dueConfigured = j.submittedAt.Add(route.DueAfter), true
	}
	j.deadline = j.submittedAt.Add(s.JobRetention)
	if route.RetryFor > 0 {
		j.deadline = j.submittedAt.Add(route.RetryFor)
	}
	j.maxAttempts = route.MaxAttempts
	j.objective = route.LatencyObjective
	j.priority = table.Priority(route, j.spec.Customer)
	j.singleVersion = route.SingleVersion
}

// failedTooOften reports whether an item has used up the attempts of its route. It has not
// while no route of the job was ever known.
func (t *task) failedTooOften() bool {
	return t.job.maxAttempts > 0 && t.failures >= t.job.maxAttempts
}
