// Package routing selects the backend server for a request.
package routing

import (
	"math/rand/v2"

	"github.com/cespare/xxhash/v2"
)

// Candidate is a backend server that may receive the request.
type Candidate interface {
	ID() string
	EstimatedLoad() float64
	ReportedLoad() float64
	Slots() int
	HasFreeSlot() bool
}

// Attributes holds the attributes of a request that a policy may use.
type Attributes struct {
	prefix    uint64
	hasPrefix bool
}

// NewAttributes returns the attributes of a request without a prompt prefix.
func NewAttributes() Attributes { return Attributes{} }

// WithPrefix returns a copy with the hash of a reusable prompt prefix.
func (a Attributes) WithPrefix(hash uint64) Attributes {
	a.prefix = hash
	a.hasPrefix = true
	return a
}

// Policy selects one of the candidates. It returns false if there is none.
type Policy[C Candidate] interface {
	Choose(attributes Attributes, candidates []C) (C, bool)
}

// NewPolicy returns the policy with the given name, and false if there is none.
func NewPolicy[C Candidate](name string, random *rand.Rand) (Policy[C], bool) {
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

// RoundRobin selects the candidates in turn.
type RoundRobin[C Candidate] struct{ next int }

// Choose selects the next candidate.
func (r *RoundRobin[C]) Choose(_ Attributes, candidates []C) (C, bool) {
	var zero C
	if len(candidates) == 0 {
		return zero, false
	}
	r.next++
	return candidates[r.next%len(candidates)], true
}

// LeastReported selects the candidate with the lowest last reported load.
type LeastReported[C Candidate] struct{}

// Choose selects the lowest reported load; among equals, the first candidate.
func (LeastReported[C]) Choose(_ Attributes, candidates []C) (C, bool) {
	return minBy(candidates, func(c C) float64 { return c.ReportedLoad() })
}

// TwoChoices selects, of two random candidates, the one with the lower reported
// load.
type TwoChoices[C Candidate] struct{ random *rand.Rand }

// Choose selects the less loaded of two random candidates.
func (t *TwoChoices[C]) Choose(_ Attributes, candidates []C) (C, bool) {
	var zero C
	if len(candidates) == 0 {
		return zero, false
	}
	a := candidates[t.random.IntN(len(candidates))]
	b := candidates[t.random.IntN(len(candidates))]
	if b.ReportedLoad() < a.ReportedLoad() {
		return b, true
	}
	return a, true
}

// maxLoadRatio limits the load of a server that is selected by prefix affinity,
// as a multiple of the mean estimated load.
const maxLoadRatio = 1.25

// PrefixAffinity sends requests with the same prompt prefix to the same server,
// selected by rendezvous hashing. It skips servers over the load limit.
type PrefixAffinity[C Candidate] struct{ random *rand.Rand }

// Choose selects the server with the highest rendezvous score for the prefix
// that has a free slot and is under the load limit. If there is none, it
// selects the least loaded server. Requests without a prefix go to the less
// loaded of two random servers.
func (p *PrefixAffinity[C]) Choose(attributes Attributes, candidates []C) (C, bool) {
	if !attributes.hasPrefix {
		return p.leastLoadedOfTwo(candidates)
	}
	limit := maxLoadRatio*meanEstimate(candidates) + 1
	best, found := maxBy(candidates, func(c C) bool { return c.HasFreeSlot() && c.EstimatedLoad() < limit }, func(c C) uint64 {
		return RendezvousScore(attributes.prefix, c.ID())
	})
	if found {
		return best, true
	}
	return minBy(candidates, func(c C) float64 { return c.EstimatedLoad() })
}

func (p *PrefixAffinity[C]) leastLoadedOfTwo(candidates []C) (C, bool) {
	var zero C
	if len(candidates) == 0 {
		return zero, false
	}
	a := candidates[p.random.IntN(len(candidates))]
	b := candidates[p.random.IntN(len(candidates))]
	if b.EstimatedLoad()*float64(a.Slots()) < a.EstimatedLoad()*float64(b.Slots()) {
		return b, true
	}
	if a.HasFreeSlot() {
		return a, true
	}
	return minBy(candidates, func(c C) float64 { return c.EstimatedLoad() })
}

// RendezvousScore returns the rendezvous hashing score of a node for a hash.
// The node with the highest score is selected.
func RendezvousScore(hash uint64, node string) uint64 {
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
		sum += c.EstimatedLoad()
	}
	return sum / float64(max(1, len(candidates)))
}

func minBy[C Candidate](candidates []C, load func(C) float64) (C, bool) {
	var best C
	for i, c := range candidates {
		if i == 0 || load(c) < load(best) {
			best = c
		}
	}
	return best, len(candidates) > 0
}

func maxBy[C Candidate](candidates []C, eligible func(C) bool, score func(C) uint64) (C, bool) {
	var best C
	found := false
	for _, c := range candidates {
		if !eligible(c) {
			continue
		}
		if !found || score(c) > score(best) {
			best = c
			found = true
		}
	}
	return best, found
}
