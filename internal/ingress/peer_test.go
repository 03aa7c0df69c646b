package ingress

import (
	"net/http"
	"strconv"
	"testing"
	"time"

	"cactusspoke/internal/directory"
	"cactusspoke/internal/kv"
	"cactusspoke/internal/routetable"

	"github.com/cloudwego/hertz/pkg/app"
	"github.com/stretchr/testify/require"
)

// TestResponsesOfPeers guards against a request that runs again or is refused, although a server
// may have run it, since the server's response is taken for the peer's or the peer's for a
// refusal, and against a success that no server has sealed. All responses lack a seal.
func TestResponsesOfPeers(t *testing.T) {
	tests := []struct {
		status int
		// byServer means that the response names the server that gave it.
		byServer bool
		want     attemptResult
	}{
		{http.StatusServiceUnavailable, false, attemptNotRun},
		{http.StatusTooManyRequests, false, attemptNotRun},
		{http.StatusRequestTimeout, false, attemptNotRun},
		{http.StatusMisdirectedRequest, false, attemptNotRun},
		{http.StatusNotFound, false, attemptNotRun},
		{http.StatusUnauthorized, false, attemptNotRun},
		{http.StatusForbidden, false, attemptNotRun},
		{http.StatusBadRequest, false, attemptNotRun},
		{http.StatusRequestEntityTooLarge, false, attemptNotRun},
		{http.StatusConflict, false, attemptFailed},
		{http.StatusInternalServerError, false, attemptFailed},
		{http.StatusBadGateway, false, attemptFailed},
		{http.StatusGatewayTimeout, false, attemptFailed},
		{http.StatusNotImplemented, false, attemptFailed},
		{http.StatusConflict, true, attemptDone},
		{http.StatusNotFound, true, attemptDone},
		{http.StatusBadGateway, true, attemptDone},
		{http.StatusServiceUnavailable, true, attemptFailed}, // from peers of earlier versions
		{http.StatusFound, true, attemptFailed},
		{http.StatusOK, true, attemptFailed},
	}
	for _, kind := range []routetable.Kind{routetable.Unsafe, routetable.Streaming} {
		for _, tt := range tests {
			t.Run(string(kind)+"/"+strconv.Itoa(tt.status)+"/"+strconv.FormatBool(tt.byServer), func(t *testing.T) {
				s := newJobServer(t, nil, true, func(rw http.ResponseWriter, r *http.Request) {
					if tt.byServer {
						rw.Header().Set(serverHeader, "server-1")
					}
					respondWith(tt.status)(rw, r)
				})
				s.Headers.Signature, s.Headers.DeadlineMS = "Seal", "Deadline"
				address := s.Directory.Peers("", func(string) bool { return true })[0]
				s.Directory.Reset([]kv.Item{{Key: directory.Prefix + "peer", Value: []byte(address + " zone")}})
				c := &app.RequestContext{}
				c.Request.Header.Set(requestIDHeader, jobID)
				now := time.Now()
				r := &callerRequest{
					receivedAt: now, deadline: now.Add(5 * time.Second), method: http.MethodPost, id: jobID, maxAttempts: 2,
					requestURI: "/book/1", path: "/book/1", host: "host", route: &routetable.Route{Name: "book", Kind: kind, MaxAttempts: 2},
				}
				state := &forwardState{}
				result := s.forwardToPeer(t.Context(), c, r, state, address, true)
				require.Equal(t, tt.want, result, state.reason)
				require.Equal(t, tt.want == attemptFailed, r.mayHaveRun)
				if tt.want == attemptDone {
					require.Equal(t, tt.status, c.Response.StatusCode())
				}
			})
		}
	}
}
