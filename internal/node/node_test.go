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

// TestDirectoryAndReady asserts that an instance is not ready without a
// configuration, that the instances list each other's addresses, and that a
// stopping instance leaves the list but still serves requests.
func TestDirectoryAndReady(t *testing.T) {
	t.Parallel()
	c := newCluster(t, 2, 0)
	first := c.entries[0].settings
	c.eventually(func() bool { return c.getStatus("http://"+first.ReadyAddress+platform.Paths().Ready) != 0 })
	require.Equal(t, http.StatusServiceUnavailable, c.getStatus("http://"+first.ReadyAddress+platform.Paths().Ready), "an instance without a configuration must not be ready")
	c.eventually(func() bool { return c.send(c.entries[0], http.MethodPost, "/safe/x", "r", key, nil, nil).err == nil })
	before := c.send(c.entries[0], http.MethodPost, "/safe/x", "r0", key, nil, nil)
	require.Equal(t, http.StatusServiceUnavailable, before.status)
	require.NotEmpty(t, before.header.Get("Retry-After"))
	c.putConfig(3, nil)
	c.waitReady()
	listed := func() string { return c.lookupAddresses(c.entries[0]) }
	other := c.entries[1].settings
	c.eventually(func() bool {
		return strings.Contains(listed(), first.FrontAddress) && strings.Contains(listed(), other.FrontAddress)
	})
	c.entries[1].stop()
	c.eventually(func() bool { return !strings.Contains(listed(), other.FrontAddress) })
	served := c.send(c.entries[1], http.MethodPost, "/safe/x", "r1", key, nil, nil)
	require.Equal(t, http.StatusOK, served.status, "a stopping instance must still serve requests")
	require.NotEqual(t, http.StatusOK, c.getStatus("http://"+other.ReadyAddress+platform.Paths().Ready))
}

// TestRequests asserts which requests run, how often, what the backend server
// receives and what the caller gets.
func TestRequests(t *testing.T) {
	t.Parallel()
	c := newCluster(t, 1, 0)
	c.putConfig(1, nil)
	c.waitReady()
	entry := c.entries[0]
	h := platform.Headers()
	ran := func(id string) []standin.Request {
		var out []standin.Request
		for _, w := range c.plainServers {
			for _, s := range w.Requests() {
				if s.ID == id {
					out = append(out, s)
				}
			}
		}
		return out
	}
	each := func(f func(w *standin.BackendServer)) {
		for _, w := range c.plainServers {
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
		{"safe, a failure is retried on another server", "/safe/x", key, func() { each(func(w *standin.BackendServer) { w.FailNext(1) }) }, 500, 2},
		{"safe, a response to another request is retried on another server", "/safe/x", key, func() { c.plainServers[0].WrongIDNext(1); c.plainServers[1].WrongIDNext(0) }, 200, -1},
		{"unsafe, a response to another request is not retried", "/unsafe/x", key, func() { each(func(w *standin.BackendServer) { w.WrongIDNext(1) }) }, 502, 1},
		{"unsafe, a failure is passed on", "/unsafe/x", key, func() { each(func(w *standin.BackendServer) { w.FailNext(1) }) }, 500, 1},
		{"unsafe, refused without running, is retried on another server", "/unsafe/x", key, func() { each(func(w *standin.BackendServer) { w.RejectNext(1) }) }, 200, 1},
		{"unsafe, no response within the timeout of the route", "/unsafe/x", key, func() { each(func(w *standin.BackendServer) { w.HangNext(1) }) }, 504, 1},
		{"all servers full, reported as not run", "/unsafe/x", key, func() { each(func(w *standin.BackendServer) { w.RejectNext(20) }) }, 503, 0},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			each(func(w *standin.BackendServer) { w.FailNext(0); w.WrongIDNext(0); w.RejectNext(0); w.HangNext(0) })
			if tt.before != nil {
				tt.before()
			}
			id := strings.ReplaceAll(tt.name, " ", "-")
			a := c.send(entry, http.MethodPost, tt.path, id, tt.key, []byte("body"), map[string]string{h.Customer: "forged", h.DeadlineMS: "2000"})
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
				require.Empty(t, s.Authorization, "the API key must not be forwarded")
				require.Equal(t, "body", s.Body)
				left, err := strconv.Atoi(s.DeadlineMS)
				require.NoError(t, err)
				require.LessOrEqual(t, left, 900, "the timeout of the route must limit the caller's 2 s")
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

// TestCallerDisconnects asserts that the request to the backend server is cancelled
// when the caller disconnects.
func TestCallerDisconnects(t *testing.T) {
	t.Parallel()
	c := newCluster(t, 1, 0)
	c.putConfig(1, nil)
	c.waitReady()
	for _, w := range c.plainServers {
		w.HangNext(1)
	}
	ctx, cancel := context.WithTimeout(context.Background(), 100*time.Millisecond)
	defer cancel()
	a := c.sendContext(ctx, c.entries[0], http.MethodPost, "/unsafe/x", "disconnected", key, nil, nil)
	require.Error(t, a.err)
	require.Eventually(t, func() bool { return c.plainServers[0].Cancelled()+c.plainServers[1].Cancelled() == 1 }, 500*time.Millisecond, 5*time.Millisecond)
}

// TestConfiguration asserts that an instance applies the newest valid
// configuration, ignores invalid and older ones, and recovers from a compacted
// store history.
func TestConfiguration(t *testing.T) {
	t.Parallel()
	c := newCluster(t, 1, 0)
	c.putConfig(5, nil)
	c.waitReady()
	entry := c.entries[0]
	c.store.Put(platform.ConfigKey, []byte("{unreadable"))
	c.putConfig(4, routeOverrides{"safe": {"Prefix": "/older/"}})
	time.Sleep(100 * time.Millisecond)
	require.Equal(t, http.StatusOK, c.send(entry, http.MethodPost, "/safe/x", "r1", key, nil, nil).status)
	c.store.Compact()
	c.putConfig(9, routeOverrides{"safe": {"Prefix": "/moved/"}})
	c.eventually(func() bool {
		return c.send(entry, http.MethodPost, "/moved/x", "r2", key, nil, nil).status == http.StatusOK
	})
	require.Equal(t, http.StatusNotFound, c.send(entry, http.MethodPost, "/safe/x", "r3", key, nil, nil).status)
}

// TestStream asserts that the events of a stream arrive completely and that the
// caller can tell an interrupted stream from a complete one.
func TestStream(t *testing.T) {
	t.Parallel()
	c := newCluster(t, 1, 0)
	c.putConfig(1, nil)
	c.waitReady()
	headers := map[string]string{"X-Model": model}
	complete := c.send(c.entries[0], http.MethodPost, "/stream/x", "s1", key, nil, headers)
	require.NoError(t, complete.err)
	require.Equal(t, 5, strings.Count(complete.body, "data: s1-"))
	for _, w := range c.engines {
		w.TruncateStreamAfter(2)
	}
	interrupted := c.send(c.entries[0], http.MethodPost, "/stream/x", "s2", key, nil, headers)
	require.Error(t, interrupted.err, "an interrupted stream must not look complete")
}
