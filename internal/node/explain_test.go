package node_test

import (
	"net/http"
	"strings"
	"testing"

	"cactusspoke/internal/explain"

	"github.com/stretchr/testify/require"
)

// explain searches the logs of all processes for an id.
func (c *cluster) explain(id string) explain.Result {
	var logs explain.Log
	for _, p := range append(append([]*process{}, c.entries...), c.schedulers...) {
		require.NoError(c.t, logs.Read(p.settings.Name, strings.NewReader(p.out.text())))
	}
	return logs.Find(id)
}

// joinLines returns the JSON text of log lines.
func joinLines(lines []explain.Line) string {
	var out []string
	for _, l := range lines {
		out = append(out, l.Text())
	}
	return strings.Join(out, "\n")
}

// TestExplain follows the steps of docs/OPERATIONS.md, which lead from the id of a
// failed request to its cause by means of the logs alone.
func TestExplain(t *testing.T) {
	t.Parallel()
	c := newCluster(t, 2, 1)
	c.putConfig(1, nil)
	c.waitReady()

	t.Run("a refused request", func(t *testing.T) {
		for _, w := range c.plainServers {
			w.RejectNext(20)
		}
		require.Equal(t, http.StatusServiceUnavailable, c.send(c.entries[0], http.MethodPost, "/unsafe/x", "refused-1", key, nil, nil).status)
		c.eventually(func() bool { return strings.Contains(joinLines(c.explain("refused-1").Matches), "request: refused") })
		own := joinLines(c.explain("refused-1").Matches)
		require.Contains(t, own, `"verdict":"not-run","reason":"refused by a server with status 503"`)
		require.Contains(t, own, `"server":"plain-0"`)
		require.Contains(t, own, `"server":"plain-1"`)
		for _, w := range c.plainServers {
			w.RejectNext(0)
		}
	})

	t.Run("a late item", func(t *testing.T) {
		for _, w := range c.engines {
			w.HangNext(1)
		}
		require.Equal(t, http.StatusAccepted, c.send(c.entries[0], http.MethodPost, "/jobs/late", "late", key, jobBody("late", 2, 1, nil), nil).status)
		c.waitForResults(c.entries[0], "late")
		id := itemID("late", 0)
		c.eventually(func() bool { return strings.Contains(joinLines(c.explain(id).JobLines), "job: all results committed") })
		s := c.explain(id)
		require.Contains(t, joinLines(s.Matches), `"msg":"item: run ended"`)
		require.Contains(t, joinLines(s.Matches), `"outcome":"broken"`)
		require.Equal(t, 2, strings.Count(joinLines(s.Matches), `"msg":"item: placed"`))
		require.Contains(t, joinLines(s.Related), `"msg":"pool: server failed"`)
	})

	t.Run("an interrupted stream", func(t *testing.T) {
		for _, w := range c.engines {
			w.TruncateStreamAfter(2)
		}
		a := c.send(c.entries[1], http.MethodPost, "/stream/x", "stream-1", key, nil, map[string]string{"X-Model": model})
		require.Error(t, a.err)
		c.eventually(func() bool { return len(c.explain("stream-1").Matches) > 0 })
		own := joinLines(c.explain("stream-1").Matches)
		require.Contains(t, own, `"msg":"request: stream broke off"`)
		require.Contains(t, own, `"server":"engine-`)
	})
}
