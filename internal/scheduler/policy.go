package scheduler

import (
	"cmp"
	"slices"
	"time"
)

const (
	// crowding is what each running text adds to the time of a token at a
	// server, as a share: engines slow down a little as their batch grows.
	crowding = 0.007
	// staleness is what an older version of the weights adds to the score of a
	// server, as a share: the trainer prefers texts of the newest version.
	staleness = 0.05
	// measuredEvents is how many events of a run tell its speed.
	measuredEvents = 4
	// worthMoving is how many times slower than at the best engine with room a
	// text must run to be moved there: the prompt is read again, which takes
	// some 20 ms.
	worthMoving = 1.22
	// longText is how many events make a text one of those that a step waits
	// for; shorter ones end soon wherever they are.
	longText = 30
	// worthMovingShort is worthMoving for shorter texts.
	worthMovingShort = 2.2
	// lagRatio is how many times slower than at their best half of the engines
	// must seem to show that the observer is late; over lagMost they are slow.
	lagRatio = 1.12
	lagMost  = 1.6
	// lagSamples is how many running texts tell that.
	lagSamples = 5
	// stalledPauses is how many usual pauses without an event make a run slow.
	stalledPauses = 3
)

// waiting is a text that waits for a place, as the policy sees it.
type waiting struct {
	index int
	// priority is the rank of the job's route or customer; 0 is the highest.
	priority int
	due      time.Time
	// carried texts belong to groups that the trainer waits for in any case.
	carried bool
	// left is the expected number of tokens that are still to be made.
	left int
	min  int64
}

// place is a server that has room, as the policy sees it.
type place struct {
	id string
	// free is how many more texts fit.
	free    int
	running int
	version int64
	// speed is in milliseconds an event.
	speed float64
}

// assignment puts a waiting text at a server.
type assignment struct {
	index  int
	server string
}

// rank orders waiting texts: by priority, then steps that are due first, then
// groups carried over from an earlier step, then the longest texts, since a
// step is as late as its last long text.
func rank(texts []waiting) {
	slices.SortStableFunc(texts, func(a, b waiting) int {
		return cmp.Or(cmp.Compare(a.priority, b.priority), a.due.Compare(b.due), first(a.carried, b.carried), cmp.Compare(b.left, a.left))
	})
}

// assign puts ranked texts at servers with room. The longest texts get the
// fastest servers.
func assign(texts []waiting, places []place) []assignment {
	var out []assignment
	newest := int64(0)
	for _, p := range places {
		newest = max(newest, p.version)
	}
	for _, t := range texts {
		best := -1
		score := 0.0
		for i, p := range places {
			if p.free <= 0 || p.version < t.min {
				continue
			}
			at := p.speed * (1 + crowding*float64(p.running))
			if p.version < newest {
				at *= 1 + staleness
			}
			if best < 0 || at < score {
				best, score = i, at
			}
		}
		if best < 0 {
			continue
		}
		places[best].free--
		places[best].running++
		out = append(out, assignment{t.index, places[best].id})
	}
	return out
}

// lag returns by what factor texts seem slower than they are, from how many
// times slower than at its best each engine seems to be: when most of them are
// slow at once, the observer itself is late.
func lag(slower []float64) float64 {
	if len(slower) < lagSamples {
		return 1
	}
	slices.Sort(slower)
	median := slower[len(slower)/2]
	if median < lagRatio {
		return 1
	}
	return min(median, lagMost)
}

// better returns the place where a running text would be made much faster.
func better(speed float64, events int, at string, min int64, places []place) (int, bool) {
	best := -1
	score := speed / worthMoving
	if events < longText {
		score = speed / worthMovingShort
	}
	for i, p := range places {
		if p.id == at || p.free <= 0 || p.version < min {
			continue
		}
		if expected := p.speed * (1 + crowding*float64(p.running)); expected < score {
			best, score = i, expected
		}
	}
	return best, best >= 0
}
