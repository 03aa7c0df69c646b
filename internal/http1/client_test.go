package http1_test

import (
	"bufio"
	"context"
	"fmt"
	"net"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"cactusspoke/internal/http1"

	"github.com/stretchr/testify/require"
)

// peer answers each connection by a script.
type peer struct {
	address  string
	requests atomic.Int64
	conns    atomic.Int64
}

func newPeer(t *testing.T, script func(n int64, c net.Conn, r *http.Request)) *peer {
	t.Helper()
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { _ = l.Close() })
	p := &peer{address: l.Addr().String()}
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			p.conns.Add(1)
			go p.serve(c, script)
		}
	}()
	return p
}

func (p *peer) serve(c net.Conn, script func(n int64, c net.Conn, r *http.Request)) {
	defer c.Close()
	reader := bufio.NewReader(c)
	for {
		r, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		script(p.requests.Add(1), c, r)
	}
}

const whole = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"

func get(ctx context.Context, client *http1.Client, address string) (string, error) {
	response, err := client.Do(ctx, address, &http1.Request{Method: http.MethodGet, URI: "/", Host: "h"})
	if err != nil {
		return "", err
	}
	defer response.Close()
	body, err := response.ReadAll(1 << 20)
	return string(body), err
}

// TestReuse asserts when a connection carries another request.
func TestReuse(t *testing.T) {
	tests := []struct {
		name   string
		answer string
		conns  int64
	}{
		{"after a whole answer", whole, 1},
		{"not after bytes that belong to no request", whole + "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nextra", 2},
		{"not after Connection: close", "HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Length: 2\r\n\r\nok", 2},
		{"not after the peer's idle time is nearly over", "HTTP/1.1 200 OK\r\nKeep-Alive: timeout=0\r\nContent-Length: 2\r\n\r\nok", 2},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			p := newPeer(t, func(_ int64, c net.Conn, _ *http.Request) { _, _ = fmt.Fprint(c, tt.answer) })
			client := http1.NewClient()
			for range 2 {
				body, err := get(t.Context(), client, p.address)
				require.NoError(t, err)
				require.Equal(t, "ok", body)
				time.Sleep(20 * time.Millisecond)
			}
			require.Equal(t, tt.conns, p.conns.Load())
		})
	}
}

// TestLateExtraAnswer asserts that an answer which arrives on an idle
// connection is not taken for the next request's.
func TestLateExtraAnswer(t *testing.T) {
	p := newPeer(t, func(n int64, c net.Conn, _ *http.Request) {
		_, _ = fmt.Fprint(c, whole)
		if n == 1 {
			time.Sleep(20 * time.Millisecond)
			_, _ = fmt.Fprint(c, "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nextra")
		}
	})
	client := http1.NewClient()
	for range 2 {
		body, err := get(t.Context(), client, p.address)
		require.NoError(t, err)
		require.Equal(t, "ok", body)
		time.Sleep(60 * time.Millisecond)
	}
	require.Equal(t, int64(2), p.conns.Load())
}

// TestNeverTwice asserts that a request is sent once though the peer closes a
// connection that was kept, and that the error says what is known.
func TestNeverTwice(t *testing.T) {
	p := newPeer(t, func(n int64, c net.Conn, _ *http.Request) {
		if n == 2 {
			_ = c.Close()
			return
		}
		_, _ = fmt.Fprint(c, whole)
	})
	client := http1.NewClient()
	_, err := get(t.Context(), client, p.address)
	require.NoError(t, err)
	_, err = get(t.Context(), client, p.address)
	require.Error(t, err)
	require.False(t, http1.NotSent(err))
	require.Equal(t, int64(2), p.requests.Load())
	_, err = get(t.Context(), client, "127.0.0.1:1")
	require.True(t, http1.NotSent(err))
}

// TestIncomplete asserts that an answer that ends early is an error, and that
// one without a length ends with its connection.
func TestIncomplete(t *testing.T) {
	tests := []struct {
		name   string
		answer string
		reset  bool
		fails  bool
	}{
		{"shorter than its length", "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nok", false, true},
		{"chunks without an end", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n", false, true},
		{"without a length, closed", "HTTP/1.1 200 OK\r\n\r\nok", false, false},
		{"without a length, reset", "HTTP/1.1 200 OK\r\n\r\nok", true, true},
		{"no answer in the protocol", "ok", false, true},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			p := newPeer(t, func(_ int64, c net.Conn, _ *http.Request) {
				_, _ = fmt.Fprint(c, tt.answer)
				time.Sleep(20 * time.Millisecond)
				if tt.reset {
					_ = c.(*net.TCPConn).SetLinger(0)
				}
				_ = c.Close()
			})
			_, err := get(t.Context(), http1.NewClient(), p.address)
			require.Equal(t, tt.fails, err != nil, "%v", err)
		})
	}
}

// TestCancel asserts that the connection is closed when the context ends, also
// before the headers of the answer.
func TestCancel(t *testing.T) {
	closed := make(chan struct{})
	p := newPeer(t, func(_ int64, c net.Conn, _ *http.Request) {
		_, _ = c.Read(make([]byte, 1))
		close(closed)
	})
	ctx, cancel := context.WithTimeout(t.Context(), 50*time.Millisecond)
	defer cancel()
	_, err := get(ctx, http1.NewClient(), p.address)
	require.ErrorIs(t, err, context.DeadlineExceeded)
	select {
	case <-closed:
	case <-time.After(time.Second):
		t.Fatal("the peer still waits")
	}
}
