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
	byService := map[string][]waiting{}
	tasks := make([]*task, 0, s.unfinished())
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
			service := route.PickService(0.5)
			if t.state == taskRunning {
				running[service] = append(running[service], t)
				continue
			}
			byService[service] = append(byService[service], waiting{
				index: len(tasks), priority: j.priority, due: j.due, carried: t.carried, left: t.hint, min: j.spec.MinVersion,
			})
			tasks = append(tasks, t)
		}
	}
	for service, list := range running {
		s.demand.note(service, len(list)+len(byService[service]), now)
	}
	for service, list := range running {
		late := s.observe(list, now)
		s.move(list, service, len(byService[service]) > 0, late, now)
	}
	for service, texts := range byService {
		if len(running[service]) == 0 {
			s.demand.note(service, len(texts), now)
		}
		s.startAll(tasks, texts, service, now)
	}
}

// unfinished returns how many items of all jobs are not finished.
func (s *Scheduler) unfinished() int {
	n := 0
	for _, j := range s.jobs {
		n += j.left
	}
	return n
}

// observe takes in how fast the running texts are made, and returns by what
// factor they seem slower than they are.
func (s *Scheduler) observe(running []*task, now time.Time) float64 {
	var slower []float64
	for _, t := range running {
		if speed, base := t.run.speed(now), s.speeds.of(t.run.server.ID).base; speed > 0 && base > 0 {
			slower = append(slower, speed/base)
		}
	}
	late := lag(slower)
	for _, t := range running {
		if speed := t.run.speed(now); speed > 0 && now.Sub(t.observedAt) >= observeEvery {
			t.observedAt = now
			s.speeds.measure(t.run.server.ID, now, speed/late)
		}
	}
	return late
}

// move ends runs at slow engines where a faster one has room; their texts go
// on there. While others wait for a place, only long texts move. late is the
// factor by which texts seem slower than they are.
func (s *Scheduler) move(running []*task, service string, othersWait bool, late float64, now time.Time) {
	servers := s.Pool.Servers(service)
	byModel := map[string][]place{}
	slices.SortStableFunc(running, func(a, b *task) int {
		return cmp.Or(cmp.Compare(a.job.priority, b.job.priority), cmp.Compare(b.hint, a.hint))
	})
	for _, t := range running {
		speed := t.run.speed(now) / late
		events := t.run.before + int(t.run.made.Load())
		if speed == 0 || t.movingTo != "" || othersWait && events < longText {
			continue
		}
		model := t.job.spec.Model
		if _, ok := byModel[model]; !ok {
			byModel[model] = s.places(servers, model, now)
		}
		i, ok := better(speed, events, t.run.server.ID, t.job.spec.MinVersion, byModel[model])
		if !ok {
			continue
		}
		to := byModel[model][i]
		s.Log.Info("item: moved to a faster engine", zap.String("id", t.item.ID), zap.String("job", t.job.spec.ID), zap.String("server", t.run.server.ID),
			zap.Float64("speed", speed), zap.String("to", to.id), zap.Float64("expected", to.speed))
		for _, list := range byModel {
			occupy(list, to.id)
		}
		t.movingTo = to.id
		t.cancel()
	}
}

// startAll begins waiting texts at engines with room.
func (s *Scheduler) startAll(tasks []*task, texts []waiting, service string, now time.Time) {
	servers := s.Pool.Servers(service)
	if !anyRoom(servers) {
		return
	}
	rank(texts)
	byModel := map[string][]place{}
	for _, text := range texts {
		model := tasks[text.index].job.spec.Model
		if _, ok := byModel[model]; !ok {
			byModel[model] = s.places(servers, model, now)
		}
		for _, a := range assign([]waiting{text}, byModel[model]) {
			s.begin(tasks[a.index], a.server)
			for other, list := range byModel {
				if other != model {
					occupy(list, a.server)
				}
			}
		}
	}
}

// anyRoom tells whether any engine has a free slot.
func anyRoom(servers []pool.Snapshot) bool {
	return slices.ContainsFunc(servers, func(s pool.Snapshot) bool { return s.Running < max(1, s.Server.Slots) })
}

// occupy takes a slot of an engine.
func occupy(places []place, server string) {
	for i := range places {
		if places[i].id == server {
			places[i].free--
			places[i].running++
		}
	}
}

// places returns the engines with room for a model's texts.
func (s *Scheduler) places(servers []pool.Snapshot, model string, now time.Time) []place {
	var out []place
	reserved := s.reserved()
	for _, snapshot := range servers {
		e := s.speeds.of(snapshot.Server.ID)
		if snapshot.Server.Draining || snapshot.Ejected || now.Before(e.coldUntil) || now.Before(e.loads[model]) {
			continue
		}
		used := snapshot.Running + reserved[snapshot.Server.ID]
		out = append(out, place{
			id: snapshot.Server.ID, free: max(1, snapshot.Server.Slots) - used, running: used,
			version: snapshot.Server.Models[model], speed: s.speeds.expected(snapshot.Server.ID, now),
		})
	}
	return out
}

// reserved returns how many texts are on their way to each engine.
func (s *Scheduler) reserved() map[string]int {
	out := map[string]int{}
	for _, j := range s.jobs {
		for _, t := range j.tasks {
			if t.movingTo != "" {
				out[t.movingTo]++
			}
		}
	}
	return out
}

// begin runs a task at a server.
func (s *Scheduler) begin(t *task, server string) {
	handle, ok := s.Pool.AcquireServer(server)
	if !ok {
		return
	}
	ctx, cancel := context.WithCancel(s.ctx)
	t.state = taskRunning
	t.cancel = cancel
	t.run = &run{
		headers: s.Headers, client: s.Backends, job: t.job.spec, item: t.item, server: handle.Server(),
		until: t.job.until, priority: min(engineLowest, enginePriority+t.job.priority), single: t.job.single, text: t.text, before: t.text.events,
	}
	if t.carried {
		t.run.priority--
	}
	s.Log.Info("item: placed", zap.String("id", t.item.ID), zap.String("job", t.job.spec.ID), zap.String("server", handle.Server().ID),
		zap.Int64("version", handle.Server().Models[t.job.spec.Model]), zap.Int("events", t.text.events), zap.Int("hint", t.hint),
		zap.Bool("carried", t.carried), zap.Duration("until-due", time.Until(t.job.due)))
	r := t.run
	go func() {
		o := r.do(ctx)
		cancel()
		s.post(func() { s.ran(t, r, handle, o) })
	}()
}

// ran takes in the end of a run.
func (s *Scheduler) ran(t *task, r *run, handle *pool.Handle, o outcome) {
	e := s.speeds.of(handle.Server().ID)
	now := time.Now()
	s.Figures.Count("runs_total", "outcome", o.String())
	t.state = taskWaiting
	t.run = nil
	to := t.movingTo
	t.movingTo = ""
	if o != outcomeWhole && o != outcomeStopped {
		s.Log.Info("item: run ended", zap.String("id", t.item.ID), zap.String("job", t.job.spec.ID), zap.String("server", handle.Server().ID),
			zap.Stringer("outcome", o), zap.String("reason", r.reason), zap.Int("events", t.text.events))
	}
	switch o {
	case outcomeWhole:
		handle.Release(pool.Served)
		t.whole = true
	case outcomeBroken:
		handle.Release(pool.Failed)
		e.coldUntil = now.Add(brokenPause)
	case outcomeNotRun:
		handle.Release(pool.Abandoned)
		e.coldUntil = now.Add(refusedPause)
	case outcomeStale:
		handle.Release(pool.Abandoned)
		e.coldUntil = now.Add(refusedPause)
	case outcomeMoved:
		handle.Release(pool.Misdirected)
	case outcomeFailed, outcomeInvalid:
		handle.Release(pool.Abandoned)
		t.failures++
	case outcomeStopped:
		handle.Release(pool.Abandoned)
	}
	if t.job.ended {
		s.keep(t)
		return
	}
	switch {
	case t.whole:
		s.finishText(t)
	case o == outcomeStopped && to != "":
		s.begin(t, to)
	case o == outcomeInvalid || t.failures >= t.job.tries:
		s.Log.Info("item: given up", zap.String("id", t.item.ID), zap.String("job", t.job.spec.ID), zap.Stringer("outcome", o), zap.Int("failures", t.failures))
		s.finish(t, batch.Result{ID: t.item.ID})
	}
}
