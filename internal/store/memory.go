package store

import (
	"context"
	"sort"
	"strings"
	"sync"
	"time"
)

// maxValueBytes is the maximum size of a value in the key-value service.
const maxValueBytes = 1 << 20

// Memory is a Client that stores all records in memory. It replaces the platform's
// key-value service in tests and in the lab.
type Memory struct {
	mu       sync.Mutex
	records  map[string]Record
	revision Revision
	changed  chan struct{}
}

// NewMemory returns an empty store.
func NewMemory() *Memory {
	return &Memory{records: make(map[string]Record), changed: make(chan struct{})}
}

// Get reads a key. The record of an absent key has revision zero.
func (m *Memory) Get(_ context.Context, key string) (Record, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if r, ok := m.records[key]; ok {
		return r, nil
	}
	return Record{key: key}, nil
}

// List reads all keys with a prefix.
func (m *Memory) List(_ context.Context, prefix string) (Page, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.changedSince(prefix, 0), nil
}

// Put writes a key if it is at the expected revision.
func (m *Memory) Put(_ context.Context, key string, value []byte, expected Revision) (Revision, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.records[key].revision != expected {
		return 0, ErrConflict
	}
	if len(value) > maxValueBytes {
		return 0, Class.New("value has %d bytes, more than the maximum of %d", len(value), maxValueBytes)
	}
	m.revision++
	m.records[key] = Record{key: key, value: append([]byte(nil), value...), revision: m.revision}
	m.notify()
	return m.revision, nil
}

// Delete deletes a key if it is at the expected revision.
func (m *Memory) Delete(_ context.Context, key string, expected Revision) error {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.records[key].revision != expected {
		return ErrConflict
	}
	m.revision++
	delete(m.records, key)
	m.notify()
	return nil
}

// Watch waits for changes to keys with a prefix.
func (m *Memory) Watch(ctx context.Context, prefix string, after Revision, wait time.Duration) (Page, error) {
	timeout := time.NewTimer(wait)
	defer timeout.Stop()
	for {
		m.mu.Lock()
		page := m.changedSince(prefix, after)
		changed := m.changed
		m.mu.Unlock()
		if len(page.records) > 0 {
			return page, nil
		}
		select {
		case <-ctx.Done():
			return Page{}, ctx.Err()
		case <-timeout.C:
			return page, nil
		case <-changed:
		}
	}
}

// notify wakes all watches. The caller holds m.mu.
func (m *Memory) notify() {
	close(m.changed)
	m.changed = make(chan struct{})
}

// changedSince returns the records with a prefix that were written after a revision.
// The caller holds m.mu.
func (m *Memory) changedSince(prefix string, after Revision) Page {
	page := Page{revision: m.revision}
	for _, r := range m.records {
		if strings.HasPrefix(r.key, prefix) && r.revision > after {
			page.records = append(page.records, r)
		}
	}
	sort.Slice(page.records, func(i, j int) bool { return page.records[i].key < page.records[j].key })
	return page
}
