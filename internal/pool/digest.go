package pool

import (
	"context"
	"encoding/json"
	"errors"
	"maps"
	"sync"
	"time"

	"cactusspoke/internal/kv"

	"go.uber.org/zap"
)

const (
	// DigestKey is where the holder of the duty publishes the list of servers,
	// so that not every instance has to follow their heartbeats.
	DigestKey = "cluster/entry-servers"
	// fallbackAfter is how long a missing list is waited for: the next holder
	// of the duty publishes one within that time.
	fallbackAfter = 700 * time.Millisecond
	// publishEvery is the least time between two lists: every instance reads
	// each of them.
	publishEvery = 300 * time.Millisecond
)

// Publisher publishes the list of servers under the lease of the holder of
// the duty, whenever a server has joined, left or begun to drain.
type Publisher struct {
	store  kv.Store
	fence  kv.Condition
	lease  kv.LeaseID
	decode Decode
	wanted func(service string) bool
	log    *zap.Logger

	mu        sync.Mutex
	items     map[string][]byte
	servers   map[string]Server
	services  map[string]bool
	changed   bool
	revision  kv.Revision
	reachable bool
}

// NewPublisher returns the publisher of a holder. It lists the servers of the
// services that are wanted: those that entry instances send requests to.
func NewPublisher(store kv.Store, fence kv.Condition, lease kv.LeaseID, decode Decode, wanted func(service string) bool, log *zap.Logger) *Publisher {
	return &Publisher{store: store, fence: fence, lease: lease, decode: decode, wanted: wanted, log: log, items: map[string][]byte{}, servers: map[string]Server{}}
}

// Reset takes in the whole list.
func (p *Publisher) Reset(items []kv.Item) {
	p.mu.Lock()
	listed := map[string]bool{}
	for _, item := range items {
		listed[item.Key] = true
	}
	for key := range p.items {
		if !listed[key] {
			p.drop(key)
		}
	}
	p.changed = p.changed || p.revision == 0
	p.mu.Unlock()
	p.Apply(items)
}

// Apply takes in changes of the list.
func (p *Publisher) Apply(events []kv.Item) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, e := range events {
		if e.Deleted {
			p.drop(e.Key)
			continue
		}
		server, err := p.decode(e.Key, e.Value)
		if err != nil {
			continue // the pool logs what cannot be read
		}
		old := p.servers[e.Key]
		if old.Address != server.Address || old.Service != server.Service || old.Draining != server.Draining || old.Born != server.Born {
			p.changed = p.changed || p.wanted(server.Service)
		}
		p.items[e.Key] = e.Value
		p.servers[e.Key] = server
	}
}

// drop forgets a server.
func (p *Publisher) drop(key string) {
	server, known := p.servers[key]
	if !known {
		return
	}
	delete(p.items, key)
	delete(p.servers, key)
	p.changed = p.changed || p.wanted(server.Service)
}

// list returns the entries to publish. Another configuration may want servers
// of other services than the last list held.
func (p *Publisher) list() map[string][]byte {
	out := map[string][]byte{}
	services := map[string]bool{}
	for key, server := range p.servers {
		if p.wanted(server.Service) {
			out[key] = p.items[key]
			services[server.Service] = true
		}
	}
	if !maps.Equal(services, p.services) {
		p.changed = true
		p.services = services
	}
	return out
}

// Reachable is part of kv.View.
func (p *Publisher) Reachable(ok bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.reachable = ok
}

// Run publishes changes until the context ends.
func (p *Publisher) Run(ctx context.Context) error {
	for ctx.Err() == nil {
		kv.Sleep(ctx, publishEvery)
		p.mu.Lock()
		list := p.list()
		changed := p.changed && p.reachable
		data, err := json.Marshal(list)
		if changed {
			p.changed = false
		}
		revision := p.revision
		p.mu.Unlock()
		if !changed || err != nil {
			continue
		}
		if err := p.publish(ctx, data, revision); err != nil {
			p.log.Warn("pool: list not published yet", zap.String("reason", err.Error()))
			p.mu.Lock()
			p.changed = true
			p.mu.Unlock()
		}
	}
	return ctx.Err()
}

// publish writes the list. The holder is the only writer, so that a revision
// that differs from the last one known belongs to a write without an answer.
func (p *Publisher) publish(ctx context.Context, data []byte, last kv.Revision) error {
	revision, err := p.store.Commit(ctx, kv.Txn{
		Conditions: []kv.Condition{p.fence, {Key: DigestKey, Revision: last}},
		Puts:       []kv.Put{{Key: DigestKey, Value: data, Lease: p.lease}},
	})
	if errors.Is(err, kv.ErrConflict) {
		item, _, failed := p.store.Get(ctx, DigestKey)
		if failed != nil && !errors.Is(failed, kv.ErrNotFound) {
			return failed
		}
		revision = item.Revision
	}
	if err == nil || errors.Is(err, kv.ErrConflict) {
		p.mu.Lock()
		p.revision = revision
		p.mu.Unlock()
	}
	return err
}

// Source feeds a pool from the published list and, while there is none, from
// the servers' own entries.
type Source struct {
	pool   *Pool
	log    *zap.Logger
	direct func(ctx context.Context, view kv.View) error

	mu        sync.Mutex
	published bool
	known     bool
	wake      chan struct{}
}

// NewSource returns a source. direct follows the servers' own entries until
// its context ends.
func NewSource(pool *Pool, direct func(ctx context.Context, view kv.View) error, log *zap.Logger) *Source {
	return &Source{pool: pool, direct: direct, log: log, wake: make(chan struct{}, 1)}
}

// Reset takes in whether there is a published list.
func (s *Source) Reset(items []kv.Item) {
	s.mu.Lock()
	s.known = true
	s.mu.Unlock()
	if len(items) == 0 {
		s.set(false)
	}
	s.Apply(items)
}

// Apply takes in the published list.
func (s *Source) Apply(events []kv.Item) {
	for _, e := range events {
		if e.Deleted {
			s.set(false)
			continue
		}
		var list map[string][]byte
		if err := json.Unmarshal(e.Value, &list); err != nil {
			s.log.Error("pool: published list unreadable", zap.String("reason", err.Error()))
			s.set(false)
			continue
		}
		items := make([]kv.Item, 0, len(list))
		for key, value := range list {
			items = append(items, kv.Item{Key: key, Value: value, Revision: e.Revision})
		}
		s.set(true)
		s.pool.Reset(items)
	}
}

// Reachable passes on whether the store answers.
func (s *Source) Reachable(ok bool) { s.pool.Reachable(ok) }

func (s *Source) set(published bool) {
	s.mu.Lock()
	differs := s.published != published
	s.published = published
	s.mu.Unlock()
	if differs || !published {
		select {
		case s.wake <- struct{}{}:
		default:
		}
	}
}

func (s *Source) missing() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.known && !s.published
}

// Run follows the servers' own entries while no list is published.
func (s *Source) Run(ctx context.Context) error {
	for ctx.Err() == nil {
		if !s.missing() {
			select {
			case <-ctx.Done():
			case <-s.wake:
			}
			continue
		}
		s.follow(ctx)
	}
	return ctx.Err()
}

// follow ends when a list is published.
func (s *Source) follow(ctx context.Context) {
	kv.Sleep(ctx, fallbackAfter)
	if !s.missing() {
		return
	}
	inner, cancel := context.WithCancel(ctx)
	done := make(chan struct{})
	s.log.Info("pool: no published list, following the servers' own entries")
	go func() {
		defer close(done)
		_ = s.direct(inner, guarded{s})
	}()
	for ctx.Err() == nil && s.missing() {
		select {
		case <-ctx.Done():
		case <-s.wake:
		}
	}
	cancel()
	<-done
}

// guarded passes the servers' own entries on while no list is published.
type guarded struct{ s *Source }

func (g guarded) Reset(items []kv.Item) {
	if g.s.missing() {
		g.s.pool.Reset(items)
	}
}

func (g guarded) Apply(events []kv.Item) {
	if g.s.missing() {
		g.s.pool.Apply(events)
	}
}

func (g guarded) Reachable(ok bool) { g.s.pool.Reachable(ok) }
