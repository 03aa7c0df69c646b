package node_test

import (
	"net/http"
	"strings"
	"testing"
	"time"

	"cactusspoke/platform"
	"cactusspoke/platform/standin"

	"github.com/stretchr/testify/require"
)

// requireCompleteResults asserts that each item of a job has exactly one result,
// with its complete output and its score.
func requireCompleteResults(t *testing.T, id string, items, events int, got []result) {
	t.Helper()
	require.Len(t, got, items)
	seen := map[string]bool{}
	for _, r := range got {
		require.False(t, seen[r.ID], "%s has two results", r.ID)
		seen[r.ID] = true
		require.True(t, strings.HasPrefix(r.ID, id+"-i"))
		require.Equal(t, "completed", r.State)
		require.Equal(t, standin.ExpectedText(r.ID, events), r.Output)
		require.Equal(t, "seal-s-"+r.ID, r.Score)
	}
}

// TestJob covers a job from its submission to its end, through two entry
// instances.
func TestJob(t *testing.T) {
	t.Parallel()
	c := newCluster(t, 2, 1)
	c.putConfig(1, nil)
	c.waitReady()
	body := jobBody("j1", 10, 1, nil)
	first := c.send(c.entries[0], http.MethodPost, "/jobs/j1", "j1", key, body, nil)
	require.Equal(t, http.StatusAccepted, first.status)
	again := c.send(c.entries[1], http.MethodPost, "/jobs/j1", "j1", key, body, nil)
	require.Equal(t, http.StatusAccepted, again.status, "a repeated submission")
	got := c.waitForResults(c.entries[1], "j1")
	requireCompleteResults(t, "j1", 10, 5, got)
	for _, r := range got {
		require.Equal(t, []int64{1}, r.Versions)
	}
	for position := range got {
		r, _ := c.readResults(c.entries[0], "j1", position)
		require.Equal(t, got[position], r.Results[0], "position %d differs between the instances", position)
	}
	item := c.send(c.entries[1], http.MethodGet, platform.Paths().JobItem+"j1?Id="+itemID("j1", 3), "q", key, nil, nil)
	require.Equal(t, "body 3", item.body)
	for _, w := range c.engines {
		for _, s := range w.Requests() {
			require.Equal(t, "a", s.Customer)
		}
	}
	require.Equal(t, http.StatusOK, c.send(c.entries[0], http.MethodDelete, platform.Paths().JobDelete+"j1", "q", key, nil, nil).status)
	require.Equal(t, http.StatusOK, c.send(c.entries[1], http.MethodDelete, platform.Paths().JobDelete+"j1", "q", key, nil, nil).status)
	require.Equal(t, http.StatusNotFound, c.send(c.entries[0], http.MethodGet, platform.Paths().JobResults+"j1", "q", otherKey, nil, nil).status)
	require.Equal(t, http.StatusNotFound, c.send(c.entries[0], http.MethodGet, platform.Paths().JobResults+"none", "q", key, nil, nil).status)
}

// TestJobRefusals asserts that invalid and oversized jobs are refused and leave
// nothing in the store.
func TestJobRefusals(t *testing.T) {
	t.Parallel()
	c := newCluster(t, 1, 0)
	c.putConfig(1, nil)
	c.waitReady()
	twice := jobBody("bad", 2, 1, func(_ int, item map[string]any) { item["Id"] = "same" })
	for _, body := range [][]byte{[]byte("{"), []byte("{}"), twice} {
		require.Equal(t, http.StatusBadRequest, c.send(c.entries[0], http.MethodPost, "/jobs/bad", "bad", key, body, nil).status)
	}
	large := make([]byte, 1<<20+1)
	require.Equal(t, http.StatusRequestEntityTooLarge, c.send(c.entries[0], http.MethodPost, "/jobs/bad", "bad", key, large, nil).status)
	require.Equal(t, http.StatusRequestEntityTooLarge, c.send(c.entries[0], http.MethodPost, "/safe/x", "large", key, large, nil).status)
	require.Empty(t, c.store.Keys("job/"))
}

// TestJobFaults asserts that a job's results are complete after any single fault.
func TestJobFaults(t *testing.T) {
	t.Parallel()
	tests := []struct {
		name   string
		inject func(c *cluster)
	}{
		{"a stream interrupted in the middle of an event", func(c *cluster) {
			c.engines[0].TruncateStreamAfter(2)
			c.engines[1].TruncateStreamAfter(3)
		}},
		{"an engine that does not respond", func(c *cluster) { c.engines[0].HangNext(2) }},
		{"a full engine", func(c *cluster) { c.engines[0].RejectNext(5) }},
		{"responses to other requests", func(c *cluster) { c.engines[1].WrongIDNext(2) }},
		{"an engine that fails once", func(c *cluster) { c.engines[0].FailNext(1) }},
		{"reward calls that fail", func(c *cluster) { c.plainServers[0].FailNext(1) }},
		{"a reward call without a response", func(c *cluster) { c.plainServers[1].HangNext(1) }},
		{"lost responses of the store", func(c *cluster) { c.store.DropResponses(3, 0) }},
		{"delayed writes", func(c *cluster) { c.store.DropResponses(2, 700*time.Millisecond) }},
		{"an outage of the store", func(c *cluster) {
			c.store.SetDown(true)
			time.AfterFunc(700*time.Millisecond, func() { c.store.SetDown(false) })
		}},
		{"leases that expire", func(c *cluster) { c.store.ExpireLeases() }},
		{"compacted store history", func(c *cluster) { c.store.Compact() }},
		{"an engine that stops", func(c *cluster) { c.engines[0].Stop() }},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			t.Parallel()
			c := newCluster(t, 1, 2)
			c.putConfig(1, nil)
			c.waitReady()
			for _, w := range c.engines {
				w.SetDelay(20 * time.Millisecond)
			}
			require.Equal(t, http.StatusAccepted, c.send(c.entries[0], http.MethodPost, "/jobs/j", "j", key, jobBody("j", 8, 1, nil), nil).status)
			tt.inject(c)
			requireCompleteResults(t, "j", 8, 5, c.waitForResults(c.entries[0], "j"))
		})
	}
}

// TestSubmitWithLostResponse asserts that a job is accepted once, and not refused
// as "not run", if the store carries out its write but the response is lost.
func TestSubmitWithLostResponse(t *testing.T) {
	t.Parallel()
	c := newCluster(t, 1, 1)
	c.putConfig(1, nil)
	c.waitReady()
	time.Sleep(1100 * time.Millisecond) // the usage counts of the first requests are written by then
	c.store.DropResponses(1, 0)
	a := c.send(c.entries[0], http.MethodPost, "/jobs/j", "j", key, jobBody("j", 2, 1, nil), nil)
	require.Equal(t, http.StatusAccepted, a.status)
	requireCompleteResults(t, "j", 2, 5, c.waitForResults(c.entries[0], "j"))
}

// TestEntryWithoutStore asserts that an entry instance serves job calls through a
// peer while the store refuses its calls.
func TestEntryWithoutStore(t *testing.T) {
	t.Parallel()
	c := newCluster(t, 2, 1)
	c.putConfig(1, nil)
	c.waitReady()
	c.eventually(func() bool {
		return strings.Contains(c.lookupAddresses(c.entries[0]), c.entries[1].settings.FrontAddress)
	})
	c.store.SetUnavailable(c.entries[0].storeListener, true)
	a := c.send(c.entries[0], http.MethodPost, "/jobs/j", "j", key, jobBody("j", 2, 1, nil), nil)
	require.Equal(t, http.StatusAccepted, a.status)
	requireCompleteResults(t, "j", 2, 5, c.waitForResults(c.entries[0], "j"))
	require.Equal(t, http.StatusOK, c.send(c.entries[0], http.MethodPost, "/safe/x", "r", key, nil, nil).status)
}

// TestUnresponsiveStore asserts that an entry instance reads results through a
// peer soon after the store has stopped answering it, without waiting for a store
// timeout on each read.
func TestUnresponsiveStore(t *testing.T) {
	t.Parallel()
	c := newCluster(t, 2, 1)
	c.putConfig(1, nil)
	c.waitReady()
	c.eventually(func() bool {
		return strings.Contains(c.lookupAddresses(c.entries[0]), c.entries[1].settings.FrontAddress)
	})
	require.Equal(t, http.StatusAccepted, c.send(c.entries[0], http.MethodPost, "/jobs/j", "j", key, jobBody("j", 2, 1, nil), nil).status)
	requireCompleteResults(t, "j", 2, 5, c.waitForResults(c.entries[0], "j"))
	c.store.SetUnresponsive(c.entries[0].storeListener, true)
	time.Sleep(2 * time.Second) // the renewal of its registration fails in that time
	for range 3 {
		a := c.send(c.entries[0], http.MethodGet, platform.Paths().JobResults+"j", "j", key, nil, nil)
		require.Equal(t, http.StatusOK, a.status)
		require.Less(t, a.took, time.Second)
	}
}

// TestSlowSoundEngines asserts that items on engines which send an event each 0.9 s are
// not cut again and again: after one cut, the next run waits longer.
func TestSlowSoundEngines(t *testing.T) {
	t.Parallel()
	c := newCluster(t, 1, 1)
	c.putConfig(1, nil)
	c.waitReady()
	for _, w := range c.engines {
		w.SetDelay(900 * time.Millisecond)
	}
	require.Equal(t, http.StatusAccepted, c.send(c.entries[0], http.MethodPost, "/jobs/j", "j", key, jobBody("j", 2, 1, nil), nil).status)
	requireCompleteResults(t, "j", 2, 5, c.waitForResults(c.entries[0], "j"))
	for i := range 2 {
		require.LessOrEqual(t, c.runsOf(itemID("j", i)), 2)
	}
}

// TestDrippingEngine asserts that a stream which goes on in the middle of an event
// without ever ending it is given up, and its item finished elsewhere.
func TestDrippingEngine(t *testing.T) {
	t.Parallel()
	c := newCluster(t, 1, 1)
	c.putConfig(1, nil)
	c.waitReady()
	c.engines[0].DripAfter(2)
	c.engines[1].DripAfter(2)
	require.Equal(t, http.StatusAccepted, c.send(c.entries[0], http.MethodPost, "/jobs/j", "j", key, jobBody("j", 4, 1, nil), nil).status)
	requireCompleteResults(t, "j", 4, 5, c.waitForResults(c.entries[0], "j"))
}

// runsOf returns how many runs of an item the engines have started.
func (c *cluster) runsOf(id string) int {
	n := 0
	for _, w := range c.engines {
		for _, r := range w.Requests() {
			if r.ID == id {
				n++
			}
		}
	}
	return n
}

// TestTakeover asserts that another node finishes a job after the duty holder has
// stopped, that results already read keep their positions, and that the long
// completion is resumed.
func TestTakeover(t *testing.T) {
	t.Parallel()
	c := newCluster(t, 1, 2)
	c.putConfig(1, nil)
	c.waitReady()
	for _, w := range c.engines {
		w.SetEventCount(func(id string) int {
			if strings.HasSuffix(id, "i7") {
				return 60
			}
			return 5
		})
		w.SetDelay(25 * time.Millisecond)
	}
	require.Equal(t, http.StatusAccepted, c.send(c.entries[0], http.MethodPost, "/jobs/j", "j", key, jobBody("j", 8, 1, nil), nil).status)
	var early []result
	c.eventually(func() bool {
		r, _ := c.readResults(c.entries[0], "j", 0)
		early = r.Results
		return len(early) >= 4
	})
	time.Sleep(400 * time.Millisecond)
	holder, _ := c.store.Value(dutyKey)
	for _, p := range c.schedulers {
		if strings.HasPrefix(string(holder), p.settings.Name) {
			p.stop()
		}
	}
	got := c.waitForResults(c.entries[0], "j")
	require.Len(t, got, 8)
	require.Equal(t, early, got[:len(early)])
	resumed := false
	for _, w := range c.engines {
		for _, s := range w.Requests() {
			resumed = resumed || s.ID == itemID("j", 7) && s.LastEventID != ""
		}
	}
	require.True(t, resumed, "the long completion was not resumed")
}

// TestItemUnderCrashesIsPlacedAgain guards against items that are never placed again after
// several engines crashed while they ran them.
func TestItemUnderCrashesIsPlacedAgain(t *testing.T) {
	t.Parallel()
	const crashes = 6
	c := newCluster(t, 1, 2)
	c.putConfig(1, nil)
	c.waitReady()
	breakOff := func() {
		for _, w := range c.engines {
			w.TruncateStreamAfter(1)
		}
	}
	breakOff()
	require.Equal(t, http.StatusAccepted, c.send(c.entries[0], http.MethodPost, "/jobs/j", "j", key, jobBody("j", 1, 1, nil), nil).status)
	c.eventually(func() bool {
		if c.runsOf(itemID("j", 0)) >= crashes {
			return true
		}
		breakOff()
		return false
	})
	for _, w := range c.engines {
		w.TruncateStreamAfter(0)
	}
	c.dutyHolder().stop() // the next holder owes the item, too
	requireCompleteResults(t, "j", 1, 5, c.waitForResults(c.entries[0], "j"))
}
