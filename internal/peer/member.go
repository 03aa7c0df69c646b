// Package peer speaks between entry instances: heartbeats, the spread of
// configuration, load and suspects, claims and sample bodies.
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

// How long a member counts as alive after anybody heard it. In a large cell
// the news takes some rounds to spread.
const (
	aliveFor     = 3 * time.Second
	aliveForMany = 8 * time.Second
	briefHeard   = 16
	manyMembers  = 16
)

// Member is an entry instance as this one knows it.
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

// NewMember returns an instance's line about itself.
func NewMember(name, incarnation, failureDomain, peersAddress, callersAddress string, keeper bool) Member {
	return Member{
		name: name, incarnation: incarnation, failureDomain: failureDomain,
		peersAddress: peersAddress, callersAddress: callersAddress, keeper: keeper,
	}
}

// Name returns the instance's name.
func (m Member) Name() string { return m.name }

// Incarnation returns the run of the instance.
func (m Member) Incarnation() string { return m.incarnation }

// FailureDomain returns the instance's failure domain.
func (m Member) FailureDomain() string { return m.failureDomain }

// PeersAddress returns where peers connect.
func (m Member) PeersAddress() string { return m.peersAddress }

// CallersAddress returns where callers connect.
func (m Member) CallersAddress() string { return m.callersAddress }

// Draining tells whether the instance is shutting down.
func (m Member) Draining() bool { return m.draining || m.leaving }

// Keeper tells whether the instance keeps sample bodies on a disk.
func (m Member) Keeper() bool { return m.keeper }

// Load returns how busy the instance is, from 0 to 1.
func (m Member) Load() float64 { return m.load }

// Members is the table of entry instances; it is safe for several goroutines.
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

// List takes in the platform's list of instances.
func (m *Members) List(instances []platform.Instance) {
	m.mu.Lock()
	defer m.mu.Unlock()
	for name, member := range m.table {
		member.listed = name == m.self
	}
	for _, i := range instances {
		if i.Role() != platform.EntryRole {
			continue
		}
		m.listOne(i)
	}
}

func (m *Members) listOne(i platform.Instance) {
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

// Hear notes what a member said of itself.
func (m *Members) Hear(now time.Time, told Member) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if told.name == m.self {
		return
	}
	if old, ok := m.table[told.name]; ok {
		told.listed = old.listed
		told.leaving = old.leaving
	}
	told.heardAt = now
	m.table[told.name] = &told
}

// limit is how long a member counts as alive in a table of this size.
func (m *Members) limit() time.Duration {
	if len(m.table) > manyMembers {
		return aliveForMany
	}
	return aliveFor
}

// HearOf notes that a peer knew of a member an age ago.
func (m *Members) HearOf(now time.Time, hashed uint32, age time.Duration) {
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

// Heard returns when each other member was last heard, the latest first.
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

// Others returns the other members that are listed or were heard lately.
func (m *Members) Others(now time.Time) []Member {
	m.mu.Lock()
	defer m.mu.Unlock()
	var out []Member
	for name, member := range m.table {
		if name == m.self || member.peersAddress == "" {
			continue
		}
		if member.listed || now.Sub(member.heardAt) < m.limit() {
			out = append(out, *member)
		}
	}
	sort.Slice(out, func(i, j int) bool { return out[i].name < out[j].name })
	return out
}

// MayBe returns the other members that may be an incarnation: the one that
// said so of itself, or else those that are listed but have said nothing yet,
// as all have right after the start of this instance.
func (m *Members) MayBe(now time.Time, incarnation string) []Member {
	var silent []Member
	for _, member := range m.Others(now) {
		switch member.incarnation {
		case incarnation:
			return []Member{member}
		case "":
			silent = append(silent, member)
		}
	}
	return silent
}

// Alive returns the members heard lately, this one included.
func (m *Members) Alive(now time.Time) []Member {
	m.mu.Lock()
	defer m.mu.Unlock()
	var out []Member
	for name, member := range m.table {
		if name == m.self || now.Sub(member.heardAt) < m.limit() {
			out = append(out, *member)
		}
	}
	sort.Slice(out, func(i, j int) bool { return out[i].name < out[j].name })
	return out
}

// Rank returns the alive members that are not draining, in the rendezvous
// order of a topic. All instances with the same view agree on it.
func (m *Members) Rank(now time.Time, topic string) []Member {
	hash := xxhash.Sum64String(topic)
	alive := m.Alive(now)
	staying := alive[:0:0]
	for _, member := range alive {
		if !member.Draining() {
			staying = append(staying, member)
		}
	}
	sort.Slice(staying, func(i, j int) bool {
		return routing.RendezvousScore(hash, staying[i].name) > routing.RendezvousScore(hash, staying[j].name)
	})
	return staying
}

// InFirst tells whether this instance is among the first n of a topic.
func (m *Members) InFirst(now time.Time, topic string, n int) bool {
	hash := xxhash.Sum64String(topic)
	own := routing.RendezvousScore(hash, m.self)
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.table[m.self].Draining() {
		return false
	}
	before := 0
	for name, member := range m.table {
		alive := name == m.self || now.Sub(member.heardAt) < m.limit()
		if alive && !member.Draining() && routing.RendezvousScore(hash, name) > own {
			before++
		}
	}
	return before < n
}

// SetDraining marks this instance as shutting down.
func (m *Members) SetDraining() {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.table[m.self].draining = true
}

// Self returns this instance's own line.
func (m *Members) Self() Member {
	m.mu.Lock()
	defer m.mu.Unlock()
	return *m.table[m.self]
}

// Standing is whether this instance may trust its view of the configuration.
type Standing uint8

// The standings.
const (
	// InTouch says that the store confirmed the view lately.
	InTouch Standing = iota
	// StoreDown says that nobody can reach the store, so nothing can change.
	StoreDown
	// CutOff says that others may see changes that this instance does not.
	CutOff
)

// trustFor is how old a confirmation may be.
const trustFor = 5 * time.Second

// Stand decides from the age of the view and the members heard. An instance
// that hears a member of another failure domain would have learned of a newer
// confirmation, so an old view then means that the store is down for all.
func Stand(age time.Duration, self Member, others []Member, now time.Time) Standing {
	if age <= trustFor {
		return InTouch
	}
	if len(others) == 0 {
		return StoreDown
	}
	domains := false
	for _, o := range others {
		if o.failureDomain != self.failureDomain {
			domains = true
		}
	}
	for _, o := range others {
		heard := now.Sub(o.heardAt) < aliveFor
		if heard && (!domains || o.failureDomain != self.failureDomain) {
			return StoreDown
		}
	}
	return CutOff
}
