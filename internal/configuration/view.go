package configuration

import (
	"sync"
	"sync/atomic"
	"time"

	"cactusspoke/internal/invariant"
	"cactusspoke/internal/profile"
	"cactusspoke/internal/store"
)

// View publishes the current snapshot and records when the store last confirmed
// it. The versioned snapshot behind an atomic pointer, applied only when newer
// and repaired by reconciliation, follows phase 2 of "Outgress hot-path canary
// plan" (PAPER-outgress-hot-path-canary-fb0d.md).
type View struct {
	current atomic.Pointer[Snapshot]

	mu                 sync.Mutex
	confirmedAt        time.Time
	confirmed          bool
	suspended          map[string]struct{}
	publishedSuspended atomic.Pointer[map[string]struct{}]
	onChange           func()
	rejected           []string
}

// NewView returns an empty view. onChange is called after each change without
// a lock held; it may be nil.
func NewView(onChange func()) *View {
	v := &View{suspended: map[string]struct{}{}, onChange: onChange}
	v.current.Store(newSnapshot())
	v.publishedSuspended.Store(&map[string]struct{}{})
	return v
}

// Current returns the latest snapshot.
func (v *View) Current() *Snapshot { return v.current.Load() }

// Apply merges records read from the store or received from a peer. The records
// are all changes after the revision after, up to and including revision. If
// after is higher than the view's revision, changes in between are missing; the
// records still take effect, but the view's revision stays the same.
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
	checkMonotonic(before, next)
	v.rejected = rejected
	v.current.Store(next)
	v.mu.Unlock()
	if v.onChange != nil && len(records) > 0 {
		v.onChange()
	}
}

// checkMonotonic checks the invariants that revisions never decrease and that a
// withdrawn key stays withdrawn.
func checkMonotonic(before, next *Snapshot) {
	invariant.Check(invariant.ConfigurationForward, next.revision >= before.revision,
		"configuration revision decreased from %d to %d", before.revision, next.revision)
	for key, r := range before.records {
		invariant.Check(invariant.ConfigurationForward, next.records[key].Revision() >= r.Revision(),
			"revision of record %s decreased from %d to %d", key, r.Revision(), next.records[key].Revision())
	}
	for digest, o := range before.keys {
		if !o.key.Withdrawn() {
			continue
		}
		now, ok := next.keys[digest]
		invariant.Check(invariant.KeyWithdrawal, !ok || now.key.Withdrawn(), "withdrawn key %s became valid again", o.key.ID())
	}
}

// Confirm records that the view matched the store at the given time.
func (v *View) Confirm(at time.Time) {
	v.mu.Lock()
	defer v.mu.Unlock()
	if !v.confirmed || at.After(v.confirmedAt) {
		v.confirmedAt = at
		v.confirmed = true
	}
}

// Age returns the time since the view was last confirmed, and whether it ever
// was.
func (v *View) Age(now time.Time) (time.Duration, bool) {
	v.mu.Lock()
	defer v.mu.Unlock()
	if !v.confirmed {
		return 0, false
	}
	return now.Sub(v.confirmedAt), true
}

// Suspend denies the given key digests immediately, independent of the store.
// Suspensions are never lifted. It reports whether any digest is new.
func (v *View) Suspend(digests []string) bool {
	v.mu.Lock()
	added := false
	next := make(map[string]struct{}, len(v.suspended)+len(digests))
	for d := range v.suspended {
		next[d] = struct{}{}
	}
	for _, d := range digests {
		if _, ok := next[d]; !ok {
			next[d] = struct{}{}
			added = true
		}
	}
	v.suspended = next
	v.publishedSuspended.Store(&next)
	v.mu.Unlock()
	if added && v.onChange != nil {
		v.onChange()
	}
	return added
}

// Suspensions returns the key digests denied by Suspend.
func (v *View) Suspensions() []string {
	denied := *v.publishedSuspended.Load()
	out := make([]string, 0, len(denied))
	for d := range denied {
		out = append(out, d)
	}
	return out
}

// Allowed reports whether a key digest is known and whether it may be used. A
// key that is withdrawn in the store or suspended directly may not be used.
func (v *View) Allowed(digest string) (customer *profile.Customer, known, allowed bool) {
	c, k, ok := v.current.Load().CustomerByDigest(digest)
	if !ok {
		return nil, false, false
	}
	if _, suspended := (*v.publishedSuspended.Load())[digest]; suspended {
		return c, true, false
	}
	return c, true, !k.Withdrawn()
}

// Rejected returns the store keys of records that could not be decoded.
func (v *View) Rejected() []string {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.rejected
}
