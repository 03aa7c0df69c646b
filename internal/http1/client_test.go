package http1_test

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"cactusspoke/internal/http1"

	"github.com/stretchr/testify/require"
)

// scriptedServer passes each request to a function that writes the raw response.
type scriptedServer struct {
	address  string
	requests atomic.Int64
	conns    atomic.Int64
}

func newScriptedServer(t *testing.T, script func(n int64, c net.Conn, r *http.Request)) *scriptedServer {
	t.Helper()
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { _ = l.Close() })
	s := &scriptedServer{address: l.Addr().String()}
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			s.conns.Add(1)
			go s.serve(c, script)
		}
	}()
	return s
}

func (s *scriptedServer) serve(c net.Conn, script func(n int64, c net.Conn, r *http.Request)) {
	defer c.Close()
	reader := bufio.NewReader(c)
	for {
		r, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		script(s.requests.Add(1), c, r)
	}
}

const completeResponse = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"

func get(ctx context.Context, client *http1.Client, address string) (string, error) {
	response, err := client.Do(ctx, address, &http1.Request{Method: http.MethodGet, URI: "/", Host: "h"})
	if err != nil {
		return "", err
	}
	defer response.Close()
	body, err := response.ReadAll(1 << 20)
	return string(body), err
}

// TestReuse checks which responses allow the connection to be reused.
func TestReuse(t *testing.T) {
	tests := []struct {
		name     string
		response string
		conns    int64
	}{
		{"after a whole answer", completeResponse, 1},
		{"not after bytes that belong to no request", completeResponse + "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nextra", 2},
		{"not after Connection: close", "HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Length: 2\r\n\r\nok", 2},
		{"not after the peer's idle time is nearly over", "HTTP/1.1 200 OK\r\nKeep-Alive: timeout=0\r\nContent-Length: 2\r\n\r\nok", 2},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			s := newScriptedServer(t, func(_ int64, c net.Conn, _ *http.Request) { _, _ = fmt.Fprint(c, tt.response) })
			client := http1.NewClient()
			for range 2 {
				body, err := get(t.Context(), client, s.address)
				require.NoError(t, err)
				require.Equal(t, "ok", body)
				time.Sleep(20 * time.Millisecond)
			}
			require.Equal(t, tt.conns, s.conns.Load())
		})
	}
}

// TestLateExtraAnswer checks that a response which arrives on an idle
// connection is not returned for the next request.
func TestLateExtraAnswer(t *testing.T) {
	s := newScriptedServer(t, func(n int64, c net.Conn, _ *http.Request) {
		_, _ = fmt.Fprint(c, completeResponse)
		if n == 1 {
			time.Sleep(20 * time.Millisecond)
			_, _ = fmt.Fprint(c, "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nextra")
		}
	})
	client := http1.NewClient()
	for range 2 {
		body, err := get(t.Context(), client, s.address)
		require.NoError(t, err)
		require.Equal(t, "ok", body)
		time.Sleep(60 * time.Millisecond)
	}
	require.Equal(t, int64(2), s.conns.Load())
}

// TestNeverTwice checks that a request is sent only once, also when the server
// closes a reused connection, and that the error reports whether the request
// may have been sent.
func TestNeverTwice(t *testing.T) {
	s := newScriptedServer(t, func(n int64, c net.Conn, _ *http.Request) {
		if n == 2 {
			_ = c.Close()
			return
		}
		_, _ = fmt.Fprint(c, completeResponse)
	})
	client := http1.NewClient()
	_, err := get(t.Context(), client, s.address)
	require.NoError(t, err)
	_, err = get(t.Context(), client, s.address)
	require.Error(t, err)
	require.False(t, http1.NotSent(err))
	require.Equal(t, int64(2), s.requests.Load())
	_, err = get(t.Context(), client, "127.0.0.1:1")
	require.True(t, http1.NotSent(err))
}

// TestIncomplete checks that a truncated response is an error, and that a
// response without a length ends when the server closes the connection.
func TestIncomplete(t *testing.T) {
	tests := []struct {
		name     string
		response string
		reset    bool
		fails    bool
	}{
		{"shorter than its length", "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nok", false, true},
		{"chunks without an end", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n", false, true},
		{"without a length, closed", "HTTP/1.1 200 OK\r\n\r\nok", false, false},
		{"without a length, reset", "HTTP/1.1 200 OK\r\n\r\nok", true, true},
		{"no answer in the protocol", "ok", false, true},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			s := newScriptedServer(t, func(_ int64, c net.Conn, _ *http.Request) {
				_, _ = fmt.Fprint(c, tt.response)
				time.Sleep(20 * time.Millisecond)
				if tt.reset {
					_ = c.(*net.TCPConn).SetLinger(0)
				}
				_ = c.Close()
			})
			_, err := get(t.Context(), http1.NewClient(), s.address)
			require.Equal(t, tt.fails, err != nil, "%v", err)
		})
	}
}

// TestCancel checks that the connection is closed when the context ends before
// the response headers arrive.
func TestCancel(t *testing.T) {
	closed := make(chan struct{})
	s := newScriptedServer(t, func(_ int64, c net.Conn, _ *http.Request) {
		_, _ = c.Read(make([]byte, 1))
		close(closed)
	})
	ctx, cancel := context.WithTimeout(t.Context(), 50*time.Millisecond)
	defer cancel()
	_, err := get(ctx, http1.NewClient(), s.address)
	require.ErrorIs(t, err, context.DeadlineExceeded)
	select {
	case <-closed:
	case <-time.After(time.Second):
		t.Fatal("the connection is still open")
	}
}

// TestEndlessHead asserts that the client closes the connection to a server that
// sends headers without end, before the deadline of the request.
func TestEndlessHead(t *testing.T) {
	tests := []struct {
		name  string
		first string
		rest  string
	}{
		{"a status line", "", "HTTP/1.1 200 " + strings.Repeat("x", 1000)},
		{"one header line", "HTTP/1.1 200 OK\r\nX-Long: ", strings.Repeat("x", 1000)},
		{"many header lines", "HTTP/1.1 200 OK\r\n", "X-Many: " + strings.Repeat("x", 1000) + "\r\n"},
		{"informational responses", "", "HTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\n"},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			closed := make(chan struct{})
			sent := atomic.Int64{}
			s := newScriptedServer(t, func(_ int64, c net.Conn, _ *http.Request) {
				defer close(closed)
				_, err := io.WriteString(c, tt.first)
				for err == nil && sent.Load() < 64<<20 {
					_, err = io.WriteString(c, tt.rest)
					sent.Add(int64(len(tt.rest)))
				}
			})
			ctx, cancel := context.WithTimeout(t.Context(), 20*time.Second)
			defer cancel()
			_, err := get(ctx, http1.NewClient(), s.address)
			require.ErrorIs(t, err, http1.ErrInvalidResponse)
			require.NoError(t, ctx.Err(), "the request ended only at its deadline")
			require.False(t, http1.NotSent(err))
			<-closed
			require.Less(t, sent.Load(), int64(16<<20), "the server was not stopped by a closed connection")
		})
	}
}

// TestEndlessBody asserts that a body without end is read up to the limit only.
func TestEndlessBody(t *testing.T) {
	closed := make(chan struct{})
	s := newScriptedServer(t, func(_ int64, c net.Conn, _ *http.Request) {
		defer close(closed)
		_, err := io.WriteString(c, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
		for err == nil {
			_, err = io.WriteString(c, "400\r\n"+strings.Repeat("x", 1024)+"\r\n")
		}
	})
	ctx, cancel := context.WithTimeout(t.Context(), 20*time.Second)
	defer cancel()
	_, err := get(ctx, http1.NewClient(), s.address)
	require.Error(t, err)
	require.NoError(t, ctx.Err())
	<-closed
}

// TestInvalidStatusLine guards against a response of a server in trouble whose status is none, and
// that is passed over like an informational one or passed on.
func TestInvalidStatusLine(t *testing.T) {
	tests := []struct {
		line  string
		valid bool
	}{
		{"HTTP/1.1 000 x", false},
		{"HTTP/1.1 -00 x", false},
		{"HTTP/1.1 +20 x", false},
		{"HTTP/1.1 001 x", false},
		{"HTTP/1.1 099 x", false},
		{"HTTP/1.1 101 x", false},
		{"HTTP/1.1 600 x", false},
		{"HTTP/1.1 999 x", false},
		{"HTTP/2.0 200 x", false},
		{"HTTP/1.1 200", true},
		{"HTTP/1.0 200 x", true},
		{"HTTP/1.1 599 x", true},
	}
	for _, tt := range tests {
		t.Run(tt.line, func(t *testing.T) {
			s := newScriptedServer(t, func(_ int64, c net.Conn, _ *http.Request) {
				_, _ = io.WriteString(c, tt.line+"\r\nContent-Length: 0\r\n\r\n")
			})
			client := http1.NewClient()
			client.Observe(http1.Observer{Answered: func(string, int, http.Header) { require.True(t, tt.valid, "an observer saw it") }})
			ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
			defer cancel()
			_, err := get(ctx, client, s.address)
			require.NoError(t, ctx.Err(), "the client waited for another response")
			if tt.valid {
				require.NoError(t, err)
				return
			}
			require.ErrorIs(t, err, http1.ErrInvalidResponse)
			require.False(t, http1.NotSent(err))
			require.Zero(t, client.Connections())
		})
	}
}

// TestLongGarbage guards against log lines as long as what a server in trouble sends.
func TestLongGarbage(t *testing.T) {
	garbage := strings.Repeat("\x00", 10_000)
	for _, head := range []string{garbage, "HTTP/1.1 " + garbage, "HTTP/1.1 200 OK\r\n" + garbage, "HTTP/1.1 000 " + garbage, "HTTP/1.1 200 OK\r\nContent-Length: " + garbage} {
		t.Run(head[:15], func(t *testing.T) {
			s := newScriptedServer(t, func(_ int64, c net.Conn, _ *http.Request) { _, _ = io.WriteString(c, head+"\r\n\r\n") })
			_, err := get(t.Context(), http1.NewClient(), s.address)
			require.Error(t, err)
			require.Less(t, len(err.Error()), 1000)
			require.False(t, http1.NotSent(err))
		})
	}
}

// TestHeadBrokenOff guards against responses that end within their head and would be taken
// for whole ones with an empty or short body.
func TestHeadBrokenOff(t *testing.T) {
	head := "HTTP/1.1 200 OK\r\nX-Server-Seal: s\r\nContent-Type: text/plain\r\nContent-Length: 12\r\n\r\n"
	for length := range len(head) {
		for _, reset := range []bool{false, true} {
			server := newScriptedServer(t, func(_ int64, c net.Conn, _ *http.Request) {
				_, _ = io.WriteString(c, head[:length])
				if reset {
					_ = c.(*net.TCPConn).SetLinger(0)
				}
				_ = c.Close()
			})
			_, err := http1.NewClient().Do(t.Context(), server.address, &http1.Request{Method: "GET", URI: "/", Host: "h"})
			require.Error(t, err, "after %q", head[:length])
			require.False(t, http1.NotSent(err))
		}
	}
}

// TestLateCopyOfResponse guards against a second copy of a response, sent late, that is taken
// for the response to the next request or to the same request sent again.
func TestLateCopyOfResponse(t *testing.T) {
	tests := []struct {
		name string
		ids  [2]string
	}{
		{"the next request", [2]string{"a", "b"}},
		{"the same request again", [2]string{"a", "a"}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			var perConn sync.Map
			s := newScriptedServer(t, func(n int64, c net.Conn, r *http.Request) {
				refusal := "HTTP/1.1 503 Service Unavailable\r\nId: " + r.Header.Get("Id") + "\r\nContent-Length: 0\r\n\r\n"
				if earlier, loaded := perConn.LoadOrStore(c.RemoteAddr().String(), refusal); loaded {
					_, _ = fmt.Fprint(c, earlier)
					return
				}
				_, _ = fmt.Fprint(c, refusal)
			})
			client := http1.NewClient()
			answered := 0
			client.Observe(http1.Observer{Answered: func(string, int, http.Header) { answered++ }})
			send := func(id string) error {
				response, err := client.Do(t.Context(), s.address, &http1.Request{Method: http.MethodPost, URI: "/", Host: "h", Headers: []http1.Header{{Name: "Id", Value: id}}, Echo: "Id"})
				if err != nil {
					return err
				}
				defer response.Close()
				_, err = response.ReadAll(100)
				return err
			}
			require.NoError(t, send(tt.ids[0]))
			err := send(tt.ids[1])
			if tt.ids[0] == tt.ids[1] {
				require.NoError(t, err)
				require.EqualValues(t, 2, s.conns.Load(), "the request was sent again on its connection")
				return
			}
			require.ErrorIs(t, err, http1.ErrOtherRequest)
			require.False(t, http1.NotSent(err))
			require.Equal(t, 1, answered, "observers saw the copy")
			require.Zero(t, client.Connections())
		})
	}
}

// TestInvalidRequests guards against a request that is smuggled inside another: text with line
// breaks must not reach a server, whichever part of the request it is in.
func TestInvalidRequests(t *testing.T) {
	smuggled := "1\r\nContent-Length: 0\r\n\r\nPOST /smuggled HTTP/1.1\r\nX-Pad: 1"
	valid := func() *http1.Request {
		return &http1.Request{Method: http.MethodPost, URI: "/a?b=c", Host: "h:80", Headers: []http1.Header{{Name: "X-Note", Value: "a b"}}}
	}
	tests := []struct {
		name   string
		change func(r *http1.Request)
		valid  bool
	}{
		{"unchanged", func(*http1.Request) {}, true},
		{"other characters in a value", func(r *http1.Request) { r.Headers[0].Value = "ä\t{}" }, true},
		{"line breaks in a value", func(r *http1.Request) { r.Headers[0].Value = smuggled }, false},
		{"a line feed in a value", func(r *http1.Request) { r.Headers[0].Value = "1\nX-Tenant: b" }, false},
		{"a carriage return in a value", func(r *http1.Request) { r.Headers[0].Value = "1\rX-Tenant: b" }, false},
		{"a null byte in a value", func(r *http1.Request) { r.Headers[0].Value = "1\x00" }, false},
		{"white space around a value", func(r *http1.Request) { r.Headers[0].Value = " 1\t" }, true},
		{"line breaks in a name", func(r *http1.Request) { r.Headers[0].Name = "X-Note: 1\r\nX-Tenant" }, false},
		{"a space in a name", func(r *http1.Request) { r.Headers[0].Name = "Content-Length " }, false},
		{"a colon in a name", func(r *http1.Request) { r.Headers[0].Name = "X-Tenant: b, x" }, false},
		{"an empty name", func(r *http1.Request) { r.Headers[0].Name = "" }, false},
		{"line breaks in the target", func(r *http1.Request) { r.URI = "/a HTTP/1.1\r\n\r\nPOST /smuggled" }, false},
		{"a space in the target", func(r *http1.Request) { r.URI = "/a b" }, false},
		{"a target that is no path", func(r *http1.Request) { r.URI = "a" }, false},
		{"line breaks in the host", func(r *http1.Request) { r.Host = "h\r\nX-Tenant: b" }, false},
		{"a space in the method", func(r *http1.Request) { r.Method = "GET /smuggled" }, false},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			s := newScriptedServer(t, func(_ int64, c net.Conn, _ *http.Request) { _, _ = fmt.Fprint(c, completeResponse) })
			request := valid()
			tt.change(request)
			response, err := http1.NewClient().Do(t.Context(), s.address, request)
			if tt.valid {
				require.NoError(t, err)
				response.Close()
				return
			}
			require.ErrorIs(t, err, http1.ErrInvalidRequest)
			require.True(t, http1.NotSent(err))
			require.Zero(t, s.conns.Load())
		})
	}
}

// TestConnectionsToFormerServers guards against idle connections to servers that are gone, which
// are never used again, and so were never closed.
func TestConnectionsToFormerServers(t *testing.T) {
	answer := func(_ int64, c net.Conn, _ *http.Request) {
		_, _ = fmt.Fprint(c, "HTTP/1.1 200 OK\r\nKeep-Alive: timeout=1\r\nContent-Length: 2\r\n\r\nok")
	}
	client := http1.NewClient()
	const former = 20
	for range former {
		_, err := get(t.Context(), client, newScriptedServer(t, answer).address)
		require.NoError(t, err)
	}
	require.Equal(t, former, client.Connections())
	left := newScriptedServer(t, answer)
	require.Eventually(t, func() bool {
		_, err := get(t.Context(), client, left.address)
		return err == nil && client.Connections() == 1
	}, 10*time.Second, 50*time.Millisecond, "connections to former servers stay open")
}

// TestReuseOnly guards against a probe that opens a connection, which is billed: without an idle
// one, it must fail without being sent.
func TestReuseOnly(t *testing.T) {
	s := newScriptedServer(t, func(_ int64, c net.Conn, _ *http.Request) { _, _ = fmt.Fprint(c, completeResponse) })
	client := http1.NewClient()
	probe := func() error {
		response, err := client.Do(t.Context(), s.address, &http1.Request{Method: http.MethodGet, URI: "/", Host: "h", ReuseOnly: true})
		if err != nil {
			return err
		}
		defer response.Close()
		_, err = response.ReadAll(1 << 20)
		return err
	}
	err := probe()
	require.ErrorIs(t, err, http1.ErrNoConnection)
	require.True(t, http1.NotSent(err))
	require.Zero(t, s.conns.Load())
	_, err = get(t.Context(), client, s.address)
	require.NoError(t, err)
	require.NoError(t, probe())
	require.Equal(t, int64(1), s.conns.Load())
	require.Equal(t, int64(2), s.requests.Load())
}
