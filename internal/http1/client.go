// Package http1 is the HTTP/1.1 client towards backend servers and the
// platform. It owns its connections: it never sends a request twice, never
// reuses a connection that may carry bytes of an earlier exchange, and closes
// the connection when the context ends, which is how a backend server learns
// that nobody waits any more.
package http1

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/zeebo/errs"
	"golang.org/x/sys/unix"
)

// Class prefixes the errors of this package.
var Class = errs.Class("http1")

const (
	// dialTimeout bounds the opening of a connection; addresses of the system
	// are at most some milliseconds away.
	dialTimeout = 300 * time.Millisecond
	// keepAliveProbe is the pause before and between keep-alive probes: a
	// silent connection is noticed after about three of them.
	keepAliveProbe = time.Second
	// keepAliveCount is how many unanswered probes end a connection.
	keepAliveCount = 2
	// userTimeout bounds how long sent bytes may stay unacknowledged.
	userTimeout = 2 * time.Second
	// maxIdle bounds how long a connection waits for its next request where the
	// peer names no shorter time.
	maxIdle = 20 * time.Second
	// idleMargin is taken off the peer's own idle time-out, so that a request
	// does not cross the peer's close.
	idleMargin = 500 * time.Millisecond
	// maxIdlePerPeer bounds the idle connections to one address.
	maxIdlePerPeer = 16
	// readBuffer is the size in bytes of a connection's read buffer.
	readBuffer = 2048
)

// Header is one header of a request.
type Header struct{ Name, Value string }

// Request is what is sent. A request without a body has a nil Body.
type Request struct {
	Method  string
	URI     string
	Host    string
	Headers []Header
	Body    []byte
}

// Error tells how far a failed exchange got.
type Error struct {
	sent  bool
	cause error
}

// Error returns the cause's message.
func (e *Error) Error() string { return "http1: " + e.cause.Error() }

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.cause }

// Sent tells whether any byte of the request may have reached the peer.
func (e *Error) Sent() bool { return e.sent }

// NotSent tells whether an error proves that nothing of the request left.
func NotSent(err error) bool {
	var e *Error
	return errors.As(err, &e) && !e.sent
}

// Client keeps connections to many peers. It is safe for concurrent use.
type Client struct {
	mu   sync.Mutex
	idle map[string][]*conn
}

// NewClient returns a client without connections.
func NewClient() *Client { return &Client{idle: map[string][]*conn{}} }

type conn struct {
	net.Conn
	reader  *bufio.Reader
	address string
	expires time.Time
}

// Do sends a request once and returns when the response's headers are there.
// The caller must Close the response. The context bounds the whole exchange,
// the body included.
func (c *Client) Do(ctx context.Context, address string, r *Request) (*Response, error) {
	cn, err := c.take(ctx, address)
	if err != nil {
		return nil, &Error{cause: err}
	}
	release := context.AfterFunc(ctx, func() { _ = cn.Close() })
	response, err := exchange(cn, r)
	if err != nil {
		release()
		_ = cn.Close()
		if ctx.Err() != nil {
			err = ctx.Err()
		}
		return nil, &Error{sent: true, cause: err}
	}
	return &Response{inner: response, conn: cn, client: c, release: release, ctx: ctx}, nil
}

func (c *Client) take(ctx context.Context, address string) (*conn, error) {
	for {
		cn := c.pop(address)
		if cn == nil {
			return c.dial(ctx, address)
		}
		if time.Now().Before(cn.expires) && cn.quiet() {
			return cn, nil
		}
		_ = cn.Close()
	}
}

func (c *Client) pop(address string) *conn {
	c.mu.Lock()
	defer c.mu.Unlock()
	conns := c.idle[address]
	if len(conns) == 0 {
		return nil
	}
	cn := conns[len(conns)-1]
	if len(conns) == 1 {
		delete(c.idle, address)
	} else {
		c.idle[address] = conns[:len(conns)-1]
	}
	return cn
}

func (c *Client) dial(ctx context.Context, address string) (*conn, error) {
	dialer := net.Dialer{
		Timeout: dialTimeout,
		KeepAliveConfig: net.KeepAliveConfig{
			Enable: true, Idle: keepAliveProbe, Interval: keepAliveProbe, Count: keepAliveCount,
		},
		Control: func(_, _ string, raw syscall.RawConn) error {
			var failed error
			err := raw.Control(func(fd uintptr) {
				failed = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(userTimeout.Milliseconds()))
			})
			return errors.Join(err, failed)
		},
	}
	inner, err := dialer.DialContext(ctx, "tcp4", address)
	if err != nil {
		return nil, Class.Wrap(err)
	}
	return &conn{Conn: inner, reader: bufio.NewReaderSize(inner, readBuffer), address: address}, nil
}

// put returns a connection to the pool after a clean exchange.
func (c *Client) put(cn *conn, idle time.Duration) {
	cn.expires = time.Now().Add(idle)
	c.mu.Lock()
	full := len(c.idle[cn.address]) >= maxIdlePerPeer
	if !full {
		c.idle[cn.address] = append(c.idle[cn.address], cn)
	}
	c.mu.Unlock()
	if full {
		_ = cn.Close()
	}
}

// quiet tells whether an idle connection is open and holds no bytes that
// belong to no request.
func (cn *conn) quiet() bool {
	if cn.reader.Buffered() > 0 {
		return false
	}
	raw, err := cn.Conn.(*net.TCPConn).SyscallConn()
	if err != nil {
		return false
	}
	quiet := false
	err = raw.Read(func(fd uintptr) bool {
		var one [1]byte
		_, _, failed := unix.Recvfrom(int(fd), one[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
		quiet = errors.Is(failed, unix.EAGAIN)
		return true
	})
	return err == nil && quiet
}

// exchange writes a request and reads the headers of its final response.
func exchange(cn *conn, r *Request) (*http.Response, error) {
	if _, err := cn.Write(encode(r)); err != nil {
		return nil, Class.Wrap(err)
	}
	for {
		response, err := http.ReadResponse(cn.reader, &http.Request{Method: r.Method})
		if err != nil {
			return nil, Class.Wrap(err)
		}
		if response.StatusCode >= http.StatusOK {
			return response, nil
		}
	}
}

// encode returns the bytes of a request.
func encode(r *Request) []byte {
	b := make([]byte, 0, 512+len(r.Body))
	b = append(b, r.Method...)
	b = append(b, ' ')
	b = append(b, r.URI...)
	b = append(b, " HTTP/1.1\r\nHost: "...)
	b = append(b, r.Host...)
	b = append(b, "\r\n"...)
	for _, h := range r.Headers {
		b = append(b, h.Name...)
		b = append(b, ": "...)
		b = append(b, h.Value...)
		b = append(b, "\r\n"...)
	}
	if r.Body != nil || r.Method == http.MethodPost || r.Method == http.MethodPut {
		b = append(b, "Content-Length: "...)
		b = strconv.AppendInt(b, int64(len(r.Body)), 10)
		b = append(b, "\r\n"...)
	}
	b = append(b, "\r\n"...)
	return append(b, r.Body...)
}

// Response is a peer's response, whose body is read through it.
type Response struct {
	inner   *http.Response
	conn    *conn
	client  *Client
	release func() bool
	ctx     context.Context
	whole   bool
	closed  bool
}

// Status returns the HTTP status code.
func (r *Response) Status() int { return r.inner.StatusCode }

// Get returns the first value of a header.
func (r *Response) Get(name string) string { return r.inner.Header.Get(name) }

// Headers returns all headers.
func (r *Response) Headers() http.Header { return r.inner.Header }

// Read reads the body. io.EOF is returned only where the body is whole.
func (r *Response) Read(p []byte) (int, error) {
	n, err := r.inner.Body.Read(p)
	if errors.Is(err, io.EOF) {
		r.whole = true
		return n, io.EOF
	}
	if err != nil {
		return n, &Error{sent: true, cause: Class.Wrap(err)}
	}
	return n, nil
}

// ReadAll reads the whole body, at most limit bytes.
func (r *Response) ReadAll(limit int64) ([]byte, error) {
	body, err := io.ReadAll(io.LimitReader(r, limit+1))
	if err != nil {
		return nil, err
	}
	if int64(len(body)) > limit {
		return nil, &Error{sent: true, cause: Class.New("body over %d bytes", limit)}
	}
	return body, nil
}

// Close ends the exchange. The connection is kept where the body was read to
// its end and nothing follows it.
func (r *Response) Close() {
	if r.closed {
		return
	}
	r.closed = true
	alive := r.release()
	idle := idleTime(r.inner.Header)
	if !alive || !r.whole || r.inner.Close || r.conn.reader.Buffered() > 0 || idle <= 0 {
		_ = r.conn.Close()
		return
	}
	r.client.put(r.conn, idle)
}

// Abort closes the connection, so that the peer stops its work.
func (r *Response) Abort() {
	r.whole = false
	r.Close()
}

// idleTime returns how long the peer keeps the connection open without a
// request.
func idleTime(h http.Header) time.Duration {
	_, after, found := strings.Cut(strings.ToLower(h.Get("Keep-Alive")), "timeout=")
	if !found {
		return maxIdle
	}
	digits, _, _ := strings.Cut(after, ",")
	seconds, err := strconv.Atoi(strings.TrimSpace(digits))
	if err != nil {
		return maxIdle
	}
	return min(maxIdle, time.Duration(seconds)*time.Second-idleMargin)
}
