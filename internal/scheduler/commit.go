package scheduler

import (
	"context"
	"time"

	"cactusspoke/internal/batch"

	"go.uber.org/zap"
)

// resultOverhead is the allowance in bytes for the fields of a result other
// than its output.
const resultOverhead = 200

// scoreOrFinish sends the reward call of a complete output; an item without one
// is finished at once.
func (s *Scheduler) scoreOrFinish(t *task) {
	t.completedAt = time.Now()
	result := batch.Result{ID: t.item.ID, Completed: true, Text: string(t.output.data), Versions: t.output.versions}
	if t.job.singleVersion && len(t.output.versions) > 1 { // the route has required it only since
		t.state, t.complete = taskQueued, false
		s.startOver(t, "several weight versions", t.completedAt)
		return
	}
	if s.maxOutput > 0 && result.EncodedTextLen() > s.maxOutput {
		t.state, t.complete = taskQueued, false
		s.startOver(t, "too long to store", t.completedAt)
		return
	}
	if t.item.Reward == nil {
		s.finishItem(t, result)
		return
	}
	ctx, cancel := context.WithCancel(s.ctx)
	t.state = taskScoring
	t.cancel = cancel
	go func() {
		seal, ok := s.callReward(ctx, t.item.Reward, t.job.spec.Customer)
		canceled := ctx.Err() != nil && !ok
		cancel()
		s.post(func() {
			if t.job.ended || canceled {
				return
			}
			result.Score = seal
			if !ok {
				s.Log.Info("item: given up, reward call failed permanently", zap.String("id", t.item.ID),
					zap.String("job", t.job.spec.ID), zap.String("reward", t.item.Reward.ID))
				result = batch.Result{ID: t.item.ID}
			}
			s.finishItem(t, result)
		})
	}()
}

// finishItem queues an item's result for the next commit.
func (s *Scheduler) finishItem(t *task, r batch.Result) {
	fields := []zap.Field{
		zap.String("id", t.item.ID), zap.String("job", t.job.spec.ID), zap.String("group", t.item.Group),
		zap.Bool("completed", r.Completed), zap.Int("events", t.output.events), zap.Int64s("versions", r.Versions),
	}
	if t.complete {
		fields = append(fields, zap.Duration("scoring", time.Since(t.completedAt)))
	}
	s.Log.Info("item: finished", fields...)
	t.state = taskDone
	t.cancel = nil
	s.lengths.record(t.output.events, t.expectedTokens)
	if len(t.job.finished) == 0 {
		t.job.commitDelayFrom = time.Now()
	}
	t.job.finished = append(t.job.finished, r)
	t.job.finishedBytes += len(r.Text)
	t.job.commitUrgency = max(t.job.commitUrgency, t.job.groups.finishItem(t.item.Group))
	if t.job.groups.remaining[t.item.Group] == 0 {
		s.recordGroup(t.job.spec.Model, time.Now().Before(t.job.due.Add(onTimeSlack)))
	}
	t.output = nil
}

// commitFinished starts a commit for each job whose finished items have waited
// long enough. A job has at most one commit in progress.
func (s *Scheduler) commitFinished(now time.Time) {
	for _, j := range s.jobs {
		if j.committing || len(j.finished) == 0 {
			continue
		}
		if now.Sub(j.commitDelayFrom) < commitDelayFor(now, j.due, j.finishedBytes, j.commitUrgency) && len(j.finished) < j.remaining {
			continue
		}
		n := leadingResults(j.finished, s.Jobs.MaxWriteBytes())
		for _, r := range j.finished[:n] {
			j.committingBytes += len(r.Text)
		}
		j.finishedBytes -= j.committingBytes
		batch := j.finished[:n:n]
		j.finished = j.finished[n:]
		if len(j.finished) == 0 {
			j.commitUrgency = commitIncomplete
		}
		j.commitDelayFrom = now
		j.committing = true
		go s.appendResults(j, j.committed, batch)
	}
}

// leadingResults returns how many of the results fit into a write of maxBytes, but at least one.
func leadingResults(results []batch.Result, maxBytes int) int {
	size := 0
	for i, r := range results {
		size += r.EncodedTextLen() + resultOverhead
		if size > maxBytes && i > 0 {
			return i
		}
	}
	return len(results)
}

// appendResults retries one commit until it succeeds or the term ends.
func (s *Scheduler) appendResults(j *job, position int, results []batch.Result) {
	for s.ctx.Err() == nil {
		err := s.Jobs.AppendResults(s.ctx, s.Fence(), j.spec.Record(), position, results)
		if err == nil {
			s.Results.Append(j.spec.ID, position, results)
			s.Log.Info("job: results committed", zap.String("id", j.spec.ID), zap.Int("position", position), zap.Int("results", len(results)))
			s.post(func() {
				j.committing = false
				j.committingBytes = 0
				j.committed += len(results)
				j.remaining -= len(results)
				if j.remaining == 0 {
					s.Log.Info("job: all results committed", zap.String("id", j.spec.ID),
						zap.Duration("age", j.spec.Record().Age(s.Clock.Now())))
					s.releaseItems(j)
				}
			})
			return
		}
		s.Log.Warn("job: results not committed yet", zap.String("id", j.spec.ID), zap.Int("position", position),
			zap.String("reason", err.Error()))
		sleep(s.ctx, storeRetryDelay)
	}
}
