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

// JobView returns a store view that passes job records and end marks to the
// scheduler.
func (s *Scheduler) JobView() kv.View { return jobView{s} }

type jobView struct{ s *Scheduler }

func (v jobView) Reset(items []kv.Item) { v.apply(items, false) }

func (v jobView) Apply(events []kv.Item) { v.apply(events, true) }

// apply passes items to the scheduler. fresh means that they changed during this term.
func (v jobView) apply(items []kv.Item, fresh bool) {
	for _, item := range items {
		e, err := batch.DecodeEvent(item)
		if err != nil {
			v.s.Log.Error("job: ignoring invalid record", zap.String("key", item.Key), zap.String("reason", err.Error()))
			continue
		}
		v.s.post(func() { v.s.applyEvent(e, fresh) })
	}
}

func (v jobView) Reachable(bool) {}

// applyEvent handles the creation, end or removal of a job. fresh means that it
// happened during this term.
func (s *Scheduler) applyEvent(e batch.Event, fresh bool) {
	switch {
	case e.Deleted:
		s.Results.Remove(e.ID)
		delete(s.records, e.ID)
		delete(s.ended, e.ID)
		s.closeJob(e.ID)
	case e.Ended:
		s.ended[e.ID] = true
		s.endJob(e.ID)
	case e.Record.ID != "":
		s.records[e.ID] = e.Record
		if !s.loading[e.ID] && s.jobs[e.ID] == nil {
			s.loading[e.ID] = true
			// An end mark later in the same listing is applied before the job is opened,
			// since this closure is posted from another goroutine.
			go func() { s.post(func() { s.openJob(e.Record, fresh) }) }()
		}
	}
}

// openJob starts loading a job unless it has ended or must wait for memory.
func (s *Scheduler) openJob(r batch.Record, fresh bool) {
	if s.ended[r.ID] {
		delete(s.loading, r.ID)
		return
	}
	if s.backlog.add(pendingJob{r, fresh}) {
		go s.loadJob(r, fresh)
		return
	}
	s.Log.Warn("job: waits for memory", zap.String("id", r.ID), zap.String("customer", r.Customer), zap.Int("items", r.Total), zap.Int("items-in-memory", s.backlog.items))
	s.Metrics.SetGauge("jobs_waiting_for_memory", int64(len(s.backlog.pending)))
}

// loadJob reads a job with its committed results and checkpoints, and retries
// failures other than an unknown job. A fresh job has none of these, since only the
// holder of a duty writes them.
func (s *Scheduler) loadJob(r batch.Record, fresh bool) {
	for s.ctx.Err() == nil {
		spec, err := s.Jobs.LoadRecord(s.ctx, r)
		var results []batch.Result
		if err == nil && !fresh {
			results, err = s.Jobs.CommittedResults(s.ctx, r.ID, r.Customer)
		}
		var partials map[string]batch.PartialResult
		if err == nil && len(results) > 0 {
			partials, err = s.Jobs.PartialResults(s.ctx, r.ID)
		}
		if err == nil {
			s.post(func() { s.startJob(loadedJob{spec: spec, results: results, partials: partials}) })
			return
		}
		s.Log.Warn("job: load failed", zap.String("id", r.ID), zap.String("reason", err.Error()))
		if errors.Is(err, batch.ErrJobNotFound) {
			s.post(func() { s.closeJob(r.ID) })
			return
		}
		sleep(s.ctx, storeRetryDelay)
	}
}

// startJob queues the items of a job that have no committed result, and resumes
// their outputs from checkpoints or from an earlier job. A job whose configuration is not known
// yet waits for it.
func (s *Scheduler) startJob(l loadedJob) {
	spec, results, partials := l.spec, l.results, l.partials
	if s.ended[spec.ID] || s.jobs[spec.ID] != nil {
		delete(s.loading, spec.ID)
		if s.jobs[spec.ID] == nil {
			s.closeJob(spec.ID)
		}
		return
	}
	if !s.knowsConfiguration(spec) {
		s.awaitConfiguration(l)
		return
	}
	delete(s.loading, spec.ID)
	age := max(0, spec.Record().Age(s.Clock.Now()))
	// Due times are counted on the monotonic clock, since the time of day may jump.
	submitted := time.Now().Add(-age)
	table := s.View.Table()
	j := &job{spec: spec, path: spec.Items[0].Path, submittedAt: submitted, due: submitted.Add(defaultDue), deadline: submitted.Add(s.JobRetention), committed: len(results), groups: newGroupTracker(spec)}
	s.applyRoute(j, table)
	committed := map[string]bool{}
	for _, r := range results {
		committed[r.ID] = true
	}
	for i := range spec.Items {
		item := &spec.Items[i]
		if committed[item.ID] {
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
		if partial, ok := partials[t.item.ID]; ok && partial.Events > t.output.events {
			t.output = &output{data: partial.Text, events: partial.Events, versions: partial.Versions, version: partial.LastVersion, software: partial.Software}
			t.checkpointedEvents = partial.Events
		}
	}
	j.remaining = len(j.tasks)
	s.jobs[spec.ID] = j
	s.Results.Open(spec, results)
	s.Log.Info("job: begun", zap.String("id", spec.ID), zap.Int("items", len(spec.Items)), zap.Int("left", j.remaining), zap.Int("wanted-groups", spec.WantedGroups), zap.String("model", spec.Model),
		zap.Duration("age", age), zap.Int64("configuration", table.Version()), zap.Bool("route-known", j.routeKnown), zap.Int("max-attempts", j.maxAttempts))
	for _, t := range j.tasks {
		if t.complete {
			s.scoreOrFinish(t)
		}
	}
	if j.remaining == 0 {
		s.releaseItems(j)
	}
}

// releaseItems releases the memory of a job whose results are all committed. They are read
// from the store or the cache from then on.
func (s *Scheduler) releaseItems(j *job) {
	j.tasks, j.spec.Items = nil, nil
	s.closeJob(j.spec.ID)
}

// newTask returns the task of an item. It resumes the output retained from an
// ended job if the weight versions behind it are acceptable to the new job.
func (s *Scheduler) newTask(j *job, item *batch.Item) *task {
	t := &task{job: j, item: item, queuedAt: time.Now(), output: &output{}, expectedTokens: s.expectedTokens(item), prompt: s.statedPrompt(item)}
	retained, ok := s.retained[item.ID]
	if !ok || retained.path != item.Path || time.Now().After(retained.expiresAt) {
		return t
	}
	t.carried = true
	for _, v := range retained.output.versions {
		if v < j.spec.MinVersion {
			return t
		}
	}
	if j.singleVersion && len(retained.output.versions) > 1 {
		return t
	}
	t.output = retained.output.clone()
	t.complete = retained.complete
	return t
}

// maxExpectedTokens bounds the length hints that are believed. No engine has memory for more.
const maxExpectedTokens = 1 << 24

// expectedTokens returns the expected output length of an item: the length hint
// header, or else the token count in the item.
func (s *Scheduler) expectedTokens(item *batch.Item) int {
	for _, h := range item.Headers {
		if http.CanonicalHeaderKey(h.Name) == http.CanonicalHeaderKey(s.Headers.LengthHint) {
			if n, err := strconv.ParseFloat(h.Value, 64); err == nil && n >= 0 && n <= maxExpectedTokens {
				return int(n)
			}
		}
	}
	return item.ExpectedTokens
}

// endJob cancels all work of a job and retains its outputs for a later job.
func (s *Scheduler) endJob(id string) {
	j := s.jobs[id]
	if j == nil {
		if !s.loading[id] || s.backlog.waits(id) {
			delete(s.loading, id)
			s.closeJob(id)
		}
		return
	}
	defer s.closeJob(id)
	j.ended = true
	delete(s.jobs, id)
	s.Results.End(id)
	for range max(0, j.groups.needed()) {
		s.recordGroup(j.spec.Model, false)
	}
	waiting, running := 0, 0
	for _, t := range j.tasks {
		switch t.state {
		case taskQueued:
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

// retainOutput keeps the output of an item for a later job and drops expired
// ones.
func (s *Scheduler) retainOutput(t *task) {
	now := time.Now()
	for id, retained := range s.retained {
		if now.After(retained.expiresAt) {
			delete(s.retained, id)
		}
	}
	s.retained[t.item.ID] = retainedOutput{t.output, t.item.Path, t.complete, now.Add(outputRetention)}
}

// removeExpiredJobs deletes jobs whose results no longer need to be readable.
func (s *Scheduler) removeExpiredJobs(now time.Time) {
	if now.Sub(s.sweptAt) < sweepInterval {
		return
	}
	s.sweptAt = now
	for id, r := range s.records {
		keep := s.JobRetention + clockSkewMargin
		if !s.ended[id] {
			keep *= openJobFactor
		}
		if r.Age(s.Clock.Now()) < keep || s.loading[id] {
			continue
		}
		s.endJob(id)
		s.Results.Remove(id)
		s.loading[id] = true
		go func() {
			err := s.Jobs.Delete(s.ctx, s.Fence(), id)
			if err != nil {
				s.Log.Warn("job: removal failed, will be retried", zap.String("id", id), zap.String("reason", err.Error()))
			} else {
				s.Log.Info("job: removed, results expired", zap.String("id", id), zap.Duration("age", r.Age(s.Clock.Now())))
			}
			s.post(func() { delete(s.loading, id) })
		}()
	}
}
