package directory

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"cactusspoke/internal/kv"
)

const (
	// maxUnconfirmed is how long a member is handed out to callers after its registration was
	// last known to exist. An instance may end up to registrationTTL before that, a relay may
	// be a second behind the store, and callers must not be sent to one that ended 7 s ago.
	maxUnconfirmed = 2500 * time.Millisecond
	// maxUnanswered is how long a member is handed out after a connection to it was opened.
	maxUnanswered = 5 * time.Second
	// checkInterval is the time between two rounds of connections to members, and
	// checkedMembers how many members a round connects to. At 390 instances without the store,
	// each gets about 4 connections a second.
	checkInterval  = time.Second
	checkedMembers = 4
	// checkAfter is the time without contact after which members are checked. A poll of a
	// relay takes up to 1.1 s.
	checkAfter = 1500 * time.Millisecond
	// checkTimeout bounds one connection.
	checkTimeout = 500 * time.Millisecond
)

// ContactFunc returns whether this instance watches the store itself, and the time since it
// last reached the store.
type ContactFunc func() (age time.Duration, direct bool)

// UseContact sets the function that returns how current the registrations are. Without one, they
// count as current while the store is reachable. It must be called before the directory is used.
func (d *Directory) UseContact(contact ContactFunc) { d.contact = contact }

// updateContact records until when the registrations are known to be current; the caller holds
// mu.
func (d *Directory) updateContact(now time.Time) {
	if !d.reachable {
		return
	}
	at := d.reachedAt
	if d.contact == nil {
		at = now
	} else if age, direct := d.contact(); direct {
		at = now.Add(-age)
	}
	if at.After(d.contactAt) {
		d.contactAt = at
	}
}

// maybeAlive reports whether callers may be sent to a member; the caller holds mu.
func (d *Directory) maybeAlive(m member, now time.Time) bool {
	confirmed := d.contactAt
	if !m.missingSince.IsZero() {
		confirmed = m.confirmedAt
	}
	return now.Sub(confirmed) <= maxUnconfirmed || !m.answeredAt.IsZero() && now.Sub(m.answeredAt) <= maxUnanswered
}

// CheckMembers connects to some members each second while the registrations are not current, so
// that callers are sent to those that are alive. It runs until the context ends.
func (d *Directory) CheckMembers(ctx context.Context, connect func(ctx context.Context, address string) error) error {
	for ; ctx.Err() == nil; kv.Sleep(ctx, checkInterval) {
		var group sync.WaitGroup
		for key, address := range d.unconfirmed(time.Now()) {
			group.Go(func() {
				ctx, cancel := context.WithTimeout(ctx, checkTimeout)
				defer cancel()
				if connect(ctx, address) == nil {
					d.recordAnswer(key, address, time.Now())
				}
			})
		}
		group.Wait()
	}
	return ctx.Err()
}

// unconfirmed returns the keys and addresses of random members to connect to; none while the
// registrations are current.
func (d *Directory) unconfirmed(now time.Time) map[string]string {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.updateContact(now)
	if now.Sub(d.contactAt) <= checkAfter {
		return nil
	}
	keys := make([]string, 0, len(d.members))
	for key := range d.members {
		keys = append(keys, key)
	}
	rand.Shuffle(len(keys), func(i, j int) { keys[i], keys[j] = keys[j], keys[i] })
	out := map[string]string{}
	for _, key := range first(keys, checkedMembers) {
		out[key] = d.members[key].address
	}
	return out
}

// recordAnswer records that a connection to a member was opened.
func (d *Directory) recordAnswer(key, address string, now time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if m, ok := d.members[key]; ok && m.address == address {
		m.answeredAt = now
		d.members[key] = m
	}
}
