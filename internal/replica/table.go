// Package replica keeps copies of keys of the platform's store at many instances. A
// few instances of each failure domain, the relays, watch the store; the others poll
// a relay. Without that, each change wakes a watch of every instance, and the store
// bills all of them.
package replica

import (
	"maps"
	"slices"
	"sync"

	"cactusspoke/internal/kv"
)

const (
	// maxLoggedChanges bounds the changes that are kept for followers. One that is
	// further behind gets all keys.
	maxLoggedChanges = 512
	// maxTombstones bounds the deleted keys that are remembered.
	maxTombstones = 4096
)

// Table is a copy of the keys with a prefix. Its sources may be the store or other
// tables, and may change; an older state of a key never replaces a newer one. It
// passes effective changes on to a view. It is safe for concurrent use.
type Table struct {
	view kv.View

	mu    sync.Mutex
	items map[string]kv.Item
	// deleted holds the revisions at which keys were deleted.
	deleted map[string]kv.Revision
	// at is the store revision of the last complete list. Watches may miss events, so
	// they do not change it.
	at kv.Revision
	// sequence numbers the changes of this table; the last one in changes has this
	// number.
	sequence int64
	changes  []kv.Item
	signal   *Signal
}

// Signal wakes up those who wait for changes of any of several tables.
type Signal struct {
	mu      sync.Mutex
	changed chan struct{}
}

func NewSignal() *Signal { return &Signal{changed: make(chan struct{})} }

// Changed returns a channel that is closed at the next change.
func (s *Signal) Changed() <-chan struct{} {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.changed
}

func (s *Signal) notify() {
	s.mu.Lock()
	defer s.mu.Unlock()
	close(s.changed)
	s.changed = make(chan struct{})
}

// NewTable returns an empty table that passes changes on to a view.
func NewTable(view kv.View, signal *Signal) *Table {
	return &Table{view: view, items: map[string]kv.Item{}, deleted: map[string]kv.Revision{}, signal: signal}
}

// Reset implements kv.View.
func (t *Table) Reset(items []kv.Item) { t.ResetAt(items, 0) }

// Reachable implements kv.View.
func (t *Table) Reachable(ok bool) { t.view.Reachable(ok) }

// ResetAt merges a complete list of keys as of a store revision, and possibly later
// changes. Keys that are missing were deleted, unless they are newer than the list.
func (t *Table) ResetAt(items []kv.Item, at kv.Revision) {
	t.mu.Lock()
	defer t.mu.Unlock()
	listed := make(map[string]bool, len(items))
	for _, item := range items {
		listed[item.Key] = true
		t.merge(item)
	}
	for key, item := range t.items {
		if !listed[key] && item.Revision < at {
			t.merge(kv.Item{Key: key, Revision: at, Deleted: true})
		}
	}
	t.at = max(t.at, at)
	t.signal.notify()
	t.view.Reset(t.list())
}

// Apply implements kv.View.
func (t *Table) Apply(events []kv.Item) {
	t.mu.Lock()
	defer t.mu.Unlock()
	var effective []kv.Item
	for _, e := range events {
		if t.merge(e) {
			effective = append(effective, e)
		}
	}
	if len(effective) == 0 {
		return
	}
	t.signal.notify()
	t.view.Apply(effective)
}

// merge applies a change if it is newer than what is known of its key.
func (t *Table) merge(e kv.Item) bool {
	held, exists := t.items[e.Key]
	switch {
	case exists && e.Revision <= held.Revision, !exists && e.Revision <= t.deleted[e.Key]:
		return false
	case !exists && e.Deleted:
		t.deleted[e.Key] = e.Revision
		return false
	}
	if e.Deleted {
		delete(t.items, e.Key)
		if len(t.deleted) >= maxTombstones {
			clear(t.deleted)
		}
		t.deleted[e.Key] = e.Revision
	} else {
		delete(t.deleted, e.Key)
		t.items[e.Key] = e
	}
	t.sequence++
	t.changes = append(t.changes, e)
	if len(t.changes) > 2*maxLoggedChanges {
		t.changes = slices.Clone(t.changes[len(t.changes)-maxLoggedChanges:])
	}
	return true
}

// list returns all items, sorted by key.
func (t *Table) list() []kv.Item {
	out := make([]kv.Item, 0, len(t.items))
	for _, key := range slices.Sorted(maps.Keys(t.items)) {
		out = append(out, t.items[key])
	}
	return out
}

// Items returns a copy of all items, sorted by key.
func (t *Table) Items() []kv.Item {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.list()
}

// Changes is what a follower has missed.
type Changes struct {
	// Complete means that Items are all items and the deletions after At, not only
	// the changed ones.
	Complete bool
	Items    []kv.Item
	// Sequence is the number from which to continue.
	Sequence int64
	// At is the store revision of the relay's last complete list.
	At kv.Revision
}

// Since returns the changes after a sequence number, or all items if they are no
// longer known or the number is negative.
func (t *Table) Since(sequence int64) Changes {
	t.mu.Lock()
	defer t.mu.Unlock()
	out := Changes{Sequence: t.sequence, At: t.at}
	missed := t.sequence - sequence
	switch {
	case sequence < 0 || missed < 0 || missed > int64(len(t.changes)):
		out.Complete = true
		out.Items = append(t.list(), t.deletions()...)
	case missed > 0:
		out.Items = slices.Clone(t.changes[len(t.changes)-int(missed):])
	}
	return out
}

// Merge applies what Since returned at another table.
func (t *Table) Merge(c Changes) {
	if c.Complete {
		t.ResetAt(c.Items, c.At)
		return
	}
	t.Apply(c.Items)
}

// deletions returns the deletions after the last complete list, sorted by key.
func (t *Table) deletions() []kv.Item {
	var out []kv.Item
	for _, key := range slices.Sorted(maps.Keys(t.deleted)) {
		if revision := t.deleted[key]; revision > t.at {
			out = append(out, kv.Item{Key: key, Revision: revision, Deleted: true})
		}
	}
	return out
}
