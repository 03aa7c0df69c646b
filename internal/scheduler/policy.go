package scheduler

import (
	"cmp"
	"slices"
	"time"
)

const (
	// batchSlowdown is what each running text adds to the time of a token at a
	// server, as a share: engines slow down a little as their batch grows.
	batchSlowdown = 0.007
	// staleWeightsPenalty is what an older version of the weights adds to the score of a
	// server, as a share: the trainer prefers texts of the newest version.
	staleWeightsPenalty = 0.05
	// minMeasuredEvents is how many events of a run tell its speed.
	minMeasuredEvents = 4
	// longMigrationRatio is how many times slower than at the best engine with room a
	// text must run to be moved there: the prompt is read again, which takes
	// some 20 ms.
	longMigrationRatio = 1.22
	// longOutputEvents is how many events make a text one of those that a step waits
	// for; shorter ones end soon wherever they are.
	longOutputEvents = 30
	// shortMigrationRatio is worthMoving for shorter texts.
	shortMigrationRatio = 2.2
	// minBias is how many times slower than at their best half of the engines
	// must seem to show that the observer is late; over lagMost they are slow.
	minBias = 1.12
	maxBias = 1.6
	// minBiasSamples is how many running texts tell that.
	minBiasSamples = 5
	// stallFactor is how many usual pauses without an event make a run slow.
	stallFactor = 3
)

// queuedItem is a text that waits for a place, as the policy sees it.
type queuedItem struct {
	index int
	// priority is the rank of the job's route or customer; 0 is the highest.
	priority int
	due      time.Time
	// carried texts belong to groups that the trainer waits for in any case.
	carried bool
	// expectedTokens is the expected number of tokens that are still to be made.
	expectedTokens int
	minVersion     int64
}

// target is a server that has room, as the policy sees it.
type target struct {
	id string
	// freeSlots is how many more texts fit.
	freeSlots int
	running   int
	version   int64
	// msPerEvent is in milliseconds an event.
	msPerEvent float64
}

// assignment puts a waiting text at a server.
type assignment struct {
	index  int
	server string
}

// sortQueue orders waiting texts: by priority, then steps that are due first, then
// groups carried over from an earlier step, then the longest texts, since a
// step is as late as its last long text.
func sortQueue(texts []queuedItem) {
	slices.SortStableFunc(texts, func(a, b queuedItem) int {
		return cmp.Or(cmp.Compare(a.priority, b.priority), a.due.Compare(b.due), trueFirst(a.carried, b.carried), cmp.Compare(b.expectedTokens, a.expectedTokens))
	})
}

// assign puts ranked texts at servers with room. The longest texts get the
// fastest servers.
func assign(texts []queuedItem, places []target) []assignment {
	var out []assignment
	newest := int64(0)
	for _, p := range places {
		newest = max(newest, p.version)
	}
	for _, t := range texts {
		best := -1
		score := 0.0
		for i, p := range places {
			if p.freeSlots <= 0 || p.version < t.minVersion {
				continue
			}
			at := p.msPerEvent * (1 + batchSlowdown*float64(p.running))
			if p.version < newest {
				at *= 1 + staleWeightsPenalty
			}
			if best < 0 || at < score {
				best, score = i, at
			}
		}
		if best < 0 {
			continue
		}
		places[best].freeSlots--
		places[best].running++
		out = append(out, assignment{t.index, places[best].id})
	}
	return out
}

// measurementBias returns by what factor texts seem slower than they are, from how many
// times slower than at its best each engine seems to be: when most of them are
// slow at once, the observer itself is late.
func measurementBias(slower []float64) float64 {
	if len(slower) < minBiasSamples {
		return 1
	}
	slices.Sort(slower)
	median := slower[len(slower)/2]
	if median < minBias {
		return 1
	}
	return min(median, maxBias)
}

// fasterTarget returns the place where a running text would be made much faster.
func fasterTarget(speed float64, events int, at string, min int64, places []target) (int, bool) {
	best := -1
	score := speed / longMigrationRatio
	if events < longOutputEvents {
		score = speed / shortMigrationRatio
	}
	for i, p := range places {
		if p.id == at || p.freeSlots <= 0 || p.version < min {
			continue
		}
		if expected := p.msPerEvent * (1 + batchSlowdown*float64(p.running)); expected < score {
			best, score = i, expected
		}
	}
	return best, best >= 0
}
