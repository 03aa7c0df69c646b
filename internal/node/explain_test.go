package node_test

import (
	"net/http"
	"strings"
	"testing"

	"cactusspoke/internal/explain"

	"github.com/stretchr/testify/require"
)

// story reads the logs of all processes and returns what they say of an id.
func (c *cluster) story(id string) explain.Story {
	var log explain.Log
	for _, p := range append(append([]*process{}, c.entries...), c.nodes...) {
		require.NoError(c.t, log.Read(p.settings.Name, strings.NewReader(p.out.text())))
	}
	return log.Of(id)
}

func texts(lines []explain.Line) string {
	var out []string
	for _, l := range lines {
		out = append(out, l.Text())
	}
	return strings.Join(out, "\n")
}

// TestExplain follows the steps of docs/OPERATIONS.md: from the id of a failed
// request to its cause, by the logs alone.
func TestExplain(t *testing.T) {
	t.Parallel()
	c := newCluster(t, 2, 1)
	c.configure(1, nil)
	c.ready()

	t.Run("a refused booking", func(t *testing.T) {
		for _, w := range c.plain {
			w.RejectNext(20)
		}
		require.Equal(t, http.StatusServiceUnavailable, c.call(c.entries[0], http.MethodPost, "/unsafe/x", "booking-1", key, nil, nil).status)
		c.eventually(func() bool { return strings.Contains(texts(c.story("booking-1").Own), "request: refused") })
		own := texts(c.story("booking-1").Own)
		require.Contains(t, own, `"verdict":"not-run","reason":"refused by a server with status 503"`)
		require.Contains(t, own, `"server":"plain-0"`)
		require.Contains(t, own, `"server":"plain-1"`)
		for _, w := range c.plain {
			w.RejectNext(0)
		}
	})

	t.Run("a late item", func(t *testing.T) {
		for _, w := range c.engines {
			w.HangNext(1)
		}
		require.Equal(t, http.StatusAccepted, c.call(c.entries[0], http.MethodPost, "/jobs/late", "late", key, job("late", 2, 1, nil), nil).status)
		c.finish(c.entries[0], "late")
		id := itemID("late", 0)
		c.eventually(func() bool { return strings.Contains(texts(c.story(id).Job), "job: all results committed") })
		s := c.story(id)
		require.Contains(t, texts(s.Own), `"msg":"item: run ended"`)
		require.Contains(t, texts(s.Own), `"outcome":"broken"`)
		require.Equal(t, 2, strings.Count(texts(s.Own), `"msg":"item: placed"`))
		require.Contains(t, texts(s.Around), `"msg":"pool: server failed"`)
	})

	t.Run("an answer cut off", func(t *testing.T) {
		for _, w := range c.engines {
			w.TruncateStreamAfter(2)
		}
		a := c.call(c.entries[1], http.MethodPost, "/stream/x", "stream-1", key, nil, map[string]string{"X-Model": model})
		require.Error(t, a.err)
		c.eventually(func() bool { return len(c.story("stream-1").Own) > 0 })
		own := texts(c.story("stream-1").Own)
		require.Contains(t, own, `"msg":"request: stream broke off"`)
		require.Contains(t, own, `"server":"engine-`)
	})
}
