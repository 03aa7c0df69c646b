// Package web wraps the HTTP library with the defaults that every peer of
// this program needs: no hidden resends, bounded bodies and IP addresses.
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

// Class prefixes the errors of this package.
var Class = errs.Class("web")

// ErrNotSent says that no byte of a request has left this process.
var ErrNotSent = Class.New("request not sent")

// Limits of the client.
const (
	dialTimeout      = time.Second
	maxConnsPerHost  = 4096
	maxIdleDuration  = 30 * time.Second
	maxReplyBytes    = 64 << 20
	defaultReadPause = 60 * time.Second
)

// Client sends requests. It never sends one twice.
type Client struct {
	whole  *client.Client
	stream *client.Client
}

// NewClient returns a client. readTimeout bounds the wait for each read.
func NewClient(readTimeout time.Duration) (*Client, error) {
	if readTimeout == 0 {
		readTimeout = defaultReadPause
	}
	whole, err := newHertz(readTimeout, false)
	if err != nil {
		return nil, Class.Wrap(err)
	}
	stream, err := newHertz(readTimeout, true)
	if err != nil {
		return nil, Class.Wrap(err)
	}
	return &Client{whole: whole, stream: stream}, nil
}

func newHertz(readTimeout time.Duration, stream bool) (*client.Client, error) {
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

// Request is one request to a peer.
type Request struct {
	method      string
	url         string
	contentType string
	body        []byte
	headers     []header
}

type header struct{ name, value string }

// NewRequest returns a request without a body.
func NewRequest(method, url string) *Request { return &Request{method: method, url: url} }

// WithBody sets the body and its type.
func (r *Request) WithBody(contentType string, body []byte) *Request {
	r.contentType = contentType
	r.body = body
	return r
}

// WithHeader adds a header.
func (r *Request) WithHeader(name, value string) *Request {
	r.headers = append(r.headers, header{name, value})
	return r
}

// fill writes the request into the library's form.
func (r *Request) fill(out *protocol.Request) {
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

// Reply is a whole answer.
type Reply struct {
	status  int
	headers protocol.ResponseHeader
	body    []byte
}

// Status returns the HTTP status code.
func (r *Reply) Status() int { return r.status }

// Header returns one header's value.
func (r *Reply) Header(name string) string { return r.headers.Get(name) }

// ContentType returns the body's type.
func (r *Reply) ContentType() string { return string(r.headers.ContentType()) }

// Body returns the body, which the caller may keep.
func (r *Reply) Body() []byte { return r.body }

// Do sends a request once and reads the whole answer. ErrNotSent in the error
// says that nothing left; any other error leaves open whether it arrived.
func (c *Client) Do(ctx context.Context, r *Request) (*Reply, error) {
	resp, err := send(ctx, c.whole, r)
	if err != nil {
		return nil, err
	}
	defer protocol.ReleaseResponse(resp)
	reply := &Reply{status: resp.StatusCode()}
	resp.Header.CopyTo(&reply.headers)
	reply.body = append([]byte(nil), resp.Body()...)
	return reply, nil
}

// maxStale bounds how many stale connections one request clears away.
const maxStale = 64

// send sends a request on the first connection that is alive.
func send(ctx context.Context, hertz *client.Client, r *Request) (*protocol.Response, error) {
	for range maxStale {
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
	r.fill(req)
	if deadline, ok := ctx.Deadline(); ok {
		return resp, hertz.DoDeadline(ctx, req, resp, deadline)
	}
	return resp, hertz.Do(ctx, req, resp)
}

// Stream is an answer that is read piece by piece.
type Stream struct {
	resp *protocol.Response
}

// Open sends a request once and returns when the answer's headers are there.
// The context's deadline and the client's read timeout bound each wait.
func (c *Client) Open(ctx context.Context, r *Request) (*Stream, error) {
	resp, err := send(ctx, c.stream, r)
	if err != nil {
		return nil, err
	}
	return &Stream{resp: resp}, nil
}

// Status returns the HTTP status code.
func (s *Stream) Status() int { return s.resp.StatusCode() }

// Header returns one header's value.
func (s *Stream) Header(name string) string { return s.resp.Header.Get(name) }

// ContentType returns the body's type.
func (s *Stream) ContentType() string { return string(s.resp.Header.ContentType()) }

// Response returns the library's form, for its event reader.
func (s *Stream) Response() *protocol.Response { return s.resp }

// ReadAll reads the rest of the body, up to the reply limit.
func (s *Stream) ReadAll() ([]byte, error) {
	body, err := io.ReadAll(io.LimitReader(s.resp.BodyStream(), maxReplyBytes))
	if err != nil {
		return nil, Class.Wrap(err)
	}
	return body, nil
}

// Close returns the connection to the pool; the body must have been read.
func (s *Stream) Close() { _ = s.resp.CloseBodyStream() }

// Abort closes the connection, so that nothing late can be read from it by a
// later request.
func (s *Stream) Abort() {
	if f, ok := s.resp.BodyStream().(interface{ ForceClose() error }); ok {
		_ = f.ForceClose()
	}
}
