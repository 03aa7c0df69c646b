package admission

import (
	"slices"
	"time"
)

const (
	// returnSlack is how long after the Retry-After that it was given a caller is recognised.
	returnSlack = time.Second
	// maxReturns limits the refused callers of each customer that are remembered.
	maxReturns = 512
)

// refusal is a refused request whose caller may return.
type refusal struct {
	origin uint64
	until  time.Time
}

// returns remembers which callers were refused. Each attempt of a caller has its own id, so a
// caller that returns is recognised by what its requests have in common.
type returns struct {
	refusals map[string][]refusal
}

// add remembers a refused caller.
func (r *returns) add(now time.Time, t *Ticket, retryAfter time.Duration) {
	if t.origin == 0 {
		return
	}
	if r.refusals == nil {
		r.refusals = map[string][]refusal{}
	}
	list := r.current(now, t.customer)
	if len(list) >= maxReturns {
		list = slices.Delete(list, 0, 1)
	}
	r.refusals[t.customer] = append(list, refusal{t.origin, now.Add(retryAfter + returnSlack)})
}

// take reports whether the caller of a ticket was refused, and forgets it then.
func (r *returns) take(now time.Time, t *Ticket) bool {
	if t.origin == 0 {
		return false
	}
	list := r.current(now, t.customer)
	i := slices.IndexFunc(list, func(x refusal) bool { return x.origin == t.origin })
	if i < 0 {
		return false
	}
	r.refusals[t.customer] = slices.Delete(list, i, i+1)
	return true
}

// expected returns how many refused callers of a customer may still return.
func (r *returns) expected(now time.Time, customer string) int {
	return len(r.current(now, customer))
}

// current returns the refusals of a customer whose time is not over.
func (r *returns) current(now time.Time, customer string) []refusal {
	list, ok := r.refusals[customer]
	if !ok {
		return nil
	}
	list = slices.DeleteFunc(list, func(x refusal) bool { return now.After(x.until) })
	if len(list) == 0 {
		delete(r.refusals, customer)
		return nil
	}
	r.refusals[customer] = list
	return list
}
