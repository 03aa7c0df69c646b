package node_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"testing"
	"time"

	"cactusspoke/platform"

	"github.com/stretchr/testify/require"
)

// abandonTime is how soon a sender that got a response to another request must have closed
// the connection on which its own request runs.
const abandonTime = 300 * time.Millisecond

// repeatingServer is a backend server that answers the first request on each connection and
// sends a second copy of that answer when the next request has arrived there. It keeps
// running that request until the connection is closed.
type repeatingServer struct {
	// answer is the status line and headers of the first answer but its request ID.
	answer string

	mu sync.Mutex
	// abandoned and kept hold the requests during which a copy was sent: whether their
	// connection was closed then.
	abandoned, kept []string
}

// startRepeatingServer registers a repeating server of a service.
func (c *cluster) startRepeatingServer(id, service string, models map[string]int64, answer string) *repeatingServer {
	s := &repeatingServer{answer: answer}
	c.serveConnections(id, service, models, s.serve)
	return s
}

func (s *repeatingServer) serve(conn net.Conn) {
	defer conn.Close()
	reader := bufio.NewReader(conn)
	first := ""
	for {
		r, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		if _, err := io.Copy(io.Discard, r.Body); err != nil {
			return
		}
		id := r.Header.Get(platform.Headers().RequestID)
		if first != "" {
			_, _ = io.WriteString(conn, first)
			s.await(conn, reader, id)
			return
		}
		first = fmt.Sprintf("%s%s: %s\r\nContent-Length: 0\r\n\r\n", s.answer, platform.Headers().RequestID, id)
		if _, err := io.WriteString(conn, first); err != nil {
			return
		}
	}
}

// await records whether the sender of a request closes its connection.
func (s *repeatingServer) await(conn net.Conn, reader *bufio.Reader, id string) {
	_ = conn.SetReadDeadline(time.Now().Add(abandonTime))
	_, err := reader.ReadByte()
	timeout, ok := err.(net.Error)
	s.mu.Lock()
	defer s.mu.Unlock()
	if err == nil || ok && timeout.Timeout() {
		s.kept = append(s.kept, id)
		return
	}
	s.abandoned = append(s.abandoned, id)
}

func (s *repeatingServer) counts() (abandoned, kept int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.abandoned), len(s.kept)
}

// TestLateCopyOfRefusal guards against a second copy of a refusal, sent late, that is taken
// for the response to the next request on its connection: that request runs, and would run
// again elsewhere or be reported as not run.
func TestLateCopyOfRefusal(t *testing.T) {
	t.Parallel()
	refusal := "HTTP/1.1 503 Service Unavailable\r\n" + platform.Headers().NotRun + ": 1\r\n"
	paths := []struct {
		name   string
		route  string
		models map[string]int64
		send   func(c *cluster, n int)
	}{
		{"request that may run once", "unsafe", nil, func(c *cluster, n int) { c.sendTwice("/unsafe/x", n) }},
		{"request that may be repeated", "safe", nil, func(c *cluster, n int) { c.sendTwice("/safe/x", n) }},
		{"stream", "stream", map[string]int64{model: 1}, func(c *cluster, n int) { c.sendTwice("/stream/x", n) }},
		{"item", "jobs", map[string]int64{model: 1}, func(c *cluster, n int) { c.submitSmallJob(n) }},
		{"reward call", "score", nil, func(c *cluster, n int) { c.submitSmallJob(n) }},
	}
	for _, path := range paths {
		t.Run(path.name, func(t *testing.T) {
			t.Parallel()
			c := newCluster(t, 1, 1)
			c.putConfig(1, nil)
			c.waitReady()
			c.putConfig(2, routeOverrides{path.route: {"Service": "repeating"}})
			s := c.startRepeatingServer("repeating-0", "repeating", path.models, refusal)
			abandoned, kept := 0, 0
			for n, started := 0, time.Now(); abandoned+kept == 0; n++ {
				require.Less(t, time.Since(started), 20*time.Second, "no request met a copy")
				path.send(c, n)
				abandoned, kept = s.counts()
			}
			time.Sleep(abandonTime)
			_, kept = s.counts()
			require.Zero(t, kept, "the copy was taken for the response")
		})
	}
}

// sendTwice sends two requests. Each of them, or a further attempt of it, may meet a copy of
// an earlier refusal.
func (c *cluster) sendTwice(path string, n int) {
	for i := range 2 {
		id := fmt.Sprintf("r-%d-%d", n, i)
		c.send(c.entries[0], http.MethodPost, path, id, key, nil, map[string]string{"X-Model": model})
	}
}

// submitSmallJob submits a job whose items, or their reward calls, get no result.
func (c *cluster) submitSmallJob(n int) {
	id := fmt.Sprintf("j%d", n)
	require.Equal(c.t, http.StatusAccepted, c.send(c.entries[0], http.MethodPost, "/jobs/"+id, id, key, jobBody(id, 4, 1, nil), nil).status)
	time.Sleep(time.Second)
}
