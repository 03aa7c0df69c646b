package scheduler

import (
	"math"
	"time"
)

const (
	// latencyDecay is the time after which a measured speed has lost most of its
	// weight, so that an engine that was slow gets work again.
	latencyDecay = 6 * time.Second
	// defaultMsPerEvent is assumed until any engine has made events, in milliseconds
	// an event.
	defaultMsPerEvent = 36
	// baseSmoothing is the weight of a better measurement in an engine's base:
	// events that were held up arrive in quick succession and look fast.
	baseSmoothing = 0.1
	// maxBaseRatio is how many times slower than the best engine an engine may
	// be for good; what is over it is taken as a spell.
	maxBaseRatio = 1.5
)

// engine is what runs have shown of a model engine.
type engine struct {
	// recent is the recent milliseconds an event, base what it is
	// at its best.
	recent     float64
	base       float64
	measuredAt time.Time
	// backoffUntil is until when it gets nothing, loads until when no texts of a
	// model.
	backoffUntil time.Time
	loadingUntil map[string]time.Time
}

// latencyTracker is what runs have shown of all engines.
type latencyTracker struct {
	engines map[string]*engine
	// best is the lowest base and mean that of all engines with one, both 0
	// before the first measurement.
	best, mean float64
}

func newLatencyTracker() *latencyTracker { return &latencyTracker{engines: map[string]*engine{}} }

// get returns an engine.
func (s *latencyTracker) get(id string) *engine {
	e, ok := s.engines[id]
	if !ok {
		e = &engine{loadingUntil: map[string]time.Time{}}
		s.engines[id] = e
	}
	return e
}

// record notes the milliseconds an event that a run at an engine takes.
func (s *latencyTracker) record(id string, now time.Time, speed float64) {
	e := s.get(id)
	e.recent = s.expected(id, now) + latencySmoothing*(speed-s.expected(id, now))
	if e.base == 0 {
		e.recent = speed
	}
	switch {
	case e.base == 0:
		e.base = e.recent
	case e.recent < e.base:
		e.base += baseSmoothing * (e.recent - e.base)
	}
	e.measuredAt = now
	s.summarize()
}

func (s *latencyTracker) summarize() {
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
func (s *latencyTracker) expected(id string, now time.Time) float64 {
	if s.best == 0 {
		return defaultMsPerEvent
	}
	e := s.get(id)
	if e.base == 0 {
		return s.mean
	}
	base := min(e.base, maxBaseRatio*s.best)
	weight := math.Exp(-float64(now.Sub(e.measuredAt)) / float64(latencyDecay))
	return base + (e.recent-base)*weight
}
