package node_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"path"
	"strconv"
	"strings"
	"sync/atomic"
	"testing"

	"cactusspoke/platform"
	"cactusspoke/platform/standin"

	"github.com/stretchr/testify/require"
)

// literalServer is a backend server whose responses have a given head.
type literalServer struct{ requests atomic.Int64 }

// startLiteralServer registers a server that responds with a head, to which the request ID is
// added, and an empty body.
func (c *cluster) startLiteralServer(id, service string, models map[string]int64, head string) *literalServer {
	s := &literalServer{}
	c.serveConnections(id, service, models, func(conn net.Conn) { s.serve(conn, func(*http.Request) string { return head }) })
	return s
}

// startStatusServer registers a server that responds with the status that the path ends with.
func (c *cluster) startStatusServer(id, service string) *literalServer {
	s := &literalServer{}
	c.serveConnections(id, service, nil, func(conn net.Conn) {
		s.serve(conn, func(r *http.Request) string { return "HTTP/1.1 " + path.Base(r.URL.Path) + " Failure\r\n" })
	})
	return s
}

func (s *literalServer) serve(conn net.Conn, head func(*http.Request) string) {
	defer conn.Close()
	reader := bufio.NewReader(conn)
	for {
		r, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		_, _ = io.Copy(io.Discard, r.Body)
		s.requests.Add(1)
		_, err = fmt.Fprintf(conn, "%s%s: %s\r\nContent-Length: 0\r\n\r\n", head(r), platform.Headers().RequestID, r.Header.Get(platform.Headers().RequestID))
		if err != nil {
			return
		}
	}
}

// TestUnsealedRefusal guards against a refusal, which promises that the request has not run,
// that comes from a server which does not say so itself, and against a success that it did not
// seal.
func TestUnsealedRefusal(t *testing.T) {
	t.Parallel()
	h := platform.Headers()
	tests := []struct {
		name string
		head string
		want int
	}{
		{"full", "HTTP/1.1 503 Service Unavailable\r\n", http.StatusBadGateway},
		{"limited", "HTTP/1.1 429 Too Many Requests\r\n", http.StatusBadGateway},
		{"slow caller", "HTTP/1.1 408 Request Timeout\r\n", http.StatusBadGateway},
		{"not run", "HTTP/1.1 503 Service Unavailable\r\n" + h.NotRun + ": 1\r\n", http.StatusServiceUnavailable},
		{"success without a seal", "HTTP/1.1 200 OK\r\n", http.StatusBadGateway},
		{"sealed by the server", "HTTP/1.1 503 Service Unavailable\r\n" + h.Signature + ": s\r\n", http.StatusServiceUnavailable},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			t.Parallel()
			c := newCluster(t, 1, 0)
			c.putConfig(1, nil)
			c.waitReady()
			s := c.startLiteralServer("literal-0", "literal", nil, tt.head)
			c.putConfig(2, routeOverrides{"unsafe": {"Service": "literal"}, "stream": {"Service": "literal"}})
			for _, path := range []string{"/unsafe/x", "/stream/x"} {
				before := s.requests.Load()
				c.eventually(func() bool {
					r := c.send(c.entries[0], http.MethodPost, path, "u", key, nil, nil)
					return s.requests.Load() > before && r.status == tt.want
				})
			}
		})
	}
}

// TestServerFailuresThroughPeers guards against a server's failure that is taken for a peer's
// refusal since it lacks the seal: the request then runs at each peer and is refused although it
// ran (review/11).
func TestServerFailuresThroughPeers(t *testing.T) {
	t.Parallel()
	for _, route := range []string{"unsafe", "safe", "stream"} {
		t.Run(route, func(t *testing.T) {
			t.Parallel()
			c := newCluster(t, 3, 1)
			c.putConfig(1, nil)
			c.waitReady()
			s := c.startStatusServer("literal-0", "literal")
			c.putConfig(2, routeOverrides{route: {"Service": "literal"}})
			send := func(p *process, status int, id string) int {
				return c.send(p, http.MethodPost, fmt.Sprintf("/%s/%d", route, status), id, key, []byte("body"), nil).status
			}
			for _, p := range c.entries {
				c.eventually(func() bool { return send(p, http.StatusConflict, "direct") == http.StatusConflict })
			}
			c.network.SetCut(c.entries[0].settings.Name, standin.Reset)
			c.eventually(func() bool {
				send(c.entries[0], http.StatusConflict, "cut")
				return strings.Contains(c.entries[0].out.text(), "request: relay")
			})
			for _, status := range []int{http.StatusBadRequest, http.StatusForbidden, http.StatusNotFound, http.StatusConflict, http.StatusUnprocessableEntity, http.StatusInternalServerError} {
				most := int64(1)
				if route == "safe" && status == http.StatusInternalServerError {
					most = 2 // MaxAttempts
				}
				before := s.requests.Load()
				require.Equal(t, status, send(c.entries[0], status, "relayed-"+strconv.Itoa(status)))
				require.LessOrEqual(t, s.requests.Load()-before, most, "runs of %d", status)
			}
		})
	}
}
