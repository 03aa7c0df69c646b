package ratelimit

import (
	"context"
	"strings"
	"sync"
	"time"

	"cactusspoke/internal/kv"
)

// Members is a view of the registrations of entry instances that remembers those which
// ended lately. It is safe for concurrent use.
type Members struct {
	prefix string

	mu sync.Mutex
	// leftAt holds when a registration ended; zero while it exists.
	leftAt    map[string]time.Time
	reachable bool
	contactAt time.Time
	firstAt   time.Time
	// tickedAt is the time of the last tick, and pausedUntil the end of the last pause.
	tickedAt    time.Time
	pausedUntil time.Time
}

// NewMembers returns a view of the registrations below a prefix of the store.
func NewMembers(prefix string) *Members {
	return &Members{prefix: prefix, leftAt: map[string]time.Time{}}
}

// Reset replaces the registrations by a complete list.
func (m *Members) Reset(items []kv.Item) {
	m.mu.Lock()
	listed := map[string]bool{}
	for _, item := range items {
		listed[strings.TrimPrefix(item.Key, m.prefix)] = true
	}
	now := time.Now()
	for name, left := range m.leftAt {
		if !listed[name] && left.IsZero() {
			m.leftAt[name] = now
		}
	}
	for name := range listed {
		m.leftAt[name] = time.Time{}
	}
	m.recordContact(now)
	m.mu.Unlock()
}

// Apply applies changed and deleted registrations.
func (m *Members) Apply(events []kv.Item) {
	m.mu.Lock()
	defer m.mu.Unlock()
	now := time.Now()
	for _, e := range events {
		name := strings.TrimPrefix(e.Key, m.prefix)
		if e.Deleted {
			m.leftAt[name] = now
		} else {
			m.leftAt[name] = time.Time{}
		}
	}
	m.recordContact(now)
}

// Reachable records whether the store is reachable.
func (m *Members) Reachable(ok bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if ok || m.reachable {
		m.contactAt = time.Now()
	}
	m.reachable = ok
}

// recordContact records a change; the caller holds mu.
func (m *Members) recordContact(now time.Time) {
	m.contactAt = now
	if m.firstAt.IsZero() {
		m.firstAt = now
	}
}

// Run ticks until the context ends while needed, so that pauses of the process are noticed.
func (m *Members) Run(ctx context.Context, needed func() bool) error {
	for ctx.Err() == nil {
		if !needed() {
			kv.Sleep(ctx, idleInterval)
			continue
		}
		m.Tick()
		kv.Sleep(ctx, tickInterval)
	}
	return ctx.Err()
}

// Tick records that the process is running. A long time without a tick is a pause, in which
// others may have taken its place.
func (m *Members) Tick() {
	m.mu.Lock()
	defer m.mu.Unlock()
	now := time.Now()
	if !m.tickedAt.IsZero() && now.Sub(m.tickedAt) > pauseTime {
		m.pausedUntil = now
	}
	m.tickedAt = now
}

// sincePause returns the time since the end of the last pause; the caller holds mu.
func (m *Members) sincePause(now time.Time) time.Duration {
	if !m.tickedAt.IsZero() && now.Sub(m.tickedAt) > pauseTime {
		return 0
	}
	return now.Sub(m.pausedUntil)
}

// Fill adds the entry instances, the times since the last contact and the last pause, the age
// of the view and the time.
func (m *Members) Fill(s *Senders, now time.Time) {
	m.mu.Lock()
	defer m.mu.Unlock()
	s.Now = now
	s.SincePause = m.sincePause(now)
	for name, left := range m.leftAt {
		if !left.IsZero() && now.Sub(left) > RetentionTime && m.reachable {
			delete(m.leftAt, name)
			continue
		}
		s.Entries = append(s.Entries, name)
	}
	if !m.reachable {
		s.SinceContact = now.Sub(m.contactAt)
	}
	if !m.firstAt.IsZero() {
		s.Age = now.Sub(m.firstAt)
	}
}
