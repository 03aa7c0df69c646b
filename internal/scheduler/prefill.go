package scheduler

import (
	"cmp"
	"math"
	"slices"
	"strings"
	"time"

	"cactusspoke/internal/batch"
	"cactusspoke/internal/prefill"

	"go.uber.org/zap"
)

// tokensPerEvent is the assumed number of tokens in an event of an output that a run resumes.
// Engines prefill it like the prompt.
const tokensPerEvent = 70

// statedPrompt returns what an item states of its prompt.
func (s *Scheduler) statedPrompt(item *batch.Item) prefill.Prompt {
	var counts, parts string
	for _, h := range item.Headers {
		switch {
		case strings.EqualFold(h.Name, s.Headers.TokenCounts):
			counts = h.Value
		case strings.EqualFold(h.Name, s.Headers.PromptPrefix):
			parts = h.Value
		}
	}
	if counts == "" {
		return prefill.Prompt{}
	}
	prompt, valid := prefill.Parse(counts, parts)
	if !valid {
		s.Metrics.Inc("invalid_token_counts_total")
	}
	return prompt
}

// runPrompt returns what the next run of a task prefills.
func (t *task) runPrompt() prefill.Prompt { return t.prompt.Resumed(tokensPerEvent * t.output.events) }

// enginePrefill is what prefill makes an item expect of the engines that may run it now.
type enginePrefill struct {
	prompt    prefill.Prompt
	estimates []prefill.Estimate
	// indexes are those of the engines in the list of targets.
	indexes    []int
	shortShare float64
}

// expectPrefill returns what prefill makes an item expect of the engines with a free slot; nil
// if it cannot make a request miss its objective.
func (s *Scheduler) expectPrefill(t *task, q queuedItem, targets []target, outlook prefill.Outlook, now time.Time) *enginePrefill {
	e := &enginePrefill{prompt: t.runPrompt()}
	if !outlook.Relevant(e.prompt, t.job.objective) {
		return nil
	}
	var ids []string
	var versions []int64
	for i, p := range targets {
		if p.slots.free > 0 && q.runsOn(p) {
			ids, versions, e.indexes = append(ids, p.id), append(versions, p.version), append(e.indexes, i)
		}
	}
	e.estimates, e.shortShare = s.prefills.Estimates(e.prompt, ids, versions, now)
	return e
}

// postpone reports whether an item waits for the end of prefill in progress. One that resumes
// does not: a longer wait could make it start over. One without a configured due time neither.
func (s *Scheduler) postpone(t *task, q queuedItem, e *enginePrefill, service string, now time.Time) bool {
	if e == nil || q.resumes || !t.job.dueConfigured {
		return false
	}
	if !prefill.Postpone(e.estimates, t.job.objective, q.startBy().Sub(now), now.Sub(t.queuedAt), e.shortShare, s.prefills.ShortSeen()) {
		return false
	}
	if t.postponedAt.IsZero() {
		t.postponedAt = now
		s.Metrics.Inc("prefill_postponements_total", "service", service)
		s.Log.Info("item: postponed by expected prefill", zap.String("id", t.item.ID), zap.String("job", t.job.spec.ID),
			zap.Int("tokens", e.prompt.Tokens), zap.Int("engines", len(e.estimates)), zap.Duration("until-due", q.due.Sub(now)))
	}
	return true
}

// orderPostponed puts the items that were postponed before those of the same urgency with
// prompts at least as long as the shortest of them, the oldest first. Other items keep their
// positions.
func orderPostponed(tasks []*task, queued []queuedItem) {
	shortest := math.MaxInt
	for _, q := range queued {
		if t := tasks[q.index]; !t.postponedAt.IsZero() {
			shortest = min(shortest, t.prompt.Tokens)
		}
	}
	if shortest == math.MaxInt {
		return
	}
	var positions []int
	var long []queuedItem
	for i, q := range queued {
		if tasks[q.index].prompt.Tokens >= shortest {
			positions, long = append(positions, i), append(long, q)
		}
	}
	slices.SortStableFunc(long, func(a, b queuedItem) int {
		first, second := tasks[a.index].postponedAt, tasks[b.index].postponedAt
		if a.urgency != b.urgency || first.IsZero() || second.IsZero() {
			return cmp.Or(cmp.Compare(a.urgency, b.urgency), trueFirst(!first.IsZero(), !second.IsZero()))
		}
		return first.Compare(second)
	})
	for n, i := range positions {
		queued[i] = long[n]
	}
}

// preferByPrefill returns which engines an item should prefer because of the prompts in progress
// there; nil if it makes no difference.
func (s *Scheduler) preferByPrefill(t *task, service string, targets []target, e *enginePrefill) []bool {
	if e == nil {
		return nil
	}
	preferred := prefill.Prefer(e.estimates, t.job.objective, e.shortShare)
	if preferred == nil {
		return nil
	}
	out := make([]bool, len(targets))
	n := 0
	for i, index := range e.indexes {
		out[index] = preferred[i]
		if preferred[i] {
			n++
		}
	}
	s.Metrics.Inc("prefill_placements_total", "service", service)
	s.Log.Info("item: engines preferred by expected prefill", zap.String("id", t.item.ID), zap.String("job", t.job.spec.ID),
		zap.Int("tokens", e.prompt.Tokens), zap.Int("engines", len(e.estimates)), zap.Int("preferred", n))
	return out
}
