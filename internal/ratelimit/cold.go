package ratelimit

import (
	"math"
	"slices"
	"time"
)

const (
	// coldGrants limits the entry instances that share a cold server. Each may be early by one
	// request at the same moment, as may the holder; a cold server tolerates five requests
	// more than one and a half times its rate in any second.
	coldGrants = 4
	// coldContactTime is how long an entry instance without contact sends to cold servers. It
	// must end before an instance that started meanwhile has settled and takes its place.
	coldContactTime = time.Second
	// tickInterval is the time between two ticks of a process, and pauseTime the time without
	// one after which it counts as having been paused.
	tickInterval = 250 * time.Millisecond
	pauseTime    = time.Second
	// idleInterval is the time between two checks whether ticks are needed.
	idleInterval = 5 * time.Second
)

// ColdShare returns the requests a second that a process may send to a cold server, which
// takes limit requests a second from all processes together; 0 means none now. The shares
// also keep a bound over one second, which is stricter than that of Share over four seconds:
// fewer entry instances send, and none does whose view of the others may be out of date.
// No one needs to probe a server without a share, as a server is not cold for long.
func ColdShare(server string, limit float64, s Senders) float64 {
	if s.SincePause < settlingTime {
		return 0
	}
	if s.IsHolder {
		return Share(server, limit, s)
	}
	if s.Age < settlingTime || s.SinceContact > coldContactTime {
		return 0
	}
	entries := s.Entries
	if !slices.Contains(entries, s.Self) {
		entries = append(slices.Clone(entries), s.Self)
	}
	rest := limit
	if s.HolderSends {
		rest -= holderPart * limit
	}
	grants := min(len(entries), coldGrants, int(math.Floor(limit))+extraGrants)
	if rank(server, s.Self, entries) >= grants {
		return 0
	}
	return max(minRate, rest/float64(grants))
}
