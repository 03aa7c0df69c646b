// Package admission decides whose request goes next to a service's backend
// servers, and refuses at once what could not be served in time.
package admission

import (
	"container/heap"
	"time"
)

// Priority orders classes of work; a lower class is served only when no
// higher one waits.
type Priority uint8

// The classes, from the first served to the last.
const (
	Live Priority = iota
	Rollout
	priorityCount
)

// Ticket is one waiting request.
type Ticket struct {
	customer string
	weight   float64
	cost     float64
	priority Priority
	deadline time.Time
	tag      float64
	order    uint64
}

// NewTicket returns a ticket. cost is the expected work in tokens, and the
// ticket is given up at deadline.
func NewTicket(customer string, weight, cost float64, priority Priority, deadline time.Time) *Ticket {
	return &Ticket{customer: customer, weight: max(weight, 1e-6), cost: max(cost, 1), priority: priority, deadline: deadline}
}

// Customer returns who waits.
func (t *Ticket) Customer() string { return t.customer }

// flow is the account of one customer.
type flow struct {
	finish  float64
	waiting int
}

// Queue is start-time fair queueing over the customers of one service. It is
// a plain value: no goroutine, clock or lock.
type Queue struct {
	limit   int
	virtual float64
	next    uint64
	flows   map[string]*flow
	classes [priorityCount]ticketHeap
}

// NewQueue returns a queue in which each customer may hold limit tickets.
func NewQueue(limit int) *Queue {
	return &Queue{limit: limit, flows: map[string]*flow{}}
}

// SetLimit changes how many tickets a customer may hold.
func (q *Queue) SetLimit(limit int) { q.limit = limit }

// Len returns how many tickets wait.
func (q *Queue) Len() int {
	n := 0
	for _, c := range q.classes {
		n += len(c)
	}
	return n
}

// Waiting returns how many tickets of each customer wait.
func (q *Queue) Waiting() map[string]int {
	out := map[string]int{}
	for name, f := range q.flows {
		if f.waiting > 0 {
			out[name] = f.waiting
		}
	}
	return out
}

// Offer adds a ticket; it returns false when the customer's queue is full.
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
	t.tag = max(q.virtual, f.finish)
	f.finish = t.tag + t.cost/t.weight
	q.next++
	t.order = q.next
	heap.Push(&q.classes[t.priority], t)
	return true
}

// Next removes and returns the ticket to serve now. Tickets past their
// deadline are returned in expired, never served.
func (q *Queue) Next(now time.Time) (next *Ticket, expired []*Ticket) {
	for i := range q.classes {
		for len(q.classes[i]) > 0 {
			t := heap.Pop(&q.classes[i]).(*Ticket)
			q.flows[t.customer].waiting--
			if !now.Before(t.deadline) {
				expired = append(expired, t)
				continue
			}
			q.virtual = max(q.virtual, t.tag)
			q.trim(t.customer)
			return t, expired
		}
	}
	return nil, expired
}

// Return puts a ticket that could not be served back at its old place.
func (q *Queue) Return(t *Ticket) {
	f, ok := q.flows[t.customer]
	if !ok {
		f = &flow{finish: t.tag + t.cost/t.weight}
		q.flows[t.customer] = f
	}
	f.waiting++
	heap.Push(&q.classes[t.priority], t)
}

// Cancel removes a ticket that is no longer wanted, and gives its cost back.
func (q *Queue) Cancel(t *Ticket) bool {
	class := &q.classes[t.priority]
	for i, other := range *class {
		if other != t {
			continue
		}
		heap.Remove(class, i)
		f := q.flows[t.customer]
		f.waiting--
		f.finish -= t.cost / t.weight
		return true
	}
	return false
}

// Correct charges a customer for what a request really cost.
func (q *Queue) Correct(t *Ticket, actual float64) {
	if f, ok := q.flows[t.customer]; ok {
		f.finish += (actual - t.cost) / t.weight
	}
}

// trim forgets customers whose account is behind the virtual time.
func (q *Queue) trim(customer string) {
	f := q.flows[customer]
	if f.waiting == 0 && f.finish <= q.virtual {
		delete(q.flows, customer)
	}
}

type ticketHeap []*Ticket

func (h ticketHeap) Len() int { return len(h) }
func (h ticketHeap) Less(i, j int) bool {
	if h[i].tag != h[j].tag {
		return h[i].tag < h[j].tag
	}
	return h[i].order < h[j].order
}
func (h ticketHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }
func (h *ticketHeap) Push(x any)   { *h = append(*h, x.(*Ticket)) }
func (h *ticketHeap) Pop() any {
	old := *h
	last := old[len(old)-1]
	*h = old[:len(old)-1]
	return last
}
