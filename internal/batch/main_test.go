package batch_test

import (
	"flag"
	"os"
	"testing"
)

// TestMain fixes the seed of the property tests. SOAK_SEED overrides it, and
// SOAK_STEPS sets the number of cases.
func TestMain(m *testing.M) {
	flag.Parse()
	seed, checks := os.Getenv("SOAK_SEED"), os.Getenv("SOAK_STEPS")
	if seed == "" {
		seed = "20261204"
	}
	if err := flag.Set("rapid.seed", seed); err != nil {
		panic(err)
	}
	if checks != "" {
		if err := flag.Set("rapid.checks", checks); err != nil {
			panic(err)
		}
	}
	os.Exit(m.Run())
}
