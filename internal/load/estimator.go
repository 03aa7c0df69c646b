package load

import (
	"math"
	"time"
)

const (
	// minSlowness is the lowest slowness that is believed. Neighbours only slow a server down,
	// so a lower value is an error, and would attract all requests until the usual time is
	// learned anew.
	minSlowness = 0.8
	// reportRetention is how long a server counts as one that reports its slowness.
	reportRetention = 30 * time.Second
	// unevenRatio is the ratio between two slownesses from which a service counts as unevenly
	// loaded, and unevenTime how long that lasts.
	unevenRatio = 1.25
	unevenTime  = 2 * time.Second
	// timesMemory is how many measurements the usual time is averaged over.
	timesMemory = 20
	// priorTimes is how many measurements the usual time of the other servers counts for. With
	// it, a server with few measurements is not avoided because of one that took long.
	priorTimes = 1
	// maxTimeRatio times the expected time is the longest that one measurement counts for. A
	// pause of this process or a lost packet says little about the server.
	maxTimeRatio = 2.5
	// timesDecay is the time constant with which an old usual time decays towards that of the
	// other servers. Without the decay, a server whose requests were slow once would get no
	// request and no new measurement.
	timesDecay = 20 * time.Second
	// arrivalVariance is the variance of the number of requests at a server that other
	// instances cause while a request is on its way.
	arrivalVariance = 1
	// rejectionTime is how long a rejection shows that all places of a server are taken, and
	// rejectionQueue times its slots the number of waiting requests that is assumed then.
	rejectionTime  = 300 * time.Millisecond
	rejectionQueue = 4
	// minUsualMS is the lowest usual time that is assumed.
	minUsualMS = 0.1
	// unmeasuredShare times the typical time is assumed of a server without measurements.
	// Otherwise it would get no request, and so no measurement, while the other servers are slow.
	unmeasuredShare = 0.5
)

// Estimator estimates how long a request that is sent to a server now takes:
// usual time x slowness x (1 + waiting / slots).
//
// Load pattern: servers whose neighbours slow them down for moments, many times a second, and
// bursts of requests from many instances that each see few reports. It is not safe for
// concurrent use.
type Estimator struct {
	slowness signal
	load     signal
	slots    int
	// sentSince counts the requests sent since the last report, which does not include them.
	sentSince int
	// rejectedAt is when the server last rejected a request.
	rejectedAt time.Time
	unevenAt   time.Time
	// timeSum and factorSum are decaying sums of measured times in milliseconds and of the
	// factors by which load and slowness extended them. Their ratio is the usual time; unlike an
	// average of ratios it is hardly affected by a single wrong report.
	timeSum    float64
	factorSum  float64
	measuredAt time.Time
}

// NewEstimator returns an estimator of a server that has reported nothing.
func NewEstimator() *Estimator {
	return &Estimator{slowness: newSignal(1), load: newSignal(0)}
}

// Report adds a report of the server. Without a slowness, it is ignored.
func (e *Estimator) Report(r Report) {
	if r.Slowness <= 0 || !e.slowness.at.IsZero() && r.At.Before(e.slowness.at) {
		return
	}
	slowness := max(minSlowness, r.Slowness)
	if r.Waiting > 0 || e.slowness.observed() && r.At.Sub(e.slowness.at) <= unevenTime && differ(slowness, e.slowness.value) {
		e.unevenAt = r.At
	}
	e.slowness.observe(slowness, r.At)
	e.load.observe(float64(r.Load()), r.At)
	e.slots = r.Slots
	e.sentSince = 0
}

// differ reports whether two slownesses differ enough to prefer a server.
func differ(a, b float64) bool { return max(a, b) > unevenRatio*min(a, b) }

// Reports reports whether the server reported its slowness lately.
func (e *Estimator) Reports(now time.Time) bool {
	return e.slowness.observed() && now.Sub(e.slowness.at) <= reportRetention
}

// Sent records that a request is sent to the server.
func (e *Estimator) Sent() { e.sentSince++ }

// NotSent takes back a call of Sent.
func (e *Estimator) NotSent() { e.sentSince = max(0, e.sentSince-1) }

// Rejected records that the server had no room for a request.
func (e *Estimator) Rejected(now time.Time) { e.rejectedAt = now }

// Measured records how long a request took at a server. factor is Factor when it was sent, and
// typicalMS the usual time at the servers of the service.
func (e *Estimator) Measured(now time.Time, took time.Duration, factor, typicalMS float64) {
	factor = max(minSlowness, factor)
	ms := min(float64(took)/float64(time.Millisecond), maxTimeRatio*factor*max(typicalMS, e.usual(now, typicalMS)))
	keep := 1 - 1.0/timesMemory
	e.timeSum = keep*e.timeSum + ms
	e.factorSum = keep*e.factorSum + factor
	e.measuredAt = now
}

// ForgetTimes drops the measured times, which were those of a faulty path.
func (e *Estimator) ForgetTimes() { e.timeSum, e.factorSum, e.measuredAt = 0, 0, time.Time{} }

// UsualMS returns the learned usual time in milliseconds, or 0 if there is none.
func (e *Estimator) UsualMS() float64 {
	if e.factorSum == 0 {
		return 0
	}
	return e.timeSum / e.factorSum
}

// Slowness returns the expected slowness.
func (e *Estimator) Slowness(now time.Time) float64 { return e.slowness.expected(now) }

// SlownessDuring returns the expected average slowness during a time from now on.
func (e *Estimator) SlownessDuring(now time.Time, d time.Duration) float64 {
	return e.slowness.expectedDuring(now, d)
}

// MeanSlowness returns the long-term mean of the slowness.
func (e *Estimator) MeanSlowness() float64 { return e.slowness.mean }

// Freshness returns the weight of the last report, from 1 for a new one to 0 for one that tells
// nothing about the present.
func (e *Estimator) Freshness(now time.Time) float64 { return e.slowness.weight(now) }

// Factor returns how many times longer than usual a request takes that is sent now. slots is
// used if the server did not report its slots; running is how many requests this process has at
// the server.
func (e *Estimator) Factor(now time.Time, slots, running int) float64 {
	if e.slots > 0 {
		slots = e.slots
	}
	queue := e.waiting(now, slots, running) / float64(max(1, slots))
	return e.slownessDuringWork(now) * (1 + queue)
}

// slownessDuringWork returns the expected average slowness while the server works on a request.
// It changes meanwhile if that takes longer than the slowness lasts.
func (e *Estimator) slownessDuringWork(now time.Time) float64 {
	return e.SlownessDuring(now, e.workTime())
}

// workTime returns how long the server usually works on a request.
func (e *Estimator) workTime() time.Duration {
	return time.Duration(e.UsualMS() * e.slowness.mean * float64(time.Millisecond))
}

// ExpectedMS returns the expected time in milliseconds of a request that is sent now. typicalMS
// is the usual time at the servers of the service.
func (e *Estimator) ExpectedMS(now time.Time, slots, running int, typicalMS float64) float64 {
	return e.usual(now, typicalMS) * e.Factor(now, slots, running)
}

// usual returns the usual time, which decays towards the typical one while no request is
// measured.
func (e *Estimator) usual(now time.Time, typicalMS float64) float64 {
	if e.factorSum == 0 {
		return max(minUsualMS, unmeasuredShare*typicalMS)
	}
	weight := math.Exp(-float64(max(0, now.Sub(e.measuredAt))) / float64(timesDecay))
	return max(minUsualMS, (weight*e.timeSum+priorTimes*typicalMS)/(weight*e.factorSum+priorTimes))
}

// waiting returns the expected number of waiting requests. Their number is that by which all
// requests exceed the slots, whose expected value grows with the uncertainty.
func (e *Estimator) waiting(now time.Time, slots, running int) float64 {
	requests := e.load.expected(now) + float64(min(e.sentSince, running))
	deviation := math.Sqrt(e.load.uncertainty(now) + arrivalVariance)
	waiting := expectedExcess(requests-float64(max(1, slots)), deviation)
	if !e.rejectedAt.IsZero() && now.Sub(e.rejectedAt) < rejectionTime {
		return max(waiting, float64(rejectionQueue*max(1, slots)))
	}
	return waiting
}

// deviationMS returns the standard deviation of the expected time in milliseconds, from what is
// not known about the slowness and the load.
func (e *Estimator) deviationMS(now time.Time, slots, running int, typicalMS float64) float64 {
	if e.slots > 0 {
		slots = e.slots
	}
	usual, slowness, persistence := e.usual(now, typicalMS), e.slownessDuringWork(now), e.slowness.persistence(e.workTime())
	queue := e.waiting(now, slots, running) / float64(max(1, slots))
	// The load matters only as far as it causes a queue.
	above := normalBelow((e.load.expected(now) - float64(max(1, slots))) / math.Sqrt(e.load.uncertainty(now)+arrivalVariance))
	bySlowness := (1 + queue) * (1 + queue) * persistence * persistence * e.slowness.uncertainty(now)
	byLoad := slowness * slowness * above * e.load.uncertainty(now) / float64(max(1, slots)*max(1, slots))
	return usual * math.Sqrt(bySlowness+byLoad)
}

// Candidate is a server that may get a request.
type Candidate struct {
	Estimator *Estimator
	// Slots are those of the registration, Running the requests of this process there.
	Slots, Running int
	// Penalty multiplies the expected time.
	Penalty float64
}

// ExpectedMS returns the expected time of the request at a candidate in milliseconds.
func (c Candidate) ExpectedMS(now time.Time, typicalMS float64) float64 {
	return c.Penalty * c.Estimator.ExpectedMS(now, c.Slots, c.Running, typicalMS)
}

// Gain returns how much sooner, on average, the request is answered if the present load of two
// candidates is looked up first and the better one is used, instead of the one that seems better
// now. It is the expected value of max(0, a - b) for normally distributed times.
func Gain(now time.Time, first, second Candidate, typicalMS float64) time.Duration {
	a := first.Penalty * first.Estimator.deviationMS(now, first.Slots, first.Running, typicalMS)
	b := second.Penalty * second.Estimator.deviationMS(now, second.Slots, second.Running, typicalMS)
	difference := math.Abs(first.ExpectedMS(now, typicalMS) - second.ExpectedMS(now, typicalMS))
	return time.Duration(expectedExcess(-difference, math.Hypot(a, b)) * float64(time.Millisecond))
}

// Uneven reports whether servers are unevenly loaded: lately one had waiting requests, or its
// slowness changed, or the slowness of two differed.
func Uneven(now time.Time, servers []*Estimator) bool {
	low, high := math.Inf(1), 0.0
	for _, e := range servers {
		if !e.unevenAt.IsZero() && now.Sub(e.unevenAt) <= unevenTime {
			return true
		}
		if e.slowness.observed() && now.Sub(e.slowness.at) <= unevenTime {
			low, high = min(low, e.slowness.value), max(high, e.slowness.value)
		}
	}
	return high > 0 && differ(low, high)
}

// TypicalMS returns the mean of the usual times of servers, or a default if none is known.
func TypicalMS(servers []*Estimator, defaultMS float64) float64 {
	sum, n := 0.0, 0
	for _, e := range servers {
		if usual := e.UsualMS(); usual > 0 {
			sum += usual
			n++
		}
	}
	if n == 0 {
		return defaultMS
	}
	return sum / float64(n)
}

// expectedExcess returns the expected value of max(0, x) for a normally distributed x.
func expectedExcess(mean, deviation float64) float64 {
	if deviation <= 0 {
		return max(0, mean)
	}
	z := mean / deviation
	return max(0, mean*normalBelow(z)+deviation*math.Exp(-z*z/2)/math.Sqrt(2*math.Pi))
}

// normalBelow returns the probability that a standard normal value is below z.
func normalBelow(z float64) float64 { return 0.5 * math.Erfc(-z/math.Sqrt2) }
