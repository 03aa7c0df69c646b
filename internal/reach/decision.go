// Package reach tells whether this instance reaches the backend servers of a service
// itself, and what to do with a request if not. A network fault may cut an instance off
// from all or most servers while callers, the store and the other instances reach it.
package reach

// Knowledge is what an instance knows about its paths to the servers of a service.
type Knowledge struct {
	// Up and Down count the servers that were found to be reachable and unreachable lately.
	// The other servers were not tried.
	Up, Down int
	// Servers is the number of servers that accept requests.
	Servers int
	// Peers is the number of instances to which the request can be relayed.
	Peers int
}

// Verdict is what an instance does with a request.
type Verdict int

const (
	// Direct means that the instance sends the request to a server.
	Direct Verdict = iota
	// Relay means that it passes the request to another instance.
	Relay
	// Refuse means that the request cannot reach any server.
	Refuse
)

// String returns the name that is used in logs.
func (v Verdict) String() string { return [...]string{"direct", "relay", "refuse"}[v] }

// lostShare of the servers that were tried lately must be unreachable for the paths to
// count as lost. With fewer, the servers themselves are more likely to be at fault.
const (
	lostShareNumerator   = 2
	lostShareDenominator = 3
)

// Lost reports whether the instance lost its paths to all or most servers. One failed
// server is no evidence against the path unless it is the only one.
func (k Knowledge) Lost() bool {
	return k.Down >= min(2, max(1, k.Servers)) && lostShareDenominator*k.Down >= lostShareNumerator*(k.Up+k.Down)
}

// Decide returns what to do with a request. If the servers failed for all instances, no
// peer is left to relay to, and those servers that are left get the request.
func Decide(k Knowledge) Verdict {
	switch {
	case !k.Lost():
		return Direct
	case k.Peers > 0:
		return Relay
	case k.Up > 0:
		return Direct
	default:
		return Refuse
	}
}
