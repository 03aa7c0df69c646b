package scheduler

import (
	"cmp"
	"math"
	"slices"
	"time"
)

const (
	// minConcurrentLoads is the lowest limit of concurrent loads.
	minConcurrentLoads = 2
	// initialLoadShare is the share of the engines that may load at first. Weight stores
	// are sized for more than that; with the lowest limit, the first seconds of each duty
	// holder were spent raising it.
	initialLoadShare = 0.125
	// slowLoadRatio is the duration of a load, relative to the shortest one, above
	// which concurrent loads are taken to slow each other down.
	slowLoadRatio = 1.2
	// maxLimitCut is the largest share by which one slow load lowers the limit,
	// since the engine itself may have been slow.
	maxLimitCut = 0.3
	// rampStep raises the limit for each load that ended in time, until the first
	// slow load.
	rampStep = 0.5
	// maxLoadSlack is the slack of a model whose queued items no trainer waits for.
	maxLoadSlack = time.Hour
	// probeStep raises the limit for each load that ended in time, once the limit
	// is near the one at which a load was slow.
	probeStep = 0.05
)

// loadLimiter limits how many engines load weights concurrently, from the
// durations of earlier loads. The weight store's bandwidth is bounded: beyond
// it, more concurrent loads take longer without raising the throughput.
type loadLimiter struct {
	limit float64
	// ceiling is the limit before the last cut; 0 until the first cut.
	ceiling float64
	// shortestLoad is the shortest time from the start of a load until a report
	// showed its end.
	shortestLoad time.Duration
	// lastLoadSlow means that the last load exceeded slowLoadRatio; cutAt is when
	// the limit was last lowered.
	lastLoadSlow bool
	cutAt        time.Time
}

// newLoadLimiter returns a limiter for a number of engines.
func newLoadLimiter(engines int) *loadLimiter {
	return &loadLimiter{limit: max(minConcurrentLoads, initialLoadShare*float64(engines))}
}

// expectedDuration returns how long a load counts against the limit unless it is
// seen to end earlier. Reports lag behind the end of a load, so as long as loads
// end in time, the next one starts without waiting for the report.
func (l *loadLimiter) expectedDuration() time.Duration {
	if l.lastLoadSlow || l.shortestLoad == 0 {
		return loadTimeout
	}
	return l.shortestLoad - reportAge/2
}

// firstPollDelay returns how long after an order the engine is first polled.
func (l *loadLimiter) firstPollDelay() time.Duration {
	if l.shortestLoad == 0 {
		return defaultFirstPollDelay
	}
	return max(loadPollInterval, l.shortestLoad-reportAge)
}

// recordLoad adjusts the limit after a load. atOnce is the number of loads that
// were running when it began, itself included.
func (l *loadLimiter) recordLoad(startedAt, now time.Time, atOnce int) {
	took := now.Sub(startedAt)
	if l.shortestLoad == 0 || took < l.shortestLoad {
		l.shortestLoad = took
	}
	slowdown := float64(took) / float64(l.shortestLoad)
	l.lastLoadSlow = slowdown > slowLoadRatio
	switch {
	case l.lastLoadSlow && startedAt.Before(l.cutAt):
		// The load began under the higher limit before the last cut.
	case l.lastLoadSlow:
		l.ceiling = l.limit
		l.limit = max(minConcurrentLoads, (1-maxLimitCut)*l.limit, min(l.limit, float64(atOnce)/slowdown))
		l.cutAt = now
	case float64(atOnce) < math.Floor(l.limit):
	case l.ceiling == 0:
		l.limit += rampStep
	case l.limit+1 < l.ceiling:
		l.limit += 1 / math.Floor(l.limit)
	default:
		l.limit += probeStep
	}
}

// engineState is the input to load planning for one engine.
type engineState struct {
	id      string
	running int
	// msPerEvent is the expected latency per event in milliseconds.
	msPerEvent float64
	// versions is the loaded weight version by model.
	versions map[string]int64
	// busy means that the engine is loading, has an order without an answer, or is
	// in backoff.
	busy bool
}

// modelDemand describes the items of a model and the weight versions they need.
type modelDemand struct {
	// newestVersion is the newest version that the trainer has requested.
	newestVersion int64
	// peakWork is the recent peak of the engine time that queued and running items need.
	peakWork time.Duration
	// hasQueued means that items are queued, and requiredVersion is the highest
	// minimum version among them.
	hasQueued       bool
	requiredVersion int64
	// slack is the least time that is left until a queued item must start to be complete
	// when it is due; negative if it is late.
	slack time.Duration
}

// weightLoad assigns the load of a model's newest version to an engine.
type weightLoad struct {
	engine string
	model  string
}

// assignModels assigns to each engine the model whose weights it keeps current,
// since the weight store cannot supply every engine with every version of every
// model. Models get engines in proportion to the work of their items, and engines keep
// their previous model where the proportions allow it. An engine without an
// entry keeps all its models current.
func assignModels(engines []engineState, demand map[string]modelDemand, previous map[string]string) map[string]string {
	shares := allocateEngines(len(engines), demand)
	out := map[string]string{}
	if shares == nil {
		return out
	}
	sorted := slices.Clone(engines)
	slices.SortFunc(sorted, func(a, b engineState) int { return cmp.Compare(a.id, b.id) })
	for _, e := range sorted {
		if model, ok := previous[e.id]; ok && shares[model] > 0 {
			out[e.id] = model
			shares[model]--
		}
	}
	for _, e := range sorted {
		if _, ok := out[e.id]; ok {
			continue
		}
		best := ""
		for model, n := range shares {
			if n > 0 && (best == "" || lagsLess(e, model, best, demand)) {
				best = model
			}
		}
		out[e.id] = best
		shares[best]--
	}
	return out
}

// lagsLess reports whether an engine is fewer versions behind in one model than
// in the other. Ties are broken by name.
func lagsLess(e engineState, model, other string, demand map[string]modelDemand) bool {
	a, b := demand[model].newestVersion-e.versions[model], demand[other].newestVersion-e.versions[other]
	if a != b {
		return a < b
	}
	return model < other
}

// allocateEngines divides engines among models in proportion to the work of their items,
// at least one each. It returns nil if there are fewer engines than models with
// items, or no items.
func allocateEngines(engines int, demand map[string]modelDemand) map[string]int {
	total := time.Duration(0)
	var models []string
	for model, d := range demand {
		if d.peakWork > 0 {
			models = append(models, model)
			total += d.peakWork
		}
	}
	if len(models) == 0 || engines < len(models) {
		return nil
	}
	slices.Sort(models)
	shares := map[string]int{}
	unallocated := engines
	remainder := map[string]float64{}
	for _, model := range models {
		exact := float64(engines) * float64(demand[model].peakWork) / float64(total)
		shares[model] = max(1, int(math.Floor(exact)))
		remainder[model] = exact - float64(shares[model])
		unallocated -= shares[model]
	}
	slices.SortStableFunc(models, func(a, b string) int { return cmp.Compare(remainder[b], remainder[a]) })
	for i := 0; unallocated > 0; i++ {
		shares[models[i%len(models)]]++
		unallocated--
	}
	for unallocated < 0 {
		largest := slices.MaxFunc(models, func(a, b string) int { return cmp.Compare(shares[a], shares[b]) })
		shares[largest]--
		unallocated++
	}
	return shares
}

// planLoads returns the loads to start now, at most room of them. Engines whose
// weights are too old for the queued items come first, those of the model whose items
// must start soonest before others, then those that are furthest behind; ties go to the faster and then to the less busy engine. An
// engine that can serve queued items does not load, since it refuses items
// while it loads. Models that are not assigned to the engine come last, and are
// loaded only if they have no items.
func planLoads(engines []engineState, demand map[string]modelDemand, assignments map[string]string, room int) []weightLoad {
	type candidate struct {
		weightLoad
		outdated   bool
		slack      time.Duration
		unassigned bool
		lag        int64
		engine     engineState
	}
	var list []candidate
	for _, e := range engines {
		if e.busy {
			continue
		}
		for model, version := range e.versions {
			d := demand[model]
			assigned, isAssigned := assignments[e.id]
			if d.newestVersion <= version || isAssigned && assigned != model && d.peakWork > 0 {
				continue
			}
			outdated := d.hasQueued && version < d.requiredVersion
			if d.hasQueued && !outdated {
				continue
			}
			slack := time.Duration(0)
			if outdated {
				slack = d.slack
			}
			list = append(list, candidate{weightLoad{e.id, model}, outdated, slack, isAssigned && assigned != model, d.newestVersion - version, e})
		}
	}
	slices.SortFunc(list, func(a, b candidate) int {
		return cmp.Or(trueFirst(a.outdated, b.outdated), trueFirst(b.unassigned, a.unassigned), cmp.Compare(a.slack, b.slack), cmp.Compare(b.lag, a.lag), cmp.Compare(a.engine.msPerEvent, b.engine.msPerEvent),
			cmp.Compare(a.engine.running, b.engine.running), cmp.Compare(a.engine.id, b.engine.id))
	})
	var out []weightLoad
	chosen := map[string]bool{}
	for _, c := range list {
		if len(out) >= room {
			break
		}
		if !chosen[c.weightLoad.engine] {
			chosen[c.weightLoad.engine] = true
			out = append(out, c.weightLoad)
		}
	}
	return out
}

// trueFirst is a comparison function that orders true before false.
func trueFirst(a, b bool) int {
	switch {
	case a == b:
		return 0
	case a:
		return -1
	default:
		return 1
	}
}
