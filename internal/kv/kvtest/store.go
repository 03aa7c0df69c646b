// Package kvtest is a key-value store in memory whose faults a seed draws.
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

// lateMax bounds how late a write without an answer is carried out.
const lateMax = 4 * time.Second

// Faults is how often a call fails, each a share from 0 to 1.
type Faults struct {
	// Refused calls do nothing.
	Refused float64
	// Lost calls are carried out without an answer.
	Lost float64
	// Late calls get no answer and are carried out seconds later.
	Late float64
	// Slow bounds the time of an answer.
	Slow time.Duration
}

// Store is the shared state; each node has a Client of its own.
type Store struct {
	mu       sync.Mutex
	random   *rand.Rand
	faults   Faults
	items    map[string]entry
	events   []kv.Item
	leases   map[kv.LeaseID]*time.Timer
	ttls     map[kv.LeaseID]time.Duration
	revision kv.Revision
	next     kv.LeaseID
	wake     chan struct{}
}

type entry struct {
	item  kv.Item
	lease kv.LeaseID
}

// New returns an empty store.
func New(seed uint64, faults Faults) *Store {
	return &Store{
		random: rand.New(rand.NewPCG(seed, seed)), faults: faults, items: map[string]entry{},
		leases: map[kv.LeaseID]*time.Timer{}, ttls: map[kv.LeaseID]time.Duration{}, revision: 10, wake: make(chan struct{}),
	}
}

// SetFaults changes how often calls fail.
func (s *Store) SetFaults(f Faults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = f
}

// Client is one node's way to the store.
type Client struct {
	store *Store
	mu    sync.Mutex
	cut   bool
}

// Client returns a new way to the store.
func (s *Store) Client() *Client { return &Client{store: s} }

// Cut makes the node's calls fail.
func (c *Client) Cut(cut bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.cut = cut
}

// call carries an operation out, or not, as the faults say.
func (c *Client) call(ctx context.Context, write bool, do func()) error {
	s := c.store
	c.mu.Lock()
	cut := c.cut
	c.mu.Unlock()
	s.mu.Lock()
	f := s.faults
	at := s.random.Float64()
	pause := time.Duration(s.random.Int64N(int64(f.Slow) + 1))
	late := time.Duration(s.random.Int64N(int64(lateMax)))
	s.mu.Unlock()
	kv.Sleep(ctx, pause)
	switch {
	case ctx.Err() != nil:
		return kv.ErrUnknown
	case cut || at < f.Refused:
		return kv.ErrRefused
	case write && at < f.Refused+f.Lost:
		s.locked(do)
		return kv.ErrUnknown
	case write && at < f.Refused+f.Lost+f.Late:
		time.AfterFunc(late, func() { s.locked(do) })
		return kv.ErrUnknown
	}
	s.locked(do)
	return nil
}

func (s *Store) locked(do func()) {
	s.mu.Lock()
	defer s.mu.Unlock()
	do()
}

func (s *Store) changed(item kv.Item) {
	s.events = append(s.events, item)
	close(s.wake)
	s.wake = make(chan struct{})
}

func (s *Store) end(lease kv.LeaseID) {
	delete(s.leases, lease)
	for key, e := range s.items {
		if e.lease == lease {
			s.revision++
			delete(s.items, key)
			s.changed(kv.Item{Key: key, Revision: s.revision, Deleted: true})
		}
	}
}

// Get returns a key.
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

// Range returns all keys with a prefix after a key.
func (c *Client) Range(ctx context.Context, prefix, after string) (page kv.Page, err error) {
	err = c.call(ctx, false, func() {
		for key, e := range c.store.items {
			if strings.HasPrefix(key, prefix) && key > after {
				page.Items = append(page.Items, e.item)
			}
		}
		page.At = c.store.revision
	})
	sort.Slice(page.Items, func(i, j int) bool { return page.Items[i].Key < page.Items[j].Key })
	return page, err
}

// Watch waits for events.
func (c *Client) Watch(ctx context.Context, prefix string, after kv.Revision, wait time.Duration) (out []kv.Item, at kv.Revision, err error) {
	until := time.NewTimer(wait)
	defer until.Stop()
	for {
		var wake chan struct{}
		err = c.call(ctx, false, func() {
			for _, e := range c.store.events {
				if e.Revision > after && strings.HasPrefix(e.Key, prefix) {
					out = append(out, e)
				}
			}
			at, wake = c.store.revision, c.store.wake
		})
		if err != nil || len(out) > 0 {
			return out, at, err
		}
		select {
		case <-wake:
		case <-until.C:
			return nil, at, nil
		case <-ctx.Done():
			return nil, 0, kv.ErrUnknown
		}
	}
}

// Commit carries out a conditional write.
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
			s.changed(item)
		}
		for _, key := range txn.Deletes {
			delete(s.items, key)
			s.changed(kv.Item{Key: key, Revision: s.revision, Deleted: true})
		}
		revision = s.revision
	})
	if err != nil {
		return 0, err // the write may still be carried out
	}
	return revision, result
}

// Grant creates a lease, which runs from the arrival of the call.
func (c *Client) Grant(ctx context.Context, ttl time.Duration) (kv.LeaseID, error) {
	s := c.store
	var lease kv.LeaseID
	err := c.call(ctx, true, func() {
		s.next++
		id := s.next
		lease = id
		s.ttls[id] = ttl
		s.leases[id] = time.AfterFunc(ttl, func() { s.locked(func() { s.end(id) }) })
	})
	if err != nil {
		return 0, err
	}
	return lease, nil
}

// Keep renews a lease.
func (c *Client) Keep(ctx context.Context, lease kv.LeaseID) error {
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

// Revoke ends a lease.
func (c *Client) Revoke(ctx context.Context, lease kv.LeaseID) error {
	return c.call(ctx, true, func() { c.store.end(lease) })
}
