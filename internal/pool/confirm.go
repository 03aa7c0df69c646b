package pool

import (
	"context"
	"encoding/json"
	"errors"
	"sync"
	"time"

	"cactusspoke/internal/kv"
)

// confirmTimeout bounds one reading of the store.
const confirmTimeout = 400 * time.Millisecond

// SoftwareReader brings a pool's software versions up to date from the store. What a pool was
// told may be old: its instance may have been cut off or stood still while servers of a new
// version joined and began streams.
type SoftwareReader struct {
	store  kv.Store
	prefix string
	pool   *Pool

	mu        sync.Mutex
	startedAt time.Time
	err       error
}

// NewSoftwareReader returns a reader for a pool, whose servers register under a prefix.
func NewSoftwareReader(store kv.Store, prefix string, pool *Pool) *SoftwareReader {
	return &SoftwareReader{store: store, prefix: prefix, pool: pool}
}

// Confirm returns nil once the pool holds every software version that was registered before a
// time. Callers share a reading that began after the times of all of them.
func (r *SoftwareReader) Confirm(ctx context.Context, since time.Time) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	if !r.startedAt.After(since) {
		r.startedAt = time.Now()
		r.err = r.read(ctx)
	}
	return r.err
}

// read reads the registrations, and the versions that left since streams began.
func (r *SoftwareReader) read(ctx context.Context) error {
	// Other callers share the result, so it does not depend on the context of this one.
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), confirmTimeout)
	defer cancel()
	items, _, err := kv.ListAll(ctx, r.store, r.prefix)
	if err != nil {
		return err
	}
	item, _, err := r.store.Get(ctx, SoftwareListKey)
	if err != nil && !errors.Is(err, kv.ErrNotFound) {
		return err
	}
	var history softwareHistory
	if err == nil {
		if err := json.Unmarshal(item.Value, &history); err != nil {
			return kv.Class.Wrap(err)
		}
	}
	r.pool.addSightings(items, history)
	return nil
}

// addSightings records the software versions of registrations and of a published history.
func (p *Pool) addSightings(registrations []kv.Item, history softwareHistory) {
	p.mu.Lock()
	now := time.Now()
	for _, item := range registrations {
		if server, err := p.decode(item.Key, item.Value); err == nil {
			p.software.see(server.Service, server.Software, now)
		}
	}
	p.mu.Unlock()
	if history != nil {
		p.mergeSoftware(history)
	}
}
