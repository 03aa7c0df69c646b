package scheduler

import (
	"slices"
	"time"

	"cactusspoke/internal/pool"

	"go.uber.org/zap"
)

// resumptionSlack is added to the time for which an item waits for an engine that can go
// on with its output before it starts over at another one.
const resumptionSlack = 300 * time.Millisecond

// givesUpOutput reports whether a waiting item discards the part of its output that it
// has: no engine of the software version that began it is free, another one is, and the
// item has waited longer than it takes to generate that part again.
//
// Fault that it handles: engines of one version fail while those of others serve.
func givesUpOutput(q queuedItem, events int, waited time.Duration, msPerEvent float64, targets []target) bool {
	again := time.Duration(float64(events) * msPerEvent * float64(time.Millisecond))
	if waited <= again+resumptionSlack {
		return false
	}
	free := func(q queuedItem) bool {
		return slices.ContainsFunc(targets, func(t target) bool { return t.slots.free > 0 && q.runsOn(t) })
	}
	anew := q
	anew.resumes = false
	return !free(q) && free(anew)
}

// startOver discards the partial output of a waiting item.
func (s *Scheduler) startOver(t *task, reason string, now time.Time) {
	s.Log.Info("item: started over", zap.String("id", t.item.ID), zap.String("job", t.job.spec.ID), zap.Int("events", t.output.events),
		zap.String("begun-at", t.output.software), zap.String("reason", reason), zap.Duration("waited", now.Sub(t.queuedAt)))
	s.Metrics.Inc("outputs_discarded_total", "reason", reason)
	t.output = &output{}
	t.checkpointedEvents = 0
	t.queuedAt = now
}

// softwareCache holds the software versions of the servers of each service during a pass.
type softwareCache map[string]map[string]bool

// lacks reports whether servers of a service accept requests, but none of a software
// version.
func (c softwareCache) lacks(p *pool.Pool, service, software string) bool {
	versions := c.of(p, service)
	return len(versions) > 0 && !versions[software]
}

// of returns the software versions of the servers of a service that accept requests.
func (c softwareCache) of(p *pool.Pool, service string) map[string]bool {
	versions, ok := c[service]
	if !ok {
		versions = map[string]bool{}
		for _, snapshot := range p.Servers(service) {
			if !snapshot.Server.Draining {
				versions[snapshot.Server.Software] = true
			}
		}
		c[service] = versions
	}
	return versions
}
