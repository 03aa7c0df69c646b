package node_test

import (
	"fmt"
	"net/http"
	"testing"
	"time"

	"cactusspoke/platform"

	"github.com/stretchr/testify/require"
)

// TestInvalidStatus guards against a status that HTTP does not have, from a server in trouble,
// that reaches a caller, is taken for the answer to an item or a reward call, or is waited on.
func TestInvalidStatus(t *testing.T) {
	t.Parallel()
	h := platform.Headers()
	statuses := []string{"000", "999"}
	paths := []struct {
		name   string
		route  string
		models map[string]int64
	}{
		{"request that may run once", "unsafe", nil},
		{"request that may be repeated", "safe", nil},
		{"stream", "stream", map[string]int64{model: 1}},
	}
	for _, path := range paths {
		for _, status := range statuses {
			t.Run(path.name+"/"+status, func(t *testing.T) {
				t.Parallel()
				c := newCluster(t, 1, 0)
				c.putConfig(1, nil)
				c.waitReady()
				s := c.startLiteralServer("literal-0", "literal", path.models, "HTTP/1.1 "+status+" x\r\n"+h.Signature+": s\r\n")
				c.putConfig(2, routeOverrides{path.route: {"Service": "literal"}})
				for n := 0; s.requests.Load() == 0; n++ {
					require.Less(t, n, 200, "no request reached the server")
					r := c.send(c.entries[0], http.MethodPost, "/"+path.route+"/x", fmt.Sprintf("r-%d", n), key, nil, map[string]string{"X-Model": model})
					if s.requests.Load() > 0 {
						require.NoError(t, r.err)
						require.Equal(t, http.StatusBadGateway, r.status)
						require.Less(t, r.took, 500*time.Millisecond, "waited for another response")
					}
					time.Sleep(10 * time.Millisecond)
				}
			})
		}
	}
}

// TestInvalidStatusForJobs is TestInvalidStatus for items and their reward calls, of which
// sound servers of the same service complete the job.
func TestInvalidStatusForJobs(t *testing.T) {
	t.Parallel()
	h := platform.Headers()
	paths := []struct {
		name    string
		service string
		models  map[string]int64
	}{
		{"item", "engines", map[string]int64{model: 1}},
		{"reward call", "plain", nil},
	}
	for _, path := range paths {
		for _, status := range []string{"000", "999"} {
			t.Run(path.name+"/"+status, func(t *testing.T) {
				t.Parallel()
				c := newCluster(t, 1, 1)
				c.putConfig(1, nil)
				c.waitReady()
				s := c.startLiteralServer("literal-0", path.service, path.models, "HTTP/1.1 "+status+" x\r\n"+h.Signature+": s\r\n"+h.WeightVersions+": 1\r\n")
				started := time.Now()
				for n := 0; s.requests.Load() == 0; n++ {
					require.Less(t, time.Since(started), 20*time.Second, "no request reached the server")
					id := fmt.Sprintf("j%d", n)
					require.Equal(t, http.StatusAccepted, c.send(c.entries[0], http.MethodPost, "/jobs/"+id, id, key, jobBody(id, 8, 1, nil), nil).status)
					requireCompleteResults(t, id, 8, 5, c.waitForResults(c.entries[0], id))
				}
			})
		}
	}
}
