// Package pool tracks the registered backend servers and selects one for each
// request.
package pool

import (
	"time"

	"cactusspoke/internal/load"
	"cactusspoke/internal/ratelimit"
)

// Server is a backend server as described by its own registration.
type Server struct {
	ID            string
	Service       string
	Address       string
	FailureDomain string
	Slots         int
	Draining      bool
	// Spot marks a server on spot capacity. It costs less and may be reclaimed
	// together with all other spot servers of its failure domain.
	Spot bool
	// Software is the version of the server's software. Another version cannot resume the
	// responses that it began.
	Software string
	// Models maps each model to the version of its loaded weights.
	Models map[string]int64
	// Born is the start time of the server process in Unix milliseconds.
	Born int64
	// ColdFor is how long the server remains cold from the time of the registration; negative
	// if the registration states no valid time.
	ColdFor time.Duration
}

// serverState is a server and the health and load observed through requests.
type serverState struct {
	server              Server
	running             int
	consecutiveFailures int
	// ejectedUntil is the end of the time in which a failing server gets no
	// requests.
	ejectedUntil time.Time
	// misdirected is set once the server responded that its address belongs to
	// another instance.
	misdirected bool
	// missingSince is when the registration disappeared; zero while it exists.
	missingSince time.Time
	// latencyMS is a moving average, last updated at latencyAt.
	latencyMS float64
	latencyAt time.Time
	// reportedLoad is the number of running and waiting requests at the server, or
	// an assumed one after a rejection.
	reportedLoad   int
	loadReportedAt time.Time
	// report is the last load report.
	report load.Report
	// estimator is set while the server reports its slowness.
	estimator *load.Estimator
	// invalidReportLogged is set once an invalid load report of the server was logged.
	invalidReportLogged bool
	// probes are those of the server's health path.
	probes probeHistory
	// limited means that the server accepts only limit requests a second from all clients
	// combined.
	limited bool
	limit   float64
	// limitEndedAt is when the limit ended and the slow start began; zero while it holds.
	limitEndedAt time.Time
	// answeredAt is the time of the last response, which shows whether a limit holds.
	answeredAt time.Time
	// pacing spaces this process's requests at its share, which was determined at rateAt.
	pacing ratelimit.Pacer
	rateAt time.Time
	// coldUntil is when the server is no longer cold, as far as is known, and pacedCold means
	// that the pacing is that of a cold server. coldTimeInvalid means that the invalid time in
	// its registration was logged.
	coldUntil       time.Time
	pacedCold       bool
	coldTimeInvalid bool
	// registration is a hash of the last registration. The published list repeats those
	// that it was made of, whose cold time must not count again.
	registration uint64
	// sent counts the requests that this process sent.
	sent ratelimit.Counter
}
