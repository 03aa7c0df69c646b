// Package fleet tracks the backend servers, their load and health, and which of
// them may receive new requests.
package fleet

import "time"

// Load is a load report of a backend server as one instance received it.
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

// NewLoad returns a load report measured at takenAt.
func NewLoad(server string, incarnation uint32, sequence uint64, running, queued, slots int, weightVersion int64, leaving bool, takenAt time.Time) Load {
	return Load{server, incarnation, sequence, running, queued, slots, weightVersion, leaving, takenAt}
}

// Server returns the name of the backend server.
func (l Load) Server() string { return l.server }

// Incarnation returns a hash that identifies the process that reported. It
// changes when the server restarts.
func (l Load) Incarnation() uint32 { return l.incarnation }

// Sequence returns a number that increases with each report of one incarnation.
func (l Load) Sequence() uint64 { return l.sequence }

// Running returns the number of requests that the server is running.
func (l Load) Running() int { return l.running }

// Queued returns the number of requests in the server's queue.
func (l Load) Queued() int { return l.queued }

// Slots returns how many requests the server can run concurrently.
func (l Load) Slots() int { return l.slots }

// WeightVersion returns the active weight version.
func (l Load) WeightVersion() int64 { return l.weightVersion }

// Leaving reports whether the server announced that it is about to stop.
func (l Load) Leaving() bool { return l.leaving }

// TakenAt returns when the load was measured, by the clock of this process.
func (l Load) TakenAt() time.Time { return l.takenAt }

// Server is a snapshot of the state of a backend server. It is a candidate for
// routing.
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

// ID returns the name of the server.
func (s Server) ID() string { return s.id }

// Address returns the host and port for requests.
func (s Server) Address() string { return s.address }

// Service returns the name of the service that the server runs.
func (s Server) Service() string { return s.service }

// FailureDomain returns the failure domain of the server.
func (s Server) FailureDomain() string { return s.failureDomain }

// Incarnation returns the incarnation in the last load report, or 0 without
// one.
func (s Server) Incarnation() uint32 { return s.incarnation }

// Preemptible reports whether the server is preemptible: the platform may stop
// it with only seconds of notice.
func (s Server) Preemptible() bool { return s.cheap }

// ChecksFencing reports whether the server rejects orders with an old epoch.
func (s Server) ChecksFencing() bool { return s.checksFencing }

// WeightVersion returns the weight version in the last load report.
func (s Server) WeightVersion() int64 { return s.weightVersion }

// EstimatedLoad returns the estimated number of requests at the server: the
// last load report, corrected by the requests that this instance started and
// saw end since then.
func (s Server) EstimatedLoad() float64 { return s.estimate }

// ReportedLoad returns the number of running and queued requests in the last
// load report.
func (s Server) ReportedLoad() float64 { return s.reported }

// Slots returns how many requests the server may run concurrently. The number
// is reduced while a new server is in slow start.
func (s Server) Slots() int { return s.slots }

// Age returns the time since this incarnation was first seen.
func (s Server) Age() time.Duration { return s.age }

// Leaving reports whether the server must not receive new requests.
func (s Server) Leaving() bool { return s.leaving }

// HasFreeSlot reports whether the server has a free slot.
func (s Server) HasFreeSlot() bool { return s.estimate < float64(s.slots) }
