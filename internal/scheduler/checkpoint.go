package scheduler

import (
	"context"
	"time"

	"cactusspoke/internal/batch"

	"go.uber.org/zap"
)

const (
	// checkpointInterval is the time between checkpoints of running outputs,
	// from which another duty holder resumes. The store bills each write.
	checkpointInterval = 500 * time.Millisecond
	// checkpointMinEvents is the shortest output worth a checkpoint. Shorter
	// outputs are regenerated in less time than a failover takes.
	checkpointMinEvents = 16
	// checkpointMaxItems bounds the outputs in one write; the store accepts 32
	// entries in a transaction.
	checkpointMaxItems = 28
	// finalCheckpointTimeout bounds the checkpoint written when the term ends.
	finalCheckpointTimeout = 300 * time.Millisecond
)

// checkpoint starts writing the outputs that have grown since their last
// checkpoint.
func (s *Scheduler) checkpoint(now time.Time) {
	if s.checkpointing || now.Sub(s.checkpointedAt) < checkpointInterval {
		return
	}
	writes := s.pendingCheckpoints()
	s.checkpointedAt = now
	if len(writes) == 0 {
		return
	}
	s.checkpointing = true
	go func() {
		s.writeCheckpoints(s.ctx, writes)
		s.post(func() { s.checkpointing = false })
	}()
}

func (s *Scheduler) writeCheckpoints(ctx context.Context, writes map[string][]batch.PartialResult) {
	if err := s.Jobs.SavePartialResults(ctx, s.Fence(), writes); err != nil {
		s.Log.Warn("job: partial outputs not saved", zap.Int("jobs", len(writes)), zap.String("reason", err.Error()))
	}
}

// pendingCheckpoints returns the outputs to write, by job ID, and marks them as
// written.
func (s *Scheduler) pendingCheckpoints() map[string][]batch.PartialResult {
	writes := map[string][]batch.PartialResult{}
	for id, j := range s.jobs {
		size := 0
		for _, t := range j.tasks {
			if t.state != taskRunning || t.run == nil || len(writes[id]) >= checkpointMaxItems || size > s.Jobs.MaxWriteBytes() {
				continue
			}
			events := t.run.resumedEvents + int(t.run.newEvents.Load())
			if events < checkpointMinEvents || events <= t.checkpointedEvents {
				continue
			}
			snapshot := t.run.snapshot()
			t.checkpointedEvents = snapshot.events
			if len(snapshot.data) > s.Jobs.MaxWriteBytes() {
				continue // would fail the write for all outputs in it
			}
			size += len(snapshot.data)
			writes[id] = append(writes[id], batch.PartialResult{
				Item: t.item.ID, Text: snapshot.data, Events: snapshot.events, Versions: snapshot.versions, LastVersion: snapshot.version,
				Software: snapshot.software,
			})
		}
	}
	return writes
}

// finalCheckpoint saves outputs for the next duty holder, provided that this
// node still holds the duty.
func (s *Scheduler) finalCheckpoint() {
	ctx, cancel := context.WithTimeout(context.Background(), finalCheckpointTimeout)
	defer cancel()
	if s.IsHolder() {
		s.writeCheckpoints(ctx, s.pendingCheckpoints())
	}
}
