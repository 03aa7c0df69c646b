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

// longText is the item of a matrix job whose text takes longest.
const longText = 7

// moments are the steps of a job at which a fault may come. Each waits until
// the job is there.
var moments = []struct {
	name string
	wait func(c *cluster)
}{
	{"accepted", func(*cluster) {}},
	{"first text begun", func(c *cluster) { c.eventually(func() bool { return c.runs() > 0 }) }},
	{"long text under way", func(c *cluster) {
		c.eventually(func() bool { return c.runs() >= 8 })
		time.Sleep(200 * time.Millisecond)
	}},
	{"results read", func(c *cluster) {
		c.eventually(func() bool {
			r, _ := c.read(c.entries[0], "j", 0)
			return len(r.Results) > 0
		})
	}},
	{"weights loading", func(c *cluster) {
		c.store.Put(platform.VersionPrefix+model, map[string]any{"Model": model, "Version": 2})
		c.eventually(func() bool { return len(c.engines[0].WeightUpdates())+len(c.engines[1].WeightUpdates()) > 0 })
	}},
}

// faults are what may happen at each of them.
var faults = []struct {
	name string
	come func(c *cluster)
}{
	{"stream cut", func(c *cluster) { c.engines[0].TruncateStreamAfter(2); c.engines[1].TruncateStreamAfter(3) }},
	{"engine silent", func(c *cluster) { c.engines[0].HangNext(2) }},
	{"engine gone", func(c *cluster) { c.engines[0].Stop() }},
	{"engine fails", func(c *cluster) { c.engines[0].FailNext(1) }},
	{"crossed answers", func(c *cluster) { c.engines[1].WrongIDNext(2) }},
	{"orders unanswered", func(c *cluster) {
		c.engines[0].DelayWeightUpdates(1, time.Second)
		c.engines[1].DelayWeightUpdates(1, time.Second)
	}},
	{"reward calls fail", func(c *cluster) { c.plain[0].FailNext(1); c.plain[1].HangNext(1) }},
	{"store answers lost", func(c *cluster) { c.store.DropResponses(3, 0) }},
	{"store writes late", func(c *cluster) { c.store.DropResponses(2, 700*time.Millisecond) }},
	{"store down", func(c *cluster) {
		c.store.SetDown(true)
		time.AfterFunc(700*time.Millisecond, func() { c.store.SetDown(false) })
	}},
	{"history forgotten", func(c *cluster) { c.store.Compact() }},
	{"leases lapse", func(c *cluster) { c.store.ExpireLeases() }},
	{"holder stopped", func(c *cluster) { c.holder().stop() }},
	{"holder turned away", func(c *cluster) { c.store.SetUnavailable(c.holder().door, true) }},
	{"holder hears nothing", func(c *cluster) { c.store.SetUnresponsive(c.holder().door, true) }},
	{"entry turned away", func(c *cluster) { c.store.SetUnavailable(c.entries[0].door, true) }},
}

// runs returns how many runs of items engines have begun.
func (c *cluster) runs() int { return len(c.engines[0].Requests()) + len(c.engines[1].Requests()) }

// holder returns the node that holds the duty.
func (c *cluster) holder() *process {
	c.t.Helper()
	var found *process
	c.eventually(func() bool {
		value, _ := c.store.Value("cluster/duty/scheduler")
		for _, p := range c.nodes {
			if strings.HasPrefix(string(value), p.settings.Name) {
				found = p
			}
		}
		return found != nil
	})
	return found
}

// TestJobMatrix brings each fault at each step of a job. Whatever comes, every
// result stands once, with its whole text and a reward, at the same position
// at both entry instances, and results that were read stay. With MATRIX_FILE
// it prints the table.
func TestJobMatrix(t *testing.T) {
	t.Parallel()
	var mu sync.Mutex
	held := map[string]bool{}
	t.Run("cases", func(t *testing.T) {
		for _, fault := range faults {
			for _, moment := range moments {
				name := fault.name + "/" + moment.name
				t.Run(name, func(t *testing.T) {
					t.Parallel()
					playCase(t, moment.wait, fault.come)
					mu.Lock()
					defer mu.Unlock()
					held[name] = true
				})
			}
		}
	})
	if file := os.Getenv("MATRIX_FILE"); file != "" {
		require.NoError(t, os.WriteFile(file, []byte(matrixPage(held)), 0o600))
	}
}

func playCase(t *testing.T, wait, come func(c *cluster)) {
	c := newCluster(t, 2, 2)
	c.configure(1, nil)
	c.ready()
	c.eventually(func() bool { return strings.Contains(c.listed(c.entries[0]), c.entries[1].settings.Front) })
	events := func(id string) int {
		if strings.HasSuffix(id, fmt.Sprintf("i%d", longText)) {
			return 40
		}
		return 5
	}
	for _, w := range c.engines {
		w.SetEventCount(events)
		w.SetDelay(20 * time.Millisecond)
	}
	require.Equal(t, http.StatusAccepted, c.call(c.entries[0], http.MethodPost, "/jobs/j", "j", key, job("j", 8, 1, nil), nil).status)
	wait(c)
	early, _ := c.read(c.entries[1], "j", 0)
	come(c)
	got := c.finish(c.entries[0], "j")
	require.Equal(t, early.Results, got[:len(early.Results)], "results that were read stay")
	var long []result
	var rest []result
	for _, r := range got {
		if r.ID == itemID("j", longText) {
			long = append(long, r)
		} else {
			rest = append(rest, r)
		}
	}
	requireWhole(t, "j", 7, 5, rest)
	requireWhole(t, "j", 1, 40, long)
	require.Equal(t, got, c.finish(c.entries[1], "j"), "the other instance tells the same")
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

// matrixPage is the table of what held, as a page.
func matrixPage(held map[string]bool) string {
	var b strings.Builder
	b.WriteString("# Faults at each step of a job\n\nPrinted by `make matrix` (TestJobMatrix, internal/node).\n\n| fault |")
	for _, m := range moments {
		b.WriteString(" " + m.name + " |")
	}
	b.WriteString("\n|---|" + strings.Repeat("---|", len(moments)) + "\n")
	for _, f := range faults {
		b.WriteString("| " + f.name + " |")
		for _, m := range moments {
			mark := "failed"
			if held[f.name+"/"+m.name] {
				mark = "held"
			}
			b.WriteString(" " + mark + " |")
		}
		b.WriteString("\n")
	}
	return b.String()
}
