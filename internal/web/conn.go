package web

import (
	"errors"
	"time"

	"github.com/cloudwego/hertz/pkg/network"
	"github.com/cloudwego/hertz/pkg/network/netpoll"
)

// errStale means that a pooled connection cannot be reused. It is returned before the
// first byte is written, so the request was not sent.
var errStale = errors.New("the pooled connection was closed by the peer or has unread data")

// dial connects to address, an IP address and port.
func dial(address string) (network.Conn, error) {
	conn, err := netpoll.NewDialer().DialConnection("tcp", address, dialTimeout, nil)
	if err != nil {
		return nil, errors.Join(ErrNotSent, err)
	}
	netpollConn, ok := conn.(*netpoll.Conn)
	if !ok {
		return nil, errors.Join(ErrNotSent, errors.New("HTTP library returned a connection of an unexpected type"))
	}
	return &noRetryConn{Conn: netpollConn}, nil
}

// noRetryConn prevents the HTTP library from sending a request twice. The library
// resends a request with an idempotent method if a reused connection is closed before
// the first byte of the response, although the peer may have run the request. It
// recognises this case by specific error values, which this type replaces.
//
// It also refuses to start a request on a pooled connection that the peer has closed
// or that has unread data, such as a late response to an earlier request. Otherwise,
// a peer that exits while the connection is idle would appear to crash during the
// next request.
type noRetryConn struct {
	*netpoll.Conn
	awaitingResponse bool
}

// SetWriteTimeout checks that the connection is not stale. The library calls it first
// for each request.
func (c *noRetryConn) SetWriteTimeout(d time.Duration) error {
	inner, ok := c.Conn.Conn.(interface{ IsActive() bool })
	if (ok && !inner.IsActive()) || c.Len() > 0 {
		return errors.Join(ErrNotSent, errStale)
	}
	c.awaitingResponse = true
	return c.Conn.SetWriteTimeout(d)
}

// Peek replaces errors while the first byte of a response is awaited. The library
// also calls it for later bytes.
func (c *noRetryConn) Peek(n int) ([]byte, error) {
	data, err := c.Conn.Peek(n)
	if err != nil && c.awaitingResponse {
		return data, connectionLost(err)
	}
	c.awaitingResponse = false
	return data, err
}

// ToHertzError replaces the error that the library maps a failed write, or a failed
// wait for the first byte, to.
func (c *noRetryConn) ToHertzError(err error) error { return connectionLost(c.Conn.ToHertzError(err)) }

// connectionLost returns an error that the library does not recognise as one of its
// own.
func connectionLost(err error) error { return Class.New("connection lost: %s", err.Error()) }
