package scheduler

import (
	"cmp"
	"slices"

	"cactusspoke/internal/batch"

	"go.uber.org/zap"
)

// customerShare is the share of the items in memory that one customer may have, so that its
// jobs do not keep those of others out.
const customerShare = 0.5

// pendingJob is a job that is not in memory yet.
type pendingJob struct {
	record batch.Record
	fresh  bool
}

// backlog decides which unfinished jobs are in memory. It answers a load of many large jobs,
// which together exceed the memory of the holder; the others wait in the store. Small jobs
// may overtake large ones that do not fit.
type backlog struct {
	// limit is the number of items in memory; 0 means no limit.
	limit   int
	items   int
	byOwner map[string]int
	opened  map[string]batch.Record
	pending []pendingJob
}

func newBacklog(limit int) *backlog {
	return &backlog{limit: limit, byOwner: map[string]int{}, opened: map[string]batch.Record{}}
}

// fits reports whether a job may be opened now. A job that exceeds a limit alone is
// opened if there is no other one that the limit counts.
func (b *backlog) fits(r batch.Record) bool {
	if b.limit == 0 || b.items == 0 {
		return true
	}
	own := b.byOwner[r.Customer]
	return b.items+r.Total <= b.limit && (own == 0 || own+r.Total <= int(customerShare*float64(b.limit)))
}

// add opens a job if it fits, and reports whether it does. Otherwise the job waits.
func (b *backlog) add(p pendingJob) bool {
	if _, ok := b.opened[p.record.ID]; ok {
		return true
	}
	if !b.fits(p.record) {
		b.pending = append(b.pending, p)
		return false
	}
	b.open(p.record)
	return true
}

func (b *backlog) open(r batch.Record) {
	b.opened[r.ID] = r
	b.items += r.Total
	b.byOwner[r.Customer] += r.Total
}

// remove closes a job or drops it if it waits, and returns the waiting jobs that are opened
// therefore, the oldest first.
func (b *backlog) remove(id string) []pendingJob {
	b.pending = slices.DeleteFunc(b.pending, func(p pendingJob) bool { return p.record.ID == id })
	r, ok := b.opened[id]
	if !ok {
		return nil
	}
	delete(b.opened, id)
	b.items -= r.Total
	if b.byOwner[r.Customer] -= r.Total; b.byOwner[r.Customer] == 0 {
		delete(b.byOwner, r.Customer)
	}
	slices.SortStableFunc(b.pending, func(x, y pendingJob) int { return cmp.Compare(x.record.SubmittedAt, y.record.SubmittedAt) })
	var out []pendingJob
	b.pending = slices.DeleteFunc(b.pending, func(p pendingJob) bool {
		if !b.fits(p.record) {
			return false
		}
		b.open(p.record)
		out = append(out, p)
		return true
	})
	return out
}

// waits reports whether a job waits.
func (b *backlog) waits(id string) bool {
	return slices.ContainsFunc(b.pending, func(p pendingJob) bool { return p.record.ID == id })
}

// closeJob releases the place of a job that is finished, ended or gone, and loads those that
// waited for it.
func (s *Scheduler) closeJob(id string) {
	for _, next := range s.backlog.remove(id) {
		s.Log.Info("job: loaded after waiting for memory", zap.String("id", next.record.ID), zap.Int("items", next.record.Total))
		go s.loadJob(next.record, next.fresh)
	}
	s.Metrics.SetGauge("jobs_waiting_for_memory", int64(len(s.backlog.pending)))
}
