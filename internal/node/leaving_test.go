package node_test

import (
	"context"
	"fmt"
	"net/http"
	"strings"
	"testing"
	"time"

	"cactusspoke/platform"
	"cactusspoke/platform/standin"

	"github.com/stretchr/testify/require"
)

const (
	// leavingContact is the time in which each instance gets a response of a leaving server
	// under the test's load.
	leavingContact = 1500 * time.Millisecond
	// leavingDrain is how long afterwards requests may still reach it.
	leavingDrain = 2 * time.Second
)

// TestRequestsToLeavingServers guards against requests to a server that said in its
// responses that it is leaving, while its registration says that it is ready.
func TestRequestsToLeavingServers(t *testing.T) {
	t.Parallel()
	tests := []struct {
		name    string
		disturb func(c *cluster, leaving []*standin.BackendServer)
	}{
		{"undisturbed", func(*cluster, []*standin.BackendServer) {}},
		{"the store is away", func(c *cluster, _ []*standin.BackendServer) { c.store.SetDown(true) }},
		{"the registrations lapse and come back", func(c *cluster, leaving []*standin.BackendServer) {
			for _, w := range leaving {
				c.store.Remove(platform.ServersPrefix + w.ID)
			}
			time.Sleep(500 * time.Millisecond)
			for _, w := range leaving {
				w.Register(zone)
			}
		}},
		{"streams break off and items go on elsewhere", func(_ *cluster, leaving []*standin.BackendServer) {
			for _, w := range leaving {
				w.TruncateStreamAfter(2)
			}
		}},
		{"the holder stops and starts another term", func(c *cluster, _ []*standin.BackendServer) {
			// The other scheduler got no response of the leaving servers yet.
			c.store.SetUnavailable(c.dutyHolder().storeListener, true)
			time.Sleep(4 * time.Second)
			for i := range c.schedulers {
				c.store.SetUnavailable(c.schedulers[i].storeListener, false)
			}
		}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			t.Parallel()
			c := newCluster(t, 2, 2)
			c.addEngine("")
			c.putConfig(1, nil)
			c.waitReady()
			ctx, stop := context.WithTimeout(context.Background(), 14*time.Second)
			defer stop()
			served := c.loadAboveLimits(ctx)
			time.Sleep(2 * time.Second)
			leaving := []*standin.BackendServer{c.engines[0], c.plainServers[0]}
			for _, w := range leaving {
				w.SayLeaving()
			}
			time.Sleep(leavingContact)
			tt.disturb(c, leaving)
			time.Sleep(leavingDrain)
			from := time.Now()
			before := served.Load()
			<-ctx.Done()
			for _, w := range leaving {
				for _, r := range w.Requests() {
					require.False(t, r.ReceivedAt.After(from), "%s got %s %s %v after the last that it may get", w.ID, r.Path, r.ID, r.ReceivedAt.Sub(from))
				}
			}
			require.Greater(t, served.Load(), before)
		})
	}
}

// TestRelayedResponseOfLeavingServer guards against requests to a server whose last
// response, which said that it is leaving, came through another instance.
func TestRelayedResponseOfLeavingServer(t *testing.T) {
	t.Parallel()
	c := newCluster(t, 3, 1)
	c.putConfig(1, nil)
	c.waitReady()
	cut := c.entries[0]
	c.network.SetCut(cut.settings.Name, standin.Reset)
	leaving := c.plainServers[0]
	leaving.SayLeaving()
	c.plainServers[1].SetDelay(50 * time.Millisecond) // so that the other one is preferred
	n := 0
	told := func() bool {
		n++
		id := fmt.Sprintf("r-%d", n)
		r := c.send(cut, http.MethodPost, "/safe/x", id, key, nil, nil)
		require.Empty(t, r.header.Get("X-Cactusspoke-Server"), "the caller is not told")
		return r.status == http.StatusOK && r.header.Get(platform.Headers().Leaving) == "1"
	}
	c.eventually(told)
	c.network.SetCut(cut.settings.Name, standin.NoCut)
	c.eventually(func() bool { return strings.Contains(cut.out.text(), `"lost":false`) })
	from := time.Now()
	for i := range 40 {
		require.Equal(t, http.StatusOK, c.send(cut, http.MethodPost, "/safe/x", fmt.Sprintf("later-%d", i), key, nil, nil).status)
	}
	for _, r := range leaving.Requests() {
		require.False(t, r.ReceivedAt.After(from) && strings.HasPrefix(r.ID, "later-"), r.ID)
	}
}
