// Package lease decides who is in charge of a duty. It holds no clock and no
// connection: events go in, actions come out.
package lease

import (
	"context"
	"encoding/json"
	"time"

	"cactusspoke/internal/store"

	"github.com/qmuntal/stateless"
	"github.com/zeebo/errs"
)

// Class prefixes the errors of this package.
var Class = errs.Class("lease")

// State is where a candidate stands.
type State string

// The states of a candidate.
const (
	Follower  State = "follower"
	Acquiring State = "acquiring"
	Holder    State = "holder"
)

type trigger string

const (
	triggerAcquire trigger = "acquire"
	triggerGranted trigger = "granted"
	triggerLost    trigger = "lost"
)

// Record is the content of a lease key. The key is never deleted, so that the
// epoch only grows.
type Record struct {
	holder   string
	epoch    uint64
	sequence uint64
	ttl      time.Duration
}

// Holder returns who last wrote the record.
func (r Record) Holder() string { return r.holder }

// Epoch returns the fencing epoch.
func (r Record) Epoch() uint64 { return r.epoch }

type recordWire struct {
	Holder   string `json:"holder"`
	Epoch    uint64 `json:"epoch"`
	Sequence uint64 `json:"sequence"`
	TTLMS    int64  `json:"ttl-ms"`
}

// Encode returns the JSON form of a record.
func Encode(r Record) []byte {
	data, err := json.Marshal(recordWire{r.holder, r.epoch, r.sequence, r.ttl.Milliseconds()})
	if err != nil {
		panic(err)
	}
	return data
}

// Decode reads the JSON form of a record; no bytes are the zero record.
func Decode(data []byte) (Record, error) {
	if len(data) == 0 {
		return Record{}, nil
	}
	var w recordWire
	if err := json.Unmarshal(data, &w); err != nil {
		return Record{}, Class.Wrap(err)
	}
	return Record{w.Holder, w.Epoch, w.Sequence, time.Duration(w.TTLMS) * time.Millisecond}, nil
}

// Write is the action of a candidate: put the record at the expected revision.
type Write struct {
	record   Record
	expected store.Revision
}

// Record returns what to write.
func (w Write) Record() Record { return w.record }

// Expected returns the revision that the key must have.
func (w Write) Expected() store.Revision { return w.expected }

// Candidate is one process's view of one lease. The right of a holder ends on
// its own clock, counted from before the renewal was sent; a successor waits
// the whole time to live of the record's holder, and at least its own, plus a
// grace, counted from when it first saw the record. Neither compares clocks
// with the other.
type Candidate struct {
	me     string
	ttl    time.Duration
	margin time.Duration
	grace  time.Duration

	machine    *stateless.StateMachine
	seen       Record
	revision   store.Revision
	seenAt     time.Time
	known      bool
	epoch      uint64
	deadline   time.Time
	acquiredAt time.Time
}

// New returns a candidate. margin is taken off the end of the holder's time;
// grace is added to the successor's wait, for orders still on their way.
func New(me string, ttl, margin, grace time.Duration) *Candidate {
	c := &Candidate{me: me, ttl: ttl, margin: margin, grace: grace}
	c.machine = stateless.NewStateMachine(Follower)
	c.machine.Configure(Follower).Permit(triggerAcquire, Acquiring).Ignore(triggerLost)
	c.machine.Configure(Acquiring).Permit(triggerGranted, Holder).Permit(triggerLost, Follower).Ignore(triggerAcquire)
	c.machine.Configure(Holder).Permit(triggerLost, Follower).Ignore(triggerGranted)
	return c
}

// State returns where the candidate stands.
func (c *Candidate) State() State { return c.machine.MustState().(State) }

func (c *Candidate) fire(t trigger) {
	if err := c.machine.FireCtx(context.Background(), t); err != nil {
		panic(err)
	}
}

// Observe takes in the record as read from the store. readAt is a time at or
// after which the record was still in place, so the wait starts late rather
// than early.
func (c *Candidate) Observe(readAt time.Time, r Record, revision store.Revision) {
	if c.known && revision <= c.revision {
		return
	}
	c.seen = r
	c.revision = revision
	c.seenAt = readAt
	c.known = true
	if c.State() == Holder && (r.holder != c.me || r.epoch != c.epoch) {
		c.Lose()
	}
}

// Valid tells whether the candidate may act as the holder at a time.
func (c *Candidate) Valid(now time.Time) bool {
	return c.State() == Holder && now.Before(c.deadline)
}

// Epoch returns the fencing epoch that is held.
func (c *Candidate) Epoch() uint64 { return c.epoch }

// Deadline returns when the right to act ends.
func (c *Candidate) Deadline() time.Time { return c.deadline }

// Holder returns the last holder that was seen.
func (c *Candidate) Holder() string { return c.seen.holder }

// Next returns the write that is due, if any.
func (c *Candidate) Next(now time.Time) (Write, bool) {
	if !c.known {
		return Write{}, false
	}
	if c.State() == Holder {
		return c.renewal(now)
	}
	if c.revision != 0 && now.Before(c.seenAt.Add(max(c.ttl, c.seen.ttl)+c.grace)) {
		return Write{}, false
	}
	if c.State() == Follower {
		c.fire(triggerAcquire)
	}
	return Write{Record{c.me, c.seen.epoch + 1, 1, c.ttl}, c.revision}, true
}

// renewal is due from a third of the time to live on.
func (c *Candidate) renewal(now time.Time) (Write, bool) {
	if !now.Before(c.deadline) {
		c.Lose()
		return Write{}, false
	}
	if now.Before(c.acquiredAt.Add(c.ttl / 3)) {
		return Write{}, false
	}
	return Write{Record{c.me, c.epoch, c.seen.sequence + 1, c.ttl}, c.revision}, true
}

// Written notes that a write was confirmed. sentAt is a time before it left.
func (c *Candidate) Written(sentAt time.Time, w Write, revision store.Revision) {
	if revision <= c.revision {
		return
	}
	c.seen = w.record
	c.revision = revision
	c.seenAt = sentAt
	c.epoch = w.record.epoch
	c.acquiredAt = sentAt
	c.deadline = sentAt.Add(c.ttl - c.margin)
	if c.State() == Acquiring {
		c.fire(triggerGranted)
	}
}

// Lose gives the duty up at once.
func (c *Candidate) Lose() {
	c.deadline = time.Time{}
	c.fire(triggerLost)
}
