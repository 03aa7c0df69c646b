package node_test

import (
	"context"
	"fmt"
	"net/http"
	"testing"
	"time"

	"cactusspoke/platform"
	"cactusspoke/platform/standin"

	"github.com/stretchr/testify/require"
)

// TestBusyServersBehindPeers guards against requests refused at an instance without paths
// since its peers were passed over, after servers had refused a few requests or callers had
// left.
func TestBusyServersBehindPeers(t *testing.T) {
	t.Parallel()
	tests := []struct {
		name    string
		disturb func(c *cluster, cut *process)
	}{
		{"servers are full for a moment", func(c *cluster, cut *process) {
			for _, w := range c.plainServers {
				w.RejectNext(40)
			}
			for n := range 4 {
				c.send(cut, http.MethodPost, "/safe/x", fmt.Sprintf("full-%d", n), key, nil, map[string]string{platform.Headers().DeadlineMS: "300"})
			}
			for _, w := range c.plainServers {
				w.RejectNext(0)
			}
		}},
		{"callers leave", func(c *cluster, cut *process) {
			for _, w := range c.plainServers {
				w.SetDelay(200 * time.Millisecond)
			}
			for n := range 6 {
				ctx, cancel := context.WithTimeout(t.Context(), 50*time.Millisecond)
				c.sendContext(ctx, cut, http.MethodPost, "/safe/x", fmt.Sprintf("left-%d", n), key, nil, nil)
				cancel()
			}
			for _, w := range c.plainServers {
				w.SetDelay(0)
			}
		}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			t.Parallel()
			c := newCluster(t, 3, 1)
			c.putConfig(1, nil)
			c.waitReady()
			cut := c.entries[0]
			c.network.SetCut(cut.settings.Name, standin.Reset)
			before := c.relayed()
			c.eventually(func() bool {
				c.send(cut, http.MethodPost, "/safe/x", "cut", key, nil, nil)
				return c.relayed() > before
			})
			tt.disturb(c, cut)
			for n := range 10 {
				r := c.send(cut, http.MethodPost, "/safe/x", fmt.Sprintf("then-%d", n), key, nil, nil)
				require.Equal(t, http.StatusOK, r.status, r.body)
			}
		})
	}
}
