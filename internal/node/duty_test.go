package node_test

import (
	"net/http"
	"testing"
	"time"

	"cactusspoke/platform"

	"github.com/stretchr/testify/require"
)

// TestWeights asserts that engines get the named version in order, and that
// texts are only made by versions that their job allows.
func TestWeights(t *testing.T) {
	t.Parallel()
	c := newCluster(t, 1, 2)
	c.configure(1, nil)
	c.ready()
	for _, version := range []int64{2, 3} {
		c.store.Put(platform.VersionPrefix+model, map[string]any{"Model": model, "Version": version})
		c.eventually(func() bool { return c.engines[0].Version(model) == version && c.engines[1].Version(model) == version })
	}
	for _, w := range c.engines {
		for i, o := range w.WeightUpdates() {
			require.Equal(t, int64(i), o.Expected, "orders name how many came before")
			require.Equal(t, w.WeightUpdates()[0].Fence, o.Fence)
		}
	}
	require.Equal(t, http.StatusAccepted, c.call(c.entries[0], http.MethodPost, "/jobs/j", "j", key, job("j", 4, 3, nil), nil).status)
	for _, r := range c.finish(c.entries[0], "j") {
		require.Equal(t, []int64{3}, r.Versions)
	}
}

// TestUnansweredOrders asserts that an engine which leaves orders unanswered is
// moved all the same within two seconds, and that of the orders that it carries
// out late none counts a second time.
func TestUnansweredOrders(t *testing.T) {
	t.Parallel()
	c := newCluster(t, 1, 1)
	c.configure(1, nil)
	c.ready()
	for _, w := range c.engines {
		w.DelayWeightUpdates(2, 1500*time.Millisecond)
	}
	c.store.Put(platform.VersionPrefix+model, map[string]any{"Model": model, "Version": 2})
	moved := func() bool { return c.engines[0].Version(model) == 2 && c.engines[1].Version(model) == 2 }
	require.Eventually(t, moved, 2*time.Second, 10*time.Millisecond)
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

// TestWeightsGoBack asserts that an engine which falls back to an older
// version in the middle of a text adds nothing to a result.
func TestWeightsGoBack(t *testing.T) {
	t.Parallel()
	c := newCluster(t, 1, 1)
	c.configure(1, nil)
	c.ready()
	c.store.Put(platform.VersionPrefix+model, map[string]any{"Model": model, "Version": 2})
	c.eventually(func() bool { return c.engines[0].Version(model) == 2 && c.engines[1].Version(model) == 2 })
	c.engines[0].RevertVersion(1)
	require.Equal(t, http.StatusAccepted, c.call(c.entries[0], http.MethodPost, "/jobs/j", "j", key, job("j", 6, 2, nil), nil).status)
	got := c.finish(c.entries[0], "j")
	requireWhole(t, "j", 6, 5, got)
	for _, r := range got {
		require.Equal(t, []int64{2}, r.Versions)
	}
}

// TestUsage asserts that each window is reported once, with the requests that
// ran, though the platform leaves a report unanswered.
func TestUsage(t *testing.T) {
	t.Parallel()
	c := newCluster(t, 2, 2)
	c.configure(1, nil)
	c.ready()
	c.cloud.HangNext(1)
	sent := int64(2) // one request an instance, while waiting for it
	for i := range 12 {
		require.Equal(t, http.StatusOK, c.call(c.entries[i%2], http.MethodPost, "/safe/x", "u", key, nil, nil).status)
		sent++
		time.Sleep(100 * time.Millisecond)
	}
	byWindow := map[int64]int64{}
	c.eventually(func() bool {
		clear(byWindow)
		total := int64(0)
		for _, u := range c.cloud.UsageReports() {
			if n, seen := byWindow[u.Window]; seen {
				require.Equal(t, n, u.Counts["a"], "two figures for window %d", u.Window)
				continue
			}
			byWindow[u.Window] = u.Counts["a"]
			total += u.Counts["a"]
		}
		return total >= sent
	})
}

// TestRetire asserts that a machine that is to be emptied gives the duty up
// and says that it is done.
func TestRetire(t *testing.T) {
	t.Parallel()
	c := newCluster(t, 1, 2)
	c.configure(1, nil)
	c.ready()
	var holder string
	c.eventually(func() bool {
		value, ok := c.store.Value("cluster/duty/scheduler")
		holder = string(value)
		return ok
	})
	for _, p := range c.nodes {
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
			value, ok := c.store.Value("cluster/duty/scheduler")
			return ok && string(value) != holder
		})
	}
}

// TestScale asserts that engines are ordered for the texts of a step, within
// the bounds of the service and under the holder's token.
func TestScale(t *testing.T) {
	t.Parallel()
	c := newCluster(t, 1, 2)
	c.configure(1, nil)
	c.ready()
	for _, w := range c.engines {
		w.SetDelay(50 * time.Millisecond)
	}
	require.Equal(t, http.StatusAccepted, c.call(c.entries[0], http.MethodPost, "/jobs/j", "j", key, job("j", 40, 1, nil), nil).status)
	c.eventually(func() bool { return len(c.cloud.ScaleRequests()) > 0 })
	fence := c.cloud.ScaleRequests()[0].Fence
	require.Positive(t, fence)
	for _, order := range c.cloud.ScaleRequests() {
		require.Equal(t, "engines", order.Service)
		require.Equal(t, zone, order.Zone)
		require.Equal(t, 5, order.Desired, "40 texts at 4 slots an engine, 5 engines at most")
		require.Equal(t, fence, order.Fence)
	}
	requireWhole(t, "j", 40, 5, c.finish(c.entries[0], "j"))
}
