// Package fleet knows the backend servers: which are there, how loaded they
// are, and which may get new work.
package fleet

import "time"

// Load is one report of a backend server's load, as its observer saw it.
type Load struct {
	server        string
	incarnation   uint32
	sequence      uint64
	running       int
	queued        int
	slots         int
	weightVersion int64
	leaving       bool
	takenAt       time.Time
}

// NewLoad returns a report that was true at takenAt.
func NewLoad(server string, incarnation uint32, sequence uint64, running, queued, slots int, weightVersion int64, leaving bool, takenAt time.Time) Load {
	return Load{server, incarnation, sequence, running, queued, slots, weightVersion, leaving, takenAt}
}

// Server returns the backend server's name.
func (l Load) Server() string { return l.server }

// Incarnation returns the hash of the run of the server that reported.
func (l Load) Incarnation() uint32 { return l.incarnation }

// Sequence orders the reports of one incarnation.
func (l Load) Sequence() uint64 { return l.sequence }

// Running returns the requests in the batch.
func (l Load) Running() int { return l.running }

// Queued returns the requests waiting at the backend server.
func (l Load) Queued() int { return l.queued }

// Slots returns how many requests the backend server runs at once.
func (l Load) Slots() int { return l.slots }

// WeightVersion returns the active version of the weights.
func (l Load) WeightVersion() int64 { return l.weightVersion }

// Leaving tells whether the backend server said that it is going.
func (l Load) Leaving() bool { return l.leaving }

// TakenAt returns when the report was true, on this process's clock.
func (l Load) TakenAt() time.Time { return l.takenAt }

// Server is a backend server as a candidate for one request.
type Server struct {
	id            string
	address       string
	service       string
	failureDomain string
	incarnation   uint32
	cheap         bool
	checksFencing bool
	weightVersion int64
	estimate      float64
	reported      float64
	slots         int
	age           time.Duration
	leaving       bool
}

// ID returns the backend server's name.
func (s Server) ID() string { return s.id }

// Address returns where requests go.
func (s Server) Address() string { return s.address }

// Service returns the service behind it.
func (s Server) Service() string { return s.service }

// FailureDomain returns its failure domain.
func (s Server) FailureDomain() string { return s.failureDomain }

// Incarnation returns the hash of the run of it that was last seen.
func (s Server) Incarnation() uint32 { return s.incarnation }

// Cheap tells whether it may vanish with seconds of notice.
func (s Server) Cheap() bool { return s.cheap }

// ChecksFencing tells whether it refuses orders of an old epoch.
func (s Server) ChecksFencing() bool { return s.checksFencing }

// WeightVersion returns the active version in its last report.
func (s Server) WeightVersion() int64 { return s.weightVersion }

// Estimate returns the requests at it by now: the last report corrected by
// what this instance sent and saw end since.
func (s Server) Estimate() float64 { return s.estimate }

// Reported returns the requests at it in the last report.
func (s Server) Reported() float64 { return s.reported }

// Slots returns how many requests it runs at once.
func (s Server) Slots() int { return s.slots }

// Age returns how long this incarnation has been known.
func (s Server) Age() time.Duration { return s.age }

// Leaving tells whether it may no longer get new work.
func (s Server) Leaving() bool { return s.leaving }

// Free tells whether it can begin another request at once.
func (s Server) Free() bool { return s.estimate < float64(s.slots) }
