package scheduler

import (
	"cmp"
	"slices"
	"time"

	"go.uber.org/zap"
)

const (
	// outputCountInterval is the time between two counts of the outputs that no run holds.
	outputCountInterval = 250 * time.Millisecond
	// maxPartialShare is the share of the outputs' memory that partial outputs without a run may
	// take, so that runs have room to finish theirs.
	maxPartialShare = 0.5
)

// countOutputs counts the outputs in memory that no run holds: those of waiting items, of items
// whose reward call is in progress, results that are not committed, and outputs retained from
// ended jobs. It discards the largest partial ones if they take too much.
func (s *Scheduler) countOutputs(now time.Time) {
	if now.Sub(s.outputsCountedAt) < outputCountInterval {
		return
	}
	s.outputsCountedAt = now
	total, partial := 0, 0
	var waiting []*task
	for _, j := range s.jobs {
		total += j.finishedBytes + j.committingBytes
		for _, t := range j.tasks {
			if t.output == nil || t.state == taskRunning {
				continue
			}
			total += len(t.output.data)
			if t.state == taskQueued && len(t.output.data) > 0 {
				partial += len(t.output.data)
				waiting = append(waiting, t)
			}
		}
	}
	var retained []string
	for id, r := range s.retained {
		total += len(r.output.data)
		partial += len(r.output.data)
		retained = append(retained, id)
	}
	excess := partial - int(maxPartialShare*float64(s.outputs.Limit()))
	total -= s.discardRetained(retained, &excess) + s.discardWaiting(waiting, &excess, now)
	s.outputs.SetRetained(int64(total))
	s.Metrics.SetGauge("output_bytes", s.outputs.Held())
}

// discardRetained discards the largest outputs of ended jobs while there is an excess of bytes.
// It returns how many it discarded.
func (s *Scheduler) discardRetained(ids []string, excess *int) (discarded int) {
	if *excess <= 0 {
		return 0
	}
	size := func(id string) int { return len(s.retained[id].output.data) }
	slices.SortFunc(ids, func(x, y string) int { return cmp.Compare(size(y), size(x)) })
	for _, id := range ids {
		if *excess <= 0 {
			break
		}
		n := size(id)
		s.Log.Warn("item: output of an ended job discarded for lack of memory", zap.String("id", id), zap.Int("bytes", n))
		s.Metrics.Inc("outputs_discarded_total", "reason", "memory")
		delete(s.retained, id)
		discarded += n
		*excess -= n
	}
	return discarded
}

// discardWaiting is discardRetained for the partial outputs of waiting items, which start over.
func (s *Scheduler) discardWaiting(waiting []*task, excess *int, now time.Time) (discarded int) {
	if *excess <= 0 {
		return 0
	}
	size := func(t *task) int { return len(t.output.data) }
	slices.SortFunc(waiting, func(x, y *task) int { return cmp.Compare(size(y), size(x)) })
	for _, t := range waiting {
		if *excess <= 0 {
			break
		}
		n := size(t)
		s.startOver(t, "memory", now)
		discarded += n
		*excess -= n
	}
	return discarded
}
