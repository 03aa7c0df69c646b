package node_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"testing"

	"cactusspoke/platform"
)

// literalServer is a backend server that gives the same response to each request.
type literalServer struct{ requests atomic.Int64 }

// startLiteralServer registers a server that responds with a head, to which the request ID is
// added, and an empty body.
func (c *cluster) startLiteralServer(id, service string, models map[string]int64, head string) *literalServer {
	s := &literalServer{}
	c.serveConnections(id, service, models, func(conn net.Conn) { s.serve(conn, head) })
	return s
}

func (s *literalServer) serve(conn net.Conn, head string) {
	defer conn.Close()
	reader := bufio.NewReader(conn)
	for {
		r, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		_, _ = io.Copy(io.Discard, r.Body)
		s.requests.Add(1)
		_, err = fmt.Fprintf(conn, "%s%s: %s\r\nContent-Length: 0\r\n\r\n", head, platform.Headers().RequestID, r.Header.Get(platform.Headers().RequestID))
		if err != nil {
			return
		}
	}
}

// TestUnsealedRefusal guards against a refusal, which promises that the request has not run,
// that comes from a server which does not say so itself.
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
		{"sealed by the server", "HTTP/1.1 503 Service Unavailable\r\n" + h.Signature + ": s\r\n", http.StatusServiceUnavailable},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			t.Parallel()
			c := newCluster(t, 1, 0)
			c.putConfig(1, nil)
			c.waitReady()
			s := c.startLiteralServer("literal-0", "literal", nil, tt.head)
			c.putConfig(2, routeOverrides{"unsafe": {"Service": "literal"}})
			c.eventually(func() bool {
				r := c.send(c.entries[0], http.MethodPost, "/unsafe/x", "u", key, nil, nil)
				return s.requests.Load() > 0 && r.status == tt.want
			})
		})
	}
}
