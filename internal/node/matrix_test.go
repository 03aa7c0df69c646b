package node_test

import (
	"fmt"
	"net/http"
	"os"
	"strings"
	"sync"
	"testing"
	"time"

	"cactusspoke/platform"

	"github.com/stretchr/testify/require"
)

// longItem is the index of the matrix item with the longest completion.
const longItem = 7

// stages are the stages of a job at which a fault is injected. wait returns when
// the job has reached the stage.
var stages = []struct {
	name string
	wait func(c *cluster)
}{
	{"accepted", func(*cluster) {}},
	{"first run started", func(c *cluster) { c.eventually(func() bool { return c.startedRuns() > 0 }) }},
	{"long run in progress", func(c *cluster) {
		c.eventually(func() bool { return c.startedRuns() >= 8 })
		time.Sleep(200 * time.Millisecond)
	}},
	{"results read", func(c *cluster) {
		c.eventually(func() bool {
			r, _ := c.readResults(c.entries[0], "j", 0)
			return len(r.Results) > 0
		})
	}},
	{"weights loading", func(c *cluster) {
		c.store.Put(platform.VersionPrefix+model, map[string]any{"Model": model, "Version": 2})
		c.eventually(func() bool { return len(c.engines[0].WeightUpdates())+len(c.engines[1].WeightUpdates()) > 0 })
	}},
}

// faults are injected at each stage.
var faults = []struct {
	name   string
	inject func(c *cluster)
}{
	{"stream cut", func(c *cluster) { c.engines[0].TruncateStreamAfter(2); c.engines[1].TruncateStreamAfter(3) }},
	{"engine unresponsive", func(c *cluster) { c.engines[0].HangNext(2) }},
	{"engine stopped", func(c *cluster) { c.engines[0].Stop() }},
	{"engine error", func(c *cluster) { c.engines[0].FailNext(1) }},
	{"mismatched responses", func(c *cluster) { c.engines[1].WrongIDNext(2) }},
	{"weight orders unanswered", func(c *cluster) {
		c.engines[0].DelayWeightUpdates(1, time.Second)
		c.engines[1].DelayWeightUpdates(1, time.Second)
	}},
	{"reward calls fail", func(c *cluster) { c.plainServers[0].FailNext(1); c.plainServers[1].HangNext(1) }},
	{"store responses lost", func(c *cluster) { c.store.DropResponses(3, 0) }},
	{"store writes delayed", func(c *cluster) { c.store.DropResponses(2, 700*time.Millisecond) }},
	{"store down", func(c *cluster) {
		c.store.SetDown(true)
		time.AfterFunc(700*time.Millisecond, func() { c.store.SetDown(false) })
	}},
	{"store history compacted", func(c *cluster) { c.store.Compact() }},
	{"leases expire", func(c *cluster) { c.store.ExpireLeases() }},
	{"duty holder stopped", func(c *cluster) { c.dutyHolder().stop() }},
	{"duty holder refused by the store", func(c *cluster) { c.store.SetUnavailable(c.dutyHolder().storeListener, true) }},
	{"duty holder without store responses", func(c *cluster) { c.store.SetUnresponsive(c.dutyHolder().storeListener, true) }},
	{"entry instance refused by the store", func(c *cluster) { c.store.SetUnavailable(c.entries[0].storeListener, true) }},
}

// startedRuns returns how many runs of items the engines have started.
func (c *cluster) startedRuns() int {
	return len(c.engines[0].Requests()) + len(c.engines[1].Requests())
}

// dutyHolder waits until a node holds the duty and returns it.
func (c *cluster) dutyHolder() *process {
	c.t.Helper()
	var found *process
	c.eventually(func() bool {
		value, _ := c.store.Value(dutyKey)
		for _, p := range c.schedulers {
			if strings.HasPrefix(string(value), p.settings.Name) {
				found = p
			}
		}
		return found != nil
	})
	return found
}

// TestJobMatrix injects each fault at each stage of a job. It asserts that each
// item has exactly one result, with its complete output and a score, that both
// entry instances return the results at the same positions, and that results
// already read do not change. It writes the outcome as a table to MATRIX_FILE, if
// that is set.
func TestJobMatrix(t *testing.T) {
	t.Parallel()
	var mu sync.Mutex
	passed := map[string]bool{}
	t.Run("cases", func(t *testing.T) {
		for _, fault := range faults {
			for _, stage := range stages {
				name := fault.name + "/" + stage.name
				t.Run(name, func(t *testing.T) {
					t.Parallel()
					runFaultCase(t, stage.wait, fault.inject)
					mu.Lock()
					defer mu.Unlock()
					passed[name] = true
				})
			}
		}
	})
	if file := os.Getenv("MATRIX_FILE"); file != "" {
		require.NoError(t, os.WriteFile(file, []byte(matrixMarkdown(passed)), 0o600))
	}
}

func runFaultCase(t *testing.T, wait, inject func(c *cluster)) {
	c := newCluster(t, 2, 2)
	c.putConfig(1, nil)
	c.waitReady()
	c.eventually(func() bool {
		return strings.Contains(c.lookupAddresses(c.entries[0]), c.entries[1].settings.FrontAddress)
	})
	events := func(id string) int {
		if strings.HasSuffix(id, fmt.Sprintf("i%d", longItem)) {
			return 40
		}
		return 5
	}
	for _, w := range c.engines {
		w.SetEventCount(events)
		w.SetDelay(20 * time.Millisecond)
	}
	require.Equal(t, http.StatusAccepted, c.send(c.entries[0], http.MethodPost, "/jobs/j", "j", key, jobBody("j", 8, 1, nil), nil).status)
	wait(c)
	early, _ := c.readResults(c.entries[1], "j", 0)
	inject(c)
	got := c.waitForResults(c.entries[0], "j")
	require.Equal(t, early.Results, got[:len(early.Results)], "results already read must not change")
	var long []result
	var rest []result
	for _, r := range got {
		if r.ID == itemID("j", longItem) {
			long = append(long, r)
		} else {
			rest = append(rest, r)
		}
	}
	requireCompleteResults(t, "j", 7, 5, rest)
	requireCompleteResults(t, "j", 1, 40, long)
	require.Equal(t, got, c.waitForResults(c.entries[1], "j"), "both instances must return the same results")
	for _, w := range c.engines {
		fence := int64(0)
		for _, o := range w.WeightUpdates() {
			if o.Status == http.StatusAccepted {
				require.GreaterOrEqual(t, o.Fence, fence, "an order of an earlier holder was accepted")
				fence = o.Fence
			}
		}
	}
}

// matrixMarkdown returns the outcomes as a Markdown page.
func matrixMarkdown(passed map[string]bool) string {
	var b strings.Builder
	b.WriteString("# Faults at each stage of a job\n\nPrinted by `make matrix` (TestJobMatrix, internal/node).\n\n| fault |")
	for _, m := range stages {
		b.WriteString(" " + m.name + " |")
	}
	b.WriteString("\n|---|" + strings.Repeat("---|", len(stages)) + "\n")
	for _, f := range faults {
		b.WriteString("| " + f.name + " |")
		for _, m := range stages {
			mark := "failed"
			if passed[f.name+"/"+m.name] {
				mark = "passed"
			}
			b.WriteString(" " + mark + " |")
		}
		b.WriteString("\n")
	}
	return b.String()
}
