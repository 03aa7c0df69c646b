package ratelimit_test

import (
	"testing"
	"time"

	"cactusspoke/internal/ratelimit"

	"github.com/stretchr/testify/require"
)

// TestPacer checks the spacing of requests and how many may follow each other after a
// pause.
func TestPacer(t *testing.T) {
	start := time.Unix(1000, 0)
	tests := []struct {
		name  string
		rate  float64
		burst int
	}{
		{"slow", 0.5, 1},
		{"one in the burst time", 2, 2},
		{"fast", 10, 6},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			var p ratelimit.Pacer
			require.Zero(t, p.Available(start, 100))
			p.SetRate(start.Add(-time.Minute), tt.rate)
			require.Equal(t, tt.burst, p.Available(start, 100))
			now, sent := start, 0
			for ; now.Before(start.Add(20 * time.Second)); now = now.Add(time.Millisecond) {
				for p.Allows(now) {
					p.Take(now)
					sent++
				}
			}
			require.InDelta(t, 20*tt.rate, sent, float64(tt.burst))
			p.Delay(now, time.Minute)
			require.Equal(t, time.Minute, p.Wait(now))
		})
	}
}

// TestPacerReservations asserts that requests which wait are spaced, too.
func TestPacerReservations(t *testing.T) {
	var p ratelimit.Pacer
	now := time.Unix(1000, 0)
	p.SetRate(now.Add(-time.Minute), 1)
	var waits []time.Duration
	for range 4 {
		waits = append(waits, p.Take(now))
	}
	require.Equal(t, []time.Duration{0, 500 * time.Millisecond, 1500 * time.Millisecond, 2500 * time.Millisecond}, waits)
}

// TestCounter checks the counts by second, with pauses and a clock that goes back.
func TestCounter(t *testing.T) {
	var c ratelimit.Counter
	at := func(s int64) time.Time { return time.Unix(s, 500) }
	for _, s := range []int64{100, 100, 101, 103, 102, 104} {
		c.Add(at(s))
	}
	first, counts := c.Window(at(104))
	require.Equal(t, int64(100), first)
	require.Equal(t, []int{2, 1, 0, 2}, counts, "a clock that goes back counts in the newest second")
	_, counts = c.Window(at(200))
	require.Equal(t, []int{0, 0, 0, 0}, counts)
}
