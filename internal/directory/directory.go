// Package directory tells callers which entry instances they may connect to.
// Each instance registers under a lease, and leaves before it stops.
package directory

import (
	"context"
	"errors"
	"math/rand/v2"
	"slices"
	"strings"
	"sync"
	"time"

	"cactusspoke/internal/kv"

	"go.uber.org/zap"
)

const (
	// Prefix is where entry instances register, below the watched prefix.
	Prefix = "cluster/entry/"
	// registrationTTL is the lease of a registration: how long a dead instance
	// is still named to callers.
	registrationTTL = 2500 * time.Millisecond
	// renewEvery leaves a second try before a registration lapses.
	renewEvery = 1100 * time.Millisecond
	// renewTimeout bounds one renewal: the store answers within half a second
	// on a bad day, and one that does not is out of reach.
	renewTimeout = 600 * time.Millisecond
	// lapseGrace is how long a registration that vanished around an outage of
	// the store is still named.
	lapseGrace = 3 * time.Second
	// most bounds the addresses in an answer; callers take 64 at most.
	most = 64
)

type member struct {
	address string
	domain  string
	lost    time.Time
}

// Directory is the set of registered entry instances.
type Directory struct {
	mu        sync.Mutex
	members   map[string]member
	reachable bool
	backAt    time.Time
}

// New returns an empty directory.
func New() *Directory { return &Directory{members: map[string]member{}} }

// Reset takes in all registrations.
func (d *Directory) Reset(items []kv.Item) {
	d.mu.Lock()
	defer d.mu.Unlock()
	listed := map[string]bool{}
	for _, item := range items {
		listed[item.Key] = true
		d.put(item)
	}
	for key := range d.members {
		if !listed[key] {
			d.lose(key)
		}
	}
}

// Apply takes in changed registrations.
func (d *Directory) Apply(events []kv.Item) {
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, e := range events {
		if e.Deleted {
			d.lose(e.Key)
		} else {
			d.put(e)
		}
	}
}

// Reachable notes whether the store answers.
func (d *Directory) Reachable(ok bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if ok && !d.reachable {
		d.backAt = time.Now()
	}
	d.reachable = ok
}

func (d *Directory) put(item kv.Item) {
	address, domain, _ := strings.Cut(string(item.Value), " ")
	d.members[item.Key] = member{address: address, domain: domain}
}

func (d *Directory) lose(key string) {
	m, ok := d.members[key]
	if !ok {
		return
	}
	if d.reachable && time.Since(d.backAt) > lapseGrace {
		delete(d.members, key)
		return
	}
	if m.lost.IsZero() {
		m.lost = time.Now()
		d.members[key] = m
	}
}

// Addresses returns where a caller may connect, its own failure domain first.
func (d *Directory) Addresses(domain string) []string {
	d.mu.Lock()
	defer d.mu.Unlock()
	var near, far []string
	for key, m := range d.members {
		if !m.lost.IsZero() && time.Since(m.lost) > lapseGrace {
			delete(d.members, key)
			continue
		}
		if m.domain == domain {
			near = append(near, m.address)
		} else {
			far = append(far, m.address)
		}
	}
	slices.Sort(near)
	slices.Sort(far)
	return first(append(near, far...), most)
}

// Peers returns where the other entry instances are, in random order.
func (d *Directory) Peers(own string) []string {
	d.mu.Lock()
	defer d.mu.Unlock()
	var out []string
	for _, m := range d.members {
		if m.address != own && m.lost.IsZero() {
			out = append(out, m.address)
		}
	}
	rand.Shuffle(len(out), func(i, j int) { out[i], out[j] = out[j], out[i] })
	return out
}

// Size returns how many entry instances are registered.
func (d *Directory) Size() int {
	d.mu.Lock()
	defer d.mu.Unlock()
	return len(d.members)
}

func first(list []string, n int) []string { return list[:min(n, len(list))] }

// Registration keeps this instance in the directory.
type Registration struct {
	store kv.Store
	key   string
	value []byte
	log   *zap.Logger
}

// NewRegistration returns the registration of an instance.
func NewRegistration(store kv.Store, name, address, domain string, log *zap.Logger) *Registration {
	return &Registration{store: store, key: Prefix + name, value: []byte(address + " " + domain), log: log}
}

// Run registers until the context ends and then leaves the directory.
func (r *Registration) Run(ctx context.Context) error {
	for ctx.Err() == nil {
		lease, err := r.register(ctx)
		if err != nil {
			r.log.Warn("directory: not registered", zap.String("reason", err.Error()))
			kv.Sleep(ctx, renewEvery/3)
			continue
		}
		r.keep(ctx, lease)
		if ctx.Err() != nil {
			r.leave(lease)
		}
	}
	return ctx.Err()
}

func (r *Registration) register(ctx context.Context) (kv.LeaseID, error) {
	lease, err := r.store.Grant(ctx, registrationTTL)
	if err != nil {
		return 0, err
	}
	_, err = r.store.Commit(ctx, kv.Txn{Puts: []kv.Put{{Key: r.key, Value: r.value, Lease: lease}}})
	return lease, err
}

// keep renews the lease until it has ended.
func (r *Registration) keep(ctx context.Context, lease kv.LeaseID) {
	for ctx.Err() == nil {
		kv.Sleep(ctx, renewEvery)
		if r.renew(ctx, lease) {
			continue
		}
		r.log.Warn("directory: registration lapsed")
		return
	}
}

// renew renews the lease once and reports whether it may still hold.
func (r *Registration) renew(ctx context.Context, lease kv.LeaseID) bool {
	ctx, cancel := context.WithTimeout(ctx, renewTimeout)
	defer cancel()
	err := r.store.KeepAlive(ctx, lease)
	if err != nil && !errors.Is(err, kv.ErrNotFound) {
		r.log.Warn("directory: registration not renewed", zap.String("reason", err.Error()))
	}
	return !errors.Is(err, kv.ErrNotFound)
}

func (r *Registration) leave(lease kv.LeaseID) {
	ctx, cancel := context.WithTimeout(context.Background(), renewEvery)
	defer cancel()
	if err := r.store.Revoke(ctx, lease); err != nil {
		r.log.Warn("directory: not left", zap.String("reason", err.Error()))
	}
}
