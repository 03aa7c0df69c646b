// Package order decides how many backend servers are wanted where, and gives
// the platform its orders while this instance is in charge.
package order

import (
	"math"
	"sort"
)

// targetUse is the share of slots that should be busy.
const targetUse = 0.7

// Demand is the state of one service.
type Demand struct {
	service string
	busy    float64
	slots   int
	current map[string]int
}

// NewDemand returns the state of a service: requests running and waiting, the
// slots of one server, and how many servers each failure domain has.
func NewDemand(service string, busy float64, slots int, current map[string]int) Demand {
	return Demand{service, busy, slots, current}
}

// Service returns the service's name.
func (d Demand) Service() string { return d.service }

// Want is a number of servers in one failure domain.
type Want struct {
	failureDomain string
	count         int
}

// FailureDomain returns the domain.
func (w Want) FailureDomain() string { return w.failureDomain }

// Count returns the number of servers.
func (w Want) Count() int { return w.count }

// Planner turns demand into wants. It grows at once, and shrinks only after
// less was wanted for some plans in a row.
type Planner struct {
	max     int
	patient int
	lower   map[string]int
}

// NewPlanner returns a planner that wants at most maxServers per domain and
// shrinks after patience plans.
func NewPlanner(maxServers, patience int) *Planner {
	return &Planner{max: maxServers, patient: patience, lower: map[string]int{}}
}

// Plan returns what is wanted, in the order of failure domains.
func (p *Planner) Plan(d Demand) []Want {
	domains := make([]string, 0, len(d.current))
	have := 0
	for domain, n := range d.current {
		domains = append(domains, domain)
		have += n
	}
	if len(domains) == 0 {
		return nil
	}
	sort.Strings(domains)
	total := int(math.Ceil(d.busy / (float64(max(1, d.slots)) * targetUse)))
	total = max(total, len(domains))
	total = p.steady(d.service, total, have)
	return p.spread(domains, total)
}

func (p *Planner) steady(service string, total, have int) int {
	if total >= have {
		p.lower[service] = 0
		return total
	}
	p.lower[service]++
	if p.lower[service] < p.patient {
		return have
	}
	return total
}

func (p *Planner) spread(domains []string, total int) []Want {
	wants := make([]Want, 0, len(domains))
	for i, domain := range domains {
		share := total / len(domains)
		if i < total%len(domains) {
			share++
		}
		wants = append(wants, Want{domain, min(share, p.max)})
	}
	return wants
}
