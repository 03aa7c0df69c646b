package scheduler

import (
	"math"
	"time"

	"cactusspoke/internal/load"
)

const (
	// latencyDecay is the time constant with which a recent latency decays
	// towards the engine's baseline. Without the decay, an engine that was slow
	// once would get no work and no new measurement.
	latencyDecay = 6 * time.Second
	// defaultMsPerEvent is assumed until any engine has been measured.
	defaultMsPerEvent = 36
	// baseSmoothing is the weight of a lower latency in an engine's baseline. It
	// is low because delayed events arrive in bursts and look fast.
	baseSmoothing = 0.1
	// maxBaseRatio caps an engine's baseline relative to the best engine's. What
	// exceeds it is treated as temporary.
	maxBaseRatio = 1.5
	// defaultColdRatio is how many times longer an event is assumed to take on a cold engine
	// until one was measured; maxColdRatio bounds what is learned.
	defaultColdRatio = 2
	maxColdRatio     = 20
	// measuredEvents is how many of the last events a run's measured latency mainly covers.
	measuredEvents = 1 / latencySmoothing
	// runEvents is the length of a run for which the slowness is averaged. Most items have 12 to
	// 22 events.
	runEvents = 20
)

// engine holds the latency and availability observed for a model engine.
type engine struct {
	// recent is the moving average of milliseconds per event; base follows its
	// low values. Both are 0 before the first measurement.
	recent     float64
	base       float64
	measuredAt time.Time
	// load estimates the slowness that the engine reports; nil if it reports none. recent and
	// base are then those of an engine that is not slowed down.
	load *load.Estimator
	// measuredSlowness is the average slowness during the time that measured latencies cover,
	// last updated at slownessAt.
	measuredSlowness float64
	slownessAt       time.Time
	// The engine gets no items before backoffUntil, and no items of a model
	// before loadingUntil of that model.
	backoffUntil time.Time
	loadingUntil map[string]time.Time
}

// latencyTracker estimates the latency per event of each engine.
type latencyTracker struct {
	engines map[string]*engine
	// best is the lowest and mean the average baseline of the measured engines;
	// both are 0 before the first measurement.
	best, mean float64
	// coldRatio is how many times longer events take on cold engines; 0 before the first
	// measurement.
	coldRatio float64
	// meanSlowed is the average of the baselines times the mean slowness of each engine.
	meanSlowed float64
}

func newLatencyTracker() *latencyTracker { return &latencyTracker{engines: map[string]*engine{}} }

// get returns the state of an engine, creating it if needed.
func (t *latencyTracker) get(id string) *engine {
	e, ok := t.engines[id]
	if !ok {
		e = &engine{loadingUntil: map[string]time.Time{}}
		t.engines[id] = e
	}
	return e
}

// report adds a load report of an engine. One without slowness means that the engine does not
// say, so that its measured latencies alone count.
func (t *latencyTracker) report(id string, r load.Report) {
	e := t.get(id)
	if r.Slowness <= 0 {
		e.load = nil
		return
	}
	if e.load == nil {
		e.load, e.measuredSlowness, e.slownessAt = load.NewEstimator(), 1, r.At
	}
	t.averageSlowness(e, r.At)
	e.load.Report(r)
}

// averageSlowness returns the average slowness during the time that measured latencies cover, or
// 1 for an engine that reports none. A slowness that was reported just now hardly changed the
// latencies measured so far.
func (t *latencyTracker) averageSlowness(e *engine, now time.Time) float64 {
	if e.load == nil {
		return 1
	}
	if elapsed := now.Sub(e.slownessAt); elapsed > 0 {
		covered := measuredEvents * t.average() * float64(time.Millisecond)
		// Half of the elapsed time ago, the report was younger.
		slowness := e.load.Slowness(now.Add(-elapsed / 2))
		e.measuredSlowness += (slowness - e.measuredSlowness) * (1 - math.Exp(-float64(elapsed)/covered))
		e.slownessAt = now
	}
	return e.measuredSlowness
}

// baseline returns the latency per event that a run at an engine is measured with while nothing
// but the reported slowness slows it down, or 0 before the first measurement.
func (t *latencyTracker) baseline(id string, now time.Time) float64 {
	e := t.get(id)
	return e.base * t.averageSlowness(e, now)
}

// record adds a measurement of an engine's milliseconds per event. The part that its reported
// slowness explains is not attributed to the engine.
func (t *latencyTracker) record(id string, now time.Time, msPerEvent float64) {
	e := t.get(id)
	msPerEvent /= t.averageSlowness(e, now)
	e.recent = t.usual(id, now) + latencySmoothing*(msPerEvent-t.usual(id, now))
	if e.base == 0 {
		e.recent = msPerEvent
	}
	switch {
	case e.base == 0:
		e.base = e.recent
	case e.load != nil:
		// The slowness is known only now and then. Following low values alone would take its
		// errors for a faster engine.
		e.base += baseSmoothing * (e.recent - e.base)
	case e.recent < e.base:
		e.base += baseSmoothing * (e.recent - e.base)
	}
	e.measuredAt = now
	t.summarize()
}

// recordCold adds a measurement of a cold engine. It says nothing about the engine's speed
// once it is warm.
func (t *latencyTracker) recordCold(id string, msPerEvent float64) {
	base := t.get(id).base
	if base == 0 {
		base = t.average()
	}
	ratio := max(1, min(maxColdRatio, msPerEvent/base))
	if t.coldRatio == 0 {
		t.coldRatio = ratio
	}
	t.coldRatio += latencySmoothing * (ratio - t.coldRatio)
}

// expectedCold estimates the milliseconds per event of a new run at a cold engine.
func (t *latencyTracker) expectedCold(id string, now time.Time) float64 {
	if t.coldRatio == 0 {
		return defaultColdRatio * t.expected(id, now)
	}
	return t.coldRatio * t.expected(id, now)
}

// summarize recomputes the best and mean baselines.
func (t *latencyTracker) summarize() {
	n := 0
	t.best, t.mean, t.meanSlowed = 0, 0, 0
	for _, e := range t.engines {
		if e.base == 0 {
			continue
		}
		n++
		t.mean += e.base
		t.meanSlowed += e.base * e.meanSlowness()
		if t.best == 0 || e.base < t.best {
			t.best = e.base
		}
	}
	t.mean /= float64(max(1, n))
	t.meanSlowed /= float64(max(1, n))
}

// meanSlowness returns the long-term mean of an engine's slowness.
func (e *engine) meanSlowness() float64 {
	if e.load == nil {
		return 1
	}
	return e.load.MeanSlowness()
}

// average returns the mean latency per event of the measured engines in
// milliseconds, slowed down as usual.
func (t *latencyTracker) average() float64 {
	if t.best == 0 {
		return defaultMsPerEvent
	}
	return t.meanSlowed
}

// expected estimates the milliseconds per event of a new run at an engine. It follows a
// slowness that the engine has just reported.
func (t *latencyTracker) expected(id string, now time.Time) float64 {
	usual := t.usual(id, now)
	if e := t.get(id); e.load != nil {
		return usual * e.load.Slowness(now)
	}
	return usual
}

// expectedDuringRun estimates the average milliseconds per event of a new run at an engine. A
// slowness that lasts for a part of the run counts for that part: an engine is not worth a
// migration because it is fast for a moment.
func (t *latencyTracker) expectedDuringRun(id string, now time.Time) float64 {
	return t.usual(id, now) * t.slownessDuringRun(t.get(id), now)
}

// remaining returns the expected milliseconds per event of the rest of a run at an engine, whose
// recent latency was measured.
func (t *latencyTracker) remaining(id string, now time.Time, msPerEvent float64) float64 {
	e := t.get(id)
	if e.load == nil {
		return msPerEvent
	}
	return msPerEvent / t.averageSlowness(e, now) * t.slownessDuringRun(e, now)
}

// slownessDuringRun returns the expected average slowness of an engine during a run.
func (t *latencyTracker) slownessDuringRun(e *engine, now time.Time) float64 {
	if e.load == nil {
		return 1
	}
	return e.load.SlownessDuring(now, time.Duration(runEvents*t.average()*float64(time.Millisecond)))
}

// usual estimates the milliseconds per event of a new run at an engine that is not slowed down.
// An unmeasured engine is assumed to be average; the estimate of one that was slow decays
// towards its baseline.
func (t *latencyTracker) usual(id string, now time.Time) float64 {
	if t.best == 0 {
		return defaultMsPerEvent
	}
	e := t.get(id)
	if e.base == 0 {
		return t.mean
	}
	base := min(e.base, maxBaseRatio*t.best)
	weight := math.Exp(-float64(now.Sub(e.measuredAt)) / float64(latencyDecay))
	return base + (e.recent-base)*weight
}
