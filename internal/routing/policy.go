// Package routing chooses the backend server of a request.
package routing

import (
	"math/rand/v2"

	"github.com/cespare/xxhash/v2"
)

// Candidate is a backend server that may take the request.
type Candidate interface {
	ID() string
	Estimate() float64
	Reported() float64
	Slots() int
	Free() bool
}

// Work is what a policy may know of a request.
type Work struct {
	prefix    uint64
	hasPrefix bool
}

// NewWork returns work without a reusable prompt prefix.
func NewWork() Work { return Work{} }

// WithPrefix returns work whose prompt begins with a reusable prefix.
func (w Work) WithPrefix(hash uint64) Work {
	w.prefix = hash
	w.hasPrefix = true
	return w
}

// Policy picks one of the candidates; it returns false when none fits.
type Policy[C Candidate] interface {
	Choose(work Work, candidates []C) (C, bool)
}

// New returns the policy of a name, and whether there is one.
func New[C Candidate](name string, random *rand.Rand) (Policy[C], bool) {
	switch name {
	case "prefix-affinity":
		return &PrefixAffinity[C]{random: random}, true
	case "round-robin":
		return &RoundRobin[C]{}, true
	case "least-reported":
		return LeastReported[C]{}, true
	case "two-choices":
		return &TwoChoices[C]{random: random}, true
	default:
		return nil, false
	}
}

// RoundRobin takes the candidates in turn.
type RoundRobin[C Candidate] struct{ next int }

// Choose picks the next candidate.
func (r *RoundRobin[C]) Choose(_ Work, candidates []C) (C, bool) {
	var none C
	if len(candidates) == 0 {
		return none, false
	}
	r.next++
	return candidates[r.next%len(candidates)], true
}

// LeastReported takes the candidate whose last report is lowest.
type LeastReported[C Candidate] struct{}

// Choose picks the lowest report, the first among equals.
func (LeastReported[C]) Choose(_ Work, candidates []C) (C, bool) {
	return lowest(candidates, func(c C) float64 { return c.Reported() })
}

// TwoChoices takes the lower report of two random candidates.
type TwoChoices[C Candidate] struct{ random *rand.Rand }

// Choose picks the lower of two.
func (t *TwoChoices[C]) Choose(_ Work, candidates []C) (C, bool) {
	var none C
	if len(candidates) == 0 {
		return none, false
	}
	a := candidates[t.random.IntN(len(candidates))]
	b := candidates[t.random.IntN(len(candidates))]
	if b.Reported() < a.Reported() {
		return b, true
	}
	return a, true
}

// loadBound is how far over the mean estimate an affine server may go.
const loadBound = 1.25

// PrefixAffinity sends requests with the same prompt prefix to the same
// server, in rendezvous order, unless that server is over the load bound.
type PrefixAffinity[C Candidate] struct{ random *rand.Rand }

// Choose picks the first server in the prefix's order that is within bounds.
func (p *PrefixAffinity[C]) Choose(work Work, candidates []C) (C, bool) {
	if !work.hasPrefix {
		return p.lowerOfTwo(candidates)
	}
	limit := loadBound*meanEstimate(candidates) + 1
	best, found := bestBy(candidates, func(c C) bool { return c.Free() && c.Estimate() < limit }, func(c C) uint64 {
		return Score(work.prefix, c.ID())
	})
	if found {
		return best, true
	}
	return lowest(candidates, func(c C) float64 { return c.Estimate() })
}

func (p *PrefixAffinity[C]) lowerOfTwo(candidates []C) (C, bool) {
	var none C
	if len(candidates) == 0 {
		return none, false
	}
	a := candidates[p.random.IntN(len(candidates))]
	b := candidates[p.random.IntN(len(candidates))]
	if b.Estimate()*float64(a.Slots()) < a.Estimate()*float64(b.Slots()) {
		return b, true
	}
	if a.Free() {
		return a, true
	}
	return lowest(candidates, func(c C) float64 { return c.Estimate() })
}

// Score is the rendezvous weight of a node for a hash; the highest wins.
func Score(hash uint64, node string) uint64 {
	h := xxhash.Sum64String(node) ^ hash
	h ^= h >> 33
	h *= 0xff51afd7ed558ccd
	h ^= h >> 33
	h *= 0xc4ceb9fe1a85ec53
	return h ^ h>>33
}

func meanEstimate[C Candidate](candidates []C) float64 {
	sum := 0.0
	for _, c := range candidates {
		sum += c.Estimate()
	}
	return sum / float64(max(1, len(candidates)))
}

func lowest[C Candidate](candidates []C, of func(C) float64) (C, bool) {
	var best C
	for i, c := range candidates {
		if i == 0 || of(c) < of(best) {
			best = c
		}
	}
	return best, len(candidates) > 0
}

func bestBy[C Candidate](candidates []C, fits func(C) bool, score func(C) uint64) (C, bool) {
	var best C
	found := false
	for _, c := range candidates {
		if !fits(c) {
			continue
		}
		if !found || score(c) > score(best) {
			best = c
			found = true
		}
	}
	return best, found
}
