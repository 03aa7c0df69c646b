// Package rollout generates the samples of training steps on the engines, seals
// complete steps and returns them to the trainers.
package rollout

import (
	"slices"

	"cactusspoke/internal/sample"
	"cactusspoke/internal/step"

	"github.com/qmuntal/stateless"
)

// State is the state of a step on this instance.
type State string

const (
	Open         State = "open"
	Sealed       State = "sealed"
	Acknowledged State = "acknowledged"
	Abandoned    State = "abandoned"
)

// trigger is an input of the state machine of a step.
type trigger string

const (
	seal        trigger = "seal"
	acknowledge trigger = "acknowledge"
	abandon     trigger = "abandon"
)

// Group is a set of samples generated from one prompt. Only complete groups are
// returned to the trainer.
type Group struct {
	id          string
	requestBody []byte
	sampleCount int
}

// NewGroup returns a group. body is a request in OpenAI format that is run once
// per sample.
func NewGroup(id string, body []byte, samples int) Group { return Group{id, body, samples} }

// run holds the state of one step and decides which groups are complete, which
// samples are stale and when the step can be sealed. It uses no clock, goroutines
// or I/O and is not safe for concurrent use.
type run struct {
	id             step.ID
	sealShare      float64
	stalenessBound int64
	trainerVersion int64
	groups         map[string]Group
	samples        map[string]map[int]*sample.Sample
	completeGroups []string
	droppedCount   int
	machine        *stateless.StateMachine
}

func newRun(id step.ID, sealShare float64, stalenessBound, trainerVersion int64, groups []Group) *run {
	r := &run{
		id: id, sealShare: sealShare, stalenessBound: stalenessBound, trainerVersion: trainerVersion,
		groups: map[string]Group{}, samples: map[string]map[int]*sample.Sample{},
	}
	for _, g := range groups {
		r.groups[g.id] = g
		r.samples[g.id] = map[int]*sample.Sample{}
	}
	r.machine = stateless.NewStateMachine(Open)
	r.machine.Configure(Open).Permit(seal, Sealed).Permit(abandon, Abandoned)
	r.machine.Configure(Sealed).Permit(acknowledge, Acknowledged).Ignore(seal).Ignore(abandon)
	r.machine.Configure(Acknowledged).Ignore(acknowledge).Ignore(abandon)
	r.machine.Configure(Abandoned).Ignore(abandon)
	return r
}

func (r *run) state() State { return r.machine.MustState().(State) }

// roundUpOffset rounds a number of groups up. It is less than 1 so that a
// floating-point error does not require one more group.
const roundUpOffset = 0.999

// requiredGroups returns the number of complete groups needed to seal the step.
func (r *run) requiredGroups() int {
	count := int(float64(len(r.groups))*r.sealShare + roundUpOffset)
	return max(1, min(count, len(r.groups)))
}

// isFresh reports whether a sample is within the staleness bound.
func (r *run) isFresh(s *sample.Sample) bool {
	return s.OldestVersion() >= r.trainerVersion-r.stalenessBound
}

// sampleRef identifies a sample by its group and its index in the group.
type sampleRef struct {
	group string
	index int
}

// addSample records a generated sample. It returns false when the sample is
// stale and must be generated again. A second sample with the same reference is
// ignored.
func (r *run) addSample(ref sampleRef, s *sample.Sample) bool {
	if !r.isFresh(s) {
		r.droppedCount++
		return false
	}
	group := r.samples[ref.group]
	if _, exists := group[ref.index]; exists {
		return true
	}
	group[ref.index] = s
	if len(group) == r.groups[ref.group].sampleCount {
		r.completeGroups = append(r.completeGroups, ref.group)
	}
	return true
}

// advanceVersion raises the trainer's weight version and discards the samples
// that have become stale. It returns their references, to be generated again.
func (r *run) advanceVersion(version int64) []sampleRef {
	if version <= r.trainerVersion || r.state() != Open {
		return nil
	}
	r.trainerVersion = version
	var rerun []sampleRef
	for id, group := range r.samples {
		for index, s := range group {
			if r.isFresh(s) {
				continue
			}
			delete(group, index)
			r.droppedCount++
			rerun = append(rerun, sampleRef{id, index})
		}
	}
	r.completeGroups = slices.DeleteFunc(r.completeGroups, func(id string) bool {
		return len(r.samples[id]) < r.groups[id].sampleCount
	})
	return rerun
}

// samplesToSeal returns the samples of the complete groups once there are enough
// of them to seal the step.
func (r *run) samplesToSeal() ([]*sample.Sample, bool) {
	if r.state() != Open || len(r.completeGroups) < r.requiredGroups() {
		return nil, false
	}
	var ready []*sample.Sample
	for _, id := range r.completeGroups {
		for index := range r.groups[id].sampleCount {
			ready = append(ready, r.samples[id][index])
		}
	}
	return ready, true
}
