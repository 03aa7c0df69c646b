// Package admission queues requests for the backend servers of a service,
// orders them fairly between customers, and rejects requests over the queue
// limit at once instead of letting them time out.
package admission

import (
	"container/heap"
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

// Ticket is a request in the queue.
type Ticket struct {
	customer string
	weight   float64
	cost     float64
	priority Priority
	deadline time.Time
	startTag float64
	sequence uint64
}

// NewTicket returns a ticket. The cost is the expected number of tokens. A
// ticket that is not served before the deadline expires.
func NewTicket(customer string, weight, cost float64, priority Priority, deadline time.Time) *Ticket {
	return &Ticket{customer: customer, weight: max(weight, 1e-6), cost: max(cost, 1), priority: priority, deadline: deadline}
}

// Customer returns the customer that sent the request.
func (t *Ticket) Customer() string { return t.customer }

// flow is the fair queueing state of one customer.
type flow struct {
	finishTag float64
	waiting   int
}

// Queue implements start-time fair queueing between the customers of one
// service. It uses no goroutine, clock or lock; the caller synchronizes access
// and passes the time.
type Queue struct {
	limit        int
	virtualTime  float64
	lastSequence uint64
	flows        map[string]*flow
	classes      [priorityCount]ticketHeap
}

// NewQueue returns a queue in which each customer may have limit tickets.
func NewQueue(limit int) *Queue {
	return &Queue{limit: limit, flows: map[string]*flow{}}
}

// SetLimit sets how many tickets each customer may have in the queue.
func (q *Queue) SetLimit(limit int) { q.limit = limit }

// Len returns the number of tickets in the queue.
func (q *Queue) Len() int {
	n := 0
	for _, c := range q.classes {
		n += len(c)
	}
	return n
}

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

// Offer adds a ticket. It returns false if the customer is at the limit.
func (q *Queue) Offer(t *Ticket) bool {
	f, ok := q.flows[t.customer]
	if !ok {
		f = &flow{}
		q.flows[t.customer] = f
	}
	if f.waiting >= q.limit {
		return false
	}
	f.waiting++
	t.startTag = max(q.virtualTime, f.finishTag)
	f.finishTag = t.startTag + t.cost/t.weight
	q.lastSequence++
	t.sequence = q.lastSequence
	heap.Push(&q.classes[t.priority], t)
	return true
}

// Next removes and returns the next ticket to serve, and the expired tickets
// that it removed before finding one.
func (q *Queue) Next(now time.Time) (next *Ticket, expired []*Ticket) {
	for i := range q.classes {
		for len(q.classes[i]) > 0 {
			t := heap.Pop(&q.classes[i]).(*Ticket)
			q.flows[t.customer].waiting--
			if !now.Before(t.deadline) {
				expired = append(expired, t)
				continue
			}
			q.virtualTime = max(q.virtualTime, t.startTag)
			q.removeIdle(t.customer)
			return t, expired
		}
	}
	return nil, expired
}

// Requeue puts a ticket that could not be served back at its previous position.
func (q *Queue) Requeue(t *Ticket) {
	f, ok := q.flows[t.customer]
	if !ok {
		f = &flow{finishTag: t.startTag + t.cost/t.weight}
		q.flows[t.customer] = f
	}
	f.waiting++
	heap.Push(&q.classes[t.priority], t)
}

// Cancel removes a ticket and refunds its cost to the customer. It returns
// false if the ticket is not in the queue.
func (q *Queue) Cancel(t *Ticket) bool {
	class := &q.classes[t.priority]
	for i, other := range *class {
		if other != t {
			continue
		}
		heap.Remove(class, i)
		f := q.flows[t.customer]
		f.waiting--
		f.finishTag -= t.cost / t.weight
		return true
	}
	return false
}

// CorrectCost replaces the expected cost of a ticket by the actual cost in the
// customer's account.
func (q *Queue) CorrectCost(t *Ticket, actual float64) {
	if f, ok := q.flows[t.customer]; ok {
		f.finishTag += (actual - t.cost) / t.weight
	}
}

// removeIdle removes the state of a customer with no waiting ticket and a
// finish tag that is not ahead of the virtual time. New state would start at
// the same virtual time.
func (q *Queue) removeIdle(customer string) {
	f := q.flows[customer]
	if f.waiting == 0 && f.finishTag <= q.virtualTime {
		delete(q.flows, customer)
	}
}

type ticketHeap []*Ticket

func (h ticketHeap) Len() int { return len(h) }
func (h ticketHeap) Less(i, j int) bool {
	if h[i].startTag != h[j].startTag {
		return h[i].startTag < h[j].startTag
	}
	return h[i].sequence < h[j].sequence
}
func (h ticketHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }
func (h *ticketHeap) Push(x any)   { *h = append(*h, x.(*Ticket)) }
func (h *ticketHeap) Pop() any {
	old := *h
	last := old[len(old)-1]
	*h = old[:len(old)-1]
	return last
}
