// Package evacuation holds the failure domains whose backend servers the operator wants to
// get no requests. The schedulers read the operator's keys, and the holder of the scheduler
// duty publishes the set for the entry instances.
package evacuation

import (
	"maps"
	"slices"
	"strings"
	"sync"
	"time"

	"cactusspoke/internal/kv"

	"go.uber.org/zap"
)

const (
	// maxUnknownDomains bounds the evacuations of domains that are not in the settings.
	// They are kept since servers may register with a domain that the settings lack.
	maxUnknownDomains = 64
	// maxDomainBytes bounds the name of a domain.
	maxDomainBytes = 253
	// endMemory is how long the end of an evacuation is remembered for a new holder. Servers
	// are cold for a few seconds after it.
	endMemory = 30 * time.Second
)

// View is the set of domains that the operator evacuates, as read from the store.
type View struct {
	prefix   string
	domains  []string
	log      *zap.Logger
	onChange func()

	mu        sync.Mutex
	complete  bool
	evacuated map[string]bool
	// warned holds the unknown domains that were logged.
	warned  map[string]bool
	changed chan struct{}
	// endedAt holds when evacuations ended lately.
	endedAt map[string]time.Time
}

// NewView returns an empty view of the keys with a prefix. domains lists the domains of the
// settings. onChange is called without locks held after the set changed.
func NewView(prefix string, domains []string, log *zap.Logger, onChange func()) *View {
	return &View{prefix: prefix, domains: domains, log: log, onChange: onChange, evacuated: map[string]bool{}, warned: map[string]bool{}, endedAt: map[string]time.Time{}, changed: make(chan struct{})}
}

// Complete reports whether the operator's keys were read at least once.
func (v *View) Complete() bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.complete
}

// Domains returns the evacuated domains, sorted.
func (v *View) Domains() []string {
	domains, _ := v.current()
	return domains
}

// EndedLately returns the domains whose evacuation ended within endMemory, sorted.
func (v *View) EndedLately() []string {
	v.mu.Lock()
	defer v.mu.Unlock()
	ended := map[string]bool{}
	for domain, at := range v.endedAt {
		if time.Since(at) <= endMemory && !v.evacuated[domain] {
			ended[domain] = true
		}
	}
	return sorted(ended)
}

// current returns the evacuated domains, sorted, and a channel that is closed at the next
// change.
func (v *View) current() ([]string, <-chan struct{}) {
	v.mu.Lock()
	defer v.mu.Unlock()
	return sorted(v.evacuated), v.changed
}

// Reset replaces the set by a complete list.
func (v *View) Reset(items []kv.Item) {
	v.update(func() {
		v.complete = true
		clear(v.evacuated)
		for _, item := range items {
			v.apply(item)
		}
	})
}

// Apply applies changed and deleted keys.
func (v *View) Apply(events []kv.Item) {
	v.update(func() {
		for _, e := range events {
			v.apply(e)
		}
	})
}

// Reachable does nothing: during a store outage the last set stays in effect.
func (v *View) Reachable(bool) {}

// update changes the set and notifies those who wait for changes.
func (v *View) update(change func()) {
	v.mu.Lock()
	before := sorted(v.evacuated)
	change()
	after := sorted(v.evacuated)
	if slices.Equal(before, after) {
		v.mu.Unlock()
		return
	}
	now := time.Now()
	maps.DeleteFunc(v.endedAt, func(domain string, at time.Time) bool { return v.evacuated[domain] || now.Sub(at) > endMemory })
	for _, domain := range before {
		if !v.evacuated[domain] {
			v.endedAt[domain] = now
		}
	}
	close(v.changed)
	v.changed = make(chan struct{})
	v.mu.Unlock()
	v.log.Info("evacuation: the operator's set changed", zap.Strings("evacuated", after), zap.Strings("before", before))
	v.onChange()
}

// apply applies one key; the caller holds mu.
func (v *View) apply(item kv.Item) {
	domain := strings.TrimPrefix(item.Key, v.prefix)
	if item.Deleted {
		delete(v.evacuated, domain)
		delete(v.warned, domain)
		return
	}
	if slices.Contains(v.domains, domain) {
		v.evacuated[domain] = true
		return
	}
	valid := validDomain(domain) && (v.evacuated[domain] || v.unknown() < maxUnknownDomains)
	if valid {
		v.evacuated[domain] = true
	}
	if !v.warned[domain] {
		v.warned[domain] = true
		v.log.Warn("evacuation: key of an unknown domain", zap.String("key", item.Key), zap.Bool("applied", valid))
	}
}

// unknown returns the number of evacuated domains that are not in the settings; the caller
// holds mu.
func (v *View) unknown() int {
	n := 0
	for domain := range v.evacuated {
		if !slices.Contains(v.domains, domain) {
			n++
		}
	}
	return n
}

// validDomain reports whether a name can be that of a domain.
func validDomain(name string) bool {
	return name != "" && len(name) <= maxDomainBytes && !strings.Contains(name, "/")
}

// sorted returns the members of a set in order.
func sorted(set map[string]bool) []string {
	out := make([]string, 0, len(set))
	for name := range set {
		out = append(out, name)
	}
	slices.Sort(out)
	return out
}
