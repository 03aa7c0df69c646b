package load

import (
	"math"
	"time"
)

const (
	// gainMemory is the time constant with which recorded gains are forgotten, so that probes
	// are tried again some time after they did not pay.
	gainMemory = 5 * time.Second
	// gainPrior is the weight of the assumption that expected gains are right.
	gainPrior = 100 * time.Millisecond
)

// GainRecord compares the gains that probes were expected to bring with those that they brought.
// Loads that come in bursts are not normally distributed, as Gain assumes.
type GainRecord struct {
	expected, actual float64
	at               time.Time
}

// Record adds what a probe was expected to save and how much better the other server turned out
// to be. A negative value means that it was worse, so that the probe saved nothing.
func (g *GainRecord) Record(now time.Time, expected, actual time.Duration) {
	keep := g.keep(now)
	g.expected = g.expected*keep + float64(expected)
	g.actual = g.actual*keep + float64(max(0, actual))
	g.at = now
}

// Correct returns an expected gain in the light of the earlier ones.
func (g *GainRecord) Correct(now time.Time, expected time.Duration) time.Duration {
	keep := g.keep(now)
	ratio := (g.actual*keep + float64(gainPrior)) / (g.expected*keep + float64(gainPrior))
	return time.Duration(float64(expected) * min(1, ratio))
}

func (g *GainRecord) keep(now time.Time) float64 {
	return math.Exp(-float64(max(0, now.Sub(g.at))) / float64(gainMemory))
}
