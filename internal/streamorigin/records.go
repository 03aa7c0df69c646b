package streamorigin

import (
	"context"
	"encoding/json"
	"errors"
	"strings"
	"sync"
	"time"

	"cactusspoke/internal/kv"

	"go.uber.org/zap"
)

const (
	// keyPrefix is the store prefix of the records, each under the request ID of the
	// attempt that began the stream.
	keyPrefix = "stream/"
	// maxIDBytes bounds the request IDs that are recorded; a key has at most 200 bytes.
	maxIDBytes = 128
	// maxLocal bounds the streams that an instance remembers.
	maxLocal = 16384
	// writeInterval is the minimum time between two writes of an instance. It grows with
	// the number of instances, by writeIntervalPerInstance, since the store limits the
	// writes of all together.
	writeInterval            = 50 * time.Millisecond
	writeIntervalPerInstance = 5 * time.Millisecond
	// recheckInterval is the time between two checks whether streams that needed no record
	// so far need one now, since another version came.
	recheckInterval = 500 * time.Millisecond
	// maxPutsPerWrite bounds the records in one write; the store accepts 32 entries.
	maxPutsPerWrite = 30
	// leaseTime is the lifetime of a lease, whose end deletes its records. Records are
	// written under it during its first half, so that each stays for Retention.
	leaseTime = 2 * Retention
	// finalWriteTimeout bounds the writes when the process stops.
	finalWriteTimeout = 500 * time.Millisecond
	// lookupTimeout bounds the lookup of a record.
	lookupTimeout = 400 * time.Millisecond
)

// local is a stream that began at this instance.
type local struct {
	id       string
	origin   Origin
	services []string
	begunAt  time.Time
	written  bool
}

// Records holds the origins of streams. Those that began at this instance are in memory;
// they are written to the store while streams of their route may have begun at different
// versions. It is safe for concurrent use.
type Records struct {
	store kv.Store
	log   *zap.Logger
	// seen returns the software versions of services as Knowledge has them.
	seen func(services []string) map[string][]string
	// instances returns the number of entry instances.
	instances func() int
	// begun wakes Run when a stream began.
	begun chan struct{}

	mu sync.Mutex
	// streams are in the order of their start.
	streams []*local
	byID    map[string]*local

	lease      kv.LeaseID
	leaseUntil time.Time
}

// NewRecords returns an empty set of records.
func NewRecords(store kv.Store, seen func(services []string) map[string][]string, instances func() int, log *zap.Logger) *Records {
	return &Records{store: store, seen: seen, instances: instances, log: log, byID: map[string]*local{}, begun: make(chan struct{}, 1)}
}

// Begin records that a server of an origin began a stream on a route to services.
func (r *Records) Begin(id string, origin Origin, services []string) {
	defer r.notify()
	r.mu.Lock()
	defer r.mu.Unlock()
	now := time.Now()
	for len(r.streams) > 0 && (len(r.streams) >= maxLocal || now.Sub(r.streams[0].begunAt) > Retention) {
		if first := r.streams[0]; r.byID[first.id] == first {
			delete(r.byID, first.id)
		}
		r.streams = r.streams[1:]
	}
	s := &local{id: id, origin: origin, services: services, begunAt: now}
	r.streams = append(r.streams, s)
	r.byID[id] = s
}

// Find returns the recorded origin of a stream; nil if there is none. An error means that
// the store could not be read.
func (r *Records) Find(ctx context.Context, id string) (*Origin, error) {
	r.mu.Lock()
	s := r.byID[id]
	r.mu.Unlock()
	if s != nil {
		return &s.origin, nil
	}
	if !validID(id) {
		return nil, nil
	}
	ctx, cancel := context.WithTimeout(ctx, lookupTimeout)
	defer cancel()
	item, _, err := r.store.Get(ctx, keyPrefix+id)
	if errors.Is(err, kv.ErrNotFound) {
		return nil, nil
	}
	if err != nil {
		return nil, err
	}
	origin, err := decodeOrigin(item.Value)
	if err != nil {
		r.log.Error("streams: record cannot be decoded", zap.String("id", id), zap.String("reason", err.Error()))
		return nil, nil
	}
	return &origin, nil
}

// validID reports whether a request ID can be part of a store key.
func validID(id string) bool {
	return id != "" && len(id) <= maxIDBytes && !strings.ContainsAny(id, "/ ?&%")
}

// notify wakes Run.
func (r *Records) notify() {
	select {
	case r.begun <- struct{}{}:
	default:
	}
}

// Run writes records until the context ends, and then those that are left. It sleeps while
// no stream may need a record.
func (r *Records) Run(ctx context.Context) error {
	for ctx.Err() == nil {
		r.awaitStreams(ctx)
		if r.write(ctx) == maxPutsPerWrite {
			r.notify()
		}
		kv.Sleep(ctx, max(writeInterval, time.Duration(r.instances())*writeIntervalPerInstance))
	}
	final, cancel := context.WithTimeout(context.Background(), finalWriteTimeout)
	defer cancel()
	for r.write(final) == maxPutsPerWrite {
	}
	return ctx.Err()
}

// awaitStreams returns when a stream began or, if there are streams without a record, after
// recheckInterval.
func (r *Records) awaitStreams(ctx context.Context) {
	var recheck <-chan time.Time
	if r.anyUnwritten() {
		recheck = time.After(recheckInterval)
	}
	select {
	case <-ctx.Done():
	case <-r.begun:
	case <-recheck:
	}
}

// anyUnwritten reports whether a stream that can still be resumed has no record.
func (r *Records) anyUnwritten() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	for i := len(r.streams) - 1; i >= 0 && time.Since(r.streams[i].begunAt) < Retention; i-- {
		if !r.streams[i].written {
			return true
		}
	}
	return false
}

// write writes records that are needed and returns how many it wrote.
func (r *Records) write(ctx context.Context) int {
	due := r.due()
	if len(due) == 0 {
		return 0
	}
	if err := r.commit(ctx, due); err != nil {
		r.log.Warn("streams: origins not written, will retry", zap.Int("streams", len(due)), zap.String("reason", err.Error()))
		return 0
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, s := range due {
		s.written = true
	}
	return len(due)
}

// due returns streams to write, those that began last first: their callers are the most
// likely to be reading them.
func (r *Records) due() []*local {
	r.mu.Lock()
	defer r.mu.Unlock()
	var due []*local
	ambiguous := map[string]bool{}
	for i := len(r.streams) - 1; i >= 0 && len(due) < maxPutsPerWrite; i-- {
		s := r.streams[i]
		if s.written || !validID(s.id) {
			continue
		}
		route := strings.Join(s.services, " ")
		if _, known := ambiguous[route]; !known {
			ambiguous[route] = Ambiguous(s.services, r.seen(s.services))
		}
		if ambiguous[route] {
			due = append(due, s)
		}
	}
	return due
}

func (r *Records) commit(ctx context.Context, due []*local) error {
	if now := time.Now(); now.After(r.leaseUntil) {
		lease, err := r.store.Grant(ctx, leaseTime)
		if err != nil {
			return err
		}
		r.lease, r.leaseUntil = lease, now.Add(leaseTime-Retention)
	}
	var txn kv.Txn
	for _, s := range due {
		txn.Puts = append(txn.Puts, kv.Put{Key: keyPrefix + s.id, Value: encodeOrigin(s.origin), Lease: r.lease})
	}
	_, err := r.store.Commit(ctx, txn)
	if errors.Is(err, kv.ErrNotFound) {
		r.leaseUntil = time.Time{}
	}
	return err
}

type wireOrigin struct {
	Service  string `json:"service"`
	Software string `json:"software"`
}

func encodeOrigin(o Origin) []byte {
	data, err := json.Marshal(wireOrigin(o))
	if err != nil {
		panic(err) // two strings can always be encoded
	}
	return data
}

func decodeOrigin(data []byte) (Origin, error) {
	var w wireOrigin
	err := json.Unmarshal(data, &w)
	return Origin(w), err
}
