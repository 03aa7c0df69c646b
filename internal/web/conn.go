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
		return conn, nil
	}
	return &liveConn{Conn: plain}, nil
}

// liveConn refuses to begin a request on a connection that the peer closed
// while it lay in the pool, or on which an answer arrived that nobody waits
// for. Without this, the death of an idle peer would look like a crash during
// the next request.
type liveConn struct {
	*netpoll.Conn
}

// SetWriteTimeout is the first thing that the library does for a request.
func (c *liveConn) SetWriteTimeout(d time.Duration) error {
	inner, ok := c.Conn.Conn.(interface{ IsActive() bool })
	if (ok && !inner.IsActive()) || c.Len() > 0 {
		return errors.Join(ErrNotSent, errStale)
	}
	return c.Conn.SetWriteTimeout(d)
}
