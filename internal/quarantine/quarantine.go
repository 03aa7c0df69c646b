// Package quarantine detects requests that crash the backend servers they run
// on and rejects them before they crash more servers.
package quarantine

import (
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// crashesToReject is the number of crashes after which a request is
	// rejected.
	crashesToReject = 2
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

// New returns an empty Tracker.
func New() *Tracker {
	return &Tracker{suspects: map[Fingerprint]Suspect{}, running: map[string]Fingerprint{}}
}

// Check returns whether and how a request may run.
func (t *Tracker) Check(now time.Time, f Fingerprint) Verdict {
	t.mu.Lock()
	defer t.mu.Unlock()
	s, ok := t.suspects[f]
	switch {
	case !ok || !now.Before(s.until):
		return Allow
	case s.crashes >= crashesToReject:
		return Reject
	default:
		return Isolate
	}
}

// TryAcquire reports whether a suspect may run now, and if so keeps other
// suspects of the service from running until Release is called.
func (t *Tracker) TryAcquire(service string, f Fingerprint) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if _, taken := t.running[service]; taken {
		return false
	}
	t.running[service] = f
	return true
}

// Release allows other suspects of the service to run again.
func (t *Tracker) Release(service string, f Fingerprint) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.running[service] == f {
		delete(t.running, service)
	}
}

// ReportCrash records that a backend server crashed while it ran the request.
func (t *Tracker) ReportCrash(now time.Time, f Fingerprint) {
	t.mu.Lock()
	defer t.mu.Unlock()
	s := t.suspects[f]
	if !now.Before(s.until) {
		s = Suspect{fingerprint: f}
	}
	s.crashes++
	s.until = now.Add(suspicionTTL)
	t.put(now, s)
}

// ReportCompletion removes a request that completed from the suspects, unless
// it has caused enough crashes to be rejected: a late completion must not clear
// it.
func (t *Tracker) ReportCompletion(f Fingerprint) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if s, ok := t.suspects[f]; ok && s.crashes < crashesToReject {
		delete(t.suspects, f)
	}
}

// MergeSuspect merges a suspect received from a peer. Only suspects with enough
// crashes to be rejected are merged.
func (t *Tracker) MergeSuspect(now time.Time, s Suspect) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if s.crashes < crashesToReject || !now.Before(s.until) {
		return
	}
	if t.suspects[s.fingerprint].crashes < s.crashes {
		t.put(now, s)
	}
}

// Suspects returns the current suspects, to be sent to peers.
func (t *Tracker) Suspects(now time.Time) []Suspect {
	t.mu.Lock()
	defer t.mu.Unlock()
	out := make([]Suspect, 0, len(t.suspects))
	for _, s := range t.suspects {
		if now.Before(s.until) {
			out = append(out, s)
		}
	}
	return out
}

// put stores a suspect. If the tracker is full, it evicts an expired suspect or
// the one that expires first.
func (t *Tracker) put(now time.Time, s Suspect) {
	t.suspects[s.fingerprint] = s
	for len(t.suspects) > maxSuspects {
		t.evictOne(now)
	}
}

func (t *Tracker) evictOne(now time.Time) {
	var evicted Fingerprint
	var earliest time.Time
	for f, s := range t.suspects {
		if earliest.IsZero() || s.until.Before(earliest) {
			evicted = f
			earliest = s.until
		}
		if !now.Before(s.until) {
			evicted = f
			break
		}
	}
	delete(t.suspects, evicted)
}
