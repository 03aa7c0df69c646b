package web_test

import (
	"bufio"
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"cactusspoke/internal/web"

	"github.com/stretchr/testify/require"
)

// startPeer starts a server that responds to the first request of each connection and
// calls second for the second one. It counts the requests that it receives.
func startPeer(t *testing.T, second func(conn net.Conn)) (address string, received *atomic.Int64) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { _ = l.Close() })
	received = &atomic.Int64{}
	go func() {
		for {
			conn, err := l.Accept()
			if err != nil {
				return
			}
			go serve(conn, received, second)
		}
	}()
	return l.Addr().String(), received
}

func serve(conn net.Conn, received *atomic.Int64, second func(conn net.Conn)) {
	defer func() { _ = conn.Close() }()
	reader := bufio.NewReader(conn)
	for n := 1; ; n++ {
		request, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		_, _ = io.Copy(io.Discard, request.Body)
		received.Add(1)
		if n == 2 {
			second(conn)
			return
		}
		_, _ = fmt.Fprint(conn, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok")
	}
}

// TestNoRequestIsSentTwice checks that the client does not resend a request if the peer
// closes a reused connection without a response, as it does if it crashes while it
// runs the request.
func TestNoRequestIsSentTwice(t *testing.T) {
	for _, method := range []string{"GET", "HEAD", "POST", "PUT", "PATCH", "DELETE", "OPTIONS"} {
		for _, mode := range readModes {
			t.Run(method+" "+mode.name, func(t *testing.T) {
				address, received := startPeer(t, func(net.Conn) {})
				client, err := web.NewClient(0)
				require.NoError(t, err)
				require.NoError(t, mode.send(t.Context(), client, web.NewRequest("GET", "http://"+address+"/")))
				ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
				defer cancel()
				err = mode.send(ctx, client, web.NewRequest(method, "http://"+address+"/").WithBody("text/plain", []byte("body")))
				require.Error(t, err)
				require.NotErrorIs(t, err, web.ErrNotSent)
				require.Equal(t, int64(2), received.Load())
			})
		}
	}
}

// readModes are the two modes of reading a response. Each has its own connection pool.
var readModes = []struct {
	name string
	send func(ctx context.Context, c *web.Client, r *web.Request) error
}{
	{"whole", func(ctx context.Context, c *web.Client, r *web.Request) error {
		_, err := c.Do(ctx, r)
		return err
	}},
	{"stream", func(ctx context.Context, c *web.Client, r *web.Request) error {
		s, err := c.Open(ctx, r)
		if err != nil {
			return err
		}
		defer s.Close()
		_, err = s.ReadAll()
		return err
	}},
}

// replyBytes is the longest body that a client reads, and socketBytes more than a connection on
// loopback buffers.
const (
	replyBytes  = 64 << 20
	socketBytes = 16 << 20
)

// TestEndlessReplies guards against a body without end that is cut at the limit and returned as a
// whole one, and against several of them that take more memory than one client may.
func TestEndlessReplies(t *testing.T) {
	chunk := bytes.Repeat([]byte("x"), 1<<20)
	var sent atomic.Int64
	server := httptest.NewServer(http.HandlerFunc(func(rw http.ResponseWriter, r *http.Request) {
		for r.Context().Err() == nil {
			n, err := rw.Write(chunk)
			sent.Add(int64(n))
			if err != nil {
				return
			}
		}
	}))
	defer server.Close()
	client, err := web.NewClient(0)
	require.NoError(t, err)
	var group sync.WaitGroup
	for range 6 {
		group.Go(func() {
			_, err := client.Do(t.Context(), web.NewRequest("GET", server.URL+"/"))
			require.Error(t, err)
		})
	}
	group.Wait()
	require.Less(t, sent.Load(), int64(6*(replyBytes+socketBytes)))
}

// TestStaleConnectionIsReplaced checks that a request is sent once, on another
// connection, if the peer closed the idle connection or wrote to it.
func TestStaleConnectionIsReplaced(t *testing.T) {
	tests := []struct {
		name string
		idle func(conn net.Conn)
	}{
		{"closed while idle", func(conn net.Conn) { _ = conn.Close() }},
		{"a late response while idle", func(conn net.Conn) { _, _ = conn.Write([]byte("HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nlate")) }},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			conns := make(chan net.Conn, 8)
			l, err := net.Listen("tcp", "127.0.0.1:0")
			require.NoError(t, err)
			defer func() { _ = l.Close() }()
			received := &atomic.Int64{}
			go func() {
				for {
					conn, err := l.Accept()
					if err != nil {
						return
					}
					conns <- conn
					go serve(conn, received, func(net.Conn) {})
				}
			}()
			client, err := web.NewClient(0)
			require.NoError(t, err)
			_, err = client.Do(t.Context(), web.NewRequest("GET", "http://"+l.Addr().String()+"/"))
			require.NoError(t, err)
			test.idle(<-conns)
			time.Sleep(100 * time.Millisecond)
			reply, err := client.Do(t.Context(), web.NewRequest("POST", "http://"+l.Addr().String()+"/"))
			require.NoError(t, err)
			require.Equal(t, "ok", string(reply.Body()))
			require.Equal(t, int64(2), received.Load())
		})
	}
}

func TestRefusedConnectionIsNotSent(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	address := l.Addr().String()
	require.NoError(t, l.Close())
	client, err := web.NewClient(0)
	require.NoError(t, err)
	_, err = client.Do(t.Context(), web.NewRequest("GET", "http://"+address+"/"))
	require.ErrorIs(t, err, web.ErrNotSent)
}

func TestDeadlineLimitsWaitForHeaders(t *testing.T) {
	address, _ := startPeer(t, func(net.Conn) { time.Sleep(time.Hour) })
	client, err := web.NewClient(0)
	require.NoError(t, err)
	for _, mode := range readModes {
		require.NoError(t, mode.send(t.Context(), client, web.NewRequest("GET", "http://"+address+"/")))
		ctx, cancel := context.WithTimeout(t.Context(), 300*time.Millisecond)
		err = mode.send(ctx, client, web.NewRequest("GET", "http://"+address+"/"))
		cancel()
		require.Error(t, err)
		require.NotErrorIs(t, err, web.ErrNotSent, "the request may have been received")
	}
}

// TestAddressInUse checks that Serve returns an error if the address is in use, and
// does not panic.
func TestAddressInUse(t *testing.T) {
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	require.NoError(t, err)
	defer l.Close()
	server := web.NewServer(l.Addr().String(), 1<<10, time.Second)
	require.ErrorContains(t, server.Serve(t.Context()), "address already in use")
}
