// Package http1 is an HTTP/1.1 client for backend servers and the platform. It
// manages its own connections: it never sends a request twice, never reuses a
// connection that may carry bytes of an earlier response, and closes the
// connection when the context ends, so that a backend server learns that the
// caller no longer waits.
package http1

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/zeebo/errs"
	"golang.org/x/sys/unix"
)

// Class is the error class of this package.
var Class = errs.Class("http1")

const (
	// dialTimeout bounds connection setup. Servers are at most a few
	// milliseconds away.
	dialTimeout = 300 * time.Millisecond
	// minDialWait is the wait after which a server that has not accepted a connection
	// counts as unreachable.
	minDialWait = 150 * time.Millisecond
	// keepAliveInterval is the idle time before the first TCP keep-alive probe
	// and the interval between probes: a dead connection is detected after
	// about three intervals.
	keepAliveInterval = time.Second
	// keepAliveProbes is the number of unanswered probes after which a
	// connection is closed.
	keepAliveProbes = 2
	// tcpUserTimeout bounds how long sent data may stay unacknowledged.
	tcpUserTimeout = 2 * time.Second
	// maxIdleTime bounds how long a connection is kept for its next request,
	// unless the server announces a shorter time.
	maxIdleTime = 20 * time.Second
	// idleTimeoutMargin is subtracted from the server's idle timeout, so that a
	// request is not sent while the server closes the connection.
	idleTimeoutMargin = 500 * time.Millisecond
	// sweepInterval is the time between two searches for idle connections that may not be
	// reused any more. Servers that are gone are not used again, so nothing else finds theirs.
	sweepInterval = 2 * time.Second
	// maxIdlePerAddress bounds the number of idle connections to one address.
	maxIdlePerAddress = 16
	// readBufferBytes is the size of a connection's read buffer.
	readBufferBytes = 2048
	// maxHeadBytes bounds the headers of a response, including those of the
	// informational responses before it. A server in trouble may send bytes
	// without end.
	maxHeadBytes = 64 << 10
	// headerCapacity is the space in bytes allocated for the request line and
	// headers of a request.
	headerCapacity = 512
)

// Header is one header of a request.
type Header struct{ Name, Value string }

// Request is an HTTP request. Body is nil if the request has no body.
type Request struct {
	Method  string
	URI     string
	Host    string
	Headers []Header
	Body    []byte
	// Echo names a header of the request that its response repeats. A response with another
	// value belongs to another request. Empty: responses are not checked.
	Echo string
	// ReuseOnly means that the request is worth no new connection: without an idle one, it is
	// not sent and fails with ErrNoConnection.
	ReuseOnly bool
}

// header returns the first value of a header; empty if there is none.
func (r *Request) header(name string) string {
	for _, h := range r.Headers {
		if strings.EqualFold(h.Name, name) {
			return h.Value
		}
	}
	return ""
}

// ErrOtherRequest means that the response on the connection belongs to another request, whose
// server sent it a second time. It says nothing about whether this request ran.
var ErrOtherRequest = Class.New("response to another request")

// ErrInvalidResponse means that the server's response is not one of HTTP/1: its status is none
// that a request can get, its version is another or its headers are too long. It says nothing
// about whether the request ran.
var ErrInvalidResponse = Class.New("invalid response")

// ErrNoConnection means that a request with ReuseOnly found no idle connection.
var ErrNoConnection = Class.New("no idle connection")

// Error is a failed exchange. It records whether the request may have been sent.
type Error struct {
	sent  bool
	cause error
}

// Error implements the error interface.
func (e *Error) Error() string { return "http1: " + e.cause.Error() }

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.cause }

// Sent reports whether any byte of the request may have reached the server.
func (e *Error) Sent() bool { return e.sent }

// NotSent reports whether an error proves that no byte of the request was sent.
func NotSent(err error) bool {
	var e *Error
	return errors.As(err, &e) && !e.sent
}

// Client sends requests and pools idle connections by address. It is safe for
// concurrent use.
type Client struct {
	mu       sync.Mutex
	idle     map[string][]*conn
	sweptAt  time.Time
	open     atomic.Int64
	observer Observer
	dialer   DialFunc
}

// Observer is notified of the requests that a client sends. Its functions are called without
// locks held and may be nil.
type Observer struct {
	// Sent is called before a request is written to a connection to an address.
	Sent func(address string)
	// Answered is called with the head of each response.
	Answered func(address string, status int, header http.Header)
	// Dialed is called after each attempt to open a connection, unless it was given up
	// before the server had time to respond. It took some time; err is nil if the connection
	// is open.
	Dialed func(address string, took time.Duration, err error)
}

// Combine returns an observer that notifies several others.
func Combine(observers ...Observer) Observer {
	return Observer{
		Sent: func(address string) {
			for _, o := range observers {
				if o.Sent != nil {
					o.Sent(address)
				}
			}
		},
		Answered: func(address string, status int, header http.Header) {
			for _, o := range observers {
				if o.Answered != nil {
					o.Answered(address, status, header)
				}
			}
		},
		Dialed: func(address string, took time.Duration, err error) {
			for _, o := range observers {
				if o.Dialed != nil {
					o.Dialed(address, took, err)
				}
			}
		},
	}
}

// DialFunc opens a connection to an address. The connection must be a syscall.Conn.
type DialFunc func(ctx context.Context, address string) (net.Conn, error)

// Observe sets the observer. It must be called before the first request.
func (c *Client) Observe(o Observer) { c.observer = o }

// NewClient returns a client with an empty connection pool.
func NewClient() *Client { return &Client{idle: map[string][]*conn{}, dialer: dialTCP} }

// UseDialer replaces the function that opens connections. It must be called before the
// first request.
func (c *Client) UseDialer(dial DialFunc) { c.dialer = dial }

// Connect opens a connection to an address, to find out whether it can be reached. It keeps
// the connection for a later request if there is no other.
func (c *Client) Connect(ctx context.Context, address string) error {
	cn, err := c.dial(ctx, address)
	if err != nil {
		return err
	}
	c.mu.Lock()
	spare := len(c.idle[address]) > 0
	c.mu.Unlock()
	if spare {
		return cn.Close()
	}
	c.putIdle(cn, maxIdleTime)
	return nil
}

// Connections returns the number of open connections.
func (c *Client) Connections() int { return int(c.open.Load()) }

type conn struct {
	net.Conn
	client        *Client
	closed        atomic.Bool
	limiter       *headLimiter
	reader        *bufio.Reader
	address       string
	reuseDeadline time.Time
	// answered is the value of Request.Echo in the last request. The same request is not sent
	// here again, since a second copy of that response could not be told from its own.
	answered string
}

// Close closes the connection. It may be called more than once.
func (cn *conn) Close() error {
	if !cn.closed.Swap(true) {
		cn.client.open.Add(-1)
	}
	return cn.Conn.Close()
}

// errHeadTooLong means that a server sent more than maxHeadBytes of headers.
var errHeadTooLong = Class.New("%w: headers are longer than %d bytes", ErrInvalidResponse, maxHeadBytes)

// headLimiter limits the bytes read from a connection while the headers of a
// response are read.
type headLimiter struct {
	inner     io.Reader
	limited   bool
	remaining int
}

// begin starts the limit for the headers of one response.
func (l *headLimiter) begin() { l.limited, l.remaining = true, maxHeadBytes }

// end lifts the limit.
func (l *headLimiter) end() { l.limited = false }

// Read implements io.Reader.
func (l *headLimiter) Read(p []byte) (int, error) {
	if !l.limited {
		return l.inner.Read(p)
	}
	if l.remaining <= 0 {
		return 0, errHeadTooLong
	}
	n, err := l.inner.Read(p[:min(len(p), l.remaining)])
	l.remaining -= n
	return n, err
}

// Do sends a request once and returns after the response headers have arrived.
// The caller must close the response. The context bounds the whole exchange,
// including the response body. A response that does not repeat the header named by
// Request.Echo is an ErrOtherRequest; observers do not see it, and the connection, on which
// the right one may follow, is closed. So is that of an ErrInvalidResponse, which observers do
// not see either. A request that cannot be sent as it is is an ErrInvalidRequest.
func (c *Client) Do(ctx context.Context, address string, r *Request) (*Response, error) {
	if err := r.Validate(); err != nil {
		return nil, &Error{cause: err}
	}
	echo := r.header(r.Echo)
	cn, err := c.acquire(ctx, address, echo, r.ReuseOnly)
	if err != nil {
		return nil, &Error{cause: err}
	}
	cn.answered = echo
	stopCancelWatch := context.AfterFunc(ctx, func() { _ = cn.Close() })
	if c.observer.Sent != nil {
		c.observer.Sent(address)
	}
	response, err := roundTrip(cn, r)
	if err == nil && r.Echo != "" && response.Header.Get(r.Echo) != echo {
		err = ErrOtherRequest
	}
	if err != nil {
		stopCancelWatch()
		_ = cn.Close()
		if ctx.Err() != nil {
			err = ctx.Err()
		}
		return nil, &Error{sent: true, cause: err}
	}
	if c.observer.Answered != nil {
		c.observer.Answered(address, response.StatusCode, response.Header)
	}
	return &Response{httpResponse: response, conn: cn, client: c, stopCancelWatch: stopCancelWatch, ctx: ctx}, nil
}

// acquire returns a reusable idle connection or opens a new one, unless reuseOnly is set. The
// last request on the connection was not the one that echo identifies.
func (c *Client) acquire(ctx context.Context, address, echo string, reuseOnly bool) (*conn, error) {
	for {
		cn := c.popIdle(address, echo)
		if cn == nil {
			if reuseOnly {
				return nil, ErrNoConnection
			}
			return c.dial(ctx, address)
		}
		if time.Now().Before(cn.reuseDeadline) && cn.reusable() {
			return cn, nil
		}
		_ = cn.Close()
	}
}

// popIdle removes and returns the connection that became idle last, of those whose last
// request was not the one that echo identifies; nil if there is none.
func (c *Client) popIdle(address, echo string) *conn {
	c.mu.Lock()
	defer c.mu.Unlock()
	conns := c.idle[address]
	for i := len(conns) - 1; i >= 0; i-- {
		cn := conns[i]
		if echo != "" && cn.answered == echo {
			continue
		}
		if len(conns) == 1 {
			delete(c.idle, address)
		} else {
			c.idle[address] = slices.Delete(conns, i, i+1)
		}
		return cn
	}
	return nil
}

func (c *Client) dial(ctx context.Context, address string) (*conn, error) {
	dialCtx, cancel := context.WithTimeout(ctx, dialTimeout)
	defer cancel()
	startedAt := time.Now()
	inner, err := c.dialer(dialCtx, address)
	took := time.Since(startedAt)
	givenUp := ctx.Err() != nil && took < minDialWait
	if c.observer.Dialed != nil && !givenUp {
		c.observer.Dialed(address, took, err)
	}
	if err != nil {
		return nil, Class.Wrap(err)
	}
	c.open.Add(1)
	limiter := &headLimiter{inner: inner}
	return &conn{Conn: inner, client: c, limiter: limiter, reader: bufio.NewReaderSize(limiter, readBufferBytes), address: address}, nil
}

// dialTCP opens a connection that detects a dead peer by itself.
func dialTCP(ctx context.Context, address string) (net.Conn, error) {
	dialer := net.Dialer{
		KeepAliveConfig: net.KeepAliveConfig{
			Enable: true, Idle: keepAliveInterval, Interval: keepAliveInterval, Count: keepAliveProbes,
		},
		Control: func(_, _ string, raw syscall.RawConn) error {
			var failed error
			err := raw.Control(func(fd uintptr) {
				failed = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(tcpUserTimeout.Milliseconds()))
			})
			return errors.Join(err, failed)
		},
	}
	return dialer.DialContext(ctx, "tcp4", address)
}

// putIdle returns a connection to the pool after a complete exchange.
func (c *Client) putIdle(cn *conn, idle time.Duration) {
	now := time.Now()
	cn.reuseDeadline = now.Add(idle)
	c.mu.Lock()
	expired := c.sweep(now)
	full := len(c.idle[cn.address]) >= maxIdlePerAddress
	if !full {
		c.idle[cn.address] = append(c.idle[cn.address], cn)
	}
	c.mu.Unlock()
	if full {
		expired = append(expired, cn)
	}
	for _, old := range expired {
		_ = old.Close()
	}
}

// sweep removes and returns the idle connections that may not be reused any more, once in
// sweepInterval. The caller holds mu.
func (c *Client) sweep(now time.Time) []*conn {
	if now.Sub(c.sweptAt) < sweepInterval {
		return nil
	}
	c.sweptAt = now
	var expired []*conn
	for address, conns := range c.idle {
		kept := slices.DeleteFunc(conns, func(cn *conn) bool {
			if now.Before(cn.reuseDeadline) {
				return false
			}
			expired = append(expired, cn)
			return true
		})
		if len(kept) == 0 {
			delete(c.idle, address)
		} else {
			c.idle[address] = kept
		}
	}
	return expired
}

// reusable reports whether an idle connection is still open and holds no
// unsolicited bytes.
func (cn *conn) reusable() bool {
	if cn.reader.Buffered() > 0 {
		return false
	}
	socket, ok := cn.Conn.(syscall.Conn)
	if !ok {
		return false
	}
	raw, err := socket.SyscallConn()
	if err != nil {
		return false
	}
	reusable := false
	err = raw.Read(func(fd uintptr) bool {
		var one [1]byte
		_, _, failed := unix.Recvfrom(int(fd), one[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
		reusable = errors.Is(failed, unix.EAGAIN)
		return true
	})
	return err == nil && reusable
}

// roundTrip writes a request and reads the headers of its final response. It
// skips informational responses.
func roundTrip(cn *conn, r *Request) (*http.Response, error) {
	if _, err := cn.Write(encodeRequest(r)); err != nil {
		return nil, Class.Wrap(err)
	}
	cn.limiter.begin()
	defer cn.limiter.end()
	for {
		response, err := http.ReadResponse(cn.reader, &http.Request{Method: r.Method})
		if err != nil {
			return nil, shorten(err)
		}
		if err := validateStatus(response); err != nil {
			return nil, err
		}
		if response.StatusCode >= http.StatusOK {
			return response, nil
		}
	}
}

// maxStatus is the highest status code of HTTP.
const maxStatus = 599

// validateStatus returns an ErrInvalidResponse if HTTP/1 has no such status line in response to
// requests of this package, which never ask to switch protocols. The parser of net/http accepts
// any number and version.
func validateStatus(r *http.Response) error {
	if r.ProtoMajor != 1 || r.StatusCode < http.StatusContinue || r.StatusCode > maxStatus || r.StatusCode == http.StatusSwitchingProtocols {
		return Class.New("%w: status line %.*q", ErrInvalidResponse, maxQuotedBytes, r.Proto+" "+r.Status)
	}
	return nil
}

// maxQuotedBytes limits what an error quotes of a server's response, since errors are logged.
const maxQuotedBytes = 128

// shorten wraps an error of the parser of net/http, which quotes lines of any length.
func shorten(err error) error {
	if text := err.Error(); len(text) > maxQuotedBytes {
		return Class.New("%w: %.*q...", ErrInvalidResponse, maxQuotedBytes, text)
	}
	return Class.Wrap(err)
}

// encodeRequest serializes a request.
func encodeRequest(r *Request) []byte {
	b := make([]byte, 0, headerCapacity+len(r.Body))
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

// Response is a server's response. Its body is read with Read, ReadAll or Drain.
type Response struct {
	httpResponse    *http.Response
	conn            *conn
	client          *Client
	stopCancelWatch func() bool
	ctx             context.Context
	bodyComplete    bool
	closed          bool
}

// Status returns the HTTP status code.
func (r *Response) Status() int { return r.httpResponse.StatusCode }

// Header returns the first value of a header.
func (r *Response) Header(name string) string { return r.httpResponse.Header.Get(name) }

// Headers returns all headers of the response.
func (r *Response) Headers() http.Header { return r.httpResponse.Header }

// BodyLength returns the length of the body that the server named, or 0 if it named none or
// the response has no body.
func (r *Response) BodyLength() int64 {
	if r.httpResponse.Body == http.NoBody {
		return 0
	}
	return max(0, r.httpResponse.ContentLength)
}

// Read reads the body. It returns io.EOF only if the body is complete.
func (r *Response) Read(p []byte) (int, error) {
	n, err := r.httpResponse.Body.Read(p)
	if errors.Is(err, io.EOF) {
		r.bodyComplete = true
		return n, io.EOF
	}
	if err != nil {
		return n, &Error{sent: true, cause: Class.Wrap(err)}
	}
	return n, nil
}

// ReadAll reads the whole body. It returns an error if the body is longer than
// limit bytes.
func (r *Response) ReadAll(limit int64) ([]byte, error) {
	body, err := io.ReadAll(io.LimitReader(r, limit+1))
	if err != nil {
		return nil, err
	}
	if int64(len(body)) > limit {
		return nil, &Error{sent: true, cause: Class.New("response body is longer than %d bytes", limit)}
	}
	return body, nil
}

// Drain reads the body to its end without keeping it. It returns an error if the body is longer
// than limit bytes.
func (r *Response) Drain(limit int64) error {
	n, err := io.Copy(io.Discard, io.LimitReader(r, limit+1))
	if err != nil {
		return err
	}
	if n > limit {
		return &Error{sent: true, cause: Class.New("response body is longer than %d bytes", limit)}
	}
	return nil
}

// Close ends the exchange. The connection returns to the pool if the body was
// read to its end and no further bytes follow; otherwise it is closed.
func (r *Response) Close() {
	if r.closed {
		return
	}
	r.closed = true
	notCancelled := r.stopCancelWatch()
	idle := idleTimeout(r.httpResponse.Header)
	if !notCancelled || !r.bodyComplete || r.httpResponse.Close || r.conn.reader.Buffered() > 0 || idle <= 0 {
		_ = r.conn.Close()
		return
	}
	r.client.putIdle(r.conn, idle)
}

// Interrupt closes the connection, so that reads of the body fail. It may be called at the same
// time as other methods.
func (r *Response) Interrupt() { _ = r.conn.Close() }

// Abort closes the connection, so that the server stops processing the request.
func (r *Response) Abort() {
	r.bodyComplete = false
	r.Close()
}

// idleTimeout returns how long an idle connection may be reused, from the
// timeout in the server's Keep-Alive header.
func idleTimeout(h http.Header) time.Duration {
	_, after, found := strings.Cut(strings.ToLower(h.Get("Keep-Alive")), "timeout=")
	if !found {
		return maxIdleTime
	}
	digits, _, _ := strings.Cut(after, ",")
	seconds, err := strconv.Atoi(strings.TrimSpace(digits))
	if err != nil {
		return maxIdleTime
	}
	return min(maxIdleTime, time.Duration(seconds)*time.Second-idleTimeoutMargin)
}
