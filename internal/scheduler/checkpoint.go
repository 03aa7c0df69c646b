package scheduler

import (
	"context"
	"time"

	"cactusspoke/internal/batch"

	"go.uber.org/zap"
)

const (
	// checkpointInterval is how often the texts that are being made are kept, so that
	// another holder goes on with them. Each write is paid for.
	checkpointInterval = 500 * time.Millisecond
	// checkpointMinEvents is how many events make a text worth keeping: shorter ones are
	// made again in less time than a change of the holder takes.
	checkpointMinEvents = 16
	// checkpointMaxItems bounds the texts in one write; the store takes 32 entries.
	checkpointMaxItems = 28
	// finalCheckpointTimeout bounds the last write of a holder that gives the duty up.
	finalCheckpointTimeout = 300 * time.Millisecond
)

// checkpoint keeps the texts that have grown since they were last kept.
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

func (s *Scheduler) writeCheckpoints(ctx context.Context, writes map[string][]batch.Partial) {
	for id, partials := range writes {
		if err := s.Ledger.SavePartials(ctx, s.Fence(), id, partials); err != nil {
			s.Log.Warn("job: texts in progress not kept", zap.String("id", id), zap.Int("texts", len(partials)), zap.String("reason", err.Error()))
		}
	}
}

// pendingCheckpoints returns the texts to keep, by job.
func (s *Scheduler) pendingCheckpoints() map[string][]batch.Partial {
	writes := map[string][]batch.Partial{}
	for id, j := range s.jobs {
		size := 0
		for _, t := range j.tasks {
			if t.state != taskRunning || t.run == nil || len(writes[id]) >= checkpointMaxItems || size > s.Ledger.Limit() {
				continue
			}
			events := t.run.resumedEvents + int(t.run.newEvents.Load())
			if events < checkpointMinEvents || events <= t.checkpointedEvents {
				continue
			}
			text := t.run.snapshot()
			t.checkpointedEvents = text.events
			size += len(text.data)
			writes[id] = append(writes[id], batch.Partial{
				Item: t.item.ID, Text: text.data, Events: text.events, Versions: text.versions, Version: text.version,
			})
		}
	}
	return writes
}

// finalCheckpoint keeps all texts once more for the next holder.
func (s *Scheduler) finalCheckpoint() {
	ctx, cancel := context.WithTimeout(context.Background(), finalCheckpointTimeout)
	defer cancel()
	if s.Valid() {
		s.writeCheckpoints(ctx, s.pendingCheckpoints())
	}
}
