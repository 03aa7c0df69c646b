package ratelimit

import (
	"math"
	"time"
)

const (
	// RampTime is the duration of the slow start after a limit ended, which keeps the server
	// from being overloaded again at once.
	RampTime = 5 * time.Second
	// rampDoubling is the time in which the rate doubles during the slow start.
	rampDoubling = time.Second
	// minRampLimit is the lowest limit, in requests a second, at which the slow start begins.
	minRampLimit = 1
)

// Ramp returns the limit that applies some time after a limit ended.
func Ramp(limit float64, since time.Duration) float64 {
	return max(limit, minRampLimit) * math.Exp2(1+float64(since)/float64(rampDoubling))
}
