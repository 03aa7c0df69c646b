package node_test

import (
	"net/http"
	"testing"
	"time"

	"cactusspoke/platform"

	"github.com/stretchr/testify/require"
)

// TestWeightUpdates asserts that engines load the requested weight versions in
// order, and that completions come only from versions that their job allows.
func TestWeightUpdates(t *testing.T) {
	t.Parallel()
	c := newCluster(t, 1, 2)
	c.putConfig(1, nil)
	c.waitReady()
	for _, version := range []int64{2, 3} {
		c.store.Put(platform.VersionPrefix+model, map[string]any{"Model": model, "Version": version})
		c.eventually(func() bool { return c.engines[0].Version(model) == version && c.engines[1].Version(model) == version })
	}
	for _, w := range c.engines {
		for i, o := range w.WeightUpdates() {
			require.Equal(t, int64(i), o.Expected, "an order must carry the number of orders accepted before it")
			require.Equal(t, w.WeightUpdates()[0].Fence, o.Fence)
		}
	}
	require.Equal(t, http.StatusAccepted, c.send(c.entries[0], http.MethodPost, "/jobs/j", "j", key, jobBody("j", 4, 3, nil), nil).status)
	for _, r := range c.waitForResults(c.entries[0], "j") {
		require.Equal(t, []int64{3}, r.Versions)
	}
}

// TestUnansweredWeightOrders asserts that an engine which does not answer its
// first weight orders still loads the new version within two seconds. The engine
// carries out the unanswered orders late; only one of all orders may be accepted.
func TestUnansweredWeightOrders(t *testing.T) {
	t.Parallel()
	c := newCluster(t, 1, 1)
	c.putConfig(1, nil)
	c.waitReady()
	for _, w := range c.engines {
		w.DelayWeightUpdates(2, 1500*time.Millisecond)
	}
	c.store.Put(platform.VersionPrefix+model, map[string]any{"Model": model, "Version": 2})
	updated := func() bool { return c.engines[0].Version(model) == 2 && c.engines[1].Version(model) == 2 }
	require.Eventually(t, updated, 2*time.Second, 10*time.Millisecond)
	for _, w := range c.engines {
		c.eventually(func() bool { return len(w.WeightUpdates()) == 3 })
		accepted := 0
		for _, o := range w.WeightUpdates() {
			require.Zero(t, o.Expected)
			if o.Status == http.StatusAccepted {
				accepted++
			}
		}
		require.Equal(t, 1, accepted)
	}
}

// TestWeightRollback asserts that output is discarded if an engine falls back to
// an older weight version in the middle of a completion.
func TestWeightRollback(t *testing.T) {
	t.Parallel()
	c := newCluster(t, 1, 1)
	c.putConfig(1, nil)
	c.waitReady()
	c.store.Put(platform.VersionPrefix+model, map[string]any{"Model": model, "Version": 2})
	c.eventually(func() bool { return c.engines[0].Version(model) == 2 && c.engines[1].Version(model) == 2 })
	c.engines[0].RevertVersion(1)
	require.Equal(t, http.StatusAccepted, c.send(c.entries[0], http.MethodPost, "/jobs/j", "j", key, jobBody("j", 6, 2, nil), nil).status)
	got := c.waitForResults(c.entries[0], "j")
	requireCompleteResults(t, "j", 6, 5, got)
	for _, r := range got {
		require.Equal(t, []int64{2}, r.Versions)
	}
}

// TestUsage asserts that each usage window has one count and that all requests
// that ran are reported, although the platform does not answer one report.
func TestUsage(t *testing.T) {
	t.Parallel()
	c := newCluster(t, 2, 2)
	c.putConfig(1, nil)
	c.waitReady()
	c.cloud.HangNext(1)
	sent := int64(2) // waitReady sends one request to each instance
	for i := range 12 {
		require.Equal(t, http.StatusOK, c.send(c.entries[i%2], http.MethodPost, "/safe/x", "u", key, nil, nil).status)
		sent++
		time.Sleep(100 * time.Millisecond)
	}
	byWindow := map[int64]int64{}
	c.eventually(func() bool {
		clear(byWindow)
		total := int64(0)
		for _, u := range c.cloud.UsageReports() {
			if n, seen := byWindow[u.Window]; seen {
				require.Equal(t, n, u.Counts["a"], "different counts were reported for window %d", u.Window)
				continue
			}
			byWindow[u.Window] = u.Counts["a"]
			total += u.Counts["a"]
		}
		return total >= sent
	})
}

// TestRetire asserts that the duty holder resigns and reports completion when its
// machine is to be drained.
func TestRetire(t *testing.T) {
	t.Parallel()
	c := newCluster(t, 1, 2)
	c.putConfig(1, nil)
	c.waitReady()
	var holder string
	c.eventually(func() bool {
		value, ok := c.store.Value(dutyKey)
		holder = string(value)
		return ok
	})
	for _, p := range c.schedulers {
		name := p.settings.Name
		if len(holder) < len(name) || holder[:len(name)] != name {
			continue
		}
		c.store.Put(platform.RetirePrefix+name, map[string]any{"DurationS": 5})
		c.eventually(func() bool {
			value, _ := c.store.Value(platform.RetireStatusPrefix + name)
			return string(value) == `{"State":"completed"}`
		})
		c.eventually(func() bool {
			value, ok := c.store.Value(dutyKey)
			return ok && string(value) != holder
		})
	}
}

// TestScale asserts that the duty holder orders engines for the waiting items of a
// job, within the limits of the service and with its own fencing token.
func TestScale(t *testing.T) {
	t.Parallel()
	c := newCluster(t, 1, 2)
	c.putConfig(1, nil)
	c.waitReady()
	for _, w := range c.engines {
		w.SetDelay(50 * time.Millisecond)
	}
	require.Equal(t, http.StatusAccepted, c.send(c.entries[0], http.MethodPost, "/jobs/j", "j", key, jobBody("j", 40, 1, nil), nil).status)
	c.eventually(func() bool { return len(c.cloud.ScaleRequests()) > 0 })
	fence := c.cloud.ScaleRequests()[0].Fence
	require.Positive(t, fence)
	for _, order := range c.cloud.ScaleRequests() {
		require.Equal(t, "engines", order.Service)
		require.Equal(t, zone, order.Zone)
		require.Equal(t, 5, order.Desired, "40 items at 4 slots per engine need more than the maximum of 5 engines")
		require.Equal(t, fence, order.Fence)
	}
	requireCompleteResults(t, "j", 40, 5, c.waitForResults(c.entries[0], "j"))
}
