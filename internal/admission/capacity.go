package admission

import (
	"time"
)

const (
	// targetLoad is the wanted load of the servers, as running and waiting requests by slot. A
	// round of waiting requests keeps the slots busy while single instances have none to send.
	targetLoad = 2.0
	// highLoad is the load from which on fewer requests are admitted. It also bounds what a
	// single server counts, since others may have room while it is slow.
	highLoad = 3.0
	// spareLoad is the load below which a service has spare capacity.
	spareLoad = 1.0
	// assumedQueue is the assumed length of a server's queue by slot. Servers do not state it.
	assumedQueue = 4
	// nearlyFull is the share of its queue from which on a server is under pressure.
	nearlyFull = 0.75
	// maxReportAge is how long the report of a server counts. An instance with a small part of
	// the traffic hears from each server about once a second.
	maxReportAge = 2 * time.Second
	// minPressure is the minimum time between the last rejection and the end of the pressure.
	minPressure = 300 * time.Millisecond
	// maxSilence ends the pressure if no rejection and no report of a load shows it.
	maxSilence = 2 * time.Second
	// minAdjustInterval is the minimum time between two changes of the window. A change shows in
	// the reports after about one response time.
	minAdjustInterval = 50 * time.Millisecond
	// rejectionFactor reduces the window after a rejection.
	rejectionFactor = 0.7
	// growthStep and growthShare are what the window grows by at once: a constant, with which
	// instances approach equal parts, and at most a share of it.
	growthStep  = 0.1
	growthShare = 0.25
	// minWindow is the smallest window: one request, and then a pause of nine response times.
	minWindow = 0.1
	// maxWindow bounds the window where servers report no load.
	maxWindow = 4096
	// maxWait bounds an expected wait, so that it can be added to a time.
	maxWait = time.Hour
	// smoothing is the weight of a new measurement in the moving averages.
	smoothing = 0.2
	// defaultLatency is the assumed response time until one is measured.
	defaultLatency = 20 * time.Millisecond
)

// report is the last known load of a server.
type report struct {
	running, waiting, slots int
	at                      time.Time
}

// Capacity estimates how many requests one of many instances may have at the servers of a
// service at once: its window. Under pressure the window follows the load that the servers
// report, and it shrinks after rejections, as in congestion control: no instance sees the
// others. It is meant for bursts of a large customer onto few servers, for demand of several
// times the capacity, and for servers that become slower for seconds. It does no input or
// output; the caller synchronizes access and passes the time.
type Capacity struct {
	reports map[string]report
	// part is this instance's equal part of the slots of the service.
	part     float64
	pressure bool
	window   float64
	// inFlight is the number of admitted requests; startedSum the sum of their starts after epoch.
	inFlight   int
	startedSum time.Duration
	epoch      time.Time
	latency    time.Duration
	adjustedAt time.Time
	rejectedAt time.Time
	// loadedAt is when a rejection or a report last showed that there is no spare capacity.
	loadedAt time.Time
	// rejected is set if a server rejected a request since the last change of the window.
	rejected bool
	// endedAt is when a request last ended.
	endedAt time.Time
}

// NewCapacity returns the estimate of a service without pressure.
func NewCapacity(now time.Time) *Capacity {
	return &Capacity{reports: map[string]report{}, epoch: now, latency: defaultLatency}
}

// UnderPressure reports whether requests may have to wait.
func (c *Capacity) UnderPressure() bool { return c.pressure }

// Window returns how many requests may be at the servers at once. If it is below one, there is
// a pause after each request.
func (c *Capacity) Window() float64 { return c.window }

// InFlight returns the number of admitted requests that have not ended.
func (c *Capacity) InFlight() int { return c.inFlight }

// SetPart sets this instance's equal part of the slots of the service.
func (c *Capacity) SetPart(slots, instances int) {
	c.part = float64(max(0, slots)) / float64(max(1, instances))
}

// Report records the load of a server.
func (c *Capacity) Report(now time.Time, server string, running, waiting, slots int) {
	c.reports[server] = report{running, waiting, max(1, slots), now}
	full := float64(waiting) >= nearlyFull*assumedQueue*float64(max(1, slots))
	if full {
		c.begin(now)
	}
	if c.pressure {
		c.adjust(now)
	}
}

// Reject records that a server had no room for a request.
func (c *Capacity) Reject(now time.Time, server string, slots int) {
	slots = max(1, slots)
	c.reports[server] = report{slots, assumedQueue * slots, slots, now}
	c.rejectedAt = now
	c.rejected = true
	c.begin(now)
	c.adjust(now)
}

// Forget drops the report of a server that is gone.
func (c *Capacity) Forget(server string) { delete(c.reports, server) }

// begin begins the pressure, or goes on with it.
func (c *Capacity) begin(now time.Time) {
	c.loadedAt = now
	if c.pressure {
		return
	}
	c.pressure = true
	// What is in flight may be far more than the servers take: this instance's part of all
	// their places is the most that is likely.
	c.window = max(c.floor(), min(rejectionFactor*float64(c.inFlight), c.part*(1+assumedQueue)))
	c.rejected = false
	c.adjustedAt = now
}

// floor is the window that an instance always has. Equal parts of the slots together fill them
// without a queue.
func (c *Capacity) floor() float64 { return max(minWindow, c.part*targetLoad) }

// adjust changes the window at most once in a response time.
func (c *Capacity) adjust(now time.Time) {
	load, known := c.load(now)
	if known && load >= spareLoad {
		c.loadedAt = now
	}
	if now.Sub(c.adjustedAt) < max(minAdjustInterval, c.latency) {
		return
	}
	c.adjustedAt = now
	switch {
	case c.rejected:
		c.window *= rejectionFactor
	case known && load >= highLoad:
		c.window *= targetLoad / highLoad
	case c.inFlight+1 < int(c.window):
		// A window that is not used says nothing about what the servers can take.
	case known && load < targetLoad:
		c.window += growthStep + c.window*min(growthShare, (targetLoad-load)/targetLoad)
	case !known:
		c.window += growthStep + c.window*growthShare/2
	}
	c.rejected = false
	c.window = min(max(c.window, c.floor()), maxWindow)
}

// load returns the mean load of the servers by slot, and whether any is known.
func (c *Capacity) load(now time.Time) (float64, bool) {
	used, slots := 0.0, 0.0
	for server, r := range c.reports {
		if now.Sub(r.at) > maxReportAge {
			delete(c.reports, server)
			continue
		}
		used += min(float64(r.running+r.waiting), highLoad*float64(r.slots))
		slots += float64(r.slots)
	}
	if slots == 0 {
		return 0, false
	}
	return used / slots, true
}

// Settle ends the pressure if there is spare capacity. No request may be waiting.
func (c *Capacity) Settle(now time.Time) {
	if !c.pressure || now.Sub(c.rejectedAt) < minPressure || now.Sub(c.loadedAt) < minPressure {
		return
	}
	load, known := c.load(now)
	if known && load < spareLoad || now.Sub(c.loadedAt) >= maxSilence {
		c.pressure = false
	}
}

// HasRoom reports whether a request may be sent.
func (c *Capacity) HasRoom(now time.Time) bool {
	if !c.pressure {
		return true
	}
	if c.window >= 1 {
		return c.inFlight < int(c.window)
	}
	return c.inFlight == 0 && c.Pause(now) <= 0
}

// Pause returns the time until a request may be sent although none is in flight, since the
// window is below one.
func (c *Capacity) Pause(now time.Time) time.Duration {
	if !c.pressure || c.window >= 1 || c.inFlight > 0 {
		return 0
	}
	pause := time.Duration(float64(c.latency) * (1/c.window - 1))
	return c.endedAt.Add(pause).Sub(now)
}

// Begin counts a request that is sent.
func (c *Capacity) Begin(now time.Time) {
	c.inFlight++
	c.startedSum += now.Sub(c.epoch)
}

// End counts a request, begun at a time, that has ended. served means that a server responded.
func (c *Capacity) End(now, begun time.Time, served bool) {
	c.inFlight--
	c.startedSum -= begun.Sub(c.epoch)
	c.endedAt = now
	if served {
		c.latency += time.Duration(smoothing * float64(now.Sub(begun)-c.latency))
	}
	if c.pressure {
		c.adjust(now)
	}
}

// Latency returns the expected response time. It is at least the mean age of the requests in
// flight, which shows that the servers have become slower before any response does.
func (c *Capacity) Latency(now time.Time) time.Duration {
	if c.inFlight == 0 {
		return c.latency
	}
	age := now.Sub(c.epoch) - c.startedSum/time.Duration(c.inFlight)
	return max(c.latency, age)
}

// Wait returns the expected time until a request is sent before which others, worth ahead
// requests of mean cost, are sent.
func (c *Capacity) Wait(now time.Time, ahead float64) time.Duration {
	window := max(c.window, minWindow)
	position := ahead + float64(c.inFlight-int(max(1, window)))
	if position < 0 {
		return 0
	}
	return time.Duration(min((position+1)*float64(c.Latency(now))/window, float64(maxWait)))
}
