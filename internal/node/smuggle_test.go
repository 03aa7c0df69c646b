package node_test

import (
	"fmt"
	"net/http"
	"strings"
	"testing"
	"time"

	"cactusspoke/internal/batch"
	"cactusspoke/internal/http1"
	"cactusspoke/platform"
	"cactusspoke/platform/standin"

	"github.com/stretchr/testify/require"
)

// smuggledText ends the request that holds it and begins another one, of another customer.
const smuggledText = "1\r\nContent-Length: 0\r\n\r\nPOST /unsafe/smuggled HTTP/1.1\r\nHost: x\r\nX-Attempt-Id: smuggled\r\nX-Tenant: b\r\nX-Pad: 1"

// requireNotSmuggled requires that no server ran a request that no caller sent.
func (c *cluster) requireNotSmuggled() {
	c.t.Helper()
	for _, list := range [][]*standin.BackendServer{c.engines, c.plainServers} {
		for _, w := range list {
			for _, r := range w.Requests() {
				require.False(c.t, strings.Contains(r.ID+r.Path, "smuggled") || r.Customer == "b", "%s ran %q on %s for %q", w.ID, r.ID, r.Path, r.Customer)
			}
		}
	}
}

// TestSmuggledInJob guards against a request that is smuggled to a server inside an item of a
// job or its reward call. Such a job is refused; one that an earlier version accepted runs
// without the headers and the items that cannot be sent.
func TestSmuggledInJob(t *testing.T) {
	t.Parallel()
	tests := []struct {
		name   string
		change func(item map[string]any)
	}{
		{"value of a header", func(item map[string]any) {
			item["Headers"] = map[string]string{"X-Model": model, "X-Note": smuggledText}
		}},
		{"name of a header", func(item map[string]any) {
			item["Headers"] = map[string]string{"X-Model": model, "X-Note: " + smuggledText: "1"}
		}},
		{"path", func(item map[string]any) {
			item["Path"] = "/jobs/x HTTP/1.1\r\nX-Pad: " + smuggledText
		}},
		{"id", func(item map[string]any) { item["Id"] = smuggledText }},
		{"path of the reward call", func(item map[string]any) {
			item["Scorer"].(map[string]any)["Path"] = "/score/x HTTP/1.1\r\nX-Pad: " + smuggledText
		}},
		{"host of the reward call", func(item map[string]any) {
			item["Scorer"].(map[string]any)["Host"] = host + "\r\nX-Pad: " + smuggledText
		}},
		{"id of the reward call", func(item map[string]any) { item["Scorer"].(map[string]any)["Id"] = smuggledText }},
	}
	c := newCluster(t, 1, 1)
	c.putConfig(1, nil)
	c.waitReady()
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			body := jobBody("j", 4, 1, func(i int, item map[string]any) {
				if i == 1 {
					tt.change(item)
				}
			})
			require.Equal(t, http.StatusBadRequest, c.send(c.entries[0], http.MethodPost, "/jobs/j", "j", key, body, nil).status)
			c.requireNotSmuggled()
		})
	}
	t.Run("accepted by an earlier version", func(t *testing.T) {
		store := platform.NewStore(http1.NewClient(), c.entries[0].settings.StoreAddress)
		job := &batch.Job{ID: "old", Customer: "a", Host: host, Route: "jobs", Model: model, MinVersion: 1, WantedGroups: 1, SubmittedAt: time.Now().UnixMilli()}
		add := func(id, path, note string, reward *batch.RewardRequest) {
			job.Items = append(job.Items, batch.Item{ID: id, Group: "g", Path: path, ExpectedTokens: 100, Reward: reward, Headers: []http1.Header{{Name: "X-Model", Value: model}, {Name: "X-Note", Value: note}}})
		}
		add("sound", "/jobs/old/1", "1", nil)
		add("bad-header", "/jobs/old/2", smuggledText, nil)
		add("bad-path", "/jobs/old/3 HTTP/1.1\r\nX-Pad: "+smuggledText, "1", nil)
		add("bad-reward", "/jobs/old/4", "1", &batch.RewardRequest{ID: smuggledText, Host: host, Path: "/score/x"})
		require.NoError(t, batch.NewJobStore(store, 1<<20).Submit(t.Context(), job))
		states := map[string]string{}
		for _, r := range c.waitForResults(c.entries[0], "old") {
			states[r.ID] = r.State
		}
		require.Equal(t, map[string]string{"sound": "completed", "bad-header": "completed", "bad-path": "dead_letter", "bad-reward": "dead_letter"}, states)
		c.requireNotSmuggled()
	})
}

// TestItemHeaders guards against headers of an item that name another customer, pass the
// caller's API key on, or replace what the scheduler or the connection sets.
func TestItemHeaders(t *testing.T) {
	t.Parallel()
	h := platform.Headers()
	tests := []struct{ name, value string }{
		{h.Customer, "b"},
		{strings.ToLower(h.Customer), "b"},
		{"Authorization", "Bearer " + key},
		{"authorization", "Bearer " + key},
		{h.RequestID, "smuggled"},
		{h.ExpectInstance, "another"},
		{h.DeadlineMS, "1"},
		{h.Priority, "0"},
		{h.LastEventID, "3"},
		{"Content-Length", "1"},
		{"Transfer-Encoding", "chunked"},
		{"Host", "smuggled"},
		{"Connection", "close"},
		{"Connection", h.Customer},
		{"Expect", "100-continue"},
		{"X-Cactusspoke-Relayed", "1"},
	}
	c := newCluster(t, 1, 1)
	c.putConfig(1, nil)
	c.waitReady()
	for i, tt := range tests {
		t.Run(tt.name+" "+tt.value, func(t *testing.T) {
			id := fmt.Sprintf("j%d", i)
			body := jobBody(id, 2, 1, func(_ int, item map[string]any) {
				item["Headers"].(map[string]string)[tt.name] = tt.value
			})
			require.Equal(t, http.StatusAccepted, c.send(c.entries[0], http.MethodPost, "/jobs/"+id, id, key, body, nil).status)
			requireCompleteResults(t, id, 2, 5, c.waitForResults(c.entries[0], id))
			begun := map[string]int{}
			for _, w := range c.engines {
				for _, r := range w.Requests() {
					if !strings.HasPrefix(r.Path, "/jobs/"+id+"/") {
						continue
					}
					if values := r.Header.Values(h.LastEventID); len(values) == 0 {
						begun[r.ID]++
					} else {
						// The scheduler moved the item to a faster engine, after its first events.
						require.Len(t, values, 1)
					}
					require.Equal(t, []string{"a"}, r.Header.Values(h.Customer))
					require.Equal(t, []string{r.ID}, r.Header.Values(h.RequestID))
					require.Len(t, r.Header.Values(h.Priority), 1)
					require.NotEqual(t, "0", r.Header.Get(h.Priority))
					require.Empty(t, r.Header.Values("Authorization"))
					require.Empty(t, r.Header.Values("X-Cactusspoke-Relayed"))
				}
			}
			require.Equal(t, map[string]int{itemID(id, 0): 1, itemID(id, 1): 1}, begun, "runs from the start")
		})
	}
}
