// Package order scales the backend servers of each service. It plans how many
// servers each failure domain should have, and orders them from the platform while
// this instance holds the duty.
package order

import (
	"math"
	"sort"
)

// targetUtilization is the share of slots that should be in use.
const targetUtilization = 0.7

// Demand is the load and the servers of one service.
type Demand struct {
	service        string
	requests       float64
	slotsPerServer int
	servers        map[string]int
}

// NewDemand returns the demand of a service. requests is the number of running and
// waiting requests, slotsPerServer is how many requests one server runs at a time,
// and servers is the number of servers in each failure domain.
func NewDemand(service string, requests float64, slotsPerServer int, servers map[string]int) Demand {
	return Demand{service, requests, slotsPerServer, servers}
}

// Service returns the name of the service.
func (d Demand) Service() string { return d.service }

// Target is the number of servers that one failure domain should have.
type Target struct {
	failureDomain string
	count         int
}

// FailureDomain returns the failure domain.
func (t Target) FailureDomain() string { return t.failureDomain }

// Count returns the number of servers.
func (t Target) Count() int { return t.count }

// Planner plans the number of servers. It scales up at once, and scales down only
// after the demand was lower in a number of consecutive plans.
type Planner struct {
	maxServers  int
	shrinkAfter int
	lowerPlans  map[string]int // consecutive plans for a lower demand, by service
}

// NewPlanner returns a planner that plans at most maxServers per failure domain and
// scales down at the shrinkAfter-th consecutive plan for a lower demand.
func NewPlanner(maxServers, shrinkAfter int) *Planner {
	return &Planner{maxServers: maxServers, shrinkAfter: shrinkAfter, lowerPlans: map[string]int{}}
}

// Plan returns the number of servers for each failure domain that has servers, with
// at least one each, sorted by failure domain.
func (p *Planner) Plan(d Demand) []Target {
	domains := make([]string, 0, len(d.servers))
	have := 0
	for domain, count := range d.servers {
		domains = append(domains, domain)
		have += count
	}
	if len(domains) == 0 {
		return nil
	}
	sort.Strings(domains)
	total := int(math.Ceil(d.requests / (float64(max(1, d.slotsPerServer)) * targetUtilization)))
	total = max(total, len(domains))
	total = p.delayShrink(d.service, total, have)
	return p.distribute(domains, total)
}

// delayShrink returns have instead of a lower total until the total has been lower in
// shrinkAfter consecutive plans.
func (p *Planner) delayShrink(service string, total, have int) int {
	if total >= have {
		p.lowerPlans[service] = 0
		return total
	}
	p.lowerPlans[service]++
	if p.lowerPlans[service] < p.shrinkAfter {
		return have
	}
	return total
}

// distribute divides total evenly; the first failure domains get one more if there is
// a remainder.
func (p *Planner) distribute(domains []string, total int) []Target {
	targets := make([]Target, 0, len(domains))
	for i, domain := range domains {
		share := total / len(domains)
		if i < total%len(domains) {
			share++
		}
		targets = append(targets, Target{domain, min(share, p.maxServers)})
	}
	return targets
}
