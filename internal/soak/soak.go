// Package soak holds the parameters of randomized tests, which run longer by hand than in CI.
package soak

import (
	"os"
	"strconv"
)

// Environment variables that override the steps and the seed of randomized tests.
const (
	envSteps = "SOAK_STEPS"
	envSeed  = "SOAK_SEED"
)

// Parameters returns the number of steps and the seed of a randomized test. The
// environment overrides the given values, which CI uses, for longer runs.
func Parameters(steps int, seed uint64) (int, uint64) {
	if v, err := strconv.Atoi(os.Getenv(envSteps)); err == nil {
		steps = v
	}
	if v, err := strconv.ParseUint(os.Getenv(envSeed), 10, 64); err == nil {
		seed = v
	}
	return steps, seed
}
