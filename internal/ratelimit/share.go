package ratelimit

import (
	"cmp"
	"math"
	"slices"
	"time"

	"cactusspoke/internal/routing"

	"github.com/cespare/xxhash/v2"
)

const (
	// holderPart is the holder's part of a limit that it shares with entry instances.
	holderPart = 0.5
	// extraGrants limits the entry instances that share a server to its limit, in whole
	// requests a second, plus this number. Each may be early by one request, so that
	// many small shares would exceed the limit together.
	extraGrants = 1
	// probeInterval is how long the turn of an entry instance without a grant lasts, in
	// which it sends one request to learn whether the limit still holds.
	probeInterval = 10 * time.Second
	// minRate is the lowest rate in requests a second at which the holder, or an entry
	// instance with a grant, sends.
	minRate = 0.02
	// RetentionTime is how long an instance that is no longer registered counts as a
	// sender. It may be alive and cut off from the store.
	RetentionTime = 30 * time.Second
	// contactTime is how long a process without contact uses its whole share. After
	// RetentionTime others use what it had, so it must be shorter.
	contactTime = 20 * time.Second
	// settlingTime is how long a process counts as new. Of many that start at once,
	// each first knows only itself.
	settlingTime = 3 * time.Second
	// isolatedPart is the part of its share that a process uses while it is out of
	// contact. Servers tolerate one and a half times their limit.
	isolatedPart = 0.5
	// newPart is the part of its share that a process uses while it is new: the others
	// may not know of it yet. alonePart replaces it while it knows of no other sender.
	newPart   = 0.25
	alonePart = 0.125
)

// Senders is what a process knows of the processes that send requests to a service.
type Senders struct {
	// Self is the name of this process.
	Self string
	// IsHolder means that this process is the holder of the scheduler duty; it is an
	// entry instance otherwise.
	IsHolder bool
	// HolderSends and EntriesSend say who sends requests to the service.
	HolderSends bool
	EntriesSend bool
	// Entries are the names of the entry instances.
	Entries []string
	// SinceContact is the time since the entry instances were last known for certain.
	SinceContact time.Duration
	// Age is the time since this process first knew them.
	Age time.Duration
	// SincePause is the time since this process was last paused for a while.
	SincePause time.Duration
	// Now is the time of day, by which instances take turns.
	Now time.Time
}

// Share returns the requests a second that a process may send to a server which takes
// limit requests a second from all processes together; 0 means none now. Processes with
// the same view agree on the shares, which then add up to about the limit; few change
// when a process comes or goes.
func Share(server string, limit float64, s Senders) float64 {
	share := part(server, limit, s)
	switch {
	case s.IsHolder && !s.EntriesSend:
	case s.Age < settlingTime && len(s.Entries) <= 1:
		share *= alonePart
	case s.Age < settlingTime:
		share *= newPart
	case s.SinceContact > contactTime:
		share *= isolatedPart
	}
	return share
}

// part returns the share of a process that is settled and in contact.
func part(server string, limit float64, s Senders) float64 {
	if s.IsHolder {
		switch {
		case !s.HolderSends:
			limit = 0
		case s.EntriesSend && len(s.Entries) > 0:
			limit *= holderPart
		}
		return max(minRate, limit)
	}
	entries := s.Entries
	if !slices.Contains(entries, s.Self) {
		entries = append(slices.Clone(entries), s.Self)
	}
	rest := limit
	if s.HolderSends {
		rest -= holderPart * limit
	}
	grants := int(min(float64(len(entries)), math.Floor(limit)+extraGrants))
	rank := rank(server, s.Self, entries)
	if rank < grants {
		return max(minRate, rest/float64(grants))
	}
	turn := s.Now.Unix() / int64(probeInterval.Seconds())
	if int(turn%int64(len(entries)-grants)) != rank-grants {
		return 0
	}
	return 1 / probeInterval.Seconds()
}

// rank returns the number of entry instances with a higher rendezvous hash for a server.
func rank(server, self string, entries []string) int {
	hash := xxhash.Sum64String(server)
	own := routing.RendezvousScore(hash, self)
	n := 0
	for _, name := range entries {
		if cmp.Or(cmp.Compare(routing.RendezvousScore(hash, name), own), cmp.Compare(self, name)) > 0 {
			n++
		}
	}
	return n
}
