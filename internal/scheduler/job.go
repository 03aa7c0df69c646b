package scheduler

import (
	"errors"
	"net/http"
	"strconv"
	"time"

	"cactusspoke/internal/batch"
	"cactusspoke/internal/kv"

	"go.uber.org/zap"
)

// JobView returns the view that follows accepted and ended jobs.
func (s *Scheduler) JobView() kv.View { return jobView{s} }

type jobView struct{ s *Scheduler }

func (v jobView) Reset(items []kv.Item) { v.Apply(items) }

func (v jobView) Apply(items []kv.Item) {
	for _, item := range items {
		e, err := batch.DecodeEvent(item)
		if err != nil {
			v.s.Log.Error("job: unreadable record ignored", zap.String("key", item.Key), zap.String("reason", err.Error()))
			continue
		}
		v.s.post(func() { v.s.take(e) })
	}
}

func (v jobView) Reachable(bool) {}

// take notes what happened to a job.
func (s *Scheduler) take(e batch.Event) {
	switch {
	case e.Gone:
		delete(s.records, e.ID)
		delete(s.ended, e.ID)
	case e.Ended:
		s.ended[e.ID] = true
		s.end(e.ID)
	case e.Record.ID != "":
		s.records[e.ID] = e.Record
		if !s.loading[e.ID] && s.jobs[e.ID] == nil {
			s.loading[e.ID] = true
			// The mark of an end may follow in the same list of keys.
			go func() { s.post(func() { s.open(e.Record) }) }()
		}
	}
}

func (s *Scheduler) open(r batch.Record) {
	if s.ended[r.ID] {
		delete(s.loading, r.ID)
		return
	}
	go s.load(r)
}

// load reads a job and what was committed of it, until it succeeds.
func (s *Scheduler) load(r batch.Record) {
	for s.ctx.Err() == nil {
		spec, err := s.Ledger.Load(s.ctx, r.ID)
		var results []batch.Result
		if err == nil {
			results, err = s.Ledger.Committed(s.ctx, r.ID, r.Customer)
		}
		var partials map[string]batch.Partial
		if err == nil && len(results) > 0 {
			partials, err = s.Ledger.Partials(s.ctx, r.ID)
		}
		if err == nil {
			s.post(func() { s.start(spec, results, partials) })
			return
		}
		s.Log.Warn("job: not loaded yet", zap.String("id", r.ID), zap.String("reason", err.Error()))
		if errors.Is(err, batch.ErrUnknownJob) {
			return
		}
		sleep(s.ctx, commitPause)
	}
}

// start begins with a job.
func (s *Scheduler) start(spec *batch.Job, results []batch.Result, partials map[string]batch.Partial) {
	delete(s.loading, spec.ID)
	if s.ended[spec.ID] || s.jobs[spec.ID] != nil {
		return
	}
	submitted := time.UnixMilli(spec.SubmittedAt)
	j := &job{spec: spec, due: submitted.Add(defaultDue), until: submitted.Add(s.JobStatus), committed: len(results), tries: 1, groups: newGroups(spec)}
	if route, ok := s.View.Table().Match(spec.Host, spec.Items[0].Path); ok {
		if route.DueAfter > 0 {
			j.due = submitted.Add(route.DueAfter)
		}
		if route.RetryFor > 0 {
			j.until = submitted.Add(route.RetryFor)
		}
		j.single = route.SingleVersion
		j.tries = route.MaxAttempts
		j.priority = s.View.Table().Priority(route, spec.Customer)
	}
	done := map[string]bool{}
	for _, r := range results {
		done[r.ID] = true
	}
	for i := range spec.Items {
		item := &spec.Items[i]
		if done[item.ID] {
			j.groups.finish(item.Group)
			continue
		}
		t := s.newTask(j, item)
		if t.carried {
			j.groups.carry(item.Group)
		}
		j.tasks = append(j.tasks, t)
	}
	for _, t := range j.tasks {
		if p, ok := partials[t.item.ID]; ok && p.Events > t.text.events {
			t.text = &text{data: p.Text, events: p.Events, versions: p.Versions, version: p.Version}
			t.saved = p.Events
		}
	}
	j.left = len(j.tasks)
	s.jobs[spec.ID] = j
	s.Log.Info("job: begun", zap.String("id", spec.ID), zap.Int("items", len(spec.Items)), zap.Int("left", j.left), zap.Int("wanted-groups", spec.Wanted),
		zap.Duration("age", time.Since(submitted)))
	for _, t := range j.tasks {
		if t.whole {
			s.finishText(t)
		}
	}
}

func (s *Scheduler) newTask(j *job, item *batch.Item) *task {
	t := &task{job: j, item: item, text: &text{}, hint: s.hintOf(item)}
	kept, ok := s.stash[item.ID]
	if !ok || kept.path != item.Path || time.Now().After(kept.until) {
		return t
	}
	t.carried = true
	for _, v := range kept.text.versions {
		if v < j.spec.MinVersion {
			return t
		}
	}
	if j.single && len(kept.text.versions) > 1 {
		return t
	}
	t.text = kept.text.clone()
	t.whole = kept.whole
	return t
}

// hintOf returns the expected number of tokens of an item's text.
func (s *Scheduler) hintOf(item *batch.Item) int {
	for _, h := range item.Headers {
		if http.CanonicalHeaderKey(h.Name) == http.CanonicalHeaderKey(s.Headers.LengthHint) {
			if n, err := strconv.ParseFloat(h.Value, 64); err == nil {
				return int(n)
			}
		}
	}
	return item.Tokens
}

// end stops all work for a job and keeps the texts for a later one.
func (s *Scheduler) end(id string) {
	j := s.jobs[id]
	if j == nil {
		return
	}
	j.ended = true
	delete(s.jobs, id)
	waiting, running := 0, 0
	for _, t := range j.tasks {
		switch t.state {
		case taskWaiting:
			waiting++
		case taskRunning, taskScoring:
			running++
		case taskDone:
			continue
		}
		if t.cancel != nil {
			t.cancel()
		}
		if t.state != taskRunning {
			s.keep(t)
		}
	}
	s.Log.Info("job: ended", zap.String("id", id), zap.Int("committed", j.committed), zap.Int("waiting", waiting), zap.Int("running", running))
}

// keep stashes the text of an item for a later job.
func (s *Scheduler) keep(t *task) {
	now := time.Now()
	for id, kept := range s.stash {
		if now.After(kept.until) {
			delete(s.stash, id)
		}
	}
	s.stash[t.item.ID] = stashed{t.text, t.item.Path, t.whole, now.Add(stashFor)}
}

// sweep removes jobs whose results need not be readable any more.
func (s *Scheduler) sweep(now time.Time) {
	if now.Sub(s.sweptAt) < sweepEvery {
		return
	}
	s.sweptAt = now
	for id, r := range s.records {
		keep := s.JobStatus + sweepMargin
		if !s.ended[id] {
			keep *= openFactor
		}
		if r.Age(now) < keep || s.loading[id] {
			continue
		}
		s.end(id)
		s.loading[id] = true
		go func() {
			err := s.Ledger.Delete(s.ctx, s.Fence(), id)
			if err != nil {
				s.Log.Warn("job: not removed yet", zap.String("id", id), zap.String("reason", err.Error()))
			} else {
				s.Log.Info("job: removed, its time to be read is over", zap.String("id", id), zap.Duration("age", r.Age(now)))
			}
			s.post(func() { delete(s.loading, id) })
		}()
	}
}
