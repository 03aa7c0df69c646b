package replay

import (
	"cmp"
	"fmt"
	"io"
	"slices"
	"time"
)

const (
	// limitGrace is how long after a server first named a limit its requests are not
	// compared with it: those under way and senders that do not know it yet.
	limitGrace = 3 * time.Second
	// limitWindow is the number of seconds over which requests are compared with a limit.
	limitWindow = 4
	// limitRatio and limitSlack are what a server tolerates in limitWindow: that many
	// times its limit, plus that many requests.
	limitRatio = 1.5
	limitSlack = 5

	messageLimit       = "pool: limit of a server"
	messageLimitCounts = "pool: requests to a limited server"
	messageStartedOver = "item: started over"
	messageStreamTaken = "request: stream taken up"
	verdictGoesOn      = "goes-on"
)

// LimitedServer is what all processes sent to a server that named a limit.
type LimitedServer struct {
	Server string
	// PerSecond is the highest limit that it named.
	PerSecond float64
	Sent      int
	// Most is the largest number of requests in limitWindow, from limitGrace after the
	// server began to name a limit until it ended, and Tolerated what the server takes in that time.
	Most      int
	Tolerated float64
}

// Exceeded reports whether the server got more than it tolerates.
func (l LimitedServer) Exceeded() bool { return float64(l.Most) > l.Tolerated }

// Resumptions counts outputs and streams that went on after their first events.
type Resumptions struct {
	// Same and Other count items that went on at the software version that began them or
	// at another, and StartedOver those that began again instead.
	Same, Other, StartedOver int
	// StreamsWentOn and StreamsRefused count callers' streams that were taken up.
	StreamsWentOn, StreamsRefused int
}

// summarizeLimits adds the counts of all processes by second of the wall clock.
func summarizeLimits(lines []Line) []LimitedServer {
	servers := map[string]*LimitedServer{}
	sent := map[string]map[int64]int{}
	periods := map[string][]limitPeriod{}
	for _, l := range lines {
		id := l.text("server")
		switch l.Message {
		case messageLimit:
			limited, _ := l.fields["limited"].(bool)
			periods[id] = addPeriod(periods[id], l.At, limited)
		case messageLimitCounts:
			if servers[id] == nil {
				servers[id], sent[id] = &LimitedServer{Server: id}, map[int64]int{}
			}
			servers[id].PerSecond = max(servers[id].PerSecond, l.number("per-second"))
			counts, _ := l.fields["sent"].([]any)
			for i, n := range counts {
				count, _ := n.(float64)
				servers[id].Sent += int(count)
				sent[id][int64(l.number("from"))+int64(i)] += int(count)
			}
		}
	}
	out := make([]LimitedServer, 0, len(servers))
	for id, s := range servers {
		s.Tolerated = limitRatio*s.PerSecond*limitWindow + limitSlack
		for second := range sent[id] {
			n := 0
			for i := range int64(limitWindow) {
				n += sent[id][second+i]
			}
			if slices.ContainsFunc(periods[id], func(p limitPeriod) bool { return p.covers(second) }) {
				s.Most = max(s.Most, n)
			}
		}
		out = append(out, *s)
	}
	slices.SortFunc(out, func(a, b LimitedServer) int {
		return cmp.Or(cmp.Compare(float64(b.Most)/b.Tolerated, float64(a.Most)/a.Tolerated), cmp.Compare(a.Server, b.Server))
	})
	return out
}

// limitPeriod is a time in which a server named a limit; to is zero while it does.
type limitPeriod struct{ from, to time.Time }

// addPeriod begins or ends a period when a process reports that a server does or does not
// name a limit. Processes learn of it one after the other.
func addPeriod(periods []limitPeriod, at time.Time, limited bool) []limitPeriod {
	last := len(periods) - 1
	open := last >= 0 && periods[last].to.IsZero()
	switch {
	case limited && !open:
		return append(periods, limitPeriod{from: at})
	case !limited && open:
		periods[last].to = at
	}
	return periods
}

// covers reports whether the limit held in the limitWindow that begins at a second of the
// wall clock.
func (p limitPeriod) covers(second int64) bool {
	return second >= p.from.Add(limitGrace).Unix() && (p.to.IsZero() || second+limitWindow <= p.to.Unix()+1)
}

// countResumptions counts what went on after a failure.
func countResumptions(lines []Line) Resumptions {
	var r Resumptions
	for _, l := range lines {
		switch l.Message {
		case messagePlaced:
			begunAt := l.text("begun-at")
			switch {
			case begunAt == "" || l.number("events") == 0:
			case begunAt == l.text("software"):
				r.Same++
			default:
				r.Other++
			}
		case messageStartedOver:
			r.StartedOver++
		case messageStreamTaken:
			if l.text("verdict") == verdictGoesOn {
				r.StreamsWentOn++
			} else {
				r.StreamsRefused++
			}
		}
	}
	return r
}

func (d Day) writeLimits(w io.Writer) {
	fmt.Fprintln(w, "\nlimited server\tper second\trequests\tmost in 4 s\ttolerated\texceeded")
	for _, s := range d.Limited[:min(len(d.Limited), maxRows)] {
		fmt.Fprintf(w, "%s\t%.1f\t%d\t%d\t%.1f\t%t\n", s.Server, s.PerSecond, s.Sent, s.Most, s.Tolerated, s.Exceeded())
	}
}

func (d Day) writeResumptions(w io.Writer) {
	r := d.Resumed
	fmt.Fprintln(w, "\nwent on at the same software version\tat another\titems started over\tstreams went on\tstreams refused")
	fmt.Fprintf(w, "%d\t%d\t%d\t%d\t%d\n", r.Same, r.Other, r.StartedOver, r.StreamsWentOn, r.StreamsRefused)
}
