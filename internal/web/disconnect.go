package web

import (
	"context"
	"errors"
	"net"
	"syscall"
	"time"

	"github.com/cloudwego/hertz/pkg/app"
	"golang.org/x/sys/unix"
)

// connectionKey is the context key of the connection that a request came on.
type connectionKey struct{}

// withConnection returns the context of the requests on a connection.
func withConnection(conn net.Conn) context.Context {
	return context.WithValue(context.Background(), connectionKey{}, conn)
}

// untilDisconnect returns the handler for the HTTP library. The library reads nothing
// from the connection while a request is handled, so it would notice only afterwards
// that the peer has closed it.
func untilDisconnect(handler Handler) app.HandlerFunc {
	return func(ctx context.Context, c *app.RequestContext) {
		conn, ok := ctx.Value(connectionKey{}).(*net.TCPConn)
		if !ok {
			handler(ctx, c)
			return
		}
		ctx, cancel := context.WithCancel(ctx)
		defer cancel()
		stop := watchClose(conn, cancel)
		defer stop()
		handler(ctx, c)
	}
}

// watchClose calls onClose when the peer closes or resets the connection. It consumes
// no data; once the peer has sent more, it no longer sees a close behind that. stop must
// be called before the connection is read again.
func watchClose(conn *net.TCPConn, onClose func()) (stop func()) {
	raw, err := conn.SyscallConn()
	if err != nil {
		onClose()
		return func() {}
	}
	done := make(chan struct{})
	go func() {
		defer close(done)
		closed := false
		err := raw.Read(func(fd uintptr) bool {
			var ready bool
			ready, closed = peek(int(fd))
			return ready
		})
		if closed || errors.Is(err, net.ErrClosed) {
			onClose()
		}
	}()
	return func() {
		// A deadline in the past ends the wait. Each later read sets its own deadline.
		_ = conn.SetReadDeadline(time.Unix(1, 0))
		<-done
		_ = conn.SetReadDeadline(time.Time{})
	}
}

// peek reports whether a socket is readable and whether the peer has closed it.
func peek(fd int) (ready, closed bool) {
	var one [1]byte
	for {
		n, _, err := unix.Recvfrom(fd, one[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
		switch {
		case errors.Is(err, syscall.EINTR):
			continue
		case errors.Is(err, syscall.EAGAIN):
			return false, false
		default:
			return true, err != nil || n <= 0
		}
	}
}
