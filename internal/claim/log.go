// Package claim makes requests that are not idempotent run at most once, whichever
// instance a caller sends a retry to. An attempt claims the request's idempotency
// key before it runs. The claims of each hash range are in a log of segments in the
// key-value store. A segment is written only if its key is absent, so all instances
// see the same order of claims.
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

// Ranges is the number of hash ranges of claim ids. Each has a log of its own.
const Ranges = 8

// Prefix is the key prefix of all logs in the store.
const Prefix = "claims/"

// ID is the hash of a customer, a service and an idempotency key.
type ID [16]byte

// NewID returns the id of an idempotency key. It includes the customer, so that no
// customer can get the answer of another customer's request.
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

// Claim is the claim of an attempt to be the only one that runs a request, or the
// release of such a claim.
type Claim struct {
	id       ID
	body     uint64
	nonce    string
	instance string
	released bool
}

// New returns a claim. body is the hash of the request's content, nonce is unique to
// the attempt, and instance is the one that runs it.
func New(id ID, body uint64, nonce, instance string) Claim {
	return Claim{id: id, body: body, nonce: nonce, instance: instance}
}

// ID returns the claimed id.
func (c Claim) ID() ID { return c.id }

// Instance returns the instance that runs the request.
func (c Claim) Instance() string { return c.instance }

// Body returns the hash of the request's content: its method, URI and body.
func (c Claim) Body() uint64 { return c.body }

// Nonce returns the id of the attempt.
func (c Claim) Nonce() string { return c.nonce }

// Released returns the release of the claim, for a request that is known not to
// have run.
func (c Claim) Released() Claim {
	c.released = true
	return c
}

// Outcome is the outcome of a claim.
type Outcome uint8

// The outcomes.
const (
	// Unavailable means that the claim may or may not be in the log. The request
	// must not run.
	Unavailable Outcome = iota
	// Granted means that only this attempt may run.
	Granted
	// Taken means that another attempt holds the claim and may have run.
	Taken
	// Mismatch means that the key was used for a request with other content.
	Mismatch
)

// Result is the outcome of a claim and the instance that holds the claim.
type Result struct {
	outcome  Outcome
	instance string
}

// NewResult returns a result.
func NewResult(outcome Outcome, instance string) Result { return Result{outcome, instance} }

// Outcome returns the outcome.
func (r Result) Outcome() Outcome { return r.outcome }

// Instance returns the instance that holds the claim. It is empty if the outcome is
// Unavailable.
func (r Result) Instance() string { return r.instance }

// heldClaim is a claim that is held, and the number of its segment.
type heldClaim struct {
	claim   Claim
	segment uint64
}

// segment is a segment of the log. seenAt is when this process read or wrote it.
type segment struct {
	number   uint64
	revision store.Revision
	seenAt   time.Time
	ids      []ID
}

// Log is this process's copy of the log of one hash range. It commits one batch at a
// time. It is safe for concurrent use.
type Log struct {
	client      store.Client
	rangeNumber int
	window      time.Duration

	mu         sync.Mutex
	synced     bool           // false after a failed write, until the next sync
	syncedAt   time.Time      // before the last successful sync or write was sent
	revision   store.Revision // of the last sync
	lastNumber uint64         // of the last known segment
	claims     map[ID]heldClaim
	segments   []segment
}

// NewLog returns the log of a hash range. Claims are kept for at least window.
func NewLog(client store.Client, rangeNumber int, window time.Duration) *Log {
	return &Log{client: client, rangeNumber: rangeNumber, window: window, claims: map[ID]heldClaim{}}
}

func (l *Log) prefix() string { return fmt.Sprintf("%s%02d/", Prefix, l.rangeNumber) }

func (l *Log) key(number uint64) string { return fmt.Sprintf("%s%016d", l.prefix(), number) }

// Commit commits a batch of claims with one write to the store, or none if the log
// already decides them all. If another process writes the segment first, it reads
// that segment and tries again. Every outcome but Unavailable is final and the same
// for all processes.
func (l *Log) Commit(ctx context.Context, batch []Claim) []Result {
	l.mu.Lock()
	defer l.mu.Unlock()
	results := make([]Result, len(batch))
	for {
		if err := l.sync(ctx); err != nil {
			return results
		}
		fresh := l.decide(batch, results)
		if len(fresh) == 0 {
			return results
		}
		err := l.append(ctx, fresh)
		if err == nil {
			l.grantWritten(batch, results)
			return results
		}
		l.synced = false
		if !errors.Is(err, store.ErrConflict) || ctx.Err() != nil {
			clearGrants(results)
			return results
		}
	}
}

// decide sets the results that the log already decides, and returns the claims and
// releases to write. Of the claims of one id in a batch, only the first is written.
// A release is Granted even if there is nothing to release.
func (l *Log) decide(batch []Claim, results []Result) []Claim {
	var fresh []Claim
	firstInBatch := map[ID]Claim{}
	for i, c := range batch {
		if first, ok := firstInBatch[c.id]; ok && !c.released {
			results[i] = resultAfter(first, c)
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
			results[i] = resultAfter(h.claim, c)
			continue
		}
		firstInBatch[c.id] = c
		results[i] = Result{}
		fresh = append(fresh, c)
	}
	return fresh
}

// resultAfter returns the result of c when first is the claim of the same id that
// holds.
func resultAfter(first, c Claim) Result {
	switch {
	case first.nonce == c.nonce:
		return Result{Granted, c.instance}
	case first.body != c.body:
		return Result{Mismatch, first.instance}
	default:
		return Result{Taken, first.instance}
	}
}

// clearGrants makes the granted results Unavailable, since after a failed write they
// may depend on claims that are not in the log.
func clearGrants(results []Result) {
	for i, r := range results {
		if r.outcome == Granted {
			results[i] = Result{}
		}
	}
}

// grantWritten grants the claims of the batch that were written to the log.
func (l *Log) grantWritten(batch []Claim, results []Result) {
	for i, c := range batch {
		h, ok := l.claims[c.id]
		if results[i].outcome != Unavailable || c.released {
			continue
		}
		invariant.Check(invariant.AtMostOnce, ok && h.claim.nonce == c.nonce,
			"claim %x was written but is held by %q", c.id, h.claim.nonce)
		results[i] = Result{Granted, c.instance}
	}
}

// sync reads the segments that this process does not know. It does nothing if the
// last sync or write was less than half a window ago and no write failed since.
func (l *Log) sync(ctx context.Context) error {
	if l.synced && time.Since(l.syncedAt) < l.window/2 {
		return nil
	}
	sentAt := time.Now()
	page, err := l.fetch(store.WithPriority(ctx, store.PrioritySeal))
	if err != nil {
		return Class.Wrap(err)
	}
	now := time.Now()
	for _, r := range page.Records() {
		if err := l.applyRecord(r, now); err != nil {
			return err
		}
	}
	l.revision = page.Revision()
	l.syncedAt = sentAt
	l.synced = true
	return nil
}

// fetch reads the whole log the first time, and the changes since the last sync after
// that.
func (l *Log) fetch(ctx context.Context) (store.Page, error) {
	if l.revision == 0 {
		return l.client.List(ctx, l.prefix())
	}
	return l.client.Watch(ctx, l.prefix(), l.revision, 0)
}

func (l *Log) applyRecord(r store.Record, now time.Time) error {
	number, err := strconv.ParseUint(strings.TrimPrefix(r.Key(), l.prefix()), 10, 64)
	if err != nil {
		return Class.Wrap(err)
	}
	if number <= l.lastNumber {
		return nil
	}
	claims, err := decodeSegment(r.Value())
	if err != nil {
		return err
	}
	l.applySegment(number, r.Revision(), now, claims)
	return nil
}

// errLateConfirmation means that the store confirmed a segment so late that another
// process may have written and trimmed a segment of that number before. The segment
// is then not at the end of the log, and processes past that number skip it.
var errLateConfirmation = Class.New("segment confirmed too late: its number may have been trimmed before")

// append writes the next segment. The store returns a conflict if another process
// wrote a segment of that number first. A segment that this process does not know
// was written after the last sync, and is trimmed at the earliest one window after
// it was written. So if the store confirms the write within a window of the last
// sync, the key was absent because it is the end of the log. The check leaves a
// quarter of the window as a margin.
func (l *Log) append(ctx context.Context, claims []Claim) error {
	number := l.lastNumber + 1
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
		return errLateConfirmation
	}
	l.syncedAt = sentAt
	l.applySegment(number, revision, time.Now(), claims)
	return nil
}

func (l *Log) applySegment(number uint64, revision store.Revision, now time.Time, claims []Claim) {
	s := segment{number: number, revision: revision, seenAt: now}
	for _, c := range claims {
		l.applyClaim(c, number)
		s.ids = append(s.ids, c.id)
	}
	l.segments = append(l.segments, s)
	l.lastNumber = number
}

// applyClaim applies a claim or a release of the segment with the given number. A
// claim of an id that is already held has no effect.
func (l *Log) applyClaim(c Claim, number uint64) {
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
	l.claims[c.id] = heldClaim{claim: c, segment: number}
}

// Trim deletes the segments that this process read or wrote more than a window ago.
// It keeps the newest, so that segment numbers are never used again.
func (l *Log) Trim(ctx context.Context, now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for len(l.segments) > 1 && now.Sub(l.segments[0].seenAt) > l.window {
		s := l.segments[0]
		if err := l.client.Delete(ctx, l.key(s.number), s.revision); err != nil && !errors.Is(err, store.ErrConflict) {
			return
		}
		l.removeClaims(s)
		l.segments = l.segments[1:]
	}
}

// removeClaims removes the claims of a trimmed segment. An id that was released and
// claimed again in a later segment stays.
func (l *Log) removeClaims(s segment) {
	for _, id := range s.ids {
		if l.claims[id].segment == s.number {
			delete(l.claims, id)
		}
	}
}

// Len returns the number of claims in memory.
func (l *Log) Len() int {
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
