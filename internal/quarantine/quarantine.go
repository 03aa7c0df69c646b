// Package quarantine detects requests that crash the backend servers they run on
// and rejects them before they crash more servers.
package quarantine

import (
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// crashesToRefuse is the number of crashes after which a request is rejected.
	crashesToRefuse = 2
	// maxSuspects bounds the memory used by suspects.
	maxSuspects = 1024
	// suspicionTTL is how long a request stays suspect after its last crash.
	suspicionTTL = 10 * time.Minute
)

// Fingerprint is a hash of the service, route and body of a request.
type Fingerprint uint64

// FingerprintOf returns the fingerprint of a request.
func FingerprintOf(service, route string, body []byte) Fingerprint {
	d := xxhash.New()
	_, _ = d.WriteString(service)
	_, _ = d.WriteString("\x00")
	_, _ = d.WriteString(route)
	_, _ = d.WriteString("\x00")
	_, _ = d.Write(body)
	return Fingerprint(d.Sum64())
}

// Suspect is a request that was running when a backend server crashed.
type Suspect struct {
	fingerprint Fingerprint
	crashes     int
	until       time.Time
}

// NewSuspect returns a suspect received from a peer.
func NewSuspect(f Fingerprint, crashes int, until time.Time) Suspect {
	return Suspect{f, crashes, until}
}

// Fingerprint returns the request's fingerprint.
func (s Suspect) Fingerprint() Fingerprint { return s.fingerprint }

// Crashes returns the number of backend server crashes while the request ran.
func (s Suspect) Crashes() int { return s.crashes }

// ExpiresAt returns when the request stops being a suspect.
func (s Suspect) ExpiresAt() time.Time { return s.until }

// Verdict states whether and how a request may run.
type Verdict uint8

// The verdicts.
const (
	// Allow requests run without restriction.
	Allow Verdict = iota
	// Isolate requests are suspects, which run one at a time per service.
	Isolate
	// Reject requests must not run.
	Reject
)

// Tracker is a bounded set of suspects. It is safe for concurrent use.
type Tracker struct {
	mu       sync.Mutex
	suspects map[Fingerprint]Suspect
	running  map[string]Fingerprint
}

// New returns an empty list.
func New() *Tracker {
	return &Tracker{suspects: map[Fingerprint]Suspect{}, running: map[string]Fingerprint{}}
}

// Check returns whether and how a request may run.
func (l *Tracker) Check(now time.Time, f Fingerprint) Verdict {
	l.mu.Lock()
	defer l.mu.Unlock()
	s, ok := l.suspects[f]
	switch {
	case !ok || !now.Before(s.until):
		return Allow
	case s.crashes >= crashesToRefuse:
		return Reject
	default:
		return Isolate
	}
}

// TryAcquire reports whether a suspect may run now, and if so keeps other suspects of
// the service from running until Done is called.
func (l *Tracker) TryAcquire(service string, f Fingerprint) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if _, taken := l.running[service]; taken {
		return false
	}
	l.running[service] = f
	return true
}

// Release allows other suspects of the service to run again.
func (l *Tracker) Release(service string, f Fingerprint) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.running[service] == f {
		delete(l.running, service)
	}
}

// ReportCrash records that a backend server crashed while it ran the request.
func (l *Tracker) ReportCrash(now time.Time, f Fingerprint) {
	l.mu.Lock()
	defer l.mu.Unlock()
	s := l.suspects[f]
	if !now.Before(s.until) {
		s = Suspect{fingerprint: f}
	}
	s.crashes++
	s.until = now.Add(suspicionTTL)
	l.put(now, s)
}

// ReportCompletion removes a request that completed from the list, unless it has caused
// enough crashes to be rejected: an attempt that ends late must not clear it.
func (l *Tracker) ReportCompletion(f Fingerprint) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if s, ok := l.suspects[f]; ok && s.crashes < crashesToRefuse {
		delete(l.suspects, f)
	}
}

// MergeSuspect merges a suspect received from a peer. Only suspects with enough crashes
// to be rejected are merged.
func (l *Tracker) MergeSuspect(now time.Time, s Suspect) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if s.crashes < crashesToRefuse || !now.Before(s.until) {
		return
	}
	if l.suspects[s.fingerprint].crashes < s.crashes {
		l.put(now, s)
	}
}

// Suspects returns the current suspects, to be sent to peers.
func (l *Tracker) Suspects(now time.Time) []Suspect {
	l.mu.Lock()
	defer l.mu.Unlock()
	out := make([]Suspect, 0, len(l.suspects))
	for _, s := range l.suspects {
		if now.Before(s.until) {
			out = append(out, s)
		}
	}
	return out
}

// put stores a suspect. If the list is full, it evicts an expired suspect or the
// one that expires first.
func (l *Tracker) put(now time.Time, s Suspect) {
	l.suspects[s.fingerprint] = s
	for len(l.suspects) > maxSuspects {
		l.evictOne(now)
	}
}

func (l *Tracker) evictOne(now time.Time) {
	var evicted Fingerprint
	var earliest time.Time
	for f, s := range l.suspects {
		if earliest.IsZero() || s.until.Before(earliest) {
			evicted = f
			earliest = s.until
		}
		if !now.Before(s.until) {
			evicted = f
			break
		}
	}
	delete(l.suspects, evicted)
}
