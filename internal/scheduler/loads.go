package scheduler

import (
	"cmp"
	"math"
	"slices"
	"time"
)

const (
	// leastLoads is how many engines load at once at least, and at first.
	leastLoads = 2
	// slowLoad is how many times the shortest load a load must take to show
	// that engines which load at once slow each other down.
	slowLoad = 1.2
	// mostCut is the most that one slow load takes off the number of loads at
	// once, as a share: the engine itself may have been slow.
	mostCut = 0.3
	// firstStep is added to the number that load at once for each load that
	// ended in time, before one has not.
	firstStep = 0.5
	// limitStep is added to the number that load at once for each load that
	// ended in time, close to the number at which one did not.
	limitStep = 0.05
)

// loadRate is what loads have shown of how many engines may load at once. The
// weight store has a bandwidth of its own: over it, more loads at once end
// later and no more of them end in a second.
type loadRate struct {
	limit float64
	// ceiling is the number at which a load was late last; 0 before that.
	ceiling float64
	// shortest is what the shortest load took until a report told of its end.
	shortest time.Duration
	// late says that the last load took longer than that, and cutAt when the
	// limit was lowered last.
	late  bool
	cutAt time.Time
}

func newLoadRate() *loadRate { return &loadRate{limit: leastLoads} }

// lasts returns how long a load counts as one that goes on, unless it is seen
// to have ended before. Reports tell of the end a little late, so as long as
// loads end in time the next one need not wait for them.
func (r *loadRate) lasts() time.Duration {
	if r.late || r.shortest == 0 {
		return loadMost
	}
	return r.shortest - reportLag/2
}

// firstLook returns how long after its order an engine is first asked whether
// it has loaded.
func (r *loadRate) firstLook() time.Duration {
	if r.shortest == 0 {
		return firstLook
	}
	return max(followEvery, r.shortest-reportLag)
}

// ended takes in a load that went on between two times while others did.
func (r *loadRate) ended(began, now time.Time, atOnce int) {
	took := now.Sub(began)
	if r.shortest == 0 || took < r.shortest {
		r.shortest = took
	}
	slower := float64(took) / float64(r.shortest)
	r.late = slower > slowLoad
	switch {
	case r.late && began.Before(r.cutAt):
		// It began with more at once than do now.
	case r.late:
		r.ceiling = r.limit
		r.limit = max(leastLoads, (1-mostCut)*r.limit, min(r.limit, float64(atOnce)/slower))
		r.cutAt = now
	case float64(atOnce) < math.Floor(r.limit):
	case r.ceiling == 0:
		r.limit += firstStep
	case r.limit+1 < r.ceiling:
		r.limit += 1 / math.Floor(r.limit)
	default:
		r.limit += limitStep
	}
}

// loader is an engine as the planning of loads sees it.
type loader struct {
	id      string
	running int
	// speed is in milliseconds an event.
	speed float64
	// versions is what the engine has by model.
	versions map[string]int64
	// busy says that it loads, or was asked to and has not answered.
	busy bool
}

// need is what the texts of a model ask of its engines.
type need struct {
	// named is the newest version.
	named int64
	// texts is the highest number of texts of late that waited or ran.
	texts int
	// starved says that texts wait, and oldest which version they allow.
	starved bool
	oldest  int64
}

// load is an engine that is to load the newest version of a model.
type load struct {
	engine string
	model  string
}

// homes gives each engine the model that it is kept up to date for, since the
// weight store cannot serve all engines with all models at each version. Each
// model gets a share of the engines by its texts; engines stay where they are
// as long as shares allow. Without a home (no entry) an engine is kept up to
// date for all its models.
func homes(engines []loader, needs map[string]need, before map[string]string) map[string]string {
	shares := shareOut(len(engines), needs)
	out := map[string]string{}
	if shares == nil {
		return out
	}
	sorted := slices.Clone(engines)
	slices.SortFunc(sorted, func(a, b loader) int { return cmp.Compare(a.id, b.id) })
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
			if n > 0 && (best == "" || closer(e, model, best, needs)) {
				best = model
			}
		}
		out[e.id] = best
		shares[best]--
	}
	return out
}

// closer tells whether an engine lags less behind in one model than in another.
func closer(e loader, model, other string, needs map[string]need) bool {
	a, b := needs[model].named-e.versions[model], needs[other].named-e.versions[other]
	if a != b {
		return a < b
	}
	return model < other
}

// shareOut divides a number of engines among models by their texts. It
// returns nil where there are too few engines or no texts to go by.
func shareOut(engines int, needs map[string]need) map[string]int {
	total := 0
	var models []string
	for model, n := range needs {
		if n.texts > 0 {
			models = append(models, model)
			total += n.texts
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
		exact := float64(engines) * float64(needs[model].texts) / float64(total)
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
func planLoads(engines []loader, needs map[string]need, home map[string]string, room int) []load {
	type candidate struct {
		load
		useless bool
		spare   bool
		lag     int64
		engine  loader
	}
	var list []candidate
	for _, e := range engines {
		if e.busy {
			continue
		}
		for model, version := range e.versions {
			n := needs[model]
			own, homed := home[e.id]
			if n.named <= version || homed && own != model && n.texts > 0 {
				continue
			}
			useless := n.starved && version < n.oldest
			if n.starved && !useless {
				continue
			}
			list = append(list, candidate{load{e.id, model}, useless, homed && own != model, n.named - version, e})
		}
	}
	slices.SortFunc(list, func(a, b candidate) int {
		return cmp.Or(first(a.useless, b.useless), first(b.spare, a.spare), cmp.Compare(b.lag, a.lag), cmp.Compare(a.engine.speed, b.engine.speed),
			cmp.Compare(a.engine.running, b.engine.running), cmp.Compare(a.engine.id, b.engine.id))
	})
	var out []load
	chosen := map[string]bool{}
	for _, c := range list {
		if len(out) >= room {
			break
		}
		if !chosen[c.load.engine] {
			chosen[c.load.engine] = true
			out = append(out, c.load)
		}
	}
	return out
}

// first orders what a condition holds for before what it does not hold for.
func first(a, b bool) int {
	switch {
	case a == b:
		return 0
	case a:
		return -1
	default:
		return 1
	}
}
