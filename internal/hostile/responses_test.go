package hostile

import (
	"fmt"
	"net/http"
	"sync"
	"testing"
	"time"

	"cactusspoke/platform"

	"github.com/stretchr/testify/require"
)

// TestEndlessServers guards against an entry instance that keeps what servers send without end
// until it exceeds its memory, or fails requests to sound servers for lack of it.
func TestEndlessServers(t *testing.T) {
	h := platform.Headers()
	tests := []struct {
		name     string
		response endlessResponse
	}{
		{"bodies", endlessResponse{chunkedHead("200 OK", h.Signature+": s"), "\r\n", func(int) string { return chunk(filler) }}},
		{"failures", endlessResponse{chunkedHead("500 Internal Server Error", h.Signature+": s"), "\r\n", func(int) string { return chunk(filler) }}},
		{"refusals", endlessResponse{chunkedHead("503 Service Unavailable", h.NotRun+": 1"), "\r\n", func(int) string { return chunk(filler) }}},
		{"heads", endlessResponse{"HTTP/1.1 200 OK\r\n", "", func(int) string { return "X-Filler: " + filler + "\r\n" }}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			e := startEntry(t)
			requests := serveEndless(t, e.standIn, "faulty", tt.response)
			require.Eventually(t, func() bool {
				_, _ = e.call(http.MethodPost, "/faulty/first", "first", "")
				return requests.Load() > 0
			}, waitTimeout, pollInterval, "the servers are not known")
			end := time.Now().Add(attackTime)
			var callers sync.WaitGroup
			for n := range endlessCallers {
				callers.Go(func() {
					for time.Now().Before(end) {
						status, _ := e.call(http.MethodPost, fmt.Sprintf("/faulty/%d", n), fmt.Sprintf("f-%d", n), "")
						require.NotEqual(t, http.StatusOK, status, "a body without an end counts as whole")
					}
				})
			}
			served, failed := 0, []string{}
			for time.Now().Before(end) {
				if status, body := e.call(http.MethodPost, "/safe/sound", "sound", ""); status == http.StatusOK {
					served++
				} else {
					failed = append(failed, fmt.Sprintf("status %d: %s", status, body))
				}
			}
			callers.Wait()
			t.Logf("%d requests reached faulty servers, %d were served by sound ones", requests.Load(), served)
			require.Empty(t, failed, "a request to a sound server failed")
			require.Positive(t, served)
			e.verify()
		})
	}
}
