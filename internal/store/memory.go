package store

import (
	"context"
	"sort"
	"strings"
	"sync"
	"time"
)

// maxValueBytes is the largest value that the service holds.
const maxValueBytes = 1 << 20

// Memory is a Client that keeps everything in memory. It stands in for the
// platform's service in tests and behind the lab's store.
type Memory struct {
	mu       sync.Mutex
	records  map[string]Record
	revision Revision
	changed  chan struct{}
}

// NewMemory returns an empty service.
func NewMemory() *Memory {
	return &Memory{records: make(map[string]Record), changed: make(chan struct{})}
}

// Get reads one key.
func (m *Memory) Get(_ context.Context, key string) (Record, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if r, ok := m.records[key]; ok {
		return r, nil
	}
	return Record{key: key}, nil
}

// List reads all keys below a prefix.
func (m *Memory) List(_ context.Context, prefix string) (Page, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.after(prefix, 0), nil
}

// Put writes a key at an expected revision.
func (m *Memory) Put(_ context.Context, key string, value []byte, expected Revision) (Revision, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.records[key].revision != expected {
		return 0, ErrConflict
	}
	if len(value) > maxValueBytes {
		return 0, Class.New("value of %d bytes is over %d", len(value), maxValueBytes)
	}
	m.revision++
	m.records[key] = Record{key: key, value: append([]byte(nil), value...), revision: m.revision}
	m.notify()
	return m.revision, nil
}

// Delete removes a key at an expected revision.
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

// Watch waits for changes below a prefix.
func (m *Memory) Watch(ctx context.Context, prefix string, after Revision, wait time.Duration) (Page, error) {
	timeout := time.NewTimer(wait)
	defer timeout.Stop()
	for {
		m.mu.Lock()
		page := m.after(prefix, after)
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

func (m *Memory) notify() {
	close(m.changed)
	m.changed = make(chan struct{})
}

func (m *Memory) after(prefix string, after Revision) Page {
	page := Page{revision: m.revision}
	for _, r := range m.records {
		if strings.HasPrefix(r.key, prefix) && r.revision > after {
			page.records = append(page.records, r)
		}
	}
	sort.Slice(page.records, func(i, j int) bool { return page.records[i].key < page.records[j].key })
	return page
}
