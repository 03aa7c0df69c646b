package scheduler

import (
	"math"
	"time"
)

const (
	// speedMemory is the time after which a measured speed has lost most of its
	// weight, so that an engine that was slow gets work again.
	speedMemory = 6 * time.Second
	// firstSpeed is assumed until any engine has made events, in milliseconds
	// an event.
	firstSpeed = 36
	// baseShare is the weight of a better measurement in an engine's base:
	// events that were held up arrive in quick succession and look fast.
	baseShare = 0.1
	// slowestBase is how many times slower than the best engine an engine may
	// be for good; what is over it is taken as a spell.
	slowestBase = 1.5
)

// engine is what runs have shown of a model engine.
type engine struct {
	// speed is the recent milliseconds an event, base what it is
	// at its best.
	speed      float64
	base       float64
	measuredAt time.Time
	// coldUntil is until when it gets nothing, loads until when no texts of a
	// model.
	coldUntil time.Time
	loads     map[string]time.Time
}

// speeds is what runs have shown of all engines.
type speeds struct {
	engines map[string]*engine
	// best is the lowest base and mean that of all engines with one, both 0
	// before the first measurement.
	best, mean float64
}

func newSpeeds() *speeds { return &speeds{engines: map[string]*engine{}} }

// of returns an engine.
func (s *speeds) of(id string) *engine {
	e, ok := s.engines[id]
	if !ok {
		e = &engine{loads: map[string]time.Time{}}
		s.engines[id] = e
	}
	return e
}

// measure notes the milliseconds an event that a run at an engine takes.
func (s *speeds) measure(id string, now time.Time, speed float64) {
	e := s.of(id)
	e.speed = s.expected(id, now) + speedShare*(speed-s.expected(id, now))
	if e.base == 0 {
		e.speed = speed
	}
	switch {
	case e.base == 0:
		e.base = e.speed
	case e.speed < e.base:
		e.base += baseShare * (e.speed - e.base)
	}
	e.measuredAt = now
	s.summarize()
}

func (s *speeds) summarize() {
	n := 0
	s.best, s.mean = 0, 0
	for _, e := range s.engines {
		if e.base == 0 {
			continue
		}
		n++
		s.mean += e.base
		if s.best == 0 || e.base < s.best {
			s.best = e.base
		}
	}
	s.mean /= float64(max(1, n))
}

// expected returns the milliseconds an event that a new run at an engine will
// take. An engine without measurements is taken for an average one; one that was
// slow for a while is trusted again bit by bit.
func (s *speeds) expected(id string, now time.Time) float64 {
	if s.best == 0 {
		return firstSpeed
	}
	e := s.of(id)
	if e.base == 0 {
		return s.mean
	}
	base := min(e.base, slowestBase*s.best)
	weight := math.Exp(-float64(now.Sub(e.measuredAt)) / float64(speedMemory))
	return base + (e.speed-base)*weight
}
