package web_test

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"runtime"
	"strings"
	"syscall"
	"testing"
	"time"

	"cactusspoke/internal/web"

	"github.com/cloudwego/hertz/pkg/app"
	"github.com/stretchr/testify/require"
)

// runningServer is a server under test. ended receives the result of Serve.
type runningServer struct {
	address string
	stop    context.CancelFunc
	ended   chan error
}

// startServer starts a server with a handler for all requests.
func startServer(t *testing.T, handler web.Handler) *runningServer {
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	require.NoError(t, err)
	s := &runningServer{address: l.Addr().String(), ended: make(chan error, 1)}
	require.NoError(t, l.Close())
	server := web.NewServer(s.address, 1<<20, 3*time.Second)
	server.HandleUnmatched(handler)
	ctx, cancel := context.WithCancel(context.Background())
	s.stop = cancel
	t.Cleanup(cancel)
	go func() { s.ended <- server.Serve(ctx) }()
	require.Eventually(t, func() bool {
		conn, err := net.Dial("tcp4", s.address)
		if err != nil {
			return false
		}
		return conn.Close() == nil
	}, 5*time.Second, 5*time.Millisecond)
	return s
}

func (s *runningServer) dial(t *testing.T) net.Conn {
	conn, err := net.Dial("tcp4", s.address)
	require.NoError(t, err)
	t.Cleanup(func() { _ = conn.Close() })
	return conn
}

func respondOK(_ context.Context, c *app.RequestContext) { c.SetBodyString("ok") }

// addSystemCalls counts the goroutines that are in a system call now, by the first line of
// their stacks. found receives the latest stack of each.
func addSystemCalls(counts map[string]int, found map[string]string) {
	stacks := make([]byte, 1<<20)
	for goroutine := range strings.SplitSeq(string(stacks[:runtime.Stack(stacks, true)]), "\n\n") {
		name, _, _ := strings.Cut(goroutine, " [")
		if state, _, _ := strings.Cut(goroutine, "\n"); strings.Contains(state, "[syscall") {
			counts[name]++
			found[name] = goroutine
		}
	}
}

// TestStarvedProcessor guards against transports that wait for the network in an
// ordinary system call, which holds a processor of the runtime. It looks while the server
// waits for new connections, for the next request and for the rest of one. A write or a close
// is such a call, too, but returns within microseconds: a goroutine may be seen in one, not
// again and again.
func TestStarvedProcessor(t *testing.T) {
	const (
		samples       = 100
		sampleSpacing = 2 * time.Millisecond
		// mostInSystemCall is far above the two or three samples of calls that do not wait,
		// and far below the share of time that a transport waits here.
		mostInSystemCall = samples / 10
	)
	s := startServer(t, respondOK)
	client, err := web.NewClient(0)
	require.NoError(t, err)
	_, err = client.Do(t.Context(), web.NewRequest("GET", "http://"+s.address+"/"))
	require.NoError(t, err)
	_, err = fmt.Fprint(s.dial(t), "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 5\r\n\r\nab")
	require.NoError(t, err)
	counts, found := map[string]int{}, map[string]string{}
	for range samples {
		addSystemCalls(counts, found)
		time.Sleep(sampleSpacing)
	}
	for name, count := range counts {
		require.LessOrEqual(t, count, mostInSystemCall, found[name])
	}
}

// TestDisconnectEndsContext checks that the context of a request ends soon after the peer
// has closed or reset the connection, also after earlier requests on it, and not before.
func TestDisconnectEndsContext(t *testing.T) {
	tests := []struct {
		name       string
		disconnect func(conn net.Conn)
	}{
		{"close", func(conn net.Conn) { _ = conn.Close() }},
		{"reset", func(conn net.Conn) { _ = conn.(*net.TCPConn).SetLinger(0); _ = conn.Close() }},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			waiting, ended := make(chan struct{}), make(chan struct{})
			s := startServer(t, func(ctx context.Context, c *app.RequestContext) {
				if string(c.Path()) == "/wait" {
					close(waiting)
					<-ctx.Done()
					close(ended)
				}
			})
			conn := s.dial(t)
			reader := bufio.NewReader(conn)
			for range 3 {
				_, err := fmt.Fprint(conn, "GET /quick HTTP/1.1\r\nHost: h\r\n\r\n")
				require.NoError(t, err)
				response, err := http.ReadResponse(reader, nil)
				require.NoError(t, err)
				require.NoError(t, response.Body.Close())
				time.Sleep(20 * time.Millisecond)
			}
			_, err := fmt.Fprint(conn, "GET /wait HTTP/1.1\r\nHost: h\r\n\r\n")
			require.NoError(t, err)
			<-waiting
			select {
			case <-ended:
				require.Fail(t, "the context ended while the connection was open")
			case <-time.After(100 * time.Millisecond):
			}
			test.disconnect(conn)
			select {
			case <-ended:
			case <-time.After(5 * time.Second):
				require.Fail(t, "the disconnection was not noticed")
			}
		})
	}
}

// TestEarlyNextRequest checks that a request that arrives while the one before is handled
// is answered after it, each once.
func TestEarlyNextRequest(t *testing.T) {
	s := startServer(t, func(_ context.Context, c *app.RequestContext) {
		time.Sleep(50 * time.Millisecond)
		c.SetBodyString(string(c.Path()))
	})
	conn := s.dial(t)
	_, err := fmt.Fprint(conn, "GET /1 HTTP/1.1\r\nHost: h\r\n\r\nGET /2 HTTP/1.1\r\nHost: h\r\n\r\n")
	require.NoError(t, err)
	time.Sleep(20 * time.Millisecond)
	_, err = fmt.Fprint(conn, "GET /3 HTTP/1.1\r\nHost: h\r\n\r\n")
	require.NoError(t, err)
	reader := bufio.NewReader(conn)
	for _, want := range []string{"/1", "/2", "/3"} {
		response, err := http.ReadResponse(reader, nil)
		require.NoError(t, err)
		body, err := io.ReadAll(response.Body)
		require.NoError(t, err)
		require.Equal(t, want, string(body))
	}
}

// TestEndlessHeadersAreRefused checks that the headers of a request are limited.
func TestEndlessHeadersAreRefused(t *testing.T) {
	s := startServer(t, respondOK)
	conn := s.dial(t)
	require.NoError(t, conn.SetDeadline(time.Now().Add(10*time.Second)))
	_, err := fmt.Fprint(conn, "GET / HTTP/1.1\r\nHost: h\r\n")
	line := "X-Filler: " + strings.Repeat("x", 4<<10) + "\r\n"
	sent := 0
	for ; err == nil && sent < 64<<20; sent += len(line) {
		_, err = fmt.Fprint(conn, line)
	}
	require.Less(t, sent, 64<<20, "the server took headers without end")
	require.NotErrorIs(t, err, os.ErrDeadlineExceeded)
}

// TestShutdown checks that a shutdown answers running requests and closes idle
// connections without waiting for the timeout.
func TestShutdown(t *testing.T) {
	started := make(chan struct{})
	s := startServer(t, func(_ context.Context, c *app.RequestContext) {
		if string(c.Path()) == "/slow" {
			close(started)
			time.Sleep(300 * time.Millisecond)
		}
		c.SetBodyString("ok")
	})
	idle := s.dial(t)
	_, err := fmt.Fprint(idle, "GET /quick HTTP/1.1\r\nHost: h\r\n\r\n")
	require.NoError(t, err)
	response, err := http.ReadResponse(bufio.NewReader(idle), nil)
	require.NoError(t, err)
	require.NoError(t, response.Body.Close())
	busy := s.dial(t)
	_, err = fmt.Fprint(busy, "GET /slow HTTP/1.1\r\nHost: h\r\n\r\n")
	require.NoError(t, err)
	<-started
	s.stop()
	response, err = http.ReadResponse(bufio.NewReader(busy), nil)
	require.NoError(t, err)
	body, err := io.ReadAll(response.Body)
	require.NoError(t, err)
	require.Equal(t, "ok", string(body))
	select {
	case err := <-s.ended:
		require.NoError(t, err)
	case <-time.After(4 * time.Second):
		require.Fail(t, "the server did not end")
	}
	_, err = net.Dial("tcp4", s.address)
	require.ErrorIs(t, err, syscall.ECONNREFUSED)
}
