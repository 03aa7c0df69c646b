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

// requireWhole asserts that every item of a job stands once among its
// results, with its whole text.
func requireWhole(t *testing.T, id string, items, events int, got []result) {
	t.Helper()
	require.Len(t, got, items)
	seen := map[string]bool{}
	for _, r := range got {
		require.False(t, seen[r.ID], "%s stands twice", r.ID)
		seen[r.ID] = true
		require.True(t, strings.HasPrefix(r.ID, id+"-i"))
		require.Equal(t, "completed", r.State)
		require.Equal(t, standin.ExpectedText(r.ID, events), r.Output)
		require.Equal(t, "seal-s-"+r.ID, r.Score)
	}
}

// TestJob asserts the whole life of a job.
func TestJob(t *testing.T) {
	t.Parallel()
	c := newCluster(t, 2, 1)
	c.configure(1, nil)
	c.ready()
	body := job("j1", 10, 1, nil)
	first := c.call(c.entries[0], http.MethodPost, "/jobs/j1", "j1", key, body, nil)
	require.Equal(t, http.StatusAccepted, first.status)
	again := c.call(c.entries[1], http.MethodPost, "/jobs/j1", "j1", key, body, nil)
	require.Equal(t, http.StatusAccepted, again.status, "a repeated submission")
	got := c.finish(c.entries[1], "j1")
	requireWhole(t, "j1", 10, 5, got)
	for _, r := range got {
		require.Equal(t, []int64{1}, r.Versions)
	}
	for position := range got {
		r, _ := c.read(c.entries[0], "j1", position)
		require.Equal(t, got[position], r.Results[0], "position %d at the other instance", position)
	}
	item := c.call(c.entries[1], http.MethodGet, platform.Paths().JobItem+"j1?Id="+itemID("j1", 3), "q", key, nil, nil)
	require.Equal(t, "body 3", item.body)
	for _, w := range c.engines {
		for _, s := range w.Requests() {
			require.Equal(t, "a", s.Customer)
		}
	}
	require.Equal(t, http.StatusOK, c.call(c.entries[0], http.MethodDelete, platform.Paths().JobDelete+"j1", "q", key, nil, nil).status)
	require.Equal(t, http.StatusOK, c.call(c.entries[1], http.MethodDelete, platform.Paths().JobDelete+"j1", "q", key, nil, nil).status)
	require.Equal(t, http.StatusNotFound, c.call(c.entries[0], http.MethodGet, platform.Paths().JobResults+"j1", "q", otherKey, nil, nil).status)
	require.Equal(t, http.StatusNotFound, c.call(c.entries[0], http.MethodGet, platform.Paths().JobResults+"none", "q", key, nil, nil).status)
}

// TestJobRefusals asserts that what can never be a job is refused.
func TestJobRefusals(t *testing.T) {
	t.Parallel()
	c := newCluster(t, 1, 0)
	c.configure(1, nil)
	c.ready()
	twice := job("bad", 2, 1, func(_ int, item map[string]any) { item["Id"] = "same" })
	for _, body := range [][]byte{[]byte("{"), []byte("{}"), twice} {
		require.Equal(t, http.StatusBadRequest, c.call(c.entries[0], http.MethodPost, "/jobs/bad", "bad", key, body, nil).status)
	}
	large := make([]byte, 1<<20+1)
	require.Equal(t, http.StatusRequestEntityTooLarge, c.call(c.entries[0], http.MethodPost, "/jobs/bad", "bad", key, large, nil).status)
	require.Equal(t, http.StatusRequestEntityTooLarge, c.call(c.entries[0], http.MethodPost, "/safe/x", "large", key, large, nil).status)
	require.Empty(t, c.store.Keys("job/"))
}

// TestJobFaults asserts that a job's results are whole whatever fails.
func TestJobFaults(t *testing.T) {
	t.Parallel()
	tests := []struct {
		name  string
		fault func(c *cluster)
	}{
		{"a stream cut in the middle of an event", func(c *cluster) {
			c.engines[0].TruncateStreamAfter(2)
			c.engines[1].TruncateStreamAfter(3)
		}},
		{"a silent engine", func(c *cluster) { c.engines[0].HangNext(2) }},
		{"a full engine", func(c *cluster) { c.engines[0].RejectNext(5) }},
		{"answers to other requests", func(c *cluster) { c.engines[1].WrongIDNext(2) }},
		{"an engine that fails once", func(c *cluster) { c.engines[0].FailNext(1) }},
		{"reward calls that fail", func(c *cluster) { c.plain[0].FailNext(1) }},
		{"a reward call without an answer", func(c *cluster) { c.plain[1].HangNext(1) }},
		{"lost answers of the store", func(c *cluster) { c.store.DropResponses(3, 0) }},
		{"writes carried out late", func(c *cluster) { c.store.DropResponses(2, 700*time.Millisecond) }},
		{"an outage of the store", func(c *cluster) {
			c.store.SetDown(true)
			time.AfterFunc(700*time.Millisecond, func() { c.store.SetDown(false) })
		}},
		{"leases that lapse", func(c *cluster) { c.store.ExpireLeases() }},
		{"forgotten history", func(c *cluster) { c.store.Compact() }},
		{"an engine that is gone", func(c *cluster) { c.engines[0].Stop() }},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			t.Parallel()
			c := newCluster(t, 1, 2)
			c.configure(1, nil)
			c.ready()
			for _, w := range c.engines {
				w.SetDelay(20 * time.Millisecond)
			}
			require.Equal(t, http.StatusAccepted, c.call(c.entries[0], http.MethodPost, "/jobs/j", "j", key, job("j", 8, 1, nil), nil).status)
			tt.fault(c)
			requireWhole(t, "j", 8, 5, c.finish(c.entries[0], "j"))
		})
	}
}

// TestSubmitWithLostAnswers asserts that a job whose write is not answered is
// accepted once, and never refused as "not run".
func TestSubmitWithLostAnswers(t *testing.T) {
	t.Parallel()
	c := newCluster(t, 1, 1)
	c.configure(1, nil)
	c.ready()
	time.Sleep(1100 * time.Millisecond) // the counts of the first requests are written by then
	c.store.DropResponses(1, 0)
	a := c.call(c.entries[0], http.MethodPost, "/jobs/j", "j", key, job("j", 2, 1, nil), nil)
	require.Equal(t, http.StatusAccepted, a.status)
	requireWhole(t, "j", 2, 5, c.finish(c.entries[0], "j"))
}

// TestEntryWithoutStore asserts that job calls go on through a peer while the
// store turns this instance away.
func TestEntryWithoutStore(t *testing.T) {
	t.Parallel()
	c := newCluster(t, 2, 1)
	c.configure(1, nil)
	c.ready()
	c.eventually(func() bool { return strings.Contains(c.listed(c.entries[0]), c.entries[1].settings.Front) })
	c.store.SetUnavailable(c.entries[0].door, true)
	a := c.call(c.entries[0], http.MethodPost, "/jobs/j", "j", key, job("j", 2, 1, nil), nil)
	require.Equal(t, http.StatusAccepted, a.status)
	requireWhole(t, "j", 2, 5, c.finish(c.entries[0], "j"))
	require.Equal(t, http.StatusOK, c.call(c.entries[0], http.MethodPost, "/safe/x", "r", key, nil, nil).status)
}

// TestSilentStore asserts that reads go on through a peer, without waiting for
// the store each time, soon after it has stopped answering this instance.
func TestSilentStore(t *testing.T) {
	t.Parallel()
	c := newCluster(t, 2, 1)
	c.configure(1, nil)
	c.ready()
	c.eventually(func() bool { return strings.Contains(c.listed(c.entries[0]), c.entries[1].settings.Front) })
	require.Equal(t, http.StatusAccepted, c.call(c.entries[0], http.MethodPost, "/jobs/j", "j", key, job("j", 2, 1, nil), nil).status)
	requireWhole(t, "j", 2, 5, c.finish(c.entries[0], "j"))
	c.store.SetUnresponsive(c.entries[0].door, true)
	time.Sleep(2 * time.Second) // a renewal of its registration fails in that time
	for range 3 {
		a := c.call(c.entries[0], http.MethodGet, platform.Paths().JobResults+"j", "j", key, nil, nil)
		require.Equal(t, http.StatusOK, a.status)
		require.Less(t, a.took, time.Second)
	}
}

// TestTakeover asserts that another node finishes a job whose holder stops,
// and that the positions that were read stay.
func TestTakeover(t *testing.T) {
	t.Parallel()
	c := newCluster(t, 1, 2)
	c.configure(1, nil)
	c.ready()
	for _, w := range c.engines {
		w.SetEventCount(func(id string) int {
			if strings.HasSuffix(id, "i7") {
				return 60
			}
			return 5
		})
		w.SetDelay(25 * time.Millisecond)
	}
	require.Equal(t, http.StatusAccepted, c.call(c.entries[0], http.MethodPost, "/jobs/j", "j", key, job("j", 8, 1, nil), nil).status)
	var early []result
	c.eventually(func() bool {
		r, _ := c.read(c.entries[0], "j", 0)
		early = r.Results
		return len(early) >= 4
	})
	time.Sleep(400 * time.Millisecond)
	holder, _ := c.store.Value("cluster/duty/scheduler")
	for _, p := range c.nodes {
		if strings.HasPrefix(string(holder), p.settings.Name) {
			p.stop()
		}
	}
	got := c.finish(c.entries[0], "j")
	require.Len(t, got, 8)
	require.Equal(t, early, got[:len(early)])
	resumed := false
	for _, w := range c.engines {
		for _, s := range w.Requests() {
			resumed = resumed || s.ID == itemID("j", 7) && s.LastEventID != ""
		}
	}
	require.True(t, resumed, "the long text was not gone on with")
}
