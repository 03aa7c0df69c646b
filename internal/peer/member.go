// Package peer is the gRPC protocol between entry instances: heartbeats, gossip
// about configuration, load and requests suspected of crashing servers, claims,
// usage counters, stored responses and sample bodies.
package peer

import (
	"sort"
	"sync"
	"time"

	"cactusspoke/internal/platform"
	"cactusspoke/internal/routing"
	"cactusspoke/internal/store"

	"github.com/cespare/xxhash/v2"
)

const (
	// aliveTimeout is how long a member counts as alive after its last heartbeat to
	// any instance.
	aliveTimeout = 3 * time.Second
	// largeClusterAliveTimeout is used instead in a large cluster, where the news of
	// a heartbeat takes several rounds to reach every member.
	largeClusterAliveTimeout = 8 * time.Second
	// maxBriefHeard limits the number of heartbeat times in a brief digest.
	maxBriefHeard = 16
	// largeClusterSize is the minimum number of other members in a large cluster.
	largeClusterSize = 16
)

// Member is what this instance knows about an entry instance.
type Member struct {
	name           string
	incarnation    string
	failureDomain  string
	peersAddress   string
	callersAddress string
	draining       bool
	keeper         bool
	load           float64
	revision       store.Revision
	heardAt        time.Time
	listed         bool
	leaving        bool
}

// NewMember returns the member entry that an instance sends about itself.
func NewMember(name, incarnation, failureDomain, peersAddress, callersAddress string, keeper bool) Member {
	return Member{
		name: name, incarnation: incarnation, failureDomain: failureDomain,
		peersAddress: peersAddress, callersAddress: callersAddress, keeper: keeper,
	}
}

func (m Member) Name() string { return m.name }

// Incarnation identifies one run of the instance's process.
func (m Member) Incarnation() string { return m.incarnation }

func (m Member) FailureDomain() string { return m.failureDomain }

// PeersAddress returns the address on which the instance serves its peers.
func (m Member) PeersAddress() string { return m.peersAddress }

// CallersAddress returns the address on which the instance serves callers.
func (m Member) CallersAddress() string { return m.callersAddress }

// Draining reports whether the instance is shutting down, according to itself or
// to the platform.
func (m Member) Draining() bool { return m.draining || m.leaving }

// Keeper reports whether the instance stores sample bodies on a disk.
func (m Member) Keeper() bool { return m.keeper }

// Load returns the load of the instance, from 0 to 1.
func (m Member) Load() float64 { return m.load }

// Members is the table of entry instances. It is safe for concurrent use.
type Members struct {
	self string

	mu    sync.Mutex
	table map[string]*Member
}

// NewMembers returns a table that holds only this instance.
func NewMembers(self Member) *Members {
	m := &Members{self: self.name, table: map[string]*Member{}}
	self.listed = true
	m.table[self.name] = &self
	return m
}

// UpdateListed updates the table from the platform's list of instances.
func (m *Members) UpdateListed(instances []platform.Instance) {
	m.mu.Lock()
	defer m.mu.Unlock()
	for name, member := range m.table {
		member.listed = name == m.self
	}
	for _, i := range instances {
		if i.Role() != platform.EntryRole {
			continue
		}
		m.setListed(i)
	}
}

func (m *Members) setListed(i platform.Instance) {
	member, ok := m.table[i.Name()]
	if !ok {
		member = &Member{name: i.Name()}
		m.table[i.Name()] = member
	}
	member.listed = true
	member.leaving = i.Leaving()
	if i.Name() == m.self {
		return
	}
	member.failureDomain = i.FailureDomain()
	member.peersAddress = i.PeersAddress()
	member.callersAddress = i.Address()
}

// RecordHeartbeat records a heartbeat received directly from a member.
func (m *Members) RecordHeartbeat(now time.Time, reported Member) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if reported.name == m.self {
		return
	}
	if old, ok := m.table[reported.name]; ok {
		reported.listed = old.listed
		reported.leaving = old.leaving
	}
	reported.heardAt = now
	m.table[reported.name] = &reported
}

// aliveTimeout returns how long a member counts as alive in a table of this size.
// The caller holds m.mu.
func (m *Members) aliveTimeout() time.Duration {
	if len(m.table) > largeClusterSize {
		return largeClusterAliveTimeout
	}
	return aliveTimeout
}

// RecordIndirectHeartbeat records that a peer knows of a heartbeat that a member sent
// age ago. hashed is the hash of the member's name.
func (m *Members) RecordIndirectHeartbeat(now time.Time, hashed uint32, age time.Duration) {
	m.mu.Lock()
	defer m.mu.Unlock()
	for name, member := range m.table {
		if name == m.self || uint32(xxhash.Sum64String(name)) != hashed {
			continue
		}
		if at := now.Add(-age); at.After(member.heardAt) {
			member.heardAt = at
		}
		return
	}
}

// Heard returns the other members that have been heard from, the most recently
// heard first.
func (m *Members) Heard() []Member {
	m.mu.Lock()
	defer m.mu.Unlock()
	out := make([]Member, 0, len(m.table))
	for name, member := range m.table {
		if name != m.self && !member.heardAt.IsZero() {
			out = append(out, *member)
		}
	}
	sort.Slice(out, func(i, j int) bool { return out[i].heardAt.After(out[j].heardAt) })
	return out
}

// Others returns the other members that are listed by the platform or alive, sorted
// by name.
func (m *Members) Others(now time.Time) []Member {
	m.mu.Lock()
	defer m.mu.Unlock()
	var out []Member
	for name, member := range m.table {
		if name == m.self || member.peersAddress == "" {
			continue
		}
		if member.listed || now.Sub(member.heardAt) < m.aliveTimeout() {
			out = append(out, *member)
		}
	}
	sort.Slice(out, func(i, j int) bool { return out[i].name < out[j].name })
	return out
}

// IncarnationCandidates returns the other members that can be the given incarnation:
// the one that reported it, or else all that have not reported an incarnation yet.
// Right after the start of this instance, no other member has.
func (m *Members) IncarnationCandidates(now time.Time, incarnation string) []Member {
	var unreported []Member
	for _, member := range m.Others(now) {
		switch member.incarnation {
		case incarnation:
			return []Member{member}
		case "":
			unreported = append(unreported, member)
		}
	}
	return unreported
}

// Alive returns the members heard from within the alive timeout and this
// instance, sorted by name.
func (m *Members) Alive(now time.Time) []Member {
	m.mu.Lock()
	defer m.mu.Unlock()
	var out []Member
	for name, member := range m.table {
		if name == m.self || now.Sub(member.heardAt) < m.aliveTimeout() {
			out = append(out, *member)
		}
	}
	sort.Slice(out, func(i, j int) bool { return out[i].name < out[j].name })
	return out
}

// Rank returns the alive members that are not draining, ordered by rendezvous
// hashing on topic. Instances with the same table agree on the order.
func (m *Members) Rank(now time.Time, topic string) []Member {
	hash := xxhash.Sum64String(topic)
	alive := m.Alive(now)
	eligible := alive[:0:0]
	for _, member := range alive {
		if !member.Draining() {
			eligible = append(eligible, member)
		}
	}
	sort.Slice(eligible, func(i, j int) bool {
		return routing.RendezvousScore(hash, eligible[i].name) > routing.RendezvousScore(hash, eligible[j].name)
	})
	return eligible
}

// IsAmongFirst reports whether this instance is among the first n members that Rank
// returns for topic.
func (m *Members) IsAmongFirst(now time.Time, topic string, n int) bool {
	hash := xxhash.Sum64String(topic)
	own := routing.RendezvousScore(hash, m.self)
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.table[m.self].Draining() {
		return false
	}
	higher := 0
	for name, member := range m.table {
		alive := name == m.self || now.Sub(member.heardAt) < m.aliveTimeout()
		if alive && !member.Draining() && routing.RendezvousScore(hash, name) > own {
			higher++
		}
	}
	return higher < n
}

// SetDraining marks this instance as shutting down.
func (m *Members) SetDraining() {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.table[m.self].draining = true
}

// Self returns this instance's own entry.
func (m *Members) Self() Member {
	m.mu.Lock()
	defer m.mu.Unlock()
	return *m.table[m.self]
}

// ViewStatus states whether this instance can rely on its view of the configuration.
type ViewStatus uint8

const (
	// ViewCurrent means that the store confirmed the view recently.
	ViewCurrent ViewStatus = iota
	// StoreDown means that no instance can reach the store, so that the
	// configuration cannot change.
	StoreDown
	// Isolated means that other instances may see changes that do not reach this one.
	Isolated
)

// maxConfirmationAge is the age of the store's last confirmation up to which the
// view counts as current.
const maxConfirmationAge = 5 * time.Second

// AssessView derives the status of the view from the time since its last confirmation
// and from the members heard. An instance that hears from another failure domain
// would get a newer confirmation from there, so an old view then means that the
// store is down for all. If all members are in one failure domain, hearing from
// any of them is enough.
func AssessView(age time.Duration, self Member, others []Member, now time.Time) ViewStatus {
	if age <= maxConfirmationAge {
		return ViewCurrent
	}
	if len(others) == 0 {
		return StoreDown
	}
	multipleDomains := false
	for _, o := range others {
		if o.failureDomain != self.failureDomain {
			multipleDomains = true
		}
	}
	for _, o := range others {
		heard := now.Sub(o.heardAt) < aliveTimeout
		if heard && (!multipleDomains || o.failureDomain != self.failureDomain) {
			return StoreDown
		}
	}
	return Isolated
}
