package prefill

import "time"

const (
	// minShortShare is the recent share of short prompts from which long ones wait for them.
	// The share is smoothed and does not return to 0.
	minShortShare = 0.1
	// dueMargin is added to uncertainty times the prefill as the time kept until an item must
	// start to be complete when due.
	dueMargin = time.Second
	// waitShare is how many times longer the time left until that start must be than the time
	// for which an item has waited. With 1, an overload of long prompts made 4 in 10,000 of them
	// miss their due time in the replay, as many reach that start at once; with 2, none.
	waitShare = 2
)

// Postpone reports whether a long prompt should stay in the queue while items behind it start,
// given what to expect of each engine with a free slot: if only the engines that long prompts
// leave to short ones are free of endangering work. slack is the time until its due time minus
// the expected time of its output, waited the time that it has been in the queue. shortShare
// is the recent share of short prompts that Prefer uses, shortSeen that of Tracker.ShortSeen.
//
// Load pattern: a burst of long prompts that keeps the engines in prefill, so that the short
// prompts among them miss their objective.
func Postpone(estimates []Estimate, objective, slack, waited time.Duration, shortShare, shortSeen float64) bool {
	if len(estimates) == 0 || shortSeen < minShortShare {
		return false
	}
	free, slowest := 0, time.Duration(0)
	for _, e := range estimates {
		if !endangers(e.Own, objective) {
			return false
		}
		slowest = max(slowest, e.Own)
		if !endangers(e.Wait, objective) {
			free++
		}
	}
	// An item with less time to spare than its own prefill takes goes at once: waits that short
	// gained nothing for short prompts in the replay.
	spare := slack - uncertainty*slowest - dueMargin
	return free <= keptEngines(len(estimates), shortShare) && spare > slowest+waitShare*waited
}
