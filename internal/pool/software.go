package pool

import (
	"context"
	"encoding/json"
	"errors"
	"maps"
	"slices"
	"time"

	"cactusspoke/internal/kv"

	"go.uber.org/zap"
)

const (
	// SoftwareListKey is the store key of the software versions that served lately. The
	// duty holder publishes them, since a restarted process sees only the present ones.
	SoftwareListKey = "cluster/entry-software"
	// softwarePublishInterval is the time between two checks for changes.
	softwarePublishInterval = 500 * time.Millisecond
	// softwareRetention is how long a version that left stays published.
	softwareRetention = 5 * time.Minute
)

// sightings holds when each software version of a service was last registered.
type sightings map[string]map[string]time.Time

// see records a sighting.
func (s sightings) see(service, software string, at time.Time) {
	if s[service] == nil {
		s[service] = map[string]time.Time{}
	}
	if at.After(s[service][software]) {
		s[service][software] = at
	}
}

// recordSoftware records the versions that are registered; the caller holds mu.
func (p *Pool) recordSoftware(now time.Time) {
	for _, s := range p.servers {
		p.software.see(s.server.Service, s.server.Software, now)
	}
}

// SoftwareSeen returns the software versions of services that were registered within a
// time, or nil if they are not known for all that time.
func (p *Pool) SoftwareSeen(services []string, within time.Duration) map[string][]string {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := time.Now()
	p.recordSoftware(now)
	if !p.historyKnown && now.Sub(p.startedAt) < within {
		return nil
	}
	out := map[string][]string{}
	for _, service := range services {
		for software, at := range p.software[service] {
			if now.Sub(at) <= within {
				out[service] = append(out[service], software)
			}
		}
		slices.Sort(out[service])
	}
	return out
}

// SoftwareReady returns the software versions of services that accept requests.
func (p *Pool) SoftwareReady(services []string) map[string][]string {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.removeMissing(time.Now())
	out := map[string][]string{}
	for _, s := range p.servers {
		service := s.server.Service
		if slices.Contains(services, service) && !s.server.Draining && !s.misdirected && !slices.Contains(out[service], s.server.Software) {
			out[service] = append(out[service], s.server.Software)
		}
	}
	return out
}

// SoftwareView returns a view of the published history that passes it to the pool.
func (p *Pool) SoftwareView() kv.View { return softwareView{p} }

type softwareView struct{ pool *Pool }

// Reset applies the published history; items is empty if there is none.
func (v softwareView) Reset(items []kv.Item) { v.Apply(items) }

// Apply merges the published history. It never shrinks: sightings only get later.
func (v softwareView) Apply(events []kv.Item) {
	for _, e := range events {
		if e.Deleted {
			continue
		}
		var history softwareHistory
		if err := json.Unmarshal(e.Value, &history); err != nil {
			v.pool.log.Error("pool: cannot decode the published software versions", zap.String("reason", err.Error()))
			continue
		}
		v.pool.mergeSoftware(history)
	}
}

// Reachable does nothing: sightings stay.
func (v softwareView) Reachable(bool) {}

// mergeSoftware adds a published history. Versions that were present when it was published
// may have left only now.
func (p *Pool) mergeSoftware(history softwareHistory) {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := time.Now()
	p.historyKnown = true
	for service, versions := range history {
		for software, leftAt := range versions {
			if leftAt == 0 {
				p.software.see(service, software, now)
			} else {
				p.software.see(service, software, time.UnixMilli(leftAt))
			}
		}
	}
}

// softwareHistory is what is published: for each version of a service when it left, in
// Unix milliseconds; 0 while it is registered.
type softwareHistory map[string]map[string]int64

// update returns the history after a look at the registered versions. A service without
// any server is left as it was: its servers may not be listed yet.
func (h softwareHistory) update(registered map[string][]string, now time.Time) softwareHistory {
	next := softwareHistory{}
	for service, versions := range h {
		next[service] = maps.Clone(versions)
	}
	for service, present := range registered {
		versions := map[string]int64{}
		for software, leftAt := range h[service] {
			if leftAt == 0 {
				leftAt = now.UnixMilli()
			}
			if now.Sub(time.UnixMilli(leftAt)) <= softwareRetention {
				versions[software] = leftAt
			}
		}
		for _, software := range present {
			versions[software] = 0
		}
		next[service] = versions
	}
	return next
}

// equal reports whether two histories are the same.
func (h softwareHistory) equal(other softwareHistory) bool {
	return maps.EqualFunc(h, other, func(a, b map[string]int64) bool { return maps.Equal(a, b) })
}

// SoftwarePublisher publishes the software versions of a pool's servers for a duty holder.
type SoftwarePublisher struct {
	store   kv.Store
	fence   kv.Condition
	pool    *Pool
	include func(service string) bool
	log     *zap.Logger
}

// NewSoftwarePublisher returns a publisher. include selects the services.
func NewSoftwarePublisher(store kv.Store, fence kv.Condition, pool *Pool, include func(service string) bool, log *zap.Logger) *SoftwarePublisher {
	return &SoftwarePublisher{store: store, fence: fence, pool: pool, include: include, log: log}
}

// Run publishes changes until the context ends. It goes on from what the last holder
// published.
func (p *SoftwarePublisher) Run(ctx context.Context) error {
	published, err := p.load(ctx)
	for err != nil && ctx.Err() == nil {
		p.log.Warn("pool: the published software versions cannot be read, will retry", zap.String("reason", err.Error()))
		kv.Sleep(ctx, softwarePublishInterval)
		published, err = p.load(ctx)
	}
	for ; ctx.Err() == nil; kv.Sleep(ctx, softwarePublishInterval) {
		next := published.update(p.registered(), time.Now())
		if next.equal(published) {
			continue
		}
		data, err := json.Marshal(next)
		if err == nil {
			_, err = p.store.Commit(ctx, kv.Txn{Conditions: []kv.Condition{p.fence}, Puts: []kv.Put{{Key: SoftwareListKey, Value: data}}})
		}
		if err != nil {
			p.log.Warn("pool: publishing the software versions failed, will retry", zap.String("reason", err.Error()))
			continue
		}
		p.log.Info("pool: software versions published", zap.Any("left-at", next))
		published = next
	}
	return ctx.Err()
}

func (p *SoftwarePublisher) load(ctx context.Context) (softwareHistory, error) {
	item, _, err := p.store.Get(ctx, SoftwareListKey)
	if errors.Is(err, kv.ErrNotFound) {
		return softwareHistory{}, nil
	}
	if err != nil {
		return nil, err
	}
	var history softwareHistory
	err = json.Unmarshal(item.Value, &history)
	return history, err
}

// registered returns the versions of the included services that have servers.
func (p *SoftwarePublisher) registered() map[string][]string {
	p.pool.mu.Lock()
	defer p.pool.mu.Unlock()
	out := map[string][]string{}
	for _, s := range p.pool.servers {
		service := s.server.Service
		if p.include(service) && !slices.Contains(out[service], s.server.Software) {
			out[service] = append(out[service], s.server.Software)
		}
	}
	return out
}
