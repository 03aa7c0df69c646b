package scheduler

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// TestGivesUpOutput checks when an item starts over since the engines of the software
// version that began its output are busy, in trouble or loading.
func TestGivesUpOutput(t *testing.T) {
	const msPerEvent = 36
	item := queuedItem{resumes: true, software: "v1", minVersion: 3}
	engine := func(software string, free int, version int64) target {
		return target{software: software, slots: &engineSlots{free: free}, version: version}
	}
	tests := []struct {
		name    string
		waited  time.Duration
		targets []target
		givesUp bool
	}{
		{"the wait is shorter than the work", time.Second, []target{engine("v2", 1, 3)}, false},
		{"the wait is longer", 2 * time.Second, []target{engine("v2", 1, 3)}, true},
		{"nothing else is free", 2 * time.Second, []target{engine("v2", 0, 3)}, false},
		{"the rest has old weights", 2 * time.Second, []target{engine("v2", 1, 2)}, false},
		{"its own version is free", 2 * time.Second, []target{engine("v2", 1, 3), engine("v1", 1, 3)}, false},
		{"its own version has old weights", 2 * time.Second, []target{engine("v2", 1, 3), engine("v1", 1, 2)}, true},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			require.Equal(t, tt.givesUp, givesUpOutput(item, 40, tt.waited, msPerEvent, tt.targets))
		})
	}
}
