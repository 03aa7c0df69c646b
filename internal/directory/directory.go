// Package directory keeps the addresses of the entry instances that callers may
// connect to. Each instance registers under a lease and unregisters before it
// stops.
package directory

import (
	"context"
	"errors"
	"math/rand/v2"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"cactusspoke/internal/kv"

	"go.uber.org/zap"
)

const (
	// Prefix is the store prefix of registrations. It lies below the prefix
	// that entry instances watch.
	Prefix = "cluster/entry/"
	// registrationTTL is the TTL of the lease of a registration. The address of
	// a crashed instance is handed out for that long.
	registrationTTL = 2500 * time.Millisecond
	// renewInterval is the time between two renewals of the lease. It leaves time
	// for a second attempt before the lease expires.
	renewInterval = 1100 * time.Millisecond
	// relayRenewInterval replaces renewInterval at instances that relay the store's
	// keys to others.
	relayRenewInterval = 500 * time.Millisecond
	// renewTimeout limits one renewal. A slow store responds within half a
	// second; one that takes longer counts as unreachable.
	renewTimeout = 600 * time.Millisecond
	// missingGracePeriod is how long an address is still handed out after its
	// registration disappeared around a store outage.
	missingGracePeriod = 3 * time.Second
	// minAnnouncedShare of all instances must have their paths to servers for callers to be
	// sent to these alone. Below that all instances are announced, so that the few are not
	// overloaded; those without paths relay a bounded number of requests.
	minAnnouncedShare = 0.3
	// maxAddresses limits the addresses in a response; callers accept up to 64.
	maxAddresses = 64
)

// member is a registered entry instance.
type member struct {
	address string
	domain  string
	// lost holds the services to which the instance lost its paths.
	lost []string
	// missingSince is when the registration disappeared; zero while it exists.
	missingSince time.Time
	// confirmedAt is when the registration of a missing member was last known to exist, and
	// answeredAt when a connection to the instance was last opened.
	confirmedAt, answeredAt time.Time
}

// Directory is the set of registered entry instances. It is safe for concurrent
// use.
type Directory struct {
	mu             sync.Mutex
	members        map[string]member
	reachable      bool
	reachableSince time.Time
	// reachedAt is when the source of the registrations last answered.
	reachedAt time.Time
	contact   ContactFunc
	// contactAt is until when the registrations are known to be current.
	contactAt time.Time
}

// New returns an empty directory.
func New() *Directory { return &Directory{members: map[string]member{}} }

// Reset replaces the registrations by a complete list.
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
			d.markMissing(key)
		}
	}
}

// Apply applies changed and deleted registrations.
func (d *Directory) Apply(events []kv.Item) {
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, e := range events {
		if e.Deleted {
			d.markMissing(e.Key)
		} else {
			d.put(e)
		}
	}
}

// Reachable records whether the store is reachable.
func (d *Directory) Reachable(ok bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	now := time.Now()
	if ok && !d.reachable {
		d.reachableSince = now
	}
	if ok {
		d.reachedAt = now
	} else {
		d.updateContact(now)
	}
	d.reachable = ok
}

// put adds or updates a registration.
func (d *Directory) put(item kv.Item) { d.members[item.Key] = decodeMember(item.Value) }

// encodeMember returns the value of a registration: the address, the failure domain and
// the services to which the instance lost its paths, if any, separated by spaces.
func encodeMember(address, domain string, lost []string) []byte {
	value := address + " " + domain
	if len(lost) > 0 {
		value += " " + strings.Join(lost, ",")
	}
	return []byte(value)
}

// decodeMember decodes the value of a registration.
func decodeMember(value []byte) member {
	address, rest, _ := strings.Cut(string(value), " ")
	domain, lost, found := strings.Cut(rest, " ")
	m := member{address: address, domain: domain}
	if found {
		m.lost = strings.Split(lost, ",")
	}
	return m
}

// markMissing removes a deleted registration. Around a store outage it only
// marks it as missing, because the instance may be alive and unable to renew
// its lease.
func (d *Directory) markMissing(key string) {
	m, ok := d.members[key]
	if !ok {
		return
	}
	if d.reachable && time.Since(d.reachableSince) > missingGracePeriod {
		delete(d.members, key)
		return
	}
	if m.missingSince.IsZero() {
		m.missingSince = time.Now()
		m.confirmedAt = d.contactAt
		d.members[key] = m
	}
}

// Addresses returns the addresses that a caller may connect to, those in the
// caller's failure domain first. It takes the instances in failure domains that the first
// of the preferences accepts, or the next one if there are none; without a match, all.
// Instances that lost their paths to servers are left out while enough others are left.
func (d *Directory) Addresses(domain string, preferences ...func(domain string) bool) []string {
	d.mu.Lock()
	defer d.mu.Unlock()
	var local, remote []string
	d.removeExpired()
	members := preferred(d.listed(), preferences)
	sound := 0
	for _, m := range members {
		if len(m.lost) == 0 {
			sound++
		}
	}
	all := float64(sound) < minAnnouncedShare*float64(len(members)) || sound == 0
	for _, m := range members {
		if len(m.lost) > 0 && !all {
			continue
		}
		if m.domain == domain {
			local = append(local, m.address)
		} else {
			remote = append(remote, m.address)
		}
	}
	slices.Sort(local)
	slices.Sort(remote)
	return first(append(local, remote...), maxAddresses)
}

// listed returns the members that callers may be sent to, in no particular order; the caller
// holds mu.
func (d *Directory) listed() []member {
	now := time.Now()
	d.updateContact(now)
	out := make([]member, 0, len(d.members))
	for _, m := range d.members {
		if d.maybeAlive(m, now) {
			out = append(out, m)
		}
	}
	return out
}

// preferred returns the members in failure domains that the first preference with any such
// member accepts; all if there is none.
func preferred(members []member, preferences []func(domain string) bool) []member {
	for _, accept := range preferences {
		var out []member
		for _, m := range members {
			if accept(m.domain) {
				out = append(out, m)
			}
		}
		if len(out) > 0 {
			return out
		}
	}
	return members
}

// Peers returns the addresses of the other entry instances in failure domains that accept
// allows, in random order.
func (d *Directory) Peers(self string, accept func(domain string) bool) []string {
	return d.peers(self, func(m member) bool { return accept(m.domain) })
}

// peers returns the addresses of the other entry instances that accept allows, in random
// order.
func (d *Directory) peers(self string, accept func(member) bool) []string {
	d.mu.Lock()
	defer d.mu.Unlock()
	var peers []string
	for _, m := range d.members {
		if m.address != self && m.missingSince.IsZero() && accept(m) {
			peers = append(peers, m.address)
		}
	}
	rand.Shuffle(len(peers), func(i, j int) { peers[i], peers[j] = peers[j], peers[i] })
	return peers
}

// PeersReaching returns the addresses of the other entry instances in failure domains that
// accept allows and that are not known to have lost their paths to the servers of a service,
// in random order.
func (d *Directory) PeersReaching(self, service string, accept func(domain string) bool) []string {
	return d.peers(self, func(m member) bool { return accept(m.domain) && !slices.Contains(m.lost, service) })
}

// Entry is an entry instance in the directory.
type Entry struct {
	Name string
	// Address is where callers reach it.
	Address       string
	FailureDomain string
}

// Entries returns the entry instances in no particular order. It includes those
// whose registration disappeared around a store outage and that may be alive, since
// all of them register again at once.
func (d *Directory) Entries() []Entry {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.removeExpired()
	out := make([]Entry, 0, len(d.members))
	for key, m := range d.members {
		out = append(out, Entry{strings.TrimPrefix(key, Prefix), m.address, m.domain})
	}
	return out
}

// removeExpired removes the members that have been missing for too long.
func (d *Directory) removeExpired() {
	for key, m := range d.members {
		if !m.missingSince.IsZero() && time.Since(m.missingSince) > missingGracePeriod {
			delete(d.members, key)
		}
	}
}

// Size returns the number of entry instances in the directory.
func (d *Directory) Size() int {
	d.mu.Lock()
	defer d.mu.Unlock()
	return len(d.members)
}

// first returns at most the first n elements of a list.
func first(list []string, n int) []string { return list[:min(n, len(list))] }

// Registration registers this instance in the directory.
type Registration struct {
	store   kv.Store
	key     string
	address string
	domain  string
	log     *zap.Logger
	// lost returns the services to which this instance lost its paths.
	lost func() []string
	// frequent reports whether the lease is renewed at relayRenewInterval.
	frequent func() bool
	// lease is the last one granted; 0 before the first.
	lease atomic.Int64
}

// NewRegistration returns the registration of an instance. While frequent returns
// true, renewals are frequent, which shows sooner that the store is out of reach. lost
// returns the services to which the instance lost its paths.
func NewRegistration(store kv.Store, name, address, domain string, frequent func() bool, lost func() []string, log *zap.Logger) *Registration {
	return &Registration{store: store, key: Prefix + name, address: address, domain: domain, frequent: frequent, lost: lost, log: log}
}

// Lease returns the lease of the registration, which may have expired; 0 before the first one.
func (r *Registration) Lease() kv.LeaseID { return kv.LeaseID(r.lease.Load()) }

// Run keeps the instance registered until the context ends, and then
// unregisters it.
func (r *Registration) Run(ctx context.Context) error {
	for ctx.Err() == nil {
		lost := r.lost()
		lease, err := r.register(ctx, lost)
		if err != nil {
			r.log.Warn("directory: registration failed", zap.String("reason", err.Error()))
			kv.Sleep(ctx, renewInterval/3)
			continue
		}
		r.renewUntilExpired(ctx, lease, lost)
		if ctx.Err() != nil {
			r.unregister(lease)
		}
	}
	return ctx.Err()
}

// register writes the registration under a new lease.
func (r *Registration) register(ctx context.Context, lost []string) (kv.LeaseID, error) {
	lease, err := r.store.Grant(ctx, registrationTTL)
	if err != nil {
		return 0, err
	}
	r.lease.Store(int64(lease))
	return lease, r.write(ctx, lease, lost)
}

// write writes the registration under a lease.
func (r *Registration) write(ctx context.Context, lease kv.LeaseID, lost []string) error {
	value := encodeMember(r.address, r.domain, lost)
	_, err := r.store.Commit(ctx, kv.Txn{Puts: []kv.Put{{Key: r.key, Value: value, Lease: lease}}})
	return err
}

// renewUntilExpired renews the lease until it has expired or the context ends. It writes the
// registration again when the lost services differ from announced, which were written last.
// Intermittent faults cause at most one write for each renewal.
func (r *Registration) renewUntilExpired(ctx context.Context, lease kv.LeaseID, announced []string) {
	for ctx.Err() == nil {
		interval := renewInterval
		if r.frequent() {
			interval = relayRenewInterval
		}
		kv.Sleep(ctx, interval)
		if !r.renew(ctx, lease) {
			r.log.Warn("directory: registration expired")
			return
		}
		lost := r.lost()
		if slices.Equal(lost, announced) || ctx.Err() != nil {
			continue
		}
		err := r.write(ctx, lease, lost)
		if err != nil {
			r.log.Warn("directory: announcing the lost services failed, will retry", zap.String("reason", err.Error()))
			continue
		}
		r.log.Info("directory: lost services announced", zap.Strings("lost", lost))
		announced = lost
	}
}

// renew renews the lease once and reports whether the lease may still be valid.
func (r *Registration) renew(ctx context.Context, lease kv.LeaseID) bool {
	ctx, cancel := context.WithTimeout(ctx, renewTimeout)
	defer cancel()
	err := r.store.KeepAlive(ctx, lease)
	if err != nil && !errors.Is(err, kv.ErrNotFound) {
		r.log.Warn("directory: renewing the registration failed", zap.String("reason", err.Error()))
	}
	return !errors.Is(err, kv.ErrNotFound)
}

// unregister revokes the lease, which removes the registration.
func (r *Registration) unregister(lease kv.LeaseID) {
	ctx, cancel := context.WithTimeout(context.Background(), renewInterval)
	defer cancel()
	if err := r.store.Revoke(ctx, lease); err != nil {
		r.log.Warn("directory: unregistering failed", zap.String("reason", err.Error()))
	}
}
