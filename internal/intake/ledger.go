// Package intake decides which connections of clients a process admits, how many bytes it
// holds for each, and which connections it closes when it holds too much.
package intake

import (
	"iter"
	"maps"
	"math"
	"time"
)

// Phase is what a connection does at present.
type Phase int

// The phases of a connection.
const (
	// Idle means that no byte of a request has arrived since the last response.
	Idle Phase = iota
	// Reading means that a request arrives.
	Reading
	// Running means that a request is executed. The connection is not closed.
	Running
	// Writing means that the client receives a response that is complete in memory.
	Writing
)

const (
	// ConnectionBytes is what a connection holds without a request: a goroutine, the
	// buffers of the HTTP library and the part of a body that the library reads ahead.
	ConnectionBytes = 24 << 10
	// assumedRate is the progress in bytes a second with which a phase begins, so that a
	// connection is not closed before its client had time to make any.
	assumedRate = 64 << 20
	// rateHalfLife is how fast the progress of a connection is forgotten. A stalled client
	// is below 64 KiB a second after 5 s.
	rateHalfLife = 500 * time.Millisecond
	// minRate keeps the progress of a client that has stopped above 0.
	minRate = 16
	// dominance is how many times the cost of another connection must exceed that of the
	// one that needs memory. Clients that are equally fast do not close each other.
	dominance = 2
)

// Verdict is the decision on a request for memory.
type Verdict int

// The verdicts.
const (
	// Granted means that the bytes have been added to what the connection holds.
	Granted Verdict = iota
	// Delayed means that connections that were closed will release enough.
	Delayed
	// Exhausted means that no other connection costs so much more that it would be closed.
	Exhausted
	// Denied means that the connection is being closed.
	Denied
	// Oversized means that the connection would hold more than the limit alone.
	Oversized
)

// Limits are the limits of a process.
type Limits struct {
	// Bytes limits what all connections hold.
	Bytes int64
	// Connections limits the number of open connections.
	Connections int
}

// ID identifies a connection in a Ledger.
type ID uint64

// entry is a connection of a ledger.
type entry struct {
	owner   string
	phase   Phase
	held    int64
	rate    float64
	ratedAt time.Time
	// closing means that the connection was chosen to be closed.
	closing bool
}

// Ledger decides on connections and memory. It is not safe for concurrent use; the time is
// an input. Load pattern: many clients that each send a large request almost to its end, or
// take no byte of their response, and keep the connection open, beside few that make
// progress. The clients that make the least progress relative to what is held for them
// are closed first, those of customers that hold more than an equal share before others.
type Ledger struct {
	limits  Limits
	nextID  ID
	entries map[ID]*entry
	owners  map[string]int64
	held    int64
	// closingBytes and closing are what connections hold that were chosen to be closed,
	// and their number.
	closingBytes int64
	closing      int
}

// NewLedger returns a ledger without connections.
func NewLedger(limits Limits) *Ledger {
	return &Ledger{limits: limits, entries: map[ID]*entry{}, owners: map[string]int64{}}
}

// Held returns what all connections hold.
func (l *Ledger) Held() int64 { return l.held }

// HeldBy returns what a connection holds.
func (l *Ledger) HeldBy(id ID) int64 {
	if e := l.entries[id]; e != nil {
		return e.held
	}
	return 0
}

// All returns the connections.
func (l *Ledger) All() iter.Seq[ID] { return maps.Keys(l.entries) }

// Connections returns the number of connections, without those that are being closed.
func (l *Ledger) Connections() int { return len(l.entries) - l.closing }

// Open adds a connection. At the limit of connections, the one that makes the least
// progress is chosen to be closed; ok is false if all execute requests. At the limit of bytes,
// as many are chosen as hold what the new one does.
func (l *Ledger) Open(now time.Time) (id ID, closed []ID, ok bool) {
	if l.Connections() >= l.limits.Connections {
		closed = l.choose(now, 0, math.MinInt64, 0, 1)
		if len(closed) == 0 {
			return 0, nil, false
		}
	}
	l.nextID++
	id = l.nextID
	l.entries[id] = &entry{rate: assumedRate, ratedAt: now}
	l.add(l.entries[id], ConnectionBytes)
	if missing := l.held - l.closingBytes - l.limits.Bytes; missing > 0 {
		closed = append(closed, l.choose(now, id, math.MinInt64, missing, 0)...)
	}
	return id, closed, true
}

// Close removes a connection with all that it holds.
func (l *Ledger) Close(id ID) {
	e := l.entries[id]
	if e == nil {
		return
	}
	l.add(e, -e.held)
	if e.closing {
		l.closing--
	}
	delete(l.entries, id)
}

// SetOwner sets the customer for whom a connection holds memory.
func (l *Ledger) SetOwner(id ID, owner string) {
	e := l.entries[id]
	if e == nil || e.owner == owner {
		return
	}
	held := e.held
	l.add(e, -held)
	e.owner = owner
	l.add(e, held)
}

// Enter begins a phase of a connection. It returns false if the connection was chosen to be
// closed.
func (l *Ledger) Enter(id ID, phase Phase, now time.Time) bool {
	e := l.entries[id]
	if e == nil || e.closing {
		return false
	}
	e.phase, e.rate, e.ratedAt = phase, assumedRate, now
	return true
}

// Progress records that a client sent or received bytes.
func (l *Ledger) Progress(id ID, n int, now time.Time) {
	e := l.entries[id]
	if e == nil {
		return
	}
	e.rate = e.rateAt(now) + float64(n)*math.Ln2/rateHalfLife.Seconds()
	e.ratedAt = now
}

// Charge asks for n more bytes for a connection, and returns the connections to close.
func (l *Ledger) Charge(id ID, n int64, now time.Time) (Verdict, []ID) {
	e := l.entries[id]
	if e == nil || e.closing {
		return Denied, nil
	}
	if e.held+n > l.limits.Bytes {
		return Oversized, nil
	}
	if l.held+n <= l.limits.Bytes {
		l.add(e, n)
		return Granted, nil
	}
	missing := l.held - l.closingBytes + n - l.limits.Bytes
	if missing <= 0 {
		return Delayed, nil
	}
	closed := l.choose(now, id, dominance*l.cost(e, n, now), missing, 0)
	if len(closed) == 0 {
		return Exhausted, nil
	}
	return Delayed, closed
}

// Force adds n bytes that a connection already holds, and returns the connections to close,
// which may include this one.
func (l *Ledger) Force(id ID, n int64, now time.Time) []ID {
	e := l.entries[id]
	if e == nil {
		return nil
	}
	l.add(e, n)
	missing := l.held - l.closingBytes - l.limits.Bytes
	if missing <= 0 {
		return nil
	}
	return l.choose(now, 0, math.MinInt64, missing, 0)
}

// Release takes n bytes off what a connection holds.
func (l *Ledger) Release(id ID, n int64) {
	if e := l.entries[id]; e != nil {
		l.add(e, -min(n, e.held))
	}
}

func (l *Ledger) add(e *entry, n int64) {
	e.held += n
	l.held += n
	if e.closing {
		l.closingBytes += n
	}
	l.owners[e.owner] += n
	if l.owners[e.owner] == 0 {
		delete(l.owners, e.owner)
	}
}

// choose marks connections to close, the most expensive first, until they hold the missing
// bytes and are as many as the missing connections. None of them costs less than bound. If
// that is not possible, it chooses none, unless bound is negative.
func (l *Ledger) choose(now time.Time, except ID, bound float64, missing int64, connections int) []ID {
	var chosen []ID
	for missing > 0 || connections > 0 {
		worst, worstCost := ID(0), bound
		for id, e := range l.entries {
			if e.closing || e.phase == Running || id == except {
				continue
			}
			cost := l.cost(e, 0, now)
			if cost > worstCost || cost == worstCost && id < worst {
				worst, worstCost = id, cost
			}
		}
		if worst == 0 {
			break
		}
		l.mark(l.entries[worst], true)
		chosen = append(chosen, worst)
		missing -= l.entries[worst].held
		connections--
	}
	if missing > 0 && bound > 0 {
		for _, id := range chosen {
			l.mark(l.entries[id], false)
		}
		return nil
	}
	return chosen
}

func (l *Ledger) mark(e *entry, closing bool) {
	e.closing = closing
	if closing {
		l.closing++
		l.closingBytes += e.held
		return
	}
	l.closing--
	l.closingBytes -= e.held
}

// cost returns what a connection holds, with n bytes more, relative to its progress, and
// relative to what its customer holds of an equal share.
func (l *Ledger) cost(e *entry, n int64, now time.Time) float64 {
	share := float64(l.limits.Bytes) / float64(max(1, len(l.owners)))
	return float64(e.held+n) / e.rateAt(now) * float64(l.owners[e.owner]+n) / share
}

func (e *entry) rateAt(now time.Time) float64 {
	age := max(0, now.Sub(e.ratedAt))
	return max(minRate, e.rate*math.Exp2(-age.Seconds()/rateHalfLife.Seconds()))
}
