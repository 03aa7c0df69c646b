// Package claim makes non-idempotent requests run at most once, wherever a
// caller sends them again. Each hash range has a log of segments in the
// key-value service; a segment is put if absent, so the log has one order.
package claim

import (
	"context"
	"crypto/sha256"
	"encoding/binary"
	"errors"
	"fmt"
	"strconv"
	"strings"
	"sync"
	"time"

	"cactusspoke/internal/invariant"
	"cactusspoke/internal/peer/peerpb"
	"cactusspoke/internal/store"

	"github.com/zeebo/errs"
	"google.golang.org/protobuf/proto"
)

// Class prefixes the errors of this package.
var Class = errs.Class("claim")

// Ranges is the number of hash ranges, each with its own log.
const Ranges = 8

// Prefix is the prefix of all logs in the store.
const Prefix = "claims/"

// ID names a request of one customer to one service by its idempotency key.
type ID [16]byte

// NewID returns the id of an idempotency key. The customer is part of it, so
// that no customer can meet another's answer.
func NewID(customer, service, key string) ID {
	h := sha256.New()
	for _, part := range []string{customer, service, key} {
		var size [8]byte
		binary.BigEndian.PutUint64(size[:], uint64(len(part)))
		h.Write(size[:])
		h.Write([]byte(part))
	}
	var id ID
	copy(id[:], h.Sum(nil))
	return id
}

// Range returns the hash range of the id.
func (id ID) Range() int { return int(id[0]) % Ranges }

// Claim asks for the right to run a request once.
type Claim struct {
	id       ID
	body     uint64
	nonce    string
	instance string
	released bool
}

// New returns a claim. nonce is unique to the attempt that would run, body is
// the hash of the request's content, and instance is who would run it.
func New(id ID, body uint64, nonce, instance string) Claim {
	return Claim{id: id, body: body, nonce: nonce, instance: instance}
}

// ID returns the claimed id.
func (c Claim) ID() ID { return c.id }

// Instance returns who runs the request.
func (c Claim) Instance() string { return c.instance }

// Body returns the hash of the request's content.
func (c Claim) Body() uint64 { return c.body }

// Nonce returns the attempt that claims.
func (c Claim) Nonce() string { return c.nonce }

// Released returns the claim that gives this one back, for a request that
// certainly did not run.
func (c Claim) Released() Claim {
	c.released = true
	return c
}

// Outcome is the answer to a claim.
type Outcome uint8

// The outcomes.
const (
	// Unavailable says that the claim is not known to stand; nothing may run.
	Unavailable Outcome = iota
	// Granted says that this attempt alone may run.
	Granted
	// Taken says that another attempt ran or may run.
	Taken
	// Mismatch says that the key was used for another request.
	Mismatch
)

// Result is an outcome and who holds the claim.
type Result struct {
	outcome  Outcome
	instance string
}

// NewResult returns a result.
func NewResult(outcome Outcome, instance string) Result { return Result{outcome, instance} }

// Outcome returns the answer.
func (r Result) Outcome() Outcome { return r.outcome }

// Instance returns who holds the claim.
func (r Result) Instance() string { return r.instance }

// held is a claim in the log with the time at which this process saw it.
type held struct {
	claim   Claim
	segment uint64
}

type segment struct {
	number   uint64
	revision store.Revision
	seenAt   time.Time
	ids      []ID
}

// Log is one range's log as this process knows it. Its commits are serial.
type Log struct {
	client store.Client
	number int
	window time.Duration

	mu       sync.Mutex
	loaded   bool
	syncedAt time.Time
	revision store.Revision
	last     uint64
	claims   map[ID]held
	segments []segment
}

// NewLog returns the log of a range. Claims are kept for window at least.
func NewLog(client store.Client, number int, window time.Duration) *Log {
	return &Log{client: client, number: number, window: window, claims: map[ID]held{}}
}

func (l *Log) prefix() string { return fmt.Sprintf("%s%02d/", Prefix, l.number) }

func (l *Log) key(number uint64) string { return fmt.Sprintf("%s%016d", l.prefix(), number) }

// Commit decides a batch of claims with one write to the store. Every result
// but Unavailable is final and the same for all processes.
func (l *Log) Commit(ctx context.Context, batch []Claim) []Result {
	l.mu.Lock()
	defer l.mu.Unlock()
	results := make([]Result, len(batch))
	for {
		if err := l.load(ctx); err != nil {
			return results
		}
		fresh := l.decide(batch, results)
		if len(fresh) == 0 {
			return results
		}
		err := l.append(ctx, fresh)
		if err == nil {
			l.settle(batch, results)
			return results
		}
		l.loaded = false
		if !errors.Is(err, store.ErrConflict) || ctx.Err() != nil {
			clearGrants(results)
			return results
		}
	}
}

// decide answers what the log already answers, and returns the claims that
// need to be written. The first of equal ids in a batch goes on.
func (l *Log) decide(batch []Claim, results []Result) []Claim {
	var fresh []Claim
	batched := map[ID]Claim{}
	for i, c := range batch {
		if first, ok := batched[c.id]; ok && !c.released {
			results[i] = against(first, c)
			continue
		}
		h, ok := l.claims[c.id]
		if c.released {
			if ok && h.claim.nonce == c.nonce {
				fresh = append(fresh, c)
			}
			results[i] = Result{Granted, c.instance}
			continue
		}
		if ok {
			results[i] = against(h.claim, c)
			continue
		}
		batched[c.id] = c
		results[i] = Result{}
		fresh = append(fresh, c)
	}
	return fresh
}

func against(first, c Claim) Result {
	switch {
	case first.nonce == c.nonce:
		return Result{Granted, c.instance}
	case first.body != c.body:
		return Result{Mismatch, first.instance}
	default:
		return Result{Taken, first.instance}
	}
}

func clearGrants(results []Result) {
	for i, r := range results {
		if r.outcome == Granted {
			results[i] = Result{}
		}
	}
}

// settle grants the claims of the batch that stand in the log.
func (l *Log) settle(batch []Claim, results []Result) {
	for i, c := range batch {
		h, ok := l.claims[c.id]
		if results[i].outcome != Unavailable || c.released {
			continue
		}
		invariant.Check(invariant.AtMostOnce, ok && h.claim.nonce == c.nonce,
			"claim %x was written but stands for %q", c.id, h.claim.nonce)
		results[i] = Result{Granted, c.instance}
	}
}

// load reads the segments this process has not seen.
func (l *Log) load(ctx context.Context) error {
	if l.loaded && time.Since(l.syncedAt) < l.window/2 {
		return nil
	}
	sentAt := time.Now()
	page, err := l.read(store.WithPriority(ctx, store.PrioritySeal))
	if err != nil {
		return Class.Wrap(err)
	}
	now := time.Now()
	for _, r := range page.Records() {
		if err := l.loadOne(r, now); err != nil {
			return err
		}
	}
	l.revision = page.Revision()
	l.syncedAt = sentAt
	l.loaded = true
	return nil
}

// read fetches the whole log the first time, and what is new after that.
func (l *Log) read(ctx context.Context) (store.Page, error) {
	if l.revision == 0 {
		return l.client.List(ctx, l.prefix())
	}
	return l.client.Watch(ctx, l.prefix(), l.revision, 0)
}

func (l *Log) loadOne(r store.Record, now time.Time) error {
	number, err := strconv.ParseUint(strings.TrimPrefix(r.Key(), l.prefix()), 10, 64)
	if err != nil {
		return Class.Wrap(err)
	}
	if number <= l.last {
		return nil
	}
	claims, err := decodeSegment(r.Value())
	if err != nil {
		return err
	}
	l.take(number, r.Revision(), now, claims)
	return nil
}

// errLate says that a segment was confirmed so late that the place it took
// may have been trimmed before, behind the true end of the log.
var errLate = Class.New("confirmed too late")

// append writes the next segment; the store refuses it when another process
// wrote that segment first. A segment that we have not seen is trimmed a
// window after its writing at the earliest, so an absent key is the true end
// of the log if the answer came within a window of the last synchronisation.
func (l *Log) append(ctx context.Context, claims []Claim) error {
	number := l.last + 1
	data, err := encodeSegment(claims)
	if err != nil {
		return err
	}
	sentAt := time.Now()
	revision, err := l.client.Put(store.WithPriority(ctx, store.PrioritySeal), l.key(number), data, 0)
	if err != nil {
		return err
	}
	if time.Since(l.syncedAt) >= l.window*3/4 {
		return errLate
	}
	l.syncedAt = sentAt
	l.take(number, revision, time.Now(), claims)
	return nil
}

func (l *Log) take(number uint64, revision store.Revision, now time.Time, claims []Claim) {
	s := segment{number: number, revision: revision, seenAt: now}
	for _, c := range claims {
		l.takeOne(c, number)
		s.ids = append(s.ids, c.id)
	}
	l.segments = append(l.segments, s)
	l.last = number
}

func (l *Log) takeOne(c Claim, number uint64) {
	h, ok := l.claims[c.id]
	if c.released {
		if ok && h.claim.nonce == c.nonce {
			delete(l.claims, c.id)
		}
		return
	}
	if ok {
		return
	}
	l.claims[c.id] = held{claim: c, segment: number}
}

// Trim deletes segments that this process has seen for longer than the
// window. The newest stays, so that numbers never start again.
func (l *Log) Trim(ctx context.Context, now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for len(l.segments) > 1 && now.Sub(l.segments[0].seenAt) > l.window {
		s := l.segments[0]
		if err := l.client.Delete(ctx, l.key(s.number), s.revision); err != nil && !errors.Is(err, store.ErrConflict) {
			return
		}
		l.forget(s)
		l.segments = l.segments[1:]
	}
}

func (l *Log) forget(s segment) {
	for _, id := range s.ids {
		if l.claims[id].segment == s.number {
			delete(l.claims, id)
		}
	}
}

// Held returns how many claims are in memory.
func (l *Log) Held() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.claims)
}

func encodeSegment(claims []Claim) ([]byte, error) {
	wire := &peerpb.ClaimSegment{}
	for _, c := range claims {
		wire.Claims = append(wire.Claims, &peerpb.ClaimRecord{
			Id: c.id[:], Body: c.body, Nonce: c.nonce, Instance: c.instance, Released: c.released,
		})
	}
	data, err := proto.Marshal(wire)
	return data, Class.Wrap(err)
}

func decodeSegment(data []byte) ([]Claim, error) {
	wire := &peerpb.ClaimSegment{}
	if err := proto.Unmarshal(data, wire); err != nil {
		return nil, Class.Wrap(err)
	}
	var claims []Claim
	for _, w := range wire.GetClaims() {
		c := Claim{body: w.GetBody(), nonce: w.GetNonce(), instance: w.GetInstance(), released: w.GetReleased()}
		copy(c.id[:], w.GetId())
		claims = append(claims, c)
	}
	return claims, nil
}
