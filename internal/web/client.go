// Package web wraps the HTTP clients and servers of this program. Its servers are
// those of the HTTP library Hertz; its client is that of package http1, which never
// resends a request by itself. Bodies are limited in size, and addresses are IP
// addresses.
//
// Both run on the network poller of the Go runtime. A library with a poller of its own
// waits in an ordinary system call, which occupies a processor of the runtime until its
// monitor takes it away: a process with one processor runs nothing else meanwhile.
package web

import (
	"context"
	"errors"
	"io"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"cactusspoke/internal/http1"
	"cactusspoke/internal/memory"

	"github.com/cloudwego/hertz/pkg/protocol"
	"github.com/zeebo/errs"
)

// Class is the error class of this package.
var Class = errs.Class("web")

// ErrNotSent means that no byte of the request has been sent.
var ErrNotSent = Class.New("request not sent")

// Limits of the client.
const (
	maxReplyBytes = 64 << 20
	// maxHeldBytes limits the bodies that a client holds at one time.
	maxHeldBytes       = 2 * maxReplyBytes
	defaultReadTimeout = 60 * time.Second
	// maxDrainBytes limits what is read of a response that is closed before its end, such
	// as the end of a stream after its last event.
	maxDrainBytes = 4 << 10
	// drainTimeout limits the wait for it.
	drainTimeout = 500 * time.Millisecond
)

// Client sends each request at most once. Buffered and streamed responses use
// separate connection pools.
type Client struct {
	buffered    *http1.Client
	streamed    *http1.Client
	readTimeout time.Duration
	bodies      *memory.Budget
}

// NewClient returns a client. readTimeout limits each read. Zero selects the default.
func NewClient(readTimeout time.Duration) (*Client, error) {
	if readTimeout == 0 {
		readTimeout = defaultReadTimeout
	}
	return &Client{buffered: http1.NewClient(), streamed: http1.NewClient(), readTimeout: readTimeout, bodies: memory.NewBudget(maxHeldBytes)}, nil
}

// Request is an HTTP request.
type Request struct {
	method      string
	url         string
	contentType string
	body        []byte
	headers     []header
}

type header struct{ name, value string }

// NewRequest returns a request without a body or headers.
func NewRequest(method, url string) *Request { return &Request{method: method, url: url} }

// WithBody sets the body and its content type.
func (r *Request) WithBody(contentType string, body []byte) *Request {
	r.contentType = contentType
	r.body = body
	return r
}

// WithHeader sets a header of the request.
func (r *Request) WithHeader(name, value string) *Request {
	r.headers = append(r.headers, header{name, value})
	return r
}

// encode returns the request and the address that it goes to.
func (r *Request) encode() (*http1.Request, string, error) {
	target, err := url.Parse(r.url)
	if err != nil {
		return nil, "", err
	}
	out := &http1.Request{Method: r.method, URI: target.RequestURI(), Host: target.Host}
	if r.contentType != "" {
		out.Headers = append(out.Headers, http1.Header{Name: "Content-Type", Value: r.contentType})
	}
	for _, h := range r.headers {
		out.Headers = append(out.Headers, http1.Header{Name: h.name, Value: h.value})
	}
	if len(r.body) > 0 {
		out.Body = r.body
	}
	return out, target.Host, nil
}

// Reply is a response with its whole body.
type Reply struct {
	status  int
	headers http.Header
	body    []byte
}

func (r *Reply) Status() int { return r.status }

func (r *Reply) Header(name string) string { return r.headers.Get(name) }

func (r *Reply) ContentType() string { return r.headers.Get("Content-Type") }

// Body returns the body. The caller may retain it.
func (r *Reply) Body() []byte { return r.body }

// Do sends a request at most once and reads the whole response. If the error is
// ErrNotSent, nothing was sent. After any other error, the server may have received
// the request.
func (c *Client) Do(ctx context.Context, r *Request) (*Reply, error) {
	stream, err := c.send(ctx, c.buffered, r)
	if err != nil {
		return nil, err
	}
	body, err := stream.ReadAll()
	if err != nil {
		stream.Abort()
		return nil, err
	}
	stream.Close()
	return &Reply{status: stream.Status(), headers: stream.response.Headers(), body: body}, nil
}

// Open sends a request at most once and returns when the response headers have
// arrived. ctx limits the whole exchange, and the client's read timeout each wait.
// Errors are as for Do.
func (c *Client) Open(ctx context.Context, r *Request) (*Stream, error) {
	return c.send(ctx, c.streamed, r)
}

func (c *Client) send(ctx context.Context, client *http1.Client, r *Request) (*Stream, error) {
	if err := ctx.Err(); err != nil {
		return nil, errors.Join(ErrNotSent, err)
	}
	request, address, err := r.encode()
	if err != nil {
		return nil, errors.Join(ErrNotSent, err)
	}
	ctx, cancel := context.WithCancelCause(ctx)
	idle := time.AfterFunc(c.readTimeout, func() { cancel(errReadTimeout) })
	response, err := client.Do(ctx, address, request)
	if err != nil {
		idle.Stop()
		cancel(nil)
		if http1.NotSent(err) {
			return nil, errors.Join(ErrNotSent, err)
		}
		return nil, readError(ctx, err)
	}
	return &Stream{
		response: response, ctx: ctx, cancel: cancel, idle: idle, timeout: c.readTimeout, account: c.bodies.Open(response.Interrupt),
	}, nil
}

// errReadTimeout means that nothing arrived within the read timeout.
var errReadTimeout = Class.New("read timeout")

// readError returns the error of a read, which is errReadTimeout if that ended it.
func readError(ctx context.Context, err error) error {
	if cause := context.Cause(ctx); errors.Is(cause, errReadTimeout) {
		return Class.Wrap(cause)
	}
	return Class.Wrap(err)
}

// Stream is a response whose body is read incrementally.
type Stream struct {
	response *http1.Response
	ctx      context.Context
	cancel   context.CancelCauseFunc
	idle     *time.Timer
	timeout  time.Duration
	// account holds the body that ReadAll returned until the stream is closed.
	account *memory.Account
}

func (s *Stream) Status() int { return s.response.Status() }

func (s *Stream) Header(name string) string { return s.response.Header(name) }

func (s *Stream) ContentType() string { return s.Header("Content-Type") }

// ContentLength returns the length of the body that the server named, or -1.
func (s *Stream) ContentLength() int {
	length, err := strconv.Atoi(s.Header("Content-Length"))
	if err != nil {
		return -1
	}
	return length
}

// Read reads the body. It returns io.EOF only if the body is complete.
func (s *Stream) Read(p []byte) (int, error) {
	s.idle.Reset(s.timeout)
	n, err := s.response.Read(p)
	if err != nil && !errors.Is(err, io.EOF) {
		return n, readError(s.ctx, err)
	}
	return n, err
}

// Response returns the response in the form that the HTTP library's event reader takes.
func (s *Stream) Response() *protocol.Response {
	response := &protocol.Response{}
	response.SetStatusCode(s.Status())
	response.Header.SetContentType(s.ContentType())
	response.SetBodyStream(s, s.ContentLength())
	return response
}

// ReadAll reads the rest of the body. A body of more than maxReplyBytes is an error, as is one
// that exceeds maxHeldBytes together with smaller ones.
func (s *Stream) ReadAll() ([]byte, error) {
	body, err := memory.ReadAll(s.ctx, s, s.account, maxReplyBytes)
	if err != nil {
		return nil, Class.Wrap(err)
	}
	return body, nil
}

// Close returns the connection to the pool if little or nothing of the body is left to
// read, and closes it otherwise.
func (s *Stream) Close() {
	s.timeout = drainTimeout
	_, _ = io.CopyN(io.Discard, s, maxDrainBytes) // after an error the connection is closed
	s.account.Close()                             // before another request gets the connection
	s.response.Close()
	s.end()
}

// Abort closes the connection, so that no later request can read the rest of this
// response.
func (s *Stream) Abort() {
	s.account.Close()
	s.response.Abort()
	s.end()
}

// end releases what the exchange holds.
func (s *Stream) end() {
	s.idle.Stop()
	s.cancel(nil)
}
