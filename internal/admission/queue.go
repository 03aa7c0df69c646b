// Package admission queues requests for the backend servers of a service,
// orders them fairly between customers, and rejects requests over the queue
// limit at once instead of letting them time out.
package admission

import (
	"cmp"
	"slices"
	"time"
)

// Priority is a priority class. A class is served only when no request of a
// higher class is waiting.
type Priority uint8

// The priority classes, from the highest to the lowest.
const (
	Live Priority = iota
	Rollout
	priorityCount
)

const (
	// maxPassedOver is how many turns of a customer a lane with demand may be passed over by
	// lanes that go first. Its next ticket then gets the turn, so that no class starves.
	maxPassedOver = 7
	// maxTurnInterval bounds the measured time between two turns of a customer.
	maxTurnInterval = 10 * time.Second
	// maxIdleFlows is the number of customers from which on the state of idle ones is removed.
	maxIdleFlows = 1024
)

// Ticket is a request in the queue.
type Ticket struct {
	customer string
	weight   float64
	cost     float64
	priority Priority
	deadline time.Time
	startTag float64
	sequence uint64
	// class orders the tickets of one customer; 0 is served first.
	class int
	// returning tickets are those of callers that were refused and came back.
	returning bool
	// origin identifies the caller's request across its attempts; 0 if it has no identity.
	origin uint64
	// answerBy is when the response is due; zero if only the deadline counts.
	answerBy time.Time
	// offeredAt is when the ticket came into the queue of a Controller.
	offeredAt time.Time
	// accepted is set once the ticket was found servable in time.
	accepted bool
}

// NewTicket returns a ticket. The cost is the expected number of tokens. A
// ticket that is not served before the deadline expires.
func NewTicket(customer string, weight, cost float64, priority Priority, deadline time.Time) *Ticket {
	return &Ticket{customer: customer, weight: max(weight, 1e-6), cost: max(cost, 1), priority: priority, deadline: deadline}
}

// WithClass sets the class of a ticket among those of its customer; 0 is the highest.
func (t *Ticket) WithClass(class int) *Ticket {
	t.class = class
	return t
}

// WithOrigin sets what identifies the caller's request across its attempts.
func (t *Ticket) WithOrigin(origin uint64) *Ticket {
	t.origin = origin
	return t
}

// Return marks a ticket as that of a returning caller.
func (t *Ticket) Return() { t.returning = true }

// AnswerBy sets when the response to the request is due.
func (t *Ticket) AnswerBy(due time.Time) *Ticket {
	t.answerBy = due
	return t
}

// Customer returns the customer that sent the request.
func (t *Ticket) Customer() string { return t.customer }

// Returning reports whether the caller was refused before and came back.
func (t *Ticket) Returning() bool { return t.returning }

// lane holds the tickets of one class of a customer in order of arrival.
type lane struct {
	returning bool
	class     int
	tickets   []*Ticket
	// wanted is set while the lane has had a ticket since it was last served empty.
	wanted bool
	// passedOver counts the turns that other lanes got while this one was wanted.
	passedOver int
}

// compare orders lanes: returning callers first, then by class.
func (l *lane) compare(returning bool, class int) int {
	if l.returning != returning {
		if l.returning {
			return -1
		}
		return 1
	}
	return cmp.Compare(l.class, class)
}

// flow is the fair queueing state of one customer.
type flow struct {
	// finishTag is the start tag of the customer's next ticket.
	finishTag float64
	waiting   int
	servedAt  time.Time
	// interval is the mean time between two turns while tickets wait.
	interval time.Duration
	lanes    [priorityCount][]lane
}

// lane returns the lane of a ticket, which is created if it is missing.
func (f *flow) lane(t *Ticket) *lane {
	lanes := f.lanes[t.priority]
	i := slices.IndexFunc(lanes, func(l lane) bool { return l.compare(t.returning, t.class) >= 0 })
	if i < 0 {
		i = len(lanes)
	}
	if i == len(lanes) || lanes[i].compare(t.returning, t.class) != 0 {
		f.lanes[t.priority] = slices.Insert(lanes, i, lane{returning: t.returning, class: t.class})
	}
	return &f.lanes[t.priority][i]
}

// next returns the lane that gets the customer's next turn; nil if none has a ticket.
func (f *flow) next(p Priority) *lane {
	var first, overdue *lane
	for i := range f.lanes[p] {
		l := &f.lanes[p][i]
		if len(l.tickets) == 0 {
			continue
		}
		if first == nil {
			first = l
		}
		if l.passedOver >= maxPassedOver && (overdue == nil || l.passedOver > overdue.passedOver) {
			overdue = l
		}
	}
	if overdue != nil {
		return overdue
	}
	return first
}

// countTurn records that a lane got a turn.
func (f *flow) countTurn(p Priority, served *lane) {
	for i := range f.lanes[p] {
		l := &f.lanes[p][i]
		switch {
		case l == served:
			l.passedOver = 0
			l.wanted = len(l.tickets) > 0
		case l.wanted:
			l.passedOver++
		}
	}
}

// measure updates the time between two turns. A ticket that found none of its customer waiting
// counts with its own wait.
func (f *flow) measure(now time.Time, t *Ticket) {
	since := f.servedAt
	if t.offeredAt.After(since) {
		since = t.offeredAt
	}
	f.servedAt = now
	f.interval += time.Duration(smoothing * float64(min(now.Sub(since), maxTurnInterval)-f.interval))
}

// pop removes the first ticket. It does not change the array, which a copy of the queue shares.
func (l *lane) pop() *Ticket {
	t := l.tickets[0]
	l.tickets = l.tickets[1:]
	if len(l.tickets) == 0 {
		l.tickets = nil
	}
	return t
}

// insert adds a ticket in order of arrival.
func (l *lane) insert(t *Ticket) {
	i := len(l.tickets)
	for i > 0 && l.tickets[i-1].sequence > t.sequence {
		i--
	}
	l.tickets = slices.Insert(l.tickets, i, t)
}

// Queue implements start-time fair queueing between the customers of one
// service. Among the tickets of one customer, returning callers go first, then
// higher classes, but each class gets one turn in maxPassedOver+1. It uses no
// goroutine, clock or lock; the caller synchronizes access and passes the time.
type Queue struct {
	limit        int
	waiting      int
	virtualTime  float64
	lastSequence uint64
	flows        map[string]*flow
}

// NewQueue returns a queue in which each customer may have limit tickets.
func NewQueue(limit int) *Queue {
	return &Queue{limit: limit, flows: map[string]*flow{}}
}

// SetLimit sets how many tickets each customer may have in the queue.
func (q *Queue) SetLimit(limit int) { q.limit = limit }

// Len returns the number of tickets in the queue.
func (q *Queue) Len() int { return q.waiting }

// WaitingByCustomer returns the number of tickets in the queue by customer.
func (q *Queue) WaitingByCustomer() map[string]int {
	out := map[string]int{}
	for name, f := range q.flows {
		if f.waiting > 0 {
			out[name] = f.waiting
		}
	}
	return out
}

// customersWaiting returns the number of customers with tickets in the queue.
func (q *Queue) customersWaiting() int {
	n := 0
	for _, f := range q.flows {
		if f.waiting > 0 {
			n++
		}
	}
	return n
}

// interval returns the mean time between two turns of a customer while tickets of it wait.
func (q *Queue) interval(customer string) time.Duration {
	if f, ok := q.flows[customer]; ok {
		return f.interval
	}
	return 0
}

// Offer adds a ticket. It returns false if the customer is at the limit.
func (q *Queue) Offer(t *Ticket) bool {
	f := q.flow(t.customer)
	l := f.lane(t)
	l.wanted = true
	if f.waiting >= q.limit {
		return false
	}
	if f.waiting == 0 {
		f.finishTag = max(q.virtualTime, f.finishTag)
	}
	q.lastSequence++
	t.sequence = q.lastSequence
	l.insert(t)
	f.waiting++
	q.waiting++
	return true
}

// flow returns the state of a customer, which is created if it is missing.
func (q *Queue) flow(customer string) *flow {
	f, ok := q.flows[customer]
	if ok {
		return f
	}
	if len(q.flows) >= maxIdleFlows {
		for name, f := range q.flows {
			if f.waiting == 0 && f.finishTag <= q.virtualTime {
				delete(q.flows, name)
			}
		}
	}
	f = &flow{finishTag: q.virtualTime}
	q.flows[customer] = f
	return f
}

// Next removes and returns the next ticket to serve, and the expired tickets
// that it removed before finding one.
func (q *Queue) Next(now time.Time) (next *Ticket, expired []*Ticket) {
	for p := range priorityCount {
		for {
			f, l := q.nextLane(p)
			if l == nil {
				break
			}
			t := l.pop()
			f.waiting--
			q.waiting--
			if !now.Before(t.deadline) {
				expired = append(expired, t)
				continue
			}
			t.startTag = f.finishTag
			q.virtualTime = max(q.virtualTime, t.startTag)
			f.finishTag += t.cost / t.weight
			f.countTurn(p, l)
			f.measure(now, t)
			return t, expired
		}
	}
	return nil, expired
}

// nextLane returns the customer with the lowest start tag, and its lane that gets the turn.
// Of customers with equal tags, the one whose ticket came first is returned.
func (q *Queue) nextLane(p Priority) (*flow, *lane) {
	var bestFlow *flow
	var best *lane
	for _, f := range q.flows {
		if f.waiting == 0 || best != nil && f.finishTag > bestFlow.finishTag {
			continue
		}
		l := f.next(p)
		if l == nil {
			continue
		}
		if best == nil || f.finishTag < bestFlow.finishTag || l.tickets[0].sequence < best.tickets[0].sequence {
			bestFlow, best = f, l
		}
	}
	return bestFlow, best
}

// Requeue puts a ticket that could not be served back at its previous position.
func (q *Queue) Requeue(t *Ticket) {
	f := q.flow(t.customer)
	f.finishTag -= t.cost / t.weight
	l := f.lane(t)
	l.wanted = true
	l.insert(t)
	f.waiting++
	q.waiting++
}

// Cancel removes a ticket. A customer is charged only for served tickets. It
// returns false if the ticket is not in the queue.
func (q *Queue) Cancel(t *Ticket) bool {
	f, ok := q.flows[t.customer]
	if !ok {
		return false
	}
	l := f.lane(t)
	i := slices.Index(l.tickets, t)
	if i < 0 {
		return false
	}
	l.tickets = slices.Delete(l.tickets, i, i+1)
	f.waiting--
	q.waiting--
	return true
}

// CorrectCost replaces the expected cost of a ticket by the actual cost in the
// customer's account.
func (q *Queue) CorrectCost(t *Ticket, actual float64) {
	if f, ok := q.flows[t.customer]; ok {
		f.finishTag += (actual - t.cost) / t.weight
	}
}

// clone returns a copy in which the order of service can be tried out. Only Next and refund
// may be called on it, and the original must not change meanwhile.
func (q *Queue) clone() *Queue {
	c := &Queue{limit: q.limit, waiting: q.waiting, virtualTime: q.virtualTime, flows: make(map[string]*flow, len(q.flows))}
	for name, f := range q.flows {
		if f.waiting == 0 {
			continue
		}
		copied := *f
		for p := range copied.lanes {
			copied.lanes[p] = slices.Clone(f.lanes[p])
		}
		c.flows[name] = &copied
	}
	return c
}

// refund takes back what a customer was charged for a ticket that Next just returned.
func (q *Queue) refund(t *Ticket) { q.flows[t.customer].finishTag -= t.cost / t.weight }
