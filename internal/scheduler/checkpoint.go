package scheduler

import (
	"context"
	"time"

	"cactusspoke/internal/batch"

	"go.uber.org/zap"
)

const (
	// saveEvery is how often the texts that are being made are kept, so that
	// another holder goes on with them. Each write is paid for.
	saveEvery = 500 * time.Millisecond
	// saveFrom is how many events make a text worth keeping: shorter ones are
	// made again in less time than a change of the holder takes.
	saveFrom = 16
	// saveMost bounds the texts in one write; the store takes 32 entries.
	saveMost = 28
	// lastSave bounds the last write of a holder that gives the duty up.
	lastSave = 300 * time.Millisecond
)

// save keeps the texts that have grown since they were last kept.
func (s *Scheduler) save(now time.Time) {
	if s.saving || now.Sub(s.savedAt) < saveEvery {
		return
	}
	writes := s.grown()
	s.savedAt = now
	if len(writes) == 0 {
		return
	}
	s.saving = true
	go func() {
		s.saveAll(s.ctx, writes)
		s.post(func() { s.saving = false })
	}()
}

func (s *Scheduler) saveAll(ctx context.Context, writes map[string][]batch.PartialResult) {
	for id, partials := range writes {
		if err := s.Ledger.SavePartialResults(ctx, s.Fence(), id, partials); err != nil {
			s.Log.Warn("job: texts in progress not kept", zap.String("id", id), zap.Int("texts", len(partials)), zap.String("reason", err.Error()))
		}
	}
}

// grown returns the texts to keep, by job.
func (s *Scheduler) grown() map[string][]batch.PartialResult {
	writes := map[string][]batch.PartialResult{}
	for id, j := range s.jobs {
		size := 0
		for _, t := range j.tasks {
			if t.state != taskRunning || t.run == nil || len(writes[id]) >= saveMost || size > s.Ledger.MaxWriteBytes() {
				continue
			}
			events := t.run.before + int(t.run.made.Load())
			if events < saveFrom || events <= t.saved {
				continue
			}
			text := t.run.snapshot()
			t.saved = text.events
			size += len(text.data)
			writes[id] = append(writes[id], batch.PartialResult{
				Item: t.item.ID, Text: text.data, Events: text.events, Versions: text.versions, LastVersion: text.version,
			})
		}
	}
	return writes
}

// handOver keeps all texts once more for the next holder.
func (s *Scheduler) handOver() {
	ctx, cancel := context.WithTimeout(context.Background(), lastSave)
	defer cancel()
	if s.Valid() {
		s.saveAll(ctx, s.grown())
	}
}
