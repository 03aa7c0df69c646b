package ratelimit

import "time"

const (
	// burstTime is how much of its share a process may save up while it sends nothing.
	burstTime = 500 * time.Millisecond
	// firstDelay is the part of the interval between two requests that a process waits
	// when its share begins or more than doubles, since another process may just have used it.
	firstDelay = 0.5
	// raisedShare is how many times larger a share must be to count as new.
	raisedShare = 2
)

// Pacer spaces the requests of one process to one server. The zero value allows
// none, as its rate is 0.
type Pacer struct {
	// rate is in requests a second.
	rate float64
	// strict means that nothing is saved up.
	strict bool
	// next is when the next request is due if requests are evenly spaced.
	next time.Time
}

// SetRate changes the rate in requests a second; 0 allows no requests.
func (p *Pacer) SetRate(now time.Time, rate float64) {
	before := p.rate
	p.rate = rate
	if rate > raisedShare*before {
		p.Delay(now, time.Duration(firstDelay*float64(p.Interval())))
	}
}

// SetStrict changes whether requests are spaced evenly, without any saved up.
func (p *Pacer) SetStrict(strict bool) { p.strict = strict }

// burst returns how much of its share the process may save up.
func (p *Pacer) burst() time.Duration {
	if p.strict {
		return 0
	}
	return burstTime
}

// Rate returns the rate in requests a second.
func (p *Pacer) Rate() float64 { return p.rate }

// Interval returns the time between two requests; 0 at a rate of 0.
func (p *Pacer) Interval() time.Duration {
	if p.rate <= 0 {
		return 0
	}
	return time.Duration(float64(time.Second) / p.rate)
}

// Delay makes the next request wait until now plus d at least.
func (p *Pacer) Delay(now time.Time, d time.Duration) {
	if at := now.Add(d + p.burst()); at.After(p.next) {
		p.next = at
	}
}

// Wait returns how long the next request must wait, provided that the rate is above 0.
func (p *Pacer) Wait(now time.Time) time.Duration {
	return max(0, p.next.Add(-p.burst()).Sub(now))
}

// Allows reports whether a request may be sent now.
func (p *Pacer) Allows(now time.Time) bool { return p.rate > 0 && p.Wait(now) == 0 }

// Take reserves the next request and returns how long it must wait. Requests that are
// sent without waiting delay the later ones.
func (p *Pacer) Take(now time.Time) time.Duration {
	wait := p.Wait(now)
	if p.next.Before(now) {
		p.next = now
	}
	p.next = p.next.Add(p.Interval())
	return wait
}

// Available returns how many requests may be sent now, up to limit.
func (p *Pacer) Available(now time.Time, limit int) int {
	probe := *p
	n := 0
	for n < limit && probe.Allows(now) {
		probe.Take(now)
		n++
	}
	return n
}
