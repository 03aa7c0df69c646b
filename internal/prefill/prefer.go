package prefill

import (
	"math"
	"time"
)

const (
	// uncertainty is the factor by which an estimate may be exceeded: other processes send to
	// the same engines, and speeds are learned.
	uncertainty = 2
	// keptShare times the share of short prompts is the share of the engines that long prompts
	// leave to short ones as long as they need not wait for more than maxDetour times their own
	// prefill elsewhere.
	keptShare = 0.25
	maxDetour = 2
)

// endangers reports whether prefill that is expected to take a time can make a request miss
// an objective.
func endangers(prefill, objective time.Duration) bool {
	return objective > 0 && uncertainty*prefill > objective
}

// Prefer returns which engines a request should use, given what to expect of each: nil if
// prefill makes no difference, else at least one. A short prompt avoids the engines whose
// work in progress endangers its objective. A long one, which endangers those that follow it,
// leaves some engines to short ones by joining others, unless it would wait too long.
func Prefer(estimates []Estimate, objective time.Duration, shortShare float64) []bool {
	free, lowest := 0, time.Duration(math.MaxInt64)
	endangered, long := false, true
	for _, e := range estimates {
		endangered = endangered || endangers(e.total(), objective)
		long = long && endangers(e.Own, objective)
		if !endangers(e.Wait, objective) {
			free++
		}
		lowest = min(lowest, e.total())
	}
	if !endangered || len(estimates) < 2 {
		return nil
	}
	if long {
		return preferLong(estimates, objective, free, keptEngines(len(estimates), shortShare))
	}
	return only(estimates, lowest, func(e Estimate) bool { return !endangers(e.total(), objective) })
}

// keptEngines returns how many of the engines long prompts leave to short ones.
func keptEngines(engines int, shortShare float64) int {
	return int(math.Round(keptShare * shortShare * float64(engines)))
}

// preferLong returns the engines for a long prompt: those without endangering work, if more of
// them than kept are left, else those where it waits least.
func preferLong(estimates []Estimate, objective time.Duration, free, kept int) []bool {
	busy, all := time.Duration(math.MaxInt64), time.Duration(math.MaxInt64)
	for _, e := range estimates {
		all = min(all, e.total())
		if endangers(e.Wait, objective) && e.total() <= time.Duration(maxDetour*float64(e.Own)) {
			busy = min(busy, e.total())
		}
	}
	if free <= kept && busy < math.MaxInt64 {
		return only(estimates, busy, func(Estimate) bool { return false })
	}
	return only(estimates, all, func(e Estimate) bool { return !endangers(e.Wait, objective) })
}

// only returns the engines that are suitable, or if none is, those with the lowest time.
func only(estimates []Estimate, lowest time.Duration, suitable func(Estimate) bool) []bool {
	out := make([]bool, len(estimates))
	found := 0
	for i, e := range estimates {
		if suitable(e) {
			out[i] = true
			found++
		}
	}
	if found == len(estimates) {
		return nil
	}
	for i, e := range estimates {
		if found == 0 && e.total() == lowest {
			out[i] = true
		}
	}
	return out
}
