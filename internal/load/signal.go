package load

import (
	"math"
	"time"
)

const (
	// meanTime is the time constant of the long-term mean and variance of a signal.
	meanTime = 20 * time.Second
	// initialMemory is the time constant of the decay before anything is learned. Reported
	// slowness changes many times a second.
	initialMemory = 100 * time.Millisecond
	// minMemory and maxMemory bound the learned time constant.
	minMemory = 10 * time.Millisecond
	maxMemory = 10 * time.Second
	// memoryRate is the step by which one observation changes the logarithm of the time
	// constant.
	memoryRate = 0.1
	// maxChangeRatio bounds the effect of a single large change on the time constant.
	maxChangeRatio = 3
	// priorObservations is the weight of the initial mean, in observations.
	priorObservations = 1
)

// signal is a value that is observed from time to time and changes in between. An observation
// has full weight when new; the expected value decays from it towards the long-term mean. The
// time constant of the decay is learned: the squared change between two observations that are t
// apart is on average 2 x variance x (1 - exp(-t/constant)).
type signal struct {
	value        float64
	at           time.Time
	observations float64
	mean         float64
	variance     float64
	memory       time.Duration
}

// newSignal returns a signal that is expected to be near a value.
func newSignal(expected float64) signal {
	return signal{value: expected, mean: expected, memory: initialMemory}
}

// observe adds an observation. One that is older than the last is ignored.
func (s *signal) observe(value float64, at time.Time) {
	first := s.at.IsZero()
	age := at.Sub(s.at)
	if !first && age < 0 {
		return
	}
	if !first && age > 0 && s.variance > 0 {
		change := (value - s.value) * (value - s.value) / (2 * s.variance)
		elapsed := float64(age) / float64(s.memory)
		remembered := math.Exp(-elapsed)
		// Observations that are much closer together, or much further apart, than the constant
		// hardly depend on it.
		information := math.E * elapsed * remembered
		step := memoryRate * information * (1 - remembered - min(change, maxChangeRatio))
		s.memory = min(maxMemory, max(minMemory, time.Duration(float64(s.memory)*math.Exp(step))))
	}
	weight := 1 / (s.observations + priorObservations + 1)
	if !first {
		weight = max(weight, 1-math.Exp(-float64(age)/float64(meanTime)))
	}
	s.observations++
	difference := value - s.mean
	s.mean += weight * difference
	s.variance = (1 - weight) * (s.variance + weight*difference*difference)
	s.value, s.at = value, at
}

// observed reports whether there is an observation.
func (s *signal) observed() bool { return !s.at.IsZero() }

// weight returns the weight of the last observation at a time, from 1 to 0.
func (s *signal) weight(now time.Time) float64 {
	if !s.observed() {
		return 0
	}
	return math.Exp(-float64(max(0, now.Sub(s.at))) / float64(s.memory))
}

// expected returns the expected value at a time.
func (s *signal) expected(now time.Time) float64 {
	return s.mean + (s.value-s.mean)*s.weight(now)
}

// expectedDuring returns the expected average of the value during a time from now on.
func (s *signal) expectedDuring(now time.Time, d time.Duration) float64 {
	return s.mean + (s.expected(now)-s.mean)*s.persistence(d)
}

// persistence returns the share of a deviation from the mean that remains on average during the
// time after it was observed.
func (s *signal) persistence(d time.Duration) float64 {
	ratio := float64(d) / float64(s.memory)
	if ratio < 1e-3 {
		return 1
	}
	return (1 - math.Exp(-ratio)) / ratio
}

// uncertainty returns the variance of the value around the expected one.
func (s *signal) uncertainty(now time.Time) float64 {
	w := s.weight(now)
	return s.variance * (1 - w*w)
}
