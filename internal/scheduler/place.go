package scheduler

import (
	"cmp"
	"context"
	"slices"
	"time"

	"cactusspoke/internal/batch"
	"cactusspoke/internal/pool"

	"go.uber.org/zap"
)

// schedule puts waiting texts at engines with room.
func (s *Scheduler) schedule(now time.Time) {
	table := s.View.Table()
	if table == nil {
		return
	}
	byService := map[string][]queuedItem{}
	tasks := make([]*task, 0, s.unfinishedItems())
	running := map[string][]*task{}
	for _, j := range s.jobs {
		for _, t := range j.tasks {
			if t.state != taskWaiting && t.state != taskRunning {
				continue
			}
			route, ok := table.Match(j.spec.Host, t.item.Path)
			if !ok {
				continue
			}
			service := route.Pick(0.5)
			if t.state == taskRunning {
				running[service] = append(running[service], t)
				continue
			}
			byService[service] = append(byService[service], queuedItem{
				index: len(tasks), priority: j.priority, due: j.due, carried: t.carried, expectedTokens: t.expectedTokens, minVersion: j.spec.MinVersion,
			})
			tasks = append(tasks, t)
		}
	}
	for service, list := range running {
		s.servicePeaks.record(service, len(list)+len(byService[service]), now)
	}
	for service, list := range running {
		late := s.sampleLatencies(list, now)
		s.migrateSlowRuns(list, service, len(byService[service]) > 0, late, now)
	}
	for service, texts := range byService {
		if len(running[service]) == 0 {
			s.servicePeaks.record(service, len(texts), now)
		}
		s.startQueued(tasks, texts, service, now)
	}
}

// unfinishedItems returns how many items of all jobs are not finished.
func (s *Scheduler) unfinishedItems() int {
	n := 0
	for _, j := range s.jobs {
		n += j.remaining
	}
	return n
}

// sampleLatencies takes in how fast the running texts are made, and returns by what
// factor they seem slower than they are.
func (s *Scheduler) sampleLatencies(running []*task, now time.Time) float64 {
	var slower []float64
	for _, t := range running {
		if speed, base := t.run.msPerEvent(now), s.latencies.get(t.run.server.ID).base; speed > 0 && base > 0 {
			slower = append(slower, speed/base)
		}
	}
	late := measurementBias(slower)
	for _, t := range running {
		if speed := t.run.msPerEvent(now); speed > 0 && now.Sub(t.latencySampledAt) >= latencySampleInterval {
			t.latencySampledAt = now
			s.latencies.record(t.run.server.ID, now, speed/late)
		}
	}
	return late
}

// migrateSlowRuns ends runs at slow engines where a faster one has room; their texts go
// on there. While others wait for a place, only long texts migrateSlowRuns. late is the
// factor by which texts seem slower than they are.
func (s *Scheduler) migrateSlowRuns(running []*task, service string, othersWait bool, late float64, now time.Time) {
	servers := s.Pool.Servers(service)
	byModel := map[string][]target{}
	slices.SortStableFunc(running, func(a, b *task) int {
		return cmp.Or(cmp.Compare(a.job.priority, b.job.priority), cmp.Compare(b.expectedTokens, a.expectedTokens))
	})
	for _, t := range running {
		speed := t.run.msPerEvent(now) / late
		events := t.run.resumedEvents + int(t.run.newEvents.Load())
		if speed == 0 || t.migratingTo != "" || othersWait && events < longOutputEvents {
			continue
		}
		model := t.job.spec.Model
		if _, ok := byModel[model]; !ok {
			byModel[model] = s.targets(servers, model, now)
		}
		i, ok := fasterTarget(speed, events, t.run.server.ID, t.job.spec.MinVersion, byModel[model])
		if !ok {
			continue
		}
		to := byModel[model][i]
		s.Log.Info("item: moved to a faster engine", zap.String("id", t.item.ID), zap.String("job", t.job.spec.ID), zap.String("server", t.run.server.ID),
			zap.Float64("speed", speed), zap.String("to", to.id), zap.Float64("expected", to.msPerEvent))
		for _, list := range byModel {
			takeSlot(list, to.id)
		}
		t.migratingTo = to.id
		t.cancel()
	}
}

// startQueued begins waiting texts at engines with room.
func (s *Scheduler) startQueued(tasks []*task, texts []queuedItem, service string, now time.Time) {
	servers := s.Pool.Servers(service)
	if !anyFreeSlot(servers) {
		return
	}
	sortQueue(texts)
	byModel := map[string][]target{}
	for _, text := range texts {
		model := tasks[text.index].job.spec.Model
		if _, ok := byModel[model]; !ok {
			byModel[model] = s.targets(servers, model, now)
		}
		for _, a := range assign([]queuedItem{text}, byModel[model]) {
			s.startRun(tasks[a.index], a.server)
			for other, list := range byModel {
				if other != model {
					takeSlot(list, a.server)
				}
			}
		}
	}
}

// anyFreeSlot tells whether any engine has a free slot.
func anyFreeSlot(servers []pool.Snapshot) bool {
	return slices.ContainsFunc(servers, func(s pool.Snapshot) bool { return s.Running < max(1, s.Server.Slots) })
}

// takeSlot takes a slot of an engine.
func takeSlot(places []target, server string) {
	for i := range places {
		if places[i].id == server {
			places[i].freeSlots--
			places[i].running++
		}
	}
}

// targets returns the engines with room for a model's texts.
func (s *Scheduler) targets(servers []pool.Snapshot, model string, now time.Time) []target {
	var out []target
	reserved := s.pendingMigrations()
	for _, snapshot := range servers {
		e := s.latencies.get(snapshot.Server.ID)
		if snapshot.Server.Draining || snapshot.Ejected || now.Before(e.backoffUntil) || now.Before(e.loadingUntil[model]) {
			continue
		}
		used := snapshot.Running + reserved[snapshot.Server.ID]
		out = append(out, target{
			id: snapshot.Server.ID, freeSlots: max(1, snapshot.Server.Slots) - used, running: used,
			version: snapshot.Server.Models[model], msPerEvent: s.latencies.expected(snapshot.Server.ID, now),
		})
	}
	return out
}

// pendingMigrations returns how many texts are on their way to each engine.
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

// startRun runs a task at a server.
func (s *Scheduler) startRun(t *task, server string) {
	handle, ok := s.Pool.TakeServer(server)
	if !ok {
		return
	}
	ctx, cancel := context.WithCancel(s.ctx)
	t.state = taskRunning
	t.cancel = cancel
	t.run = &run{
		headers: s.Headers, client: s.Backends, job: t.job.spec, item: t.item, server: handle.Server(),
		deadline: t.job.deadline, priority: min(lowestEnginePriority, defaultEnginePriority+t.job.priority), singleVersion: t.job.singleVersion, output: t.output, resumedEvents: t.output.events,
	}
	if t.carried {
		t.run.priority--
	}
	s.Log.Info("item: placed", zap.String("id", t.item.ID), zap.String("job", t.job.spec.ID), zap.String("server", handle.Server().ID),
		zap.Int64("version", handle.Server().Models[t.job.spec.Model]), zap.Int("events", t.output.events), zap.Int("hint", t.expectedTokens),
		zap.Bool("carried", t.carried), zap.Duration("until-due", time.Until(t.job.due)))
	r := t.run
	go func() {
		o := r.execute(ctx)
		cancel()
		s.post(func() { s.handleRunEnd(t, r, handle, o) })
	}()
}

// handleRunEnd takes in the end of a run.
func (s *Scheduler) handleRunEnd(t *task, r *run, handle *pool.Handle, o outcome) {
	e := s.latencies.get(handle.Server().ID)
	now := time.Now()
	s.Figures.Count("runs_total", "outcome", o.String())
	t.state = taskWaiting
	t.run = nil
	to := t.migratingTo
	t.migratingTo = ""
	if o != outcomeComplete && o != outcomeCanceled {
		s.Log.Info("item: run ended", zap.String("id", t.item.ID), zap.String("job", t.job.spec.ID), zap.String("server", handle.Server().ID),
			zap.Stringer("outcome", o), zap.String("reason", r.reason), zap.Int("events", t.output.events))
	}
	switch o {
	case outcomeComplete:
		handle.Done(pool.Served)
		t.complete = true
	case outcomeInterrupted:
		handle.Done(pool.Failed)
		e.backoffUntil = now.Add(interruptedBackoff)
	case outcomeRefused:
		handle.Done(pool.Abandoned)
		e.backoffUntil = now.Add(refusedBackoff)
	case outcomeStale:
		handle.Done(pool.Abandoned)
		e.backoffUntil = now.Add(refusedBackoff)
	case outcomeMisdirected:
		handle.Done(pool.Misaddressed)
	case outcomeFailed, outcomeInvalid:
		handle.Done(pool.Abandoned)
		t.failures++
	case outcomeCanceled:
		handle.Done(pool.Abandoned)
	}
	if t.job.ended {
		s.retainOutput(t)
		return
	}
	switch {
	case t.complete:
		s.scoreOrFinish(t)
	case o == outcomeCanceled && to != "":
		s.startRun(t, to)
	case o == outcomeInvalid || t.failures >= t.job.maxAttempts:
		s.Log.Info("item: given up", zap.String("id", t.item.ID), zap.String("job", t.job.spec.ID), zap.Stringer("outcome", o), zap.Int("failures", t.failures))
		s.finishItem(t, batch.Result{ID: t.item.ID})
	}
}
