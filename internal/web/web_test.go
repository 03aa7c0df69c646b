package web_test

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"cactusspoke/internal/web"

	"github.com/stretchr/testify/require"
)

// peer answers the first request of a connection and treats the second as the
// test says; it counts the requests that arrive.
func peer(t *testing.T, second func(conn net.Conn)) (address string, arrived *atomic.Int64) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { _ = l.Close() })
	arrived = &atomic.Int64{}
	go func() {
		for {
			conn, err := l.Accept()
			if err != nil {
				return
			}
			go serve(conn, arrived, second)
		}
	}()
	return l.Addr().String(), arrived
}

func serve(conn net.Conn, arrived *atomic.Int64, second func(conn net.Conn)) {
	defer func() { _ = conn.Close() }()
	reader := bufio.NewReader(conn)
	for n := 1; ; n++ {
		request, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		_, _ = io.Copy(io.Discard, request.Body)
		arrived.Add(1)
		if n == 2 {
			second(conn)
			return
		}
		_, _ = fmt.Fprint(conn, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok")
	}
}

// TestNoRequestIsSentTwice has the peer close a reused connection without an
// answer, as it does when it dies while it runs the request.
func TestNoRequestIsSentTwice(t *testing.T) {
	for _, method := range []string{"GET", "HEAD", "POST", "PUT", "PATCH", "DELETE", "OPTIONS"} {
		for _, way := range ways {
			t.Run(method+" "+way.name, func(t *testing.T) {
				address, arrived := peer(t, func(net.Conn) {})
				client, err := web.NewClient(0)
				require.NoError(t, err)
				require.NoError(t, way.send(t.Context(), client, web.NewRequest("GET", "http://"+address+"/")))
				ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
				defer cancel()
				err = way.send(ctx, client, web.NewRequest(method, "http://"+address+"/").WithBody("text/plain", []byte("body")))
				require.Error(t, err)
				require.NotErrorIs(t, err, web.ErrNotSent)
				require.Equal(t, int64(2), arrived.Load())
			})
		}
	}
}

// ways are the two ways to read an answer, which have pools of their own.
var ways = []struct {
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

// TestStaleConnectionIsCertainlyUnsent has the peer close or write to an idle
// connection before the next request: that request goes out once, on another.
func TestStaleConnectionIsCertainlyUnsent(t *testing.T) {
	tests := []struct {
		name string
		idle func(conn net.Conn)
	}{
		{"closed while idle", func(conn net.Conn) { _ = conn.Close() }},
		{"a late answer while idle", func(conn net.Conn) { _, _ = conn.Write([]byte("HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nlate")) }},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			conns := make(chan net.Conn, 8)
			l, err := net.Listen("tcp", "127.0.0.1:0")
			require.NoError(t, err)
			defer func() { _ = l.Close() }()
			arrived := &atomic.Int64{}
			go func() {
				for {
					conn, err := l.Accept()
					if err != nil {
						return
					}
					conns <- conn
					go serve(conn, arrived, func(net.Conn) {})
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
			require.Equal(t, int64(2), arrived.Load())
		})
	}
}

func TestRefusedConnectionIsCertainlyUnsent(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	address := l.Addr().String()
	require.NoError(t, l.Close())
	client, err := web.NewClient(0)
	require.NoError(t, err)
	_, err = client.Do(t.Context(), web.NewRequest("GET", "http://"+address+"/"))
	require.ErrorIs(t, err, web.ErrNotSent)
}

func TestDeadlineBoundsTheWaitForHeaders(t *testing.T) {
	address, _ := peer(t, func(net.Conn) { time.Sleep(time.Hour) })
	client, err := web.NewClient(0)
	require.NoError(t, err)
	for _, way := range ways {
		require.NoError(t, way.send(t.Context(), client, web.NewRequest("GET", "http://"+address+"/")))
		ctx, cancel := context.WithTimeout(t.Context(), 300*time.Millisecond)
		err = way.send(ctx, client, web.NewRequest("GET", "http://"+address+"/"))
		cancel()
		require.Error(t, err)
		require.NotErrorIs(t, err, web.ErrNotSent, "it may have arrived")
	}
}

// TestAddressTaken asserts that a taken address is an error, not a panic.
func TestAddressTaken(t *testing.T) {
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	require.NoError(t, err)
	defer l.Close()
	server := web.NewServer(l.Addr().String(), 1<<10, time.Second)
	require.ErrorContains(t, server.Serve(t.Context()), "address already in use")
}
