package node_test

import (
	"context"
	"net/http"
	"strconv"
	"strings"
	"testing"
	"time"

	"cactusspoke/platform"
	"cactusspoke/platform/standin"

	"github.com/stretchr/testify/require"
)

// TestDirectoryAndReady asserts what an instance says of itself and of others.
func TestDirectoryAndReady(t *testing.T) {
	t.Parallel()
	c := newCluster(t, 2, 0)
	first := c.entries[0].settings
	c.eventually(func() bool { return c.status("http://"+first.Ready+platform.Paths().Ready) != 0 })
	require.Equal(t, http.StatusServiceUnavailable, c.status("http://"+first.Ready+platform.Paths().Ready), "ready without a configuration")
	c.eventually(func() bool { return c.call(c.entries[0], http.MethodPost, "/safe/x", "r", key, nil, nil).err == nil })
	before := c.call(c.entries[0], http.MethodPost, "/safe/x", "r0", key, nil, nil)
	require.Equal(t, http.StatusServiceUnavailable, before.status)
	require.NotEmpty(t, before.header.Get("Retry-After"))
	c.configure(3, nil)
	c.ready()
	listed := func() string { return c.listed(c.entries[0]) }
	other := c.entries[1].settings
	c.eventually(func() bool { return strings.Contains(listed(), first.Front) && strings.Contains(listed(), other.Front) })
	c.entries[1].stop()
	c.eventually(func() bool { return !strings.Contains(listed(), other.Front) })
	served := c.call(c.entries[1], http.MethodPost, "/safe/x", "r1", key, nil, nil)
	require.Equal(t, http.StatusOK, served.status, "a stopping instance serves on")
	require.NotEqual(t, http.StatusOK, c.status("http://"+other.Ready+platform.Paths().Ready))
}

// TestRequests asserts how requests reach a server and what their callers get.
func TestRequests(t *testing.T) {
	t.Parallel()
	c := newCluster(t, 1, 0)
	c.configure(1, nil)
	c.ready()
	entry := c.entries[0]
	h := platform.Headers()
	ran := func(id string) []standin.Request {
		var out []standin.Request
		for _, w := range c.plain {
			for _, s := range w.Requests() {
				if s.ID == id {
					out = append(out, s)
				}
			}
		}
		return out
	}
	each := func(f func(w *standin.BackendServer)) {
		for _, w := range c.plain {
			f(w)
		}
	}
	tests := []struct {
		name   string
		path   string
		key    string
		before func()
		status int
		runs   int
	}{
		{"served", "/safe/x?q=1", key, nil, 200, 1},
		{"unknown key", "/safe/x", "nobody's", nil, 401, 0},
		{"no key", "/safe/x", "", nil, 401, 0},
		{"public route without a key", "/score/x", "", nil, 200, 1},
		{"unknown route", "/none/x", key, nil, 404, 0},
		{"safe, a failure is tried elsewhere", "/safe/x", key, func() { each(func(w *standin.BackendServer) { w.FailNext(1) }) }, 500, 2},
		{"safe, an answer to another request is tried elsewhere", "/safe/x", key, func() { c.plain[0].WrongIDNext(1); c.plain[1].WrongIDNext(0) }, 200, -1},
		{"unsafe, a crossed answer is not tried again", "/unsafe/x", key, func() { each(func(w *standin.BackendServer) { w.WrongIDNext(1) }) }, 502, 1},
		{"unsafe, a failure is passed on", "/unsafe/x", key, func() { each(func(w *standin.BackendServer) { w.FailNext(1) }) }, 500, 1},
		{"unsafe, refused without running, is tried elsewhere", "/unsafe/x", key, func() { each(func(w *standin.BackendServer) { w.RejectNext(1) }) }, 200, 1},
		{"unsafe, silence ends at the route's time", "/unsafe/x", key, func() { each(func(w *standin.BackendServer) { w.HangNext(1) }) }, 504, 1},
		{"full everywhere says not run", "/unsafe/x", key, func() { each(func(w *standin.BackendServer) { w.RejectNext(20) }) }, 503, 0},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			each(func(w *standin.BackendServer) { w.FailNext(0); w.WrongIDNext(0); w.RejectNext(0); w.HangNext(0) })
			if tt.before != nil {
				tt.before()
			}
			id := strings.ReplaceAll(tt.name, " ", "-")
			a := c.call(entry, http.MethodPost, tt.path, id, tt.key, []byte("body"), map[string]string{h.Customer: "forged", h.DeadlineMS: "2000"})
			require.NoError(t, a.err)
			require.Equal(t, tt.status, a.status)
			require.Less(t, a.took, 1400*time.Millisecond)
			if tt.runs >= 0 {
				require.Len(t, ran(id), tt.runs)
			}
			if a.status == http.StatusOK {
				require.Equal(t, "answer to "+id, a.body)
				require.Equal(t, "seal-"+id, a.header.Get(h.Signature))
			}
			for _, s := range ran(id) {
				require.Empty(t, s.Authorization, "the key went on")
				require.Equal(t, "body", s.Body)
				left, err := strconv.Atoi(s.DeadlineMS)
				require.NoError(t, err)
				require.LessOrEqual(t, left, 900, "the route's time bounds the caller's 2 s")
				require.Positive(t, left)
				if tt.key == key {
					require.Equal(t, "a", s.Customer)
				} else {
					require.Empty(t, s.Customer)
				}
			}
		})
	}
}

// TestCallerLeaves asserts that a server stops when the caller has gone.
func TestCallerLeaves(t *testing.T) {
	t.Parallel()
	c := newCluster(t, 1, 0)
	c.configure(1, nil)
	c.ready()
	for _, w := range c.plain {
		w.HangNext(1)
	}
	ctx, cancel := context.WithTimeout(context.Background(), 100*time.Millisecond)
	defer cancel()
	a := c.callIn(ctx, c.entries[0], http.MethodPost, "/unsafe/x", "leaver", key, nil, nil)
	require.Error(t, a.err)
	require.Eventually(t, func() bool { return c.plain[0].Cancelled()+c.plain[1].Cancelled() == 1 }, 500*time.Millisecond, 5*time.Millisecond)
}

// TestConfiguration asserts that the newest readable configuration is in force.
func TestConfiguration(t *testing.T) {
	t.Parallel()
	c := newCluster(t, 1, 0)
	c.configure(5, nil)
	c.ready()
	entry := c.entries[0]
	c.store.Put(platform.ConfigKey, []byte("{unreadable"))
	c.configure(4, routes{"safe": {"Prefix": "/older/"}})
	time.Sleep(100 * time.Millisecond)
	require.Equal(t, http.StatusOK, c.call(entry, http.MethodPost, "/safe/x", "r1", key, nil, nil).status)
	c.store.Compact()
	c.configure(9, routes{"safe": {"Prefix": "/moved/"}})
	c.eventually(func() bool {
		return c.call(entry, http.MethodPost, "/moved/x", "r2", key, nil, nil).status == http.StatusOK
	})
	require.Equal(t, http.StatusNotFound, c.call(entry, http.MethodPost, "/safe/x", "r3", key, nil, nil).status)
}

// TestStream asserts that events arrive whole and that a cut is seen as one.
func TestStream(t *testing.T) {
	t.Parallel()
	c := newCluster(t, 1, 0)
	c.configure(1, nil)
	c.ready()
	headers := map[string]string{"X-Model": model}
	whole := c.call(c.entries[0], http.MethodPost, "/stream/x", "s1", key, nil, headers)
	require.NoError(t, whole.err)
	require.Equal(t, 5, strings.Count(whole.body, "data: s1-"))
	for _, w := range c.engines {
		w.TruncateStreamAfter(2)
	}
	cut := c.call(c.entries[0], http.MethodPost, "/stream/x", "s2", key, nil, headers)
	require.Error(t, cut.err, "a stream that broke off must not look complete")
}
