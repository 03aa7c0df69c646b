package lab

import (
	"os"
	"strconv"
)

// Variables that make the randomised tests longer.
const (
	envSteps = "SOAK_STEPS"
	envSeed  = "SOAK_SEED"
)

// Soak returns the steps and the seed of a randomised test: the given ones in
// CI, those of the environment in a long run.
func Soak(steps int, seed uint64) (int, uint64) {
	if v, err := strconv.Atoi(os.Getenv(envSteps)); err == nil {
		steps = v
	}
	if v, err := strconv.ParseUint(os.Getenv(envSeed), 10, 64); err == nil {
		seed = v
	}
	return steps, seed
}
