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

// leavingDrain is how long after the first response in which a server says that it is leaving
// requests of the same sender may still reach it.
const leavingDrain = 2 * time.Second

// TestRequestsToLeavingServers guards against requests to a server that said in its
// responses that it is leaving, while its registration says that it is ready.
func TestRequestsToLeavingServers(t *testing.T) {
	t.Parallel()
	tests := []struct {
		name string
		// otherHolder means that the other scheduler takes over.
		otherHolder bool
		disturb     func(c *cluster, leaving []*standin.BackendServer)
	}{
		{"undisturbed", false, func(*cluster, []*standin.BackendServer) {}},
		{"the store is away", false, func(c *cluster, _ []*standin.BackendServer) { c.store.SetDown(true) }},
		{"the registrations lapse and come back", false, func(c *cluster, leaving []*standin.BackendServer) {
			for _, w := range leaving {
				c.store.Remove(platform.ServersPrefix + w.ID)
			}
			time.Sleep(500 * time.Millisecond)
			for _, w := range leaving {
				w.Register(zone)
			}
		}},
		{"streams break off and items go on elsewhere", false, func(_ *cluster, leaving []*standin.BackendServer) {
			for _, w := range leaving {
				w.TruncateStreamAfter(2)
			}
		}},
		{"the holder stops and starts another term", true, func(c *cluster, _ []*standin.BackendServer) {
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
			said := time.Now()
			for _, w := range leaving {
				w.SayLeaving()
			}
			time.Sleep(1500 * time.Millisecond)
			disturbed := time.Now()
			tt.disturb(c, leaving)
			before := served.Load()
			<-ctx.Done()
			sender := func(r standin.Request) string {
				// Ids of callers' requests are "r", the instance, the lane and a number.
				parts := strings.Split(r.ID, "-")
				switch {
				case parts[0] == "r":
					return "entry-" + parts[1]
				case tt.otherHolder && r.ReceivedAt.After(disturbed):
					return "the other scheduler"
				default:
					return "a scheduler"
				}
			}
			for _, w := range leaving {
				requireNoneAfterTold(t, w, said, sender)
			}
			require.Greater(t, served.Load(), before)
		})
	}
}

// requireNoneAfterTold asserts that a leaving server gets no request from a sender later than
// leavingDrain after the first one since the server said that it is leaving. The response to
// that one told the sender.
func requireNoneAfterTold(t *testing.T, w *standin.BackendServer, said time.Time, sender func(standin.Request) string) {
	t.Helper()
	told := map[string]time.Time{}
	for _, r := range w.Requests() {
		if !r.ReceivedAt.After(said) {
			continue
		}
		from := sender(r)
		first, known := told[from]
		if !known {
			told[from] = r.ReceivedAt
			continue
		}
		require.Less(t, r.ReceivedAt.Sub(first), leavingDrain, "%s got %s %s after %s was told", w.ID, r.Path, r.ID, from)
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
