package configuration

import (
	"sync"
	"sync/atomic"
	"time"

	"cactusspoke/internal/invariant"
	"cactusspoke/internal/profile"
	"cactusspoke/internal/store"
)

// View publishes the current snapshot and knows how fresh it is. The versioned
// snapshot behind an atomic pointer, applied only when newer and repaired by
// reconciliation, is phase 2 of "Outgress hot-path canary plan"
// (PAPER-outgress-hot-path-canary-fb0d.md).
type View struct {
	current atomic.Pointer[Snapshot]

	mu          sync.Mutex
	confirmedAt time.Time
	seen        bool
	suspended   map[string]struct{}
	denied      atomic.Pointer[map[string]struct{}]
	changed     func()
	rejected    []string
}

// NewView returns a view without configuration. changed is called after each
// change, with no lock held.
func NewView(changed func()) *View {
	v := &View{suspended: map[string]struct{}{}, changed: changed}
	v.current.Store(empty())
	v.denied.Store(&map[string]struct{}{})
	return v
}

// Current returns the snapshot in force.
func (v *View) Current() *Snapshot { return v.current.Load() }

// Apply merges records read from the store or told by a peer. revision is the
// store's revision up to which the records complete the view after 'after';
// a gap leaves the view's own revision where it is.
func (v *View) Apply(records []store.Record, after, revision store.Revision) {
	v.mu.Lock()
	before := v.current.Load()
	if after > before.revision {
		revision = before.revision
	}
	if len(records) == 0 && revision <= before.revision {
		v.mu.Unlock()
		return
	}
	next, rejected := before.merge(records, revision)
	checkForward(before, next)
	v.rejected = rejected
	v.current.Store(next)
	v.mu.Unlock()
	if v.changed != nil && len(records) > 0 {
		v.changed()
	}
}

// checkForward asserts that no record and no withdrawal went back.
func checkForward(before, next *Snapshot) {
	invariant.Check(invariant.ConfigurationForward, next.revision >= before.revision,
		"revision went from %d to %d", before.revision, next.revision)
	for key, r := range before.records {
		invariant.Check(invariant.ConfigurationForward, next.records[key].Revision() >= r.Revision(),
			"record %s went from %d to %d", key, r.Revision(), next.records[key].Revision())
	}
	for digest, o := range before.keys {
		if !o.key.Withdrawn() {
			continue
		}
		now, ok := next.keys[digest]
		invariant.Check(invariant.KeyWithdrawal, !ok || now.key.Withdrawn(), "withdrawn key %s came back", o.key.ID())
	}
}

// Confirm notes that the store stood at the view's revision at a time.
func (v *View) Confirm(at time.Time) {
	v.mu.Lock()
	defer v.mu.Unlock()
	if !v.seen || at.After(v.confirmedAt) {
		v.confirmedAt = at
		v.seen = true
	}
}

// Age returns how long ago the store last confirmed the view, and whether it
// ever did.
func (v *View) Age(now time.Time) (time.Duration, bool) {
	v.mu.Lock()
	defer v.mu.Unlock()
	if !v.seen {
		return 0, false
	}
	return now.Sub(v.confirmedAt), true
}

// Suspend denies digests at once, whatever the store holds. The set only
// grows, and it reports whether any digest is new.
func (v *View) Suspend(digests []string) bool {
	v.mu.Lock()
	fresh := false
	next := make(map[string]struct{}, len(v.suspended)+len(digests))
	for d := range v.suspended {
		next[d] = struct{}{}
	}
	for _, d := range digests {
		if _, ok := next[d]; !ok {
			next[d] = struct{}{}
			fresh = true
		}
	}
	v.suspended = next
	v.denied.Store(&next)
	v.mu.Unlock()
	if fresh && v.changed != nil {
		v.changed()
	}
	return fresh
}

// Suspensions returns the digests that were suspended directly.
func (v *View) Suspensions() []string {
	denied := *v.denied.Load()
	out := make([]string, 0, len(denied))
	for d := range denied {
		out = append(out, d)
	}
	return out
}

// Allowed tells whether a digest is granted and not withdrawn or suspended.
// A denial from either source wins.
func (v *View) Allowed(digest string) (customer *profile.Customer, known, allowed bool) {
	c, k, ok := v.current.Load().Customer(digest)
	if !ok {
		return nil, false, false
	}
	if _, suspended := (*v.denied.Load())[digest]; suspended {
		return c, true, false
	}
	return c, true, !k.Withdrawn()
}

// Rejected returns the keys of records that could not be read.
func (v *View) Rejected() []string {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.rejected
}
