package node_test

import (
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// TestChangesAfterStoreSilence guards against processes that learn of no change for half a
// minute since the watch they sent while the store was silent got no response: an old
// configuration in force, items at servers that are draining, jobs that are never begun.
func TestChangesAfterStoreSilence(t *testing.T) {
	t.Parallel()
	const (
		// calmTime is how long the store is sound before changes count.
		calmTime = 3 * time.Second
		// applyTime is how soon a change must then be known.
		applyTime = 2 * time.Second
	)
	tests := []struct {
		name    string
		silence time.Duration
	}{{"0.7 s", 700 * time.Millisecond}, {"3 s", 3 * time.Second}}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			t.Parallel()
			c := newCluster(t, 2, 2)
			c.putConfig(1, nil)
			c.waitReady()
			submit := func(id string) {
				require.Equal(t, http.StatusAccepted, c.send(c.entries[0], http.MethodPost, "/jobs/"+id, id, key, jobBody(id, 8, 1, nil), nil).status)
			}
			submit("first")
			c.waitForResults(c.entries[0], "first")
			// All prefixes change, so that all watches are sent again while the store is silent.
			c.putConfig(2, nil)
			submit("second")
			for _, w := range c.engines {
				w.Register(zone)
			}
			c.setSilent(true)
			time.Sleep(tt.silence)
			c.setSilent(false)
			time.Sleep(calmTime)
			c.putConfig(3, routeOverrides{"safe": {"Prefix": "/moved/"}})
			c.engines[0].Drain(zone)
			time.Sleep(applyTime)
			drained := time.Now()
			for _, p := range c.entries {
				require.Equal(t, http.StatusOK, c.send(p, http.MethodPost, "/moved/x", "m", key, nil, nil).status)
				require.Equal(t, http.StatusNotFound, c.send(p, http.MethodPost, "/safe/x", "s", key, nil, nil).status)
			}
			submit("third")
			for _, id := range []string{"second", "third"} {
				requireCompleteResults(t, id, 8, 5, c.waitForResults(c.entries[1], id))
			}
			for _, r := range c.engines[0].Requests() {
				require.False(t, r.ReceivedAt.After(drained), "%s reached a server that is draining", r.ID)
			}
		})
	}
}

// setSilent makes the store silent to all processes, or ends that.
func (c *cluster) setSilent(silent bool) {
	for _, list := range [][]*process{c.entries, c.schedulers} {
		for _, p := range list {
			c.store.SetUnresponsive(p.storeListener, silent)
		}
	}
}
