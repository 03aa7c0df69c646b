// Package web wraps the HTTP library Hertz for all HTTP clients and servers of this
// program: the client never resends a request by itself, bodies are limited in size,
// and addresses are IP addresses.
package web

import (
	"context"
	"errors"
	"io"
	"time"

	"github.com/cloudwego/hertz/pkg/app/client"
	"github.com/cloudwego/hertz/pkg/common/config"
	"github.com/cloudwego/hertz/pkg/network/netpoll"
	"github.com/cloudwego/hertz/pkg/protocol"
	"github.com/zeebo/errs"
)

// Class is the error class of this package.
var Class = errs.Class("web")

// ErrNotSent means that no byte of the request has been sent.
var ErrNotSent = Class.New("request not sent")

// Limits of the client.
const (
	dialTimeout        = time.Second
	maxConnsPerHost    = 4096
	maxIdleDuration    = 30 * time.Second
	maxReplyBytes      = 64 << 20
	defaultReadTimeout = 60 * time.Second
)

// Client sends each request at most once. Buffered and streamed responses use
// separate connection pools.
type Client struct {
	buffered *client.Client
	streamed *client.Client
}

// NewClient returns a client. readTimeout limits each read. Zero selects the default.
func NewClient(readTimeout time.Duration) (*Client, error) {
	if readTimeout == 0 {
		readTimeout = defaultReadTimeout
	}
	buffered, err := newHertzClient(readTimeout, false)
	if err != nil {
		return nil, Class.Wrap(err)
	}
	streamed, err := newHertzClient(readTimeout, true)
	if err != nil {
		return nil, Class.Wrap(err)
	}
	return &Client{buffered: buffered, streamed: streamed}, nil
}

func newHertzClient(readTimeout time.Duration, stream bool) (*client.Client, error) {
	options := []config.ClientOption{
		client.WithDialFunc(dial, netpoll.NewDialer()),
		client.WithMaxConnsPerHost(maxConnsPerHost),
		client.WithMaxIdleConnDuration(maxIdleDuration),
		client.WithClientReadTimeout(readTimeout),
		client.WithResponseBodyStream(stream),
		client.WithNoDefaultUserAgentHeader(true),
		client.WithDisablePathNormalizing(true),
	}
	return client.NewClient(options...)
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

// copyTo copies the request to a request of the HTTP library.
func (r *Request) copyTo(out *protocol.Request) {
	out.SetMethod(r.method)
	out.SetRequestURI(r.url)
	if r.contentType != "" {
		out.Header.SetContentTypeBytes([]byte(r.contentType))
	}
	for _, h := range r.headers {
		out.Header.Set(h.name, h.value)
	}
	if len(r.body) > 0 {
		out.SetBodyRaw(r.body)
	}
}

// Reply is a response with its whole body.
type Reply struct {
	status  int
	headers protocol.ResponseHeader
	body    []byte
}

func (r *Reply) Status() int { return r.status }

func (r *Reply) Header(name string) string { return r.headers.Get(name) }

func (r *Reply) ContentType() string { return string(r.headers.ContentType()) }

// Body returns the body. The caller may retain it.
func (r *Reply) Body() []byte { return r.body }

// Do sends a request at most once and reads the whole response. If the error is
// ErrNotSent, nothing was sent. After any other error, the server may have received
// the request.
func (c *Client) Do(ctx context.Context, r *Request) (*Reply, error) {
	resp, err := send(ctx, c.buffered, r)
	if err != nil {
		return nil, err
	}
	defer protocol.ReleaseResponse(resp)
	reply := &Reply{status: resp.StatusCode()}
	resp.Header.CopyTo(&reply.headers)
	reply.body = append([]byte(nil), resp.Body()...)
	return reply, nil
}

// maxStaleConns limits how many stale pooled connections one request may discard.
const maxStaleConns = 64

// send sends a request on a connection that is not stale. Retrying is safe, because a
// stale connection is detected before anything is sent on it.
func send(ctx context.Context, hertz *client.Client, r *Request) (*protocol.Response, error) {
	for range maxStaleConns {
		resp, err := sendOnce(ctx, hertz, r)
		if !errors.Is(err, errStale) {
			return resp, err
		}
	}
	return nil, ErrNotSent
}

func sendOnce(ctx context.Context, hertz *client.Client, r *Request) (*protocol.Response, error) {
	if err := ctx.Err(); err != nil {
		return nil, errors.Join(ErrNotSent, err)
	}
	req := protocol.AcquireRequest()
	defer protocol.ReleaseRequest(req)
	resp := protocol.AcquireResponse()
	r.copyTo(req)
	if deadline, ok := ctx.Deadline(); ok {
		return resp, hertz.DoDeadline(ctx, req, resp, deadline)
	}
	return resp, hertz.Do(ctx, req, resp)
}

// Stream is a response whose body is read incrementally.
type Stream struct {
	resp *protocol.Response
}

// Open sends a request at most once and returns when the response headers have
// arrived. The deadline of ctx and the client's read timeout limit the wait. Errors
// are as for Do.
func (c *Client) Open(ctx context.Context, r *Request) (*Stream, error) {
	resp, err := send(ctx, c.streamed, r)
	if err != nil {
		return nil, err
	}
	return &Stream{resp: resp}, nil
}

func (s *Stream) Status() int { return s.resp.StatusCode() }

func (s *Stream) Header(name string) string { return s.resp.Header.Get(name) }

func (s *Stream) ContentType() string { return string(s.resp.Header.ContentType()) }

// Response returns the response of the HTTP library, for its event reader.
func (s *Stream) Response() *protocol.Response { return s.resp }

// ReadAll reads the rest of the body, up to maxReplyBytes.
func (s *Stream) ReadAll() ([]byte, error) {
	body, err := io.ReadAll(io.LimitReader(s.resp.BodyStream(), maxReplyBytes))
	if err != nil {
		return nil, Class.Wrap(err)
	}
	return body, nil
}

// Close returns the connection to the pool. The body must have been read to its end.
func (s *Stream) Close() { _ = s.resp.CloseBodyStream() }

// Abort closes the connection, so that no later request can read the rest of this
// response.
func (s *Stream) Abort() {
	if f, ok := s.resp.BodyStream().(interface{ ForceClose() error }); ok {
		_ = f.ForceClose()
	}
}
