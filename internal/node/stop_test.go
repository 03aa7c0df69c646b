package node_test

import (
	"context"
	"fmt"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// TestLateRequestsCutAtStop guards against requests that an instance takes and passes on
// late in a planned stop and cuts without an answer when it ends.
func TestLateRequestsCutAtStop(t *testing.T) {
	t.Parallel()
	c := newCluster(t, 2, 1)
	c.putConfig(1, routeOverrides{"safe": {"TimeoutMs": 5000, "GoalMs": 3000}, "unsafe": {"TimeoutMs": 5000, "GoalMs": 3000}})
	c.waitReady()
	for _, w := range c.plainServers {
		w.SetDelay(1200 * time.Millisecond)
	}
	stopped := c.entries[0]
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	var mu sync.Mutex
	answers := map[string]int{}
	var callers sync.WaitGroup
	stopped.stop()
	for n := 0; ; n++ {
		path := []string{"/safe/x", "/unsafe/x"}[n%2]
		callers.Go(func() {
			id := fmt.Sprintf("r-%d", n)
			r := c.sendContext(ctx, stopped, http.MethodPost, path, id, key, nil, nil)
			mu.Lock()
			defer mu.Unlock()
			if r.err == nil {
				answers[id] = r.status
			}
		})
		select {
		case <-stopped.done:
		case <-time.After(50 * time.Millisecond):
			continue
		}
		break
	}
	cancel() // the end of the process cuts what is left
	callers.Wait()
	served, refused := 0, 0
	for _, status := range answers {
		switch status {
		case http.StatusOK:
			served++
		case http.StatusServiceUnavailable:
			refused++
		}
	}
	ran := map[string]int{}
	for _, w := range c.plainServers {
		for _, r := range w.Requests() {
			ran[r.ID]++
		}
	}
	for id, status := range answers {
		require.False(t, status == http.StatusServiceUnavailable && ran[id] > 0, "%s ran and was refused", id)
	}
	delete(ran, "warm-up")
	for id := range ran {
		require.Contains(t, answers, id, "passed on and cut without an answer")
	}
	require.Positive(t, served)
	require.Positive(t, refused)
}
