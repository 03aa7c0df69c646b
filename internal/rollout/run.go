// Package rollout runs the samples of trainers' steps on the engines, seals
// the steps and hands them over.
package rollout

import (
	"slices"

	"cactusspoke/internal/sample"
	"cactusspoke/internal/step"

	"github.com/qmuntal/stateless"
)

// State is where a step stands on this instance.
type State string

// The states of a step.
const (
	Open         State = "open"
	Sealed       State = "sealed"
	Acknowledged State = "acknowledged"
	Abandoned    State = "abandoned"
)

type trigger string

const (
	seal        trigger = "seal"
	acknowledge trigger = "acknowledge"
	abandon     trigger = "abandon"
)

// Group is a set of samples of one prompt that a trainer wants together.
type Group struct {
	id      string
	body    []byte
	samples int
}

// NewGroup returns a group. body is the request in the OpenAI form, to be run
// samples times.
func NewGroup(id string, body []byte, samples int) Group { return Group{id, body, samples} }

// run is the decision logic of one step: which groups are whole, and when the
// step can be sealed. It has no clock, goroutine or connection.
type run struct {
	id      step.ID
	share   float64
	bound   int64
	version int64
	groups  map[string]Group
	done    map[string]map[int]*sample.Sample
	whole   []string
	dropped int
	machine *stateless.StateMachine
}

func newRun(id step.ID, share float64, bound, version int64, groups []Group) *run {
	r := &run{id: id, share: share, bound: bound, version: version, groups: map[string]Group{}, done: map[string]map[int]*sample.Sample{}}
	for _, g := range groups {
		r.groups[g.id] = g
		r.done[g.id] = map[int]*sample.Sample{}
	}
	r.machine = stateless.NewStateMachine(Open)
	r.machine.Configure(Open).Permit(seal, Sealed).Permit(abandon, Abandoned)
	r.machine.Configure(Sealed).Permit(acknowledge, Acknowledged).Ignore(seal).Ignore(abandon)
	r.machine.Configure(Acknowledged).Ignore(acknowledge).Ignore(abandon)
	r.machine.Configure(Abandoned).Ignore(abandon)
	return r
}

func (r *run) state() State { return r.machine.MustState().(State) }

// needed is how many whole groups are enough.
func (r *run) needed() int {
	n := int(float64(len(r.groups))*r.share + 0.999)
	return max(1, min(n, len(r.groups)))
}

// fresh tells whether a sample may still be sealed.
func (r *run) fresh(s *sample.Sample) bool {
	return s.OldestVersion() >= r.version-r.bound
}

// place is one sample of a group.
type place struct {
	group string
	index int
}

// finish takes in the sample of a place. It returns false when the sample is
// too old, so that it must be run again.
func (r *run) finish(at place, s *sample.Sample) bool {
	if !r.fresh(s) {
		r.dropped++
		return false
	}
	group := r.done[at.group]
	if _, twice := group[at.index]; twice {
		return true
	}
	group[at.index] = s
	if len(group) == r.groups[at.group].samples {
		r.whole = append(r.whole, at.group)
	}
	return true
}

// advance raises the trainer's version and drops what has become too old. It
// returns the places that must be run again.
func (r *run) advance(version int64) []place {
	if version <= r.version || r.state() != Open {
		return nil
	}
	r.version = version
	var again []place
	for id, group := range r.done {
		for index, s := range group {
			if r.fresh(s) {
				continue
			}
			delete(group, index)
			r.dropped++
			again = append(again, place{id, index})
		}
	}
	r.whole = slices.DeleteFunc(r.whole, func(id string) bool {
		return len(r.done[id]) < r.groups[id].samples
	})
	return again
}

// ready returns the samples to seal once enough groups are whole.
func (r *run) ready() ([]*sample.Sample, bool) {
	if r.state() != Open || len(r.whole) < r.needed() {
		return nil, false
	}
	var out []*sample.Sample
	for _, id := range r.whole {
		for index := range r.groups[id].samples {
			out = append(out, r.done[id][index])
		}
	}
	return out, true
}
