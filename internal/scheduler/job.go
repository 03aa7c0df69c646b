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
		v.s.post(func() { v.s.applyEvent(e) })
	}
}

func (v jobView) Reachable(bool) {}

// applyEvent notes what happened to a job.
func (s *Scheduler) applyEvent(e batch.Event) {
	switch {
	case e.Gone:
		delete(s.records, e.ID)
		delete(s.ended, e.ID)
	case e.Ended:
		s.ended[e.ID] = true
		s.endJob(e.ID)
	case e.Record.ID != "":
		s.records[e.ID] = e.Record
		if !s.loading[e.ID] && s.jobs[e.ID] == nil {
			s.loading[e.ID] = true
			// The mark of an end may follow in the same list of keys.
			go func() { s.post(func() { s.openJob(e.Record) }) }()
		}
	}
}

func (s *Scheduler) openJob(r batch.Record) {
	if s.ended[r.ID] {
		delete(s.loading, r.ID)
		return
	}
	go s.loadJob(r)
}

// loadJob reads a job and what was committed of it, until it succeeds.
func (s *Scheduler) loadJob(r batch.Record) {
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
			s.post(func() { s.startJob(spec, results, partials) })
			return
		}
		s.Log.Warn("job: not loaded yet", zap.String("id", r.ID), zap.String("reason", err.Error()))
		if errors.Is(err, batch.ErrUnknownJob) {
			return
		}
		sleep(s.ctx, storeRetryDelay)
	}
}

// startJob begins with a job.
func (s *Scheduler) startJob(spec *batch.Job, results []batch.Result, partials map[string]batch.Partial) {
	delete(s.loading, spec.ID)
	if s.ended[spec.ID] || s.jobs[spec.ID] != nil {
		return
	}
	submitted := time.UnixMilli(spec.SubmittedAt)
	j := &job{spec: spec, due: submitted.Add(defaultDue), deadline: submitted.Add(s.JobStatus), committed: len(results), maxAttempts: 1, groups: newGroupTracker(spec)}
	if route, ok := s.View.Table().Match(spec.Host, spec.Items[0].Path); ok {
		if route.Due > 0 {
			j.due = submitted.Add(route.Due)
		}
		if route.Retain > 0 {
			j.deadline = submitted.Add(route.Retain)
		}
		j.singleVersion = route.SingleVersion
		j.maxAttempts = route.MaxAttempts
		j.priority = s.View.Table().Priority(route, spec.Customer)
	}
	done := map[string]bool{}
	for _, r := range results {
		done[r.ID] = true
	}
	for i := range spec.Items {
		item := &spec.Items[i]
		if done[item.ID] {
			j.groups.finishItem(item.Group)
			continue
		}
		t := s.newTask(j, item)
		if t.carried {
			j.groups.markCarried(item.Group)
		}
		j.tasks = append(j.tasks, t)
	}
	for _, t := range j.tasks {
		if p, ok := partials[t.item.ID]; ok && p.Events > t.output.events {
			t.output = &output{data: p.Text, events: p.Events, versions: p.Versions, version: p.Version}
			t.checkpointedEvents = p.Events
		}
	}
	j.remaining = len(j.tasks)
	s.jobs[spec.ID] = j
	s.Log.Info("job: begun", zap.String("id", spec.ID), zap.Int("items", len(spec.Items)), zap.Int("left", j.remaining), zap.Int("wanted-groups", spec.Wanted),
		zap.Duration("age", time.Since(submitted)))
	for _, t := range j.tasks {
		if t.complete {
			s.scoreOrFinish(t)
		}
	}
}

func (s *Scheduler) newTask(j *job, item *batch.Item) *task {
	t := &task{job: j, item: item, output: &output{}, expectedTokens: s.expectedTokens(item)}
	kept, ok := s.retained[item.ID]
	if !ok || kept.path != item.Path || time.Now().After(kept.expiresAt) {
		return t
	}
	t.carried = true
	for _, v := range kept.output.versions {
		if v < j.spec.MinVersion {
			return t
		}
	}
	if j.singleVersion && len(kept.output.versions) > 1 {
		return t
	}
	t.output = kept.output.clone()
	t.complete = kept.complete
	return t
}

// expectedTokens returns the expected number of tokens of an item's text.
func (s *Scheduler) expectedTokens(item *batch.Item) int {
	for _, h := range item.Headers {
		if http.CanonicalHeaderKey(h.Name) == http.CanonicalHeaderKey(s.Headers.LengthHint) {
			if n, err := strconv.ParseFloat(h.Value, 64); err == nil {
				return int(n)
			}
		}
	}
	return item.Tokens
}

// endJob stops all work for a job and keeps the texts for a later one.
func (s *Scheduler) endJob(id string) {
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
			s.retainOutput(t)
		}
	}
	s.Log.Info("job: ended", zap.String("id", id), zap.Int("committed", j.committed), zap.Int("waiting", waiting), zap.Int("running", running))
}

// retainOutput stashes the text of an item for a later job.
func (s *Scheduler) retainOutput(t *task) {
	now := time.Now()
	for id, kept := range s.retained {
		if now.After(kept.expiresAt) {
			delete(s.retained, id)
		}
	}
	s.retained[t.item.ID] = retainedOutput{t.output, t.item.Path, t.complete, now.Add(outputRetention)}
}

// removeExpiredJobs removes jobs whose results need not be readable any more.
func (s *Scheduler) removeExpiredJobs(now time.Time) {
	if now.Sub(s.sweptAt) < sweepInterval {
		return
	}
	s.sweptAt = now
	for id, r := range s.records {
		keep := s.JobStatus + clockSkewMargin
		if !s.ended[id] {
			keep *= openJobFactor
		}
		if r.Age(now) < keep || s.loading[id] {
			continue
		}
		s.endJob(id)
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
