// Package pool keeps the backend servers that the platform lists and decides
// which of them gets a request.
package pool

import "time"

// Server is one backend server as it registered itself.
type Server struct {
	ID            string
	Service       string
	Address       string
	FailureDomain string
	Slots         int
	Draining      bool
	// Spot servers cost less and may be reclaimed with all others of a domain.
	Spot bool
	// Models is the version of the weights by model.
	Models map[string]int64
	// Born is the start of this incarnation in Unix milliseconds.
	Born int64
}

// state is a server and what requests have shown of it.
type state struct {
	server   Server
	running  int
	failures int
	// ejectedUntil keeps a failing server from getting work.
	ejectedUntil time.Time
	// retired servers answered that another instance has the address.
	retired bool
	// missingSince is set while the entry is missing after a store outage.
	missingSince time.Time
	latency      float64
	measuredAt   time.Time
	reported     int
	reportedAt   time.Time
}
