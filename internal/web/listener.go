package web

import (
	"context"
	"errors"
	"net"
	"sync"
	"time"

	"github.com/cloudwego/hertz/pkg/common/config"
	"github.com/cloudwego/hertz/pkg/network"
	"github.com/cloudwego/hertz/pkg/network/standard"
)

// acceptPause is the wait after a failed accept, such as one without a free descriptor. The
// HTTP library would end the server.
const acceptPause = 20 * time.Millisecond

// meteredListener admits connections to an intake.
type meteredListener struct {
	net.Listener
	intake       *Intake
	maxBodyBytes int
}

// Accept returns the next connection that the intake admits.
func (l *meteredListener) Accept() (net.Conn, error) {
	for {
		conn, err := l.Listener.Accept()
		if errors.Is(err, net.ErrClosed) {
			return nil, err
		}
		if err != nil {
			time.Sleep(acceptPause)
			continue
		}
		metered := newMeteredConn(conn.(*net.TCPConn), l.intake, l.maxBodyBytes)
		if metered.account == nil {
			_ = conn.Close()
			continue
		}
		return metered, nil
	}
}

// transporter is the HTTP library's transport on a meteredListener.
type transporter struct {
	options *config.Options
	server  *Server
	mu      sync.Mutex
	inner   network.Transporter
}

// ListenAndServe listens and serves until Close or Shutdown.
func (t *transporter) ListenAndServe(onData network.OnData) error {
	l, err := net.Listen(t.options.Network, t.options.Addr)
	if err != nil {
		return err
	}
	t.options.Listener = &meteredListener{Listener: l, intake: t.server.intake, maxBodyBytes: t.server.maxBodyBytes}
	t.mu.Lock()
	t.inner = standard.NewTransporter(t.options)
	inner := t.inner
	t.mu.Unlock()
	return inner.ListenAndServe(onData)
}

// Close closes the transport at once.
func (t *transporter) Close() error {
	if inner := t.current(); inner != nil {
		return inner.Close()
	}
	return nil
}

// Shutdown waits until the running requests have ended.
func (t *transporter) Shutdown(ctx context.Context) error {
	if inner := t.current(); inner != nil {
		return inner.Shutdown(ctx)
	}
	return nil
}

func (t *transporter) current() network.Transporter {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.inner
}
