// Package kvtest provides an in-memory key-value store that injects random faults
// from a seed.
package kvtest

import (
	"context"
	"math/rand/v2"
	"sort"
	"strings"
	"sync"
	"time"

	"cactusspoke/internal/kv"
)

// maxWriteDelay limits the delay of a write that is carried out after its call has
// failed.
const maxWriteDelay = 4 * time.Second

// initialRevision is the revision of an empty store.
const initialRevision = 10

// Faults configures the injected faults. Rates are from 0 to 1.
type Faults struct {
	// RefusedRate is the rate of calls that fail and have no effect.
	RefusedRate float64
	// LostReplyRate is the rate of writes that are carried out and whose reply is
	// lost.
	LostReplyRate float64
	// DelayedWriteRate is the rate of writes that get no reply and are carried
	// out up to maxWriteDelay later.
	DelayedWriteRate float64
	// MaxLatency is the maximum latency of a call.
	MaxLatency time.Duration
}

// Store is the state of the server. Each node accesses it by its own Client.
type Store struct {
	mu        sync.Mutex
	random    *rand.Rand
	faults    Faults
	items     map[string]entry
	events    []kv.Item
	leases    map[kv.LeaseID]*time.Timer
	ttls      map[kv.LeaseID]time.Duration
	revision  kv.Revision
	lastLease kv.LeaseID
	changed   chan struct{}
}

// entry is an item with the lease that it is bound to.
type entry struct {
	item  kv.Item
	lease kv.LeaseID
}

// New returns an empty store.
func New(seed uint64, faults Faults) *Store {
	return &Store{
		random: rand.New(rand.NewPCG(seed, seed)), faults: faults, items: map[string]entry{},
		leases: map[kv.LeaseID]*time.Timer{}, ttls: map[kv.LeaseID]time.Duration{}, revision: initialRevision, changed: make(chan struct{}),
	}
}

// SetFaults replaces the injected faults.
func (s *Store) SetFaults(f Faults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = f
}

// Client is the connection of a node to the store. It implements kv.Store.
type Client struct {
	store        *Store
	mu           sync.Mutex
	disconnected bool
}

// Client returns a new connection to the store.
func (s *Store) Client() *Client { return &Client{store: s} }

// SetDisconnected sets whether all calls of the client fail.
func (c *Client) SetDisconnected(disconnected bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.disconnected = disconnected
}

// call runs an operation on the store's state, or fails, according to the faults.
// Only writes lose replies and are delayed.
func (c *Client) call(ctx context.Context, write bool, op func()) error {
	s := c.store
	c.mu.Lock()
	disconnected := c.disconnected
	c.mu.Unlock()
	s.mu.Lock()
	f := s.faults
	draw := s.random.Float64()
	latency := time.Duration(s.random.Int64N(int64(f.MaxLatency) + 1))
	writeDelay := time.Duration(s.random.Int64N(int64(maxWriteDelay)))
	s.mu.Unlock()
	kv.Sleep(ctx, latency)
	switch {
	case ctx.Err() != nil:
		return kv.ErrOutcomeUnknown
	case disconnected || draw < f.RefusedRate:
		return kv.ErrRefused
	case write && draw < f.RefusedRate+f.LostReplyRate:
		s.withLock(op)
		return kv.ErrOutcomeUnknown
	case write && draw < f.RefusedRate+f.LostReplyRate+f.DelayedWriteRate:
		time.AfterFunc(writeDelay, func() { s.withLock(op) })
		return kv.ErrOutcomeUnknown
	}
	s.withLock(op)
	return nil
}

func (s *Store) withLock(op func()) {
	s.mu.Lock()
	defer s.mu.Unlock()
	op()
}

func (s *Store) appendEvent(item kv.Item) {
	s.events = append(s.events, item)
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *Store) expireLease(lease kv.LeaseID) {
	delete(s.leases, lease)
	for key, e := range s.items {
		if e.lease == lease {
			s.revision++
			delete(s.items, key)
			s.appendEvent(kv.Item{Key: key, Revision: s.revision, Deleted: true})
		}
	}
}

// Get implements kv.Store.
func (c *Client) Get(ctx context.Context, key string) (item kv.Item, at kv.Revision, err error) {
	found := false
	failed := c.call(ctx, false, func() {
		var e entry
		e, found = c.store.items[key]
		item, at = e.item, c.store.revision
	})
	if failed == nil && !found {
		failed = kv.ErrNotFound
	}
	return item, at, failed
}

// Range implements kv.Store. It returns all items in one page.
func (c *Client) Range(ctx context.Context, prefix, after string) (page kv.Page, err error) {
	err = c.call(ctx, false, func() {
		for key, e := range c.store.items {
			if strings.HasPrefix(key, prefix) && key > after {
				page.Items = append(page.Items, e.item)
			}
		}
		page.Revision = c.store.revision
	})
	sort.Slice(page.Items, func(i, j int) bool { return page.Items[i].Key < page.Items[j].Key })
	return page, err
}

// Watch implements kv.Store.
func (c *Client) Watch(ctx context.Context, prefix string, after kv.Revision, wait time.Duration) (out []kv.Item, at kv.Revision, err error) {
	timeout := time.NewTimer(wait)
	defer timeout.Stop()
	for {
		var changed chan struct{}
		err = c.call(ctx, false, func() {
			for _, e := range c.store.events {
				if e.Revision > after && strings.HasPrefix(e.Key, prefix) {
					out = append(out, e)
				}
			}
			at, changed = c.store.revision, c.store.changed
		})
		if err != nil || len(out) > 0 {
			return out, at, err
		}
		select {
		case <-changed:
		case <-timeout.C:
			return nil, at, nil
		case <-ctx.Done():
			return nil, 0, kv.ErrOutcomeUnknown
		}
	}
}

// Commit implements kv.Store.
func (c *Client) Commit(ctx context.Context, txn kv.Txn) (kv.Revision, error) {
	s := c.store
	var revision kv.Revision
	var result error
	err := c.call(ctx, true, func() {
		result = nil
		for _, condition := range txn.Conditions {
			if s.items[condition.Key].item.Revision != condition.Revision {
				result = kv.ErrConflict
				return
			}
		}
		for _, p := range txn.Puts {
			if p.Lease != 0 && s.leases[p.Lease] == nil {
				result = kv.ErrNotFound
				return
			}
		}
		s.revision++
		for _, p := range txn.Puts {
			item := kv.Item{Key: p.Key, Value: p.Value, Revision: s.revision}
			s.items[p.Key] = entry{item, p.Lease}
			s.appendEvent(item)
		}
		for _, key := range txn.Deletes {
			delete(s.items, key)
			s.appendEvent(kv.Item{Key: key, Revision: s.revision, Deleted: true})
		}
		revision = s.revision
	})
	if err != nil {
		return 0, err // the write may still be carried out
	}
	return revision, result
}

// Grant implements kv.Store. The lease starts when the call reaches the store.
func (c *Client) Grant(ctx context.Context, ttl time.Duration) (kv.LeaseID, error) {
	s := c.store
	var lease kv.LeaseID
	err := c.call(ctx, true, func() {
		s.lastLease++
		id := s.lastLease
		lease = id
		s.ttls[id] = ttl
		s.leases[id] = time.AfterFunc(ttl, func() { s.withLock(func() { s.expireLease(id) }) })
	})
	if err != nil {
		return 0, err
	}
	return lease, nil
}

// Keep implements kv.Store.
func (c *Client) KeepAlive(ctx context.Context, lease kv.LeaseID) error {
	found := false
	err := c.call(ctx, true, func() {
		timer := c.store.leases[lease]
		if found = timer != nil; found {
			timer.Reset(c.store.ttls[lease])
		}
	})
	if err != nil {
		return err
	}
	if !found {
		return kv.ErrNotFound
	}
	return nil
}

// Revoke implements kv.Store.
func (c *Client) Revoke(ctx context.Context, lease kv.LeaseID) error {
	return c.call(ctx, true, func() { c.store.expireLease(lease) })
}
