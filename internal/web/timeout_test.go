package web

import (
	"context"
	"fmt"
	"io"
	"net"
	"os"
	"testing"
	"time"

	"github.com/cloudwego/hertz/pkg/app"
	"github.com/stretchr/testify/require"
)

// TestSilentConnectionsAreClosed checks that a connection is closed if the peer sends
// nothing, or pauses within a request, for longer than the timeouts.
func TestSilentConnectionsAreClosed(t *testing.T) {
	const timeout = 300 * time.Millisecond
	tests := []struct{ name, sent string }{
		{"nothing", ""},
		{"a part of the headers", "GET / HTTP/1.1\r\nHost: h\r\n"},
		{"a part of the body", "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 10\r\n\r\n12345"},
		{"one request", "GET / HTTP/1.1\r\nHost: h\r\n\r\n"},
		{"one request and a part of the next", "GET / HTTP/1.1\r\nHost: h\r\n\r\nPOST / HTTP/1.1\r\nHost: h\r\nContent-Length: 10\r\n\r\n123"},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			l, err := net.Listen("tcp4", "127.0.0.1:0")
			require.NoError(t, err)
			address := l.Addr().String()
			require.NoError(t, l.Close())
			server := newServer(address, 1<<20, time.Second, timeout, timeout)
			server.HandleUnmatched(func(_ context.Context, c *app.RequestContext) { c.SetBodyString("ok") })
			go func() { _ = server.Serve(t.Context()) }()
			var conn net.Conn
			require.Eventually(t, func() bool {
				conn, err = net.Dial("tcp4", address)
				return err == nil
			}, 5*time.Second, 5*time.Millisecond)
			defer func() { _ = conn.Close() }()
			require.NoError(t, conn.SetDeadline(time.Now().Add(20*timeout)))
			_, err = fmt.Fprint(conn, test.sent)
			require.NoError(t, err)
			_, err = io.Copy(io.Discard, conn)
			require.NotErrorIs(t, err, os.ErrDeadlineExceeded, "the connection stays open")
		})
	}
}
