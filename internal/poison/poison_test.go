package poison_test

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"cactusspoke/internal/kv/kvtest"
	"cactusspoke/internal/poison"

	"github.com/stretchr/testify/require"
	"go.uber.org/zap"
)

// TestSuspicions guards against requests that are blocked although fewer than three servers
// crashed while they ran them, and against ones that are not blocked although three did.
func TestSuspicions(t *testing.T) {
	tests := []struct {
		name    string
		play    func(tr *poison.Tracker, f poison.Fingerprint)
		blocked bool
	}{
		{"three servers crash", func(tr *poison.Tracker, f poison.Fingerprint) {
			for _, server := range []string{"a", "b", "c"} {
				tr.Suspect(f, server, 1)
				tr.ServerCrashed(server, 1)
			}
		}, true},
		{"one server crashes three times", func(tr *poison.Tracker, f poison.Fingerprint) {
			for born := range int64(3) {
				tr.Suspect(f, "a", born)
				tr.ServerCrashed("a", born)
			}
		}, true},
		{"many connections to two servers that end", func(tr *poison.Tracker, f poison.Fingerprint) {
			for range 12 {
				tr.Suspect(f, "a", 1)
				tr.Suspect(f, "b", 1)
			}
			tr.ServerCrashed("a", 1)
			tr.ServerCrashed("b", 1)
		}, false},
		{"connections are lost and no server ends", func(tr *poison.Tracker, f poison.Fingerprint) {
			for _, server := range []string{"a", "b", "c", "d"} {
				tr.Suspect(f, server, 1)
			}
		}, false},
		{"another start of the servers ends", func(tr *poison.Tracker, f poison.Fingerprint) {
			for _, server := range []string{"a", "b", "c"} {
				tr.Suspect(f, server, 1)
				tr.ServerCrashed(server, 2)
			}
		}, false},
		{"the servers end much later", func(tr *poison.Tracker, f poison.Fingerprint) {
			for _, server := range []string{"a", "b", "c"} {
				tr.Suspect(f, server, 1)
			}
			time.Sleep(time.Minute)
			for _, server := range []string{"a", "b", "c"} {
				tr.ServerCrashed(server, 1)
			}
		}, false},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				ctx, cancel := context.WithCancel(t.Context())
				tracker := poison.New(kvtest.New(1, kvtest.Faults{}).Client(), zap.NewNop())
				go func() { _ = tracker.Run(ctx) }()
				f := poison.FingerprintOf("a", "/x", nil)
				tt.play(tracker, f)
				time.Sleep(5 * time.Second)
				require.Equal(t, tt.blocked, tracker.Blocked(f))
				cancel()
				time.Sleep(time.Minute)
			})
		})
	}
}
