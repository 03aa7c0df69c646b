// Package streamorigin records which software version of a backend server began each
// caller's stream. A stream can be resumed only at that version, by any entry instance
// and also after all of them were restarted.
package streamorigin

import (
	"slices"
	"time"
)

// Retention is how long after its start a stream can be resumed. No route allows streams
// that are as long, with the retries of their callers.
const Retention = 2 * time.Minute

// Origin is where a stream began.
type Origin struct {
	Service  string
	Software string
}

// Knowledge is what an entry instance knows when a caller resumes a stream.
type Knowledge struct {
	// Recorded is the origin that an instance recorded; nil if there is none.
	Recorded *Origin
	// LookupFailed means that the store, which has the records of the other instances and the
	// versions that served, could not be read since the request came.
	LookupFailed bool
	// Services are those of the stream's route.
	Services []string
	// Seen holds the software versions of each of them that served within Retention; nil if
	// this is not known for all that time. It may lack the newest ones if LookupFailed is set.
	Seen map[string][]string
	// Ready holds the software versions of each of them that accept requests.
	Ready map[string][]string
}

// Verdict is the decision on a resumed stream.
type Verdict int

// The possible verdicts.
const (
	// GoOn means that the stream may go on at the servers of its origin.
	GoOn Verdict = iota
	// Gone means that no server of the origin is left.
	Gone
	// Unknown means that the origin is not known and that this will not change.
	Unknown
	// Unavailable means that the origin cannot be looked up now.
	Unavailable
)

// String returns the name of a verdict in logs and metrics.
func (v Verdict) String() string {
	return [...]string{"goes-on", "version-gone", "version-unknown", "lookup-failed"}[v]
}

// Decide returns the origin at which a stream must go on, and whether it can. A stream
// without a record can still go on if all servers that may have begun it were of one
// version, which only the store can tell: it may have begun at a server of which this instance
// was not told yet.
func Decide(k Knowledge) (Origin, Verdict) {
	origin, known := onlyOrigin(k)
	if k.Recorded != nil {
		origin, known = *k.Recorded, true
	}
	switch {
	case k.Recorded == nil && k.LookupFailed:
		return Origin{}, Unavailable
	case !known:
		return Origin{}, Unknown
	case !slices.Contains(k.Ready[origin.Service], origin.Software) || !slices.Contains(k.Services, origin.Service):
		return origin, Gone
	}
	return origin, GoOn
}

// Ambiguous reports whether streams of a route may have begun at different services or
// versions, so that their origins must be recorded.
func Ambiguous(services []string, seen map[string][]string) bool {
	_, known := onlyOrigin(Knowledge{Services: services, Seen: seen})
	return !known
}

// onlyOrigin returns the only origin that a stream without a record can have.
func onlyOrigin(k Knowledge) (Origin, bool) {
	if len(k.Services) != 1 || k.Seen == nil || len(k.Seen[k.Services[0]]) != 1 {
		return Origin{}, false
	}
	return Origin{k.Services[0], k.Seen[k.Services[0]][0]}, true
}
