package scheduler

import (
	"cmp"
	"math"
	"slices"
	"time"
)

const (
	// minConcurrentLoads is how many engines load at once at least, and at first.
	minConcurrentLoads = 2
	// slowLoadRatio is how many times the shortest load a load must take to show
	// that engines which load at once slow each other down.
	slowLoadRatio = 1.2
	// maxLimitCut is the most that one slow load takes off the number of loads at
	// once, as a share: the engine itself may have been slow.
	maxLimitCut = 0.3
	// rampStep is added to the number that load at once for each load that
	// ended in time, before one has not.
	rampStep = 0.5
	// probeStep is added to the number that load at once for each load that
	// ended in time, close to the number at which one did not.
	probeStep = 0.05
)

// loadLimiter is what loads have shown of how many engines may load at once. The
// weight store has a bandwidth of its own: over it, more loads at once end
// later and no more of them end in a second.
type loadLimiter struct {
	limit float64
	// ceiling is the number at which a load was late last; 0 before that.
	ceiling float64
	// shortestLoad is what the shortestLoad load took until a report told of its end.
	shortestLoad time.Duration
	// lastLoadSlow says that the last load took longer than that, and cutAt when the
	// limit was lowered last.
	lastLoadSlow bool
	cutAt        time.Time
}

func newLoadLimiter() *loadLimiter { return &loadLimiter{limit: minConcurrentLoads} }

// expectedDuration returns how long a load counts as one that goes on, unless it is seen
// to have ended before. Reports tell of the end a little late, so as long as
// loads end in time the next one need not wait for them.
func (r *loadLimiter) expectedDuration() time.Duration {
	if r.lastLoadSlow || r.shortestLoad == 0 {
		return loadTimeout
	}
	return r.shortestLoad - reportAge/2
}

// firstPollDelay returns how long after its order an engine is first asked whether
// it has loaded.
func (r *loadLimiter) firstPollDelay() time.Duration {
	if r.shortestLoad == 0 {
		return defaultFirstPollDelay
	}
	return max(loadPollInterval, r.shortestLoad-reportAge)
}

// recordLoad takes in a load that went on between two times while others did.
func (r *loadLimiter) recordLoad(began, now time.Time, atOnce int) {
	took := now.Sub(began)
	if r.shortestLoad == 0 || took < r.shortestLoad {
		r.shortestLoad = took
	}
	slower := float64(took) / float64(r.shortestLoad)
	r.lastLoadSlow = slower > slowLoadRatio
	switch {
	case r.lastLoadSlow && began.Before(r.cutAt):
		// It began with more at once than do now.
	case r.lastLoadSlow:
		r.ceiling = r.limit
		r.limit = max(minConcurrentLoads, (1-maxLimitCut)*r.limit, min(r.limit, float64(atOnce)/slower))
		r.cutAt = now
	case float64(atOnce) < math.Floor(r.limit):
	case r.ceiling == 0:
		r.limit += rampStep
	case r.limit+1 < r.ceiling:
		r.limit += 1 / math.Floor(r.limit)
	default:
		r.limit += probeStep
	}
}

// engineState is an engine as the planning of loads sees it.
type engineState struct {
	id      string
	running int
	// msPerEvent is in milliseconds an event.
	msPerEvent float64
	// versions is what the engine has by model.
	versions map[string]int64
	// busy says that it loads, or was asked to and has not answered.
	busy bool
}

// modelDemand is what the texts of a model ask of its engines.
type modelDemand struct {
	// newestVersion is the newest version.
	newestVersion int64
	// peakItems is the highest number of peakItems of late that waited or ran.
	peakItems int
	// hasQueued says that texts wait, and oldest which version they allow.
	hasQueued       bool
	requiredVersion int64
}

// weightLoad is an engine that is to weightLoad the newest version of a model.
type weightLoad struct {
	engine string
	model  string
}

// assignModels gives each engine the model that it is kept up to date for, since the
// weight store cannot serve all engines with all models at each version. Each
// model gets a share of the engines by its texts; engines stay where they are
// as long as shares allow. Without a home (no entry) an engine is kept up to
// date for all its models.
func assignModels(engines []engineState, needs map[string]modelDemand, before map[string]string) map[string]string {
	shares := allocateEngines(len(engines), needs)
	out := map[string]string{}
	if shares == nil {
		return out
	}
	sorted := slices.Clone(engines)
	slices.SortFunc(sorted, func(a, b engineState) int { return cmp.Compare(a.id, b.id) })
	for _, e := range sorted {
		if model, ok := before[e.id]; ok && shares[model] > 0 {
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
			if n > 0 && (best == "" || lagsLess(e, model, best, needs)) {
				best = model
			}
		}
		out[e.id] = best
		shares[best]--
	}
	return out
}

// lagsLess tells whether an engine lags less behind in one model than in another.
func lagsLess(e engineState, model, other string, needs map[string]modelDemand) bool {
	a, b := needs[model].newestVersion-e.versions[model], needs[other].newestVersion-e.versions[other]
	if a != b {
		return a < b
	}
	return model < other
}

// allocateEngines divides a number of engines among models by their texts. It
// returns nil where there are too few engines or no texts to go by.
func allocateEngines(engines int, needs map[string]modelDemand) map[string]int {
	total := 0
	var models []string
	for model, n := range needs {
		if n.peakItems > 0 {
			models = append(models, model)
			total += n.peakItems
		}
	}
	if len(models) == 0 || engines < len(models) {
		return nil
	}
	slices.Sort(models)
	shares := map[string]int{}
	left := engines
	rest := map[string]float64{}
	for _, model := range models {
		exact := float64(engines) * float64(needs[model].peakItems) / float64(total)
		shares[model] = max(1, int(math.Floor(exact)))
		rest[model] = exact - float64(shares[model])
		left -= shares[model]
	}
	slices.SortStableFunc(models, func(a, b string) int { return cmp.Compare(rest[b], rest[a]) })
	for i := 0; left > 0; i++ {
		shares[models[i%len(models)]]++
		left--
	}
	for left < 0 {
		largest := slices.MaxFunc(models, func(a, b string) int { return cmp.Compare(shares[a], shares[b]) })
		shares[largest]--
		left++
	}
	return shares
}

// planLoads returns the loads to begin now, at most room of them. Engines that
// no waiting text can use load first, then those that are furthest behind,
// the fastest and the idlest of them first. An engine that waiting texts can
// use does not load, since it refuses them meanwhile. Models without texts come
// last, at all engines.
func planLoads(engines []engineState, needs map[string]modelDemand, home map[string]string, room int) []weightLoad {
	type candidate struct {
		weightLoad
		useless bool
		spare   bool
		lag     int64
		engine  engineState
	}
	var list []candidate
	for _, e := range engines {
		if e.busy {
			continue
		}
		for model, version := range e.versions {
			n := needs[model]
			own, homed := home[e.id]
			if n.newestVersion <= version || homed && own != model && n.peakItems > 0 {
				continue
			}
			useless := n.hasQueued && version < n.requiredVersion
			if n.hasQueued && !useless {
				continue
			}
			list = append(list, candidate{weightLoad{e.id, model}, useless, homed && own != model, n.newestVersion - version, e})
		}
	}
	slices.SortFunc(list, func(a, b candidate) int {
		return cmp.Or(trueFirst(a.useless, b.useless), trueFirst(b.spare, a.spare), cmp.Compare(b.lag, a.lag), cmp.Compare(a.engine.msPerEvent, b.engine.msPerEvent),
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

// trueFirst orders what a condition holds for before what it does not hold for.
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
