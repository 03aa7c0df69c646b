package pool

import (
	"maps"
	"slices"
	"time"

	"go.uber.org/zap"
)

// NotifyEvacuationEnds sets a function that is called for each domain whose evacuation ends,
// before its servers get requests again. It is called without locks held.
func (p *Pool) NotifyEvacuationEnds(onEnd func(domain string, now time.Time)) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.onEvacuationEnd = onEnd
}

// SetEvacuated replaces the set of failure domains whose servers get no requests. Running
// requests are not affected.
func (p *Pool) SetEvacuated(domains []string) {
	p.evacuating.Lock()
	defer p.evacuating.Unlock()
	next := make(map[string]bool, len(domains))
	for _, domain := range domains {
		next[domain] = true
	}
	p.mu.Lock()
	before, onEnd := p.evacuated, p.onEvacuationEnd
	p.mu.Unlock()
	if maps.Equal(before, next) {
		return
	}
	for _, domain := range slices.Sorted(maps.Keys(before)) {
		if next[domain] {
			continue
		}
		p.log.Info("pool: evacuation ended", zap.String("domain", domain))
		if onEnd != nil {
			onEnd(domain, time.Now())
		}
	}
	for _, domain := range slices.Sorted(maps.Keys(next)) {
		if !before[domain] {
			p.log.Info("pool: domain is evacuated", zap.String("domain", domain))
		}
	}
	p.mu.Lock()
	p.evacuated = next
	p.mu.Unlock()
	p.onChange()
}

// Evacuated reports whether a failure domain is evacuated.
func (p *Pool) Evacuated(domain string) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.evacuated[domain]
}

// EvacuatedService reports whether a service has servers and all are in evacuated domains.
func (p *Pool) EvacuatedService(service string) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if len(p.evacuated) == 0 {
		return false
	}
	found := false
	for _, s := range p.servers {
		if s.server.Service != service || s.server.Draining || s.misdirected {
			continue
		}
		if !p.isEvacuated(s) {
			return false
		}
		found = true
	}
	return found
}

// isEvacuated reports whether a server is in an evacuated domain; the caller holds mu.
func (p *Pool) isEvacuated(s *serverState) bool { return p.evacuated[s.server.FailureDomain] }
