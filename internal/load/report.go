// Package load estimates how long a request takes at a backend server from the load that the
// server reports in its responses.
package load

import "time"

// Report is the load that a server reported in a response.
type Report struct {
	// Running and Waiting are the requests at the server, Slots how many it runs at once; 0 if
	// it did not say.
	Running int
	Waiting int
	Slots   int
	// Slowness is how long work takes now, relative to the usual time: 1 is usual, 0 means
	// that the server did not say.
	Slowness float64
	// At is when the response arrived.
	At time.Time
}

// DecodeFunc decodes the header in which servers report their load.
type DecodeFunc func(text string, at time.Time) (Report, error)

// Load returns the number of requests at the server.
func (r Report) Load() int { return r.Running + r.Waiting }
