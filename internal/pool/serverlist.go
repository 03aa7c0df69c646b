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
	// ServerListKey is the store key of the server list. The duty holder, which is the
	// node elected to run the scheduler, publishes it so that entry instances need
	// not watch the heartbeats of all servers.
	ServerListKey = "cluster/entry-servers"
	// fallbackDelay is how long to wait for a missing list before watching the
	// registrations directly. A new duty holder publishes a list within that time.
	fallbackDelay = 700 * time.Millisecond
	// startDelay replaces fallbackDelay until the first list was seen: at the start of
	// a deployment, a duty holder has to be elected and servers register.
	startDelay = 3 * time.Second
	// publishInterval is the minimum time between two lists. Each list is read
	// by every entry instance.
	publishInterval = 300 * time.Millisecond
	// coldTimeSlack is how much longer than published a server may seem to be cold because a
	// later registration took longer to arrive.
	coldTimeSlack = time.Second
)

// Publisher publishes the list of servers under the lease of the duty holder
// whenever a server was added, removed, started draining or became cold.
type Publisher struct {
	store   kv.Store
	fence   kv.Condition
	lease   kv.LeaseID
	decode  DecodeFunc
	include func(service string) bool
	cold    ColdFunc
	log     *zap.Logger

	mu                sync.Mutex
	entries           map[string][]byte
	servers           map[string]Server
	publishedServices map[string]bool
	// coldUntil is when each server is no longer cold according to the published list.
	coldUntil map[string]time.Time
	changed   bool
	revision  kv.Revision
	reachable bool
}

// NewPublisher returns a publisher for a duty holder. include selects the
// services to list, which are those that entry instances forward requests to.
func NewPublisher(store kv.Store, fence kv.Condition, lease kv.LeaseID, decode DecodeFunc, include func(service string) bool, log *zap.Logger) *Publisher {
	return &Publisher{store: store, fence: fence, lease: lease, decode: decode, include: include, log: log, entries: map[string][]byte{}, servers: map[string]Server{}, coldUntil: map[string]time.Time{}}
}

// Reset replaces the registrations by a complete list.
func (p *Publisher) Reset(items []kv.Item) {
	p.mu.Lock()
	listed := map[string]bool{}
	for _, item := range items {
		listed[item.Key] = true
	}
	for key := range p.entries {
		if !listed[key] {
			p.remove(key)
		}
	}
	p.changed = p.changed || p.revision == 0
	p.mu.Unlock()
	p.Apply(items)
}

// Apply applies changed and deleted registrations.
func (p *Publisher) Apply(events []kv.Item) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, e := range events {
		if e.Deleted {
			p.remove(e.Key)
			continue
		}
		server, err := p.decode(e.Key, e.Value)
		if err != nil {
			continue // the pool logs invalid registrations
		}
		old := p.servers[e.Key]
		cold := p.becomesCold(e.Key, server)
		if cold || old.Address != server.Address || old.Service != server.Service || old.Draining != server.Draining || old.Born != server.Born || old.Software != server.Software {
			p.changed = p.changed || p.include(server.Service)
		}
		p.entries[e.Key] = e.Value
		p.servers[e.Key] = server
	}
}

// UseColdStarts makes the publisher publish when a server of a service that has cold servers
// becomes cold. It must be called before the first registration is applied.
func (p *Publisher) UseColdStarts(cold ColdFunc) { p.cold = cold }

// becomesCold reports whether a server is cold for clearly longer than was last published.
// Registrations that only count the time down are not published. The caller holds mu.
func (p *Publisher) becomesCold(key string, server Server) bool {
	if p.cold == nil || server.ColdFor <= 0 {
		return false
	}
	if start, _ := p.cold(server.Service); start <= 0 {
		return false
	}
	until := time.Now().Add(server.ColdFor)
	if until.Sub(p.coldUntil[key]) <= coldTimeSlack {
		return false
	}
	p.coldUntil[key] = until
	return true
}

func (p *Publisher) remove(key string) {
	server, known := p.servers[key]
	if !known {
		return
	}
	delete(p.entries, key)
	delete(p.servers, key)
	delete(p.coldUntil, key)
	p.changed = p.changed || p.include(server.Service)
}

// listToPublish returns the registrations to publish. It requests publication
// if the set of listed services has changed, which a new configuration can
// cause.
func (p *Publisher) listToPublish() map[string][]byte {
	list := map[string][]byte{}
	services := map[string]bool{}
	for key, server := range p.servers {
		if p.include(server.Service) {
			list[key] = p.entries[key]
			services[server.Service] = true
		}
	}
	if !maps.Equal(services, p.publishedServices) {
		p.changed = true
		p.publishedServices = services
	}
	return list
}

// Reachable records whether the store is reachable.
func (p *Publisher) Reachable(ok bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.reachable = ok
}

// Run publishes changes until the context ends.
func (p *Publisher) Run(ctx context.Context) error {
	for ctx.Err() == nil {
		kv.Sleep(ctx, publishInterval)
		p.mu.Lock()
		list := p.listToPublish()
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
			p.log.Warn("pool: publishing the server list failed, will retry", zap.String("reason", err.Error()))
			p.mu.Lock()
			p.changed = true
			p.mu.Unlock()
		}
	}
	return ctx.Err()
}

// publish writes the list. Only the duty holder writes it, so on a conflict the
// stored revision comes from an earlier write whose response was lost. publish
// then records that revision for the next attempt.
func (p *Publisher) publish(ctx context.Context, data []byte, last kv.Revision) error {
	revision, err := p.store.Commit(ctx, kv.Txn{
		Conditions: []kv.Condition{p.fence, {Key: ServerListKey, Revision: last}},
		Puts:       []kv.Put{{Key: ServerListKey, Value: data, Lease: p.lease}},
	})
	if errors.Is(err, kv.ErrConflict) {
		item, _, getErr := p.store.Get(ctx, ServerListKey)
		if getErr != nil && !errors.Is(getErr, kv.ErrNotFound) {
			return getErr
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

// Subscriber updates a pool from the published list. While no list is published, it
// watches the registrations of the servers directly.
type Subscriber struct {
	pool         *Pool
	log          *zap.Logger
	watchEntries func(ctx context.Context, view kv.View) error

	mu          sync.Mutex
	published   bool
	initialized bool
	everSeen    bool
	wake        chan struct{}
}

// NewSubscriber returns a subscriber. watchEntries watches the registrations until its
// context ends.
func NewSubscriber(pool *Pool, watchEntries func(ctx context.Context, view kv.View) error, log *zap.Logger) *Subscriber {
	return &Subscriber{pool: pool, watchEntries: watchEntries, log: log, wake: make(chan struct{}, 1)}
}

// Reset replaces the published list; items is empty if there is none.
func (s *Subscriber) Reset(items []kv.Item) {
	s.mu.Lock()
	s.initialized = true
	s.mu.Unlock()
	if len(items) == 0 {
		s.setPublished(false)
	}
	s.Apply(items)
}

// Apply applies an update or the deletion of the published list.
func (s *Subscriber) Apply(events []kv.Item) {
	for _, e := range events {
		if e.Deleted {
			s.setPublished(false)
			continue
		}
		var list map[string][]byte
		if err := json.Unmarshal(e.Value, &list); err != nil {
			s.log.Error("pool: cannot decode the published server list", zap.String("reason", err.Error()))
			s.setPublished(false)
			continue
		}
		items := make([]kv.Item, 0, len(list))
		for key, value := range list {
			items = append(items, kv.Item{Key: key, Value: value, Revision: e.Revision})
		}
		s.setPublished(true)
		s.pool.Reset(items)
	}
}

// Reachable records whether the store is reachable.
func (s *Subscriber) Reachable(ok bool) { s.pool.Reachable(ok) }

// setPublished records whether a list is published and wakes up Run if needed.
func (s *Subscriber) setPublished(published bool) {
	s.mu.Lock()
	differs := s.published != published
	s.published = published
	s.everSeen = s.everSeen || published
	s.mu.Unlock()
	if differs || !published {
		select {
		case s.wake <- struct{}{}:
		default:
		}
	}
}

// listMissing reports whether the store is known to hold no valid list.
func (s *Subscriber) listMissing() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.initialized && !s.published
}

// Run watches the registrations directly while no list is published.
func (s *Subscriber) Run(ctx context.Context) error {
	for ctx.Err() == nil {
		if !s.listMissing() {
			select {
			case <-ctx.Done():
			case <-s.wake:
			}
			continue
		}
		s.fallBack(ctx)
	}
	return ctx.Err()
}

// fallbackDelay returns how long to wait for a missing list.
func (s *Subscriber) fallbackDelay() time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.everSeen {
		return fallbackDelay
	}
	return startDelay
}

// fallBack watches the registrations directly until a list is published.
func (s *Subscriber) fallBack(ctx context.Context) {
	kv.Sleep(ctx, s.fallbackDelay())
	if !s.listMissing() {
		return
	}
	watchCtx, cancel := context.WithCancel(ctx)
	done := make(chan struct{})
	s.log.Info("pool: no published server list, watching the registrations directly")
	go func() {
		defer close(done)
		_ = s.watchEntries(watchCtx, fallbackView{s})
	}()
	for ctx.Err() == nil && s.listMissing() {
		select {
		case <-ctx.Done():
		case <-s.wake:
		}
	}
	cancel()
	<-done
}

// fallbackView applies registrations to the pool only while no list is
// published.
type fallbackView struct{ subscriber *Subscriber }

func (g fallbackView) Reset(items []kv.Item) {
	if g.subscriber.listMissing() {
		g.subscriber.pool.Reset(items)
	}
}

func (g fallbackView) Apply(events []kv.Item) {
	if g.subscriber.listMissing() {
		g.subscriber.pool.Apply(events)
	}
}

func (g fallbackView) Reachable(ok bool) { g.subscriber.pool.Reachable(ok) }
