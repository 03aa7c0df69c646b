// Package ratelimit keeps the requests to a backend server below the rate that the
// server names, summed over all processes that send to it. The decisions are pure:
// they take the time and return what may be sent.
package ratelimit

import "time"

// CountedSeconds is the length of the window, in whole seconds, over which requests to
// a server are counted.
const CountedSeconds = 4

// Counter counts requests by second of the wall clock, so that the counts of several
// processes can be added. The zero value is empty.
type Counter struct {
	// second is the Unix time of the newest count.
	second int64
	counts [CountedSeconds + 1]int
}

// Add counts one request.
func (c *Counter) Add(now time.Time) {
	c.advance(now.Unix())
	c.counts[c.slot(c.second)]++
}

func (c *Counter) slot(second int64) int { return int(second % int64(len(c.counts))) }

// advance makes second the newest one and clears the counts of the seconds skipped. A
// clock that goes back keeps the newest second.
func (c *Counter) advance(second int64) {
	if second <= c.second {
		return
	}
	first := max(c.second+1, second-int64(len(c.counts))+1)
	for s := first; s <= second; s++ {
		c.counts[c.slot(s)] = 0
	}
	c.second = second
}

// Window returns the requests of the last CountedSeconds complete seconds, the oldest
// first, and the Unix time of the first of them.
func (c *Counter) Window(now time.Time) (first int64, counts []int) {
	c.advance(now.Unix())
	first = c.second - CountedSeconds
	for s := first; s < c.second; s++ {
		counts = append(counts, c.counts[c.slot(s)])
	}
	return first, counts
}
