// Package lease elects the holder of a duty with a time-limited lease. It is a
// state machine without a clock, I/O or goroutines: the caller passes in the
// time and what it read from the store, and carries out the writes it returns.
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

// State is the state of a candidate in the election.
type State string

// The states of a candidate.
const (
	Follower  State = "follower"  // does not hold the lease
	Acquiring State = "acquiring" // tries to take the lease; no write is confirmed yet
	Holder    State = "holder"    // holds the lease
)

type trigger string

const (
	triggerAcquire trigger = "acquire"
	triggerGranted trigger = "granted"
	triggerLost    trigger = "lost"
)

// Record is the value of a lease key. The key is never deleted, so the epoch
// only increases.
type Record struct {
	holder   string
	epoch    uint64
	sequence uint64
	ttl      time.Duration
}

// Holder returns the name of the candidate that wrote the record.
func (r Record) Holder() string { return r.holder }

// Epoch returns the fencing epoch, which increases with each change of holder.
func (r Record) Epoch() uint64 { return r.epoch }

type recordJSON struct {
	Holder   string `json:"holder"`
	Epoch    uint64 `json:"epoch"`
	Sequence uint64 `json:"sequence"`
	TTLMS    int64  `json:"ttl-ms"`
}

// Encode encodes a record as JSON.
func Encode(r Record) []byte {
	data, err := json.Marshal(recordJSON{r.holder, r.epoch, r.sequence, r.ttl.Milliseconds()})
	if err != nil {
		panic(err)
	}
	return data
}

// Decode decodes a record from JSON. Empty data, as of a key that does not exist,
// is the zero record.
func Decode(data []byte) (Record, error) {
	if len(data) == 0 {
		return Record{}, nil
	}
	var w recordJSON
	if err := json.Unmarshal(data, &w); err != nil {
		return Record{}, Class.Wrap(err)
	}
	return Record{w.Holder, w.Epoch, w.Sequence, time.Duration(w.TTLMS) * time.Millisecond}, nil
}

// Write is a conditional write of a record: it applies only while the key has the
// expected revision.
type Write struct {
	record   Record
	expected store.Revision
}

// Record returns the record to write.
func (w Write) Record() Record { return w.record }

// Expected returns the revision that the key must have; 0 means it must not exist.
func (w Write) Expected() store.Revision { return w.expected }

// Candidate competes for one lease on behalf of one process. A holder's lease ends
// on its own clock, counted from before it sent the last confirmed write. A
// successor waits for the holder's time to live, or its own if that is longer,
// plus the grace period, counted on its own clock from when it first saw the
// record. So the clocks of different processes are never compared.
type Candidate struct {
	name   string
	ttl    time.Duration
	margin time.Duration
	grace  time.Duration

	machine      *stateless.StateMachine
	record       Record
	revision     store.Revision
	recordSeenAt time.Time
	observed     bool
	epoch        uint64
	deadline     time.Time
	confirmedAt  time.Time
}

// New returns a candidate with a name that is unique to the process. The holder
// stops margin before its time to live has passed. A successor waits for grace in
// addition, in which requests that the last holder sent arrive or expire.
func New(name string, ttl, margin, grace time.Duration) *Candidate {
	c := &Candidate{name: name, ttl: ttl, margin: margin, grace: grace}
	c.machine = stateless.NewStateMachine(Follower)
	c.machine.Configure(Follower).Permit(triggerAcquire, Acquiring).Ignore(triggerLost)
	c.machine.Configure(Acquiring).Permit(triggerGranted, Holder).Permit(triggerLost, Follower).Ignore(triggerAcquire)
	c.machine.Configure(Holder).Permit(triggerLost, Follower).Ignore(triggerGranted)
	return c
}

// State returns the state of the candidate. A Holder may be past its deadline; see
// Valid.
func (c *Candidate) State() State { return c.machine.MustState().(State) }

func (c *Candidate) fire(t trigger) {
	if err := c.machine.FireCtx(context.Background(), t); err != nil {
		panic(err)
	}
}

// Observe applies a record that was read from the store. readAt must not be before
// the store read it: a successor's wait may start too late, but not too early.
func (c *Candidate) Observe(readAt time.Time, r Record, revision store.Revision) {
	if c.observed && revision <= c.revision {
		return
	}
	c.record = r
	c.revision = revision
	c.recordSeenAt = readAt
	c.observed = true
	if c.State() == Holder && (r.holder != c.name || r.epoch != c.epoch) {
		c.StepDown()
	}
}

// Valid reports whether the candidate is the holder and its deadline has not passed
// at now.
func (c *Candidate) Valid(now time.Time) bool {
	return c.State() == Holder && now.Before(c.deadline)
}

// Epoch returns the fencing epoch that the candidate holds or held last.
func (c *Candidate) Epoch() uint64 { return c.epoch }

// Deadline returns the time from which the candidate is no longer the holder,
// unless it renews the lease before.
func (c *Candidate) Deadline() time.Time { return c.deadline }

// Holder returns the holder in the last known record, which may have expired.
func (c *Candidate) Holder() string { return c.record.holder }

// NextWrite returns the write that acquires or renews the lease, if one is due.
func (c *Candidate) NextWrite(now time.Time) (Write, bool) {
	if !c.observed {
		return Write{}, false
	}
	if c.State() == Holder {
		return c.renewal(now)
	}
	if c.revision != 0 && now.Before(c.recordSeenAt.Add(max(c.ttl, c.record.ttl)+c.grace)) {
		return Write{}, false
	}
	if c.State() == Follower {
		c.fire(triggerAcquire)
	}
	return Write{Record{c.name, c.record.epoch + 1, 1, c.ttl}, c.revision}, true
}

// renewal returns the write that renews the lease. It is due once a third of the
// time to live has passed since the last confirmed write was sent. A holder past
// its deadline steps down instead.
func (c *Candidate) renewal(now time.Time) (Write, bool) {
	if !now.Before(c.deadline) {
		c.StepDown()
		return Write{}, false
	}
	if now.Before(c.confirmedAt.Add(c.ttl / 3)) {
		return Write{}, false
	}
	return Write{Record{c.name, c.epoch, c.record.sequence + 1, c.ttl}, c.revision}, true
}

// ConfirmWrite applies a write that the store confirmed. sentAt must not be after the
// write was sent. A write older than the known record has no effect, since
// another candidate may hold the lease by now.
func (c *Candidate) ConfirmWrite(sentAt time.Time, w Write, revision store.Revision) {
	if revision <= c.revision {
		return
	}
	c.record = w.record
	c.revision = revision
	c.recordSeenAt = sentAt
	c.epoch = w.record.epoch
	c.confirmedAt = sentAt
	c.deadline = sentAt.Add(c.ttl - c.margin)
	if c.State() == Acquiring {
		c.fire(triggerGranted)
	}
}

// StepDown makes the candidate a follower at once.
func (c *Candidate) StepDown() {
	c.deadline = time.Time{}
	c.fire(triggerLost)
}
