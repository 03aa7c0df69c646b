package node_test

import (
	"net/http"
	"strings"
	"testing"
	"time"

	"cactusspoke/platform"

	"github.com/stretchr/testify/require"
)

// TestJobBeforeItsConfiguration guards against items that are given up after one failure because
// the duty holder got their job before the configuration of its route, or the route was changed
// afterwards (review/12).
func TestJobBeforeItsConfiguration(t *testing.T) {
	t.Parallel()
	const items, failures = 4, 2 // MaxAttempts is 3
	added := routeOverrides{"jobs": {"Prefix": "/jobs/"}}
	tests := []struct {
		name   string
		before routeOverrides
		// behind means that the holder cannot read the second version before the job.
		behind bool
	}{
		{"route added, holder behind", routeOverrides{"jobs": {"Prefix": "/other/"}}, true},
		{"limit raised, holder behind", routeOverrides{"jobs": {"MaxAttempts": 1}}, true},
		{"limit raised after the submission", routeOverrides{"jobs": {"MaxAttempts": 1, "Service": "without-servers"}}, false},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			t.Parallel()
			c := newCluster(t, 1, 1)
			holder := c.schedulers[0]
			c.putConfig(1, tt.before)
			c.waitReady()
			c.eventually(func() bool { return strings.Contains(holder.out.text(), "configuration: applied") })
			if tt.behind {
				c.store.RejectReads(holder.storeListener, platform.ConfigKey)
				c.putConfig(2, added)
				c.eventually(func() bool { return strings.Count(c.entries[0].out.text(), "configuration: applied") == 2 })
			}
			for _, e := range c.engines {
				e.FailNext(failures / len(c.engines))
			}
			require.Equal(t, http.StatusAccepted, c.send(c.entries[0], http.MethodPost, "/jobs/late", "late", key, jobBody("late", items, 1, nil), nil).status)
			c.eventually(func() bool { return strings.Contains(holder.out.text(), `"job:`) })
			if tt.behind {
				time.Sleep(300 * time.Millisecond) // items would fail meanwhile
				c.store.RejectReads(holder.storeListener, "")
			} else {
				c.putConfig(2, added)
			}
			for _, r := range c.waitForResults(c.entries[0], "late") {
				require.Equal(t, "completed", r.State, r.ID)
			}
			runs := 0
			for _, e := range c.engines {
				runs += len(e.Requests())
			}
			require.Equal(t, items+failures, runs)
		})
	}
}
