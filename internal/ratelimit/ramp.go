package ratelimit

import (
	"math"
	"time"
)

const (
	// RampTime is how long after its end a limit still slows requests. A server that just
	// was in need may be so again if it gets all requests at once.
	RampTime = 5 * time.Second
	// rampDoubling is the time in which the requests double meanwhile.
	rampDoubling = time.Second
	// minRampLimit is the limit, in requests a second, from which the ramp begins at least.
	minRampLimit = 1
)

// Ramp returns the limit that applies some time after a limit ended.
func Ramp(limit float64, since time.Duration) float64 {
	return max(limit, minRampLimit) * math.Exp2(1+float64(since)/float64(rampDoubling))
}
