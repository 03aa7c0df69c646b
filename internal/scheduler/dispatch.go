package scheduler

import (
	"cmp"
	"context"
	"slices"
	"time"

	"cactusspoke/internal/batch"
	"cactusspoke/internal/http1"
	"cactusspoke/internal/pool"

	"go.uber.org/zap"
)

// schedule starts queued items on engines with free slots and migrates slow
// runs.
func (s *Scheduler) schedule(now time.Time) {
	table := s.View.Table()
	if table == nil {
		return
	}
	s.applyReports()
	s.updateUrgency(now)
	software := softwareCache{}
	byService := map[string][]queuedItem{}
	tasks := make([]*task, 0, s.unfinishedItems())
	running := map[string][]*task{}
	for _, j := range s.jobs {
		for _, t := range j.tasks {
			if t.state != taskQueued && t.state != taskRunning {
				continue
			}
			route, ok := table.Match(j.spec.Host, t.item.Path)
			if !ok {
				continue
			}
			service := route.PickService(0.5)
			t.regions = table.AllowedRegions(route, j.spec.Customer)
			if t.state == taskRunning {
				running[service] = append(running[service], t)
				continue
			}
			if t.output.events > 0 && software.lacks(s.Pool, service, t.output.software) {
				s.startOver(t, "version-gone", now)
			}
			byService[service] = append(byService[service], queuedItem{
				index: len(tasks), priority: j.priority, due: j.due, carried: t.carried, expected: s.remainingTime(t),
				urgency: t.urgency, groupWork: t.groupWork, minVersion: j.spec.MinVersion,
				resumes: t.output.events > 0, software: t.output.software, regions: t.regions,
			})
			tasks = append(tasks, t)
		}
	}
	for service, list := range running {
		s.servicePeaks.record(service, len(list)+len(byService[service]), now)
	}
	for service, list := range running {
		p := s.newPlacement(service, now)
		bias := s.sampleLatencies(list, p, now)
		s.migrateSlowRuns(list, p, len(byService[service]) > 0, bias, now)
	}
	for service, queued := range byService {
		if len(running[service]) == 0 {
			s.servicePeaks.record(service, len(queued), now)
		}
		p := s.newPlacement(service, now)
		s.startQueued(tasks, queued, p)
		s.preempt(tasks, queued, running[service], p)
	}
}

// unfinishedItems returns the number of items of all jobs without a committed
// result.
func (s *Scheduler) unfinishedItems() int {
	n := 0
	for _, j := range s.jobs {
		n += j.remaining
	}
	return n
}

// sampleLatencies records the latencies of running items and returns the
// measurement bias. Cold engines are measured apart, and runs that began on one say
// nothing about it once it is warm.
func (s *Scheduler) sampleLatencies(running []*task, p *placement, now time.Time) float64 {
	var slowdowns []float64
	for _, t := range running {
		if msPerEvent, base := t.run.msPerEvent(now), s.latencies.baseline(t.run.server.ID, now); msPerEvent > 0 && base > 0 && !t.run.cold {
			slowdowns = append(slowdowns, msPerEvent/base)
		}
	}
	bias := measurementBias(slowdowns)
	for _, t := range running {
		if msPerEvent := t.run.msPerEvent(now); msPerEvent > 0 && now.Sub(t.latencySampledAt) >= latencySampleInterval {
			t.latencySampledAt = now
			switch {
			case p.cold(t.run.server.ID):
				s.latencies.recordCold(t.run.server.ID, msPerEvent/bias)
			case !t.run.cold:
				s.latencies.record(t.run.server.ID, now, msPerEvent/bias)
			}
		}
	}
	return bias
}

// migrateSlowRuns cancels runs on slow engines if a faster one has a free slot;
// the outputs are resumed there. While other items are queued, only long outputs
// migrate. bias is the factor by which measured latencies are too high.
func (s *Scheduler) migrateSlowRuns(running []*task, p *placement, othersWait bool, bias float64, now time.Time) {
	slices.SortStableFunc(running, func(a, b *task) int {
		return cmp.Or(cmp.Compare(a.job.priority, b.job.priority), cmp.Compare(b.expectedTokens, a.expectedTokens))
	})
	for _, t := range running {
		msPerEvent := s.latencies.remaining(t.run.server.ID, now, t.run.msPerEvent(now)/bias)
		events := t.run.resumedEvents + int(t.run.newEvents.Load())
		if msPerEvent == 0 || t.migratingTo != "" || othersWait && events < longOutputEvents {
			continue
		}
		targets := p.targets(t.job.spec.Model)
		i, ok := fasterTarget(msPerEvent, events, t.run.server, t.job.spec.MinVersion, t.regions, targets)
		if !ok {
			continue
		}
		destination := targets[i]
		s.Log.Info("item: moved to a faster engine", zap.String("id", t.item.ID), zap.String("job", t.job.spec.ID), zap.String("server", t.run.server.ID),
			zap.Float64("speed", msPerEvent), zap.String("to", destination.id), zap.Float64("expected", destination.msPerEvent))
		destination.slots.take()
		t.migratingTo = destination.id
		t.cancel()
	}
}

// startQueued starts queued items on engines with free slots.
func (s *Scheduler) startQueued(tasks []*task, queued []queuedItem, p *placement) {
	if !p.anyFreeSlot() {
		return
	}
	sortQueue(queued)
	orderPostponed(tasks, queued)
	outlook := s.prefills.Outlook(p.now)
	for _, next := range queued {
		t := tasks[next.index]
		targets := p.targets(t.job.spec.Model)
		if next.resumes && givesUpOutput(next, t.output.events, p.now.Sub(t.queuedAt), s.latencies.average(), targets) {
			s.startOver(t, "waited", p.now)
			next.resumes = false
		}
		expected := s.expectPrefill(t, next, targets, outlook, p.now)
		if s.postpone(t, next, expected, p.service, p.now) {
			continue
		}
		next.preferred = s.preferByPrefill(t, p.service, targets, expected)
		for _, a := range assign([]queuedItem{next}, targets) {
			s.startRun(tasks[a.index], a.server)
			outlook = s.prefills.Outlook(p.now)
		}
	}
}

// pendingMigrations returns how many items are migrating to each engine.
func (s *Scheduler) pendingMigrations() map[string]int {
	out := map[string]int{}
	for _, j := range s.jobs {
		for _, t := range j.tasks {
			if t.migratingTo != "" {
				out[t.migratingTo]++
			}
		}
	}
	return out
}

// startRun runs a task on a server.
func (s *Scheduler) startRun(t *task, server string) {
	handle, ok := s.Pool.AcquireServer(server)
	if !ok {
		return
	}
	if t.output.events > 0 && t.output.software != handle.Server().Software {
		s.Log.Warn("item: not resumed at an engine of another software version", zap.String("id", t.item.ID), zap.String("server", server))
		handle.Release(pool.Abandoned)
		return
	}
	expected := s.latencies.expected(server, time.Now())
	if handle.Cold() {
		expected = s.latencies.expectedCold(server, time.Now())
	}
	ctx, cancel := context.WithCancel(s.ctx)
	t.state = taskRunning
	t.cancel = cancel
	t.run = &run{
		headers: s.Headers, client: s.Backends, job: t.job.spec, item: t.item, server: handle.Server(),
		cold: handle.Cold(), eventTimeout: eventTimeoutFor(expected, t.timeouts),
		deadline: t.job.deadline, priority: min(lowestEnginePriority, defaultEnginePriority+t.job.priority), singleVersion: t.job.singleVersion, output: t.output, resumedEvents: t.output.events,
		budget: s.outputs, maxOutput: s.maxOutput,
	}
	if t.carried {
		t.run.priority--
	}
	s.Log.Info("item: placed", zap.String("id", t.item.ID), zap.String("job", t.job.spec.ID), zap.String("server", handle.Server().ID),
		zap.Int64("version", handle.Server().Models[t.job.spec.Model]), zap.String("software", handle.Server().Software), zap.String("begun-at", t.output.software), zap.Int("events", t.output.events), zap.Int("hint", t.expectedTokens),
		zap.Bool("carried", t.carried), zap.Bool("cold", handle.Cold()), zap.Duration("until-due", time.Until(t.job.due)))
	s.countResumption(t.output, handle.Server())
	t.run.prefill = s.prefills.Begin(server, t.runPrompt(), handle.Server().Models[t.job.spec.Model], t.job.objective, time.Now())
	r := t.run
	r.answered = func(response *http1.Response) { s.reportEngineLoad(handle, response) }
	go func() {
		o := r.execute(ctx)
		cancel()
		s.post(func() { s.handleRunEnd(t, r, handle, o) })
	}()
}

// countResumption counts runs that go on with an output, by whether the software version
// is the one that began it.
func (s *Scheduler) countResumption(o *output, server pool.Server) {
	switch {
	case o.events == 0:
	case o.software == "":
		s.Metrics.Inc("resumed_runs_total", "software", "unknown")
	case o.software == server.Software:
		s.Metrics.Inc("resumed_runs_total", "software", "same")
	default:
		s.Metrics.Inc("resumed_runs_total", "software", "other")
	}
}

// handleRunEnd updates a task and the state of its engine after a run.
func (s *Scheduler) handleRunEnd(t *task, r *run, handle *pool.Handle, o outcome) {
	e := s.latencies.get(handle.Server().ID)
	now := time.Now()
	s.Metrics.Inc("runs_total", "outcome", o.String())
	r.prefill.End(now)
	if took, kind, ok := r.prefill.Result(); ok {
		s.Metrics.Observe("first_event", took, "prompt", kind)
	}
	t.state = taskQueued
	t.queuedAt = now
	t.run = nil
	if r.account != nil {
		r.account.Retain()
	}
	destination := t.migratingTo
	t.migratingTo = ""
	t.preempted = false
	if o != outcomeComplete && o != outcomeCanceled {
		s.Log.Info("item: run ended", zap.String("id", t.item.ID), zap.String("job", t.job.spec.ID), zap.String("server", handle.Server().ID),
			zap.Stringer("outcome", o), zap.String("reason", r.reason), zap.Int("events", t.output.events))
	}
	switch o {
	case outcomeComplete:
		handle.Release(pool.Served)
		t.complete = true
	case outcomeInterrupted:
		handle.Release(pool.Failed)
		if r.timedOut && r.newEvents.Load() > 0 {
			t.timeouts++
		}
		e.backoffUntil = now.Add(interruptedBackoff)
	case outcomeRefused:
		handle.Release(pool.Abandoned)
		e.backoffUntil = now.Add(refusedBackoff)
	case outcomeStale:
		handle.Release(pool.Abandoned)
		e.backoffUntil = now.Add(refusedBackoff)
	case outcomeMisdirected:
		handle.Release(pool.Misdirected)
	case outcomeFailed, outcomeInvalid:
		handle.Release(pool.Abandoned)
		t.failures++
	case outcomeCanceled:
		handle.Release(pool.Abandoned)
	}
	if t.job.ended {
		s.retainOutput(t)
		return
	}
	s.applyConfiguration()
	switch {
	case t.complete:
		s.scoreOrFinish(t)
	case o == outcomeCanceled && destination != "":
		s.startRun(t, destination)
	case o == outcomeInvalid || t.failedTooOften():
		s.Log.Info("item: given up", zap.String("id", t.item.ID), zap.String("job", t.job.spec.ID), zap.Stringer("outcome", o), zap.Int("failures", t.failures),
			zap.Int("max-attempts", t.job.maxAttempts), zap.Int64("configuration", s.View.Table().Version()))
		s.finishItem(t, batch.Result{ID: t.item.ID})
	}
}
