package admission

import (
	"time"
)

const (
	// maxWaitShare is the share of the time to its deadline that a request may wait. A caller
	// that is refused later has too little time to try elsewhere.
	maxWaitShare = 0.5
	// newcomerShare is the share of that time that the expected wait of a new request may take. In
	// replays with 0.75, more requests were refused late, when others had displaced them.
	newcomerShare = 0.5
	// firstShare is the same for a request without others of its customer ahead of it. Their
	// customers are mostly those that use less than their share.
	firstShare = 0.8
	// minRetryAfter and maxRetryAfter bound the time after which a refused caller may return.
	minRetryAfter = 100 * time.Millisecond
	maxRetryAfter = 4 * time.Second
)

// Refusal is a request that cannot be answered in time.
type Refusal struct {
	Ticket *Ticket
	// RetryAfter is when there is room for the request.
	RetryAfter time.Duration
}

// Controller decides at one instance which requests for a service are sent, wait or are refused
// while the service is under pressure. It combines the order of a Queue with the estimate of a
// Capacity. It does no input or output; the caller synchronizes access and passes the time.
type Controller struct {
	queue    *Queue
	capacity *Capacity
	returns  returns
	// costs holds the mean response time in milliseconds of each route, measured without
	// pressure, as the work of its requests.
	costs    map[string]float64
	meanCost float64
}

// NewController returns a controller of one service, in which each customer may have limit
// requests waiting.
func NewController(now time.Time, limit int) *Controller {
	return &Controller{queue: NewQueue(limit), capacity: NewCapacity(now), costs: map[string]float64{}, meanCost: 1}
}

// Capacity returns the estimate of the capacity.
func (c *Controller) Capacity() *Capacity { return c.capacity }

// Waiting returns the number of waiting requests.
func (c *Controller) Waiting() int { return c.queue.Len() }

// UnderPressure reports whether requests may have to wait.
func (c *Controller) UnderPressure(now time.Time) bool {
	if c.queue.Len() == 0 {
		c.capacity.Settle(now)
	}
	return c.capacity.UnderPressure()
}

// Cost returns the expected work of a request of a route.
func (c *Controller) Cost(route string) float64 {
	if cost, ok := c.costs[route]; ok {
		return max(1, cost)
	}
	return max(1, c.meanCost)
}

// LatestStart returns until when a request that is due at a time may wait.
func LatestStart(now, due time.Time) time.Time {
	return now.Add(time.Duration(maxWaitShare * float64(due.Sub(now))))
}

// Offer adds a request to the queue. It returns false, and when there is room, if its customer
// has too many in it.
func (c *Controller) Offer(now time.Time, t *Ticket) (time.Duration, bool) {
	t.offeredAt = now
	if c.returns.take(now, t) {
		t.returning = true
	}
	if c.queue.Offer(t) {
		return 0, true
	}
	return c.refuse(now, t, c.capacity.Wait(now, float64(c.queue.Len()))), false
}

// Refuse removes the requests that cannot be answered in time. It follows the order in which
// the queue would serve them; a new request may so displace others that come after it.
func (c *Controller) Refuse(now time.Time) []Refusal {
	if c.queue.Len() == 0 {
		return nil
	}
	// The queue is changed after the plan, which shares its memory, is done.
	var out []Refusal
	plan := c.queue.clone()
	ahead := 0.0
	own := map[string]int{}
	latency := c.capacity.Latency(now)
	for {
		t, expired := plan.Next(now)
		wait := c.capacity.Wait(now, ahead)
		for _, e := range expired {
			out = append(out, Refusal{e, wait})
		}
		if t == nil {
			break
		}
		if !t.accepted {
			// Others of its customer are ahead, and other customers will go on to send.
			wait = max(wait, time.Duration(own[t.customer])*c.queue.interval(t.customer))
		}
		share := 1.0
		switch {
		case t.accepted:
		case own[t.customer] > 0:
			share = newcomerShare
		default:
			share = firstShare
		}
		if !inTime(now, t, share, wait, latency) {
			plan.refund(t)
			out = append(out, Refusal{t, wait})
			continue
		}
		t.accepted = true
		own[t.customer]++
		ahead += t.cost / c.meanCost
	}
	for i, r := range out {
		c.queue.Cancel(r.Ticket)
		out[i].RetryAfter = c.refuse(now, r.Ticket, r.RetryAfter)
	}
	return out
}

// inTime reports whether a request that waits and then takes as long as others can be answered
// in time. The wait may take a share of the time until its deadline in the queue.
func inTime(now time.Time, t *Ticket, share float64, wait, latency time.Duration) bool {
	if wait > time.Duration(share*float64(t.deadline.Sub(now))) {
		return false
	}
	return t.answerBy.IsZero() || !now.Add(wait+latency).After(t.answerBy)
}

// refuse remembers a refused caller and returns when there is room for it: when the wait has
// become short enough and the callers of its customer that were refused before have had their
// turn.
func (c *Controller) refuse(now time.Time, t *Ticket, wait time.Duration) time.Duration {
	allowed := time.Duration(newcomerShare * float64(max(0, t.deadline.Sub(now))))
	turn := float64(c.capacity.Latency(now)) / max(c.capacity.Window(), minWindow)
	turn *= t.cost / c.meanCost * float64(max(1, c.queue.customersWaiting()))
	before := float64(c.returns.expected(now, t.customer))
	retryAfter := max(0, wait-allowed) + time.Duration(min(before*turn, float64(maxRetryAfter)))
	retryAfter = min(max(retryAfter, minRetryAfter), maxRetryAfter)
	c.returns.add(now, t, retryAfter)
	return retryAfter
}

// Refused remembers a caller whose request was admitted and then rejected by all servers, and
// returns when there is room.
func (c *Controller) Refused(now time.Time, t *Ticket) time.Duration {
	return c.refuse(now, t, c.capacity.Wait(now, float64(c.queue.Len())))
}

// Take counts a request that is sent and returns true if there is room for it.
func (c *Controller) Take(now time.Time) bool {
	if !c.capacity.HasRoom(now) {
		return false
	}
	c.capacity.Begin(now)
	return true
}

// Next removes the next request from the queue and counts it if there is room for it. It is
// called after Refuse.
func (c *Controller) Next(now time.Time) (*Ticket, bool) {
	if c.queue.Len() == 0 || !c.Take(now) {
		return nil, false
	}
	t, _ := c.queue.Next(now)
	return t, t != nil
}

// End counts a request of a route, begun at a time, that has ended. served means that a server
// responded.
func (c *Controller) End(now, begun time.Time, route string, served bool) {
	c.capacity.End(now, begun, served)
	if !served {
		return
	}
	ms := float64(now.Sub(begun)) / float64(time.Millisecond)
	cost, known := c.costs[route]
	switch {
	case !known:
		cost = ms
	case !c.capacity.UnderPressure():
		cost += smoothing * (ms - cost)
	}
	c.costs[route] = cost
	c.meanCost = max(1, c.meanCost+smoothing*(max(1, cost)-c.meanCost))
}
