package web

import (
	"errors"
	"time"

	"github.com/cloudwego/hertz/pkg/network"
	"github.com/cloudwego/hertz/pkg/network/netpoll"
)

// errStale says that a pooled connection cannot carry another request. It
// comes before the first byte is written, so the request was not sent.
var errStale = errors.New("the pooled connection was closed by the peer or holds late data")

// dial connects to an IP address and port.
func dial(address string) (network.Conn, error) {
	conn, err := netpoll.NewDialer().DialConnection("tcp", address, dialTimeout, nil)
	if err != nil {
		return nil, errors.Join(ErrNotSent, err)
	}
	plain, ok := conn.(*netpoll.Conn)
	if !ok {
		return nil, errors.Join(ErrNotSent, errors.New("the HTTP library gave another kind of connection"))
	}
	return &onceConn{Conn: plain}, nil
}

// onceConn keeps the library from sending a request twice. The library sends
// an idempotent method again when a reused connection is closed before the
// first byte of the answer, though the peer may have run the request; it knows
// the case by exact errors, which this connection replaces.
//
// It also refuses to begin a request on a connection that the peer closed
// while it lay in the pool, or on which an answer arrived that nobody waits
// for. Without this, the death of an idle peer would look like a crash during
// the next request.
type onceConn struct {
	*netpoll.Conn
	awaiting bool
}

// SetWriteTimeout is the first thing that the library does for a request.
func (c *onceConn) SetWriteTimeout(d time.Duration) error {
	inner, ok := c.Conn.Conn.(interface{ IsActive() bool })
	if (ok && !inner.IsActive()) || c.Len() > 0 {
		return errors.Join(ErrNotSent, errStale)
	}
	c.awaiting = true
	return c.Conn.SetWriteTimeout(d)
}

// Peek waits for the first byte of an answer, among others.
func (c *onceConn) Peek(n int) ([]byte, error) {
	data, err := c.Conn.Peek(n)
	if err != nil && c.awaiting {
		return data, lost(err)
	}
	c.awaiting = false
	return data, err
}

// ToHertzError is asked what a failed write or the wait for the first byte
// means to the library.
func (c *onceConn) ToHertzError(err error) error { return lost(c.Conn.ToHertzError(err)) }

// lost returns an error that the library takes for none of its own.
func lost(err error) error { return Class.New("connection lost: %s", err.Error()) }
