// Package quarantine finds requests that crash each backend server they run
// on, and keeps them from taking more servers down.
package quarantine

import (
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Limits of the list of suspects.
const (
	crashesToRefuse = 2
	maxSuspects     = 1024
	lifetime        = 10 * time.Minute
)

// Fingerprint names the content of a request.
type Fingerprint uint64

// Of returns the fingerprint of a service's route and body.
func Of(service, route string, body []byte) Fingerprint {
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

// NewSuspect returns a suspect as a peer told it.
func NewSuspect(f Fingerprint, crashes int, until time.Time) Suspect {
	return Suspect{f, crashes, until}
}

// Fingerprint returns the request's fingerprint.
func (s Suspect) Fingerprint() Fingerprint { return s.fingerprint }

// Crashes returns how many backend servers crashed under it.
func (s Suspect) Crashes() int { return s.crashes }

// Until returns when the suspicion ends.
func (s Suspect) Until() time.Time { return s.until }

// Verdict is what may be done with a request.
type Verdict uint8

// The verdicts.
const (
	// Clear requests run as usual.
	Clear Verdict = iota
	// Alone requests run one at a time per service.
	Alone
	// Refuse requests do not run.
	Refuse
)

// List is the bounded list of suspects. It is safe for several goroutines.
type List struct {
	mu       sync.Mutex
	suspects map[Fingerprint]Suspect
	running  map[string]Fingerprint
}

// New returns an empty list.
func New() *List {
	return &List{suspects: map[Fingerprint]Suspect{}, running: map[string]Fingerprint{}}
}

// Judge returns what may be done with a request now.
func (l *List) Judge(now time.Time, f Fingerprint) Verdict {
	l.mu.Lock()
	defer l.mu.Unlock()
	s, ok := l.suspects[f]
	switch {
	case !ok || !now.Before(s.until):
		return Clear
	case s.crashes >= crashesToRefuse:
		return Refuse
	default:
		return Alone
	}
}

// TryRun reserves the one place for suspects of a service.
func (l *List) TryRun(service string, f Fingerprint) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if _, taken := l.running[service]; taken {
		return false
	}
	l.running[service] = f
	return true
}

// Done frees the place for suspects of a service.
func (l *List) Done(service string, f Fingerprint) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.running[service] == f {
		delete(l.running, service)
	}
}

// Crashed notes that a backend server crashed while it ran the request.
func (l *List) Crashed(now time.Time, f Fingerprint) {
	l.mu.Lock()
	defer l.mu.Unlock()
	s := l.suspects[f]
	if !now.Before(s.until) {
		s = Suspect{fingerprint: f}
	}
	s.crashes++
	s.until = now.Add(lifetime)
	l.put(now, s)
}

// Completed clears a request that ran to its end.
func (l *List) Completed(f Fingerprint) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if s, ok := l.suspects[f]; ok && s.crashes < crashesToRefuse {
		delete(l.suspects, f)
	}
}

// Learn takes in a suspect from a peer.
func (l *List) Learn(now time.Time, s Suspect) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if s.crashes < crashesToRefuse || !now.Before(s.until) {
		return
	}
	if l.suspects[s.fingerprint].crashes < s.crashes {
		l.put(now, s)
	}
}

// Suspects returns the list for peers.
func (l *List) Suspects(now time.Time) []Suspect {
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

// put stores a suspect, making room by dropping the one that ends first.
func (l *List) put(now time.Time, s Suspect) {
	l.suspects[s.fingerprint] = s
	for len(l.suspects) > maxSuspects {
		l.dropFirst(now)
	}
}

func (l *List) dropFirst(now time.Time) {
	var victim Fingerprint
	var earliest time.Time
	for f, s := range l.suspects {
		if earliest.IsZero() || s.until.Before(earliest) {
			victim = f
			earliest = s.until
		}
		if !now.Before(s.until) {
			victim = f
			break
		}
	}
	delete(l.suspects, victim)
}
