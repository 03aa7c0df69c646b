package web

import (
	"context"
	"errors"
	"net"
	"syscall"
	"time"

	"cactusspoke/internal/intake"

	"github.com/cloudwego/hertz/pkg/app"
	"golang.org/x/sys/unix"
)

// connectionKey is the context key of the connection that a request came on.
type connectionKey struct{}

// withConnection returns the context of the requests on a connection.
func withConnection(conn net.Conn) context.Context {
	return context.WithValue(context.Background(), connectionKey{}, conn)
}

// receive returns the handler for the HTTP library. It receives the body of a request
// before it calls handler. The library reads nothing from the connection while a request is
// handled, so it would notice only afterwards that the peer has closed it.
func (s *Server) receive(handler Handler) app.HandlerFunc {
	return func(ctx context.Context, c *app.RequestContext) {
		conn, ok := ctx.Value(connectionKey{}).(*meteredConn)
		if !ok {
			handler(ctx, c)
			return
		}
		conn.beginRequest(s.intake.owner(c))
		defer func() { conn.endRequest(bufferedBytes(c), conn.holdResponse(c)) }()
		if !s.receiveBody(conn, c) {
			return
		}
		work, err := s.chargeWork(conn, c)
		if err == nil && !conn.account.Enter(intake.Running) {
			err = intake.ErrExhausted
		}
		if err != nil {
			s.refuse(conn, c, err)
			return
		}
		defer conn.account.Release(work)
		ctx, cancel := context.WithCancel(ctx)
		defer cancel()
		stop := watchClose(conn.TCPConn, cancel)
		defer stop()
		handler(ctx, c)
	}
}

// bufferedBytes returns what the HTTP library has read behind the current request.
func bufferedBytes(c *app.RequestContext) []byte {
	reader := c.GetReader()
	if reader.Len() == 0 {
		return nil
	}
	buffered, _ := reader.Peek(reader.Len())
	return buffered
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
