// Package backendserver is the HTTP client for backend servers: model engines and
// plain services.
package backendserver

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"io"
	"net/url"
	"strings"
	"time"

	"cactusspoke/internal/failure"
	"cactusspoke/internal/fleet"
	"cactusspoke/internal/invariant"
	"cactusspoke/internal/web"

	"github.com/cespare/xxhash/v2"
	"github.com/cloudwego/hertz/pkg/protocol/sse"
	"github.com/zeebo/errs"
)

// Class is the error class of this package.
var Class = errs.Class("backendserver")

// Headers and paths of the protocol between entry instances and backend servers.
const (
	HeaderRequestID = "X-Request-Id"
	HeaderNotRun    = "X-Not-Run"
	HeaderPriority  = "X-Priority"
	PathLoad        = "/v1/load"
	PathCancel      = "/v1/cancel"
	PathWeights     = "/v1/weights"
	// EndOfStream is the data of the last event of a complete stream.
	EndOfStream = "[DONE]"
)

const (
	// controlTimeout limits a cancel request and the read of a load report.
	controlTimeout = time.Second
	// maxEventBytes limits the size of one event of a stream.
	maxEventBytes = 4 << 20
)

// Client sends requests and control commands to backend servers.
type Client struct {
	http *web.Client
}

func New(http *web.Client) *Client { return &Client{http: http} }

// Header is a request header.
type Header struct{ name, value string }

func NewHeader(name, value string) Header { return Header{name, value} }

// Attempt is a single attempt to run a request on a backend server.
type Attempt struct {
	id          string
	method      string
	uri         string
	contentType string
	headers     []Header
	body        []byte
	priority    string
	traceparent string
	secret      string
	cancelable  bool
}

// NewAttempt returns an attempt. id is unique to the attempt. secret is the caller's
// key, which must not appear anywhere in the request.
func NewAttempt(id, method, uri, contentType string, headers []Header, body []byte, priority, traceparent, secret string) Attempt {
	return Attempt{
		id: id, method: method, uri: uri, contentType: contentType, headers: headers, body: body,
		priority: priority, traceparent: traceparent, secret: secret,
	}
}

// WithCancel marks the attempt as one that its server can cancel. Only model engines
// implement the cancel request; a plain service would run it as a request of its own.
func (a Attempt) WithCancel() Attempt {
	a.cancelable = true
	return a
}

// Error is the error of a failed attempt, and states whether the request may have
// run.
type Error struct {
	ran     failure.Ran
	lost    bool
	timeout bool
	cause   error
}

func (e *Error) Error() string { return e.cause.Error() }

func (e *Error) Unwrap() error { return e.cause }

// Ran states whether the request ran. It is RanNo only if there is proof, such as a
// refusal with the header X-Not-Run.
func (e *Error) Ran() failure.Ran { return e.ran }

// ConnectionLost reports whether the connection was lost, which can mean that the backend
// server crashed.
func (e *Error) ConnectionLost() bool { return e.lost }

// Timeout reports whether the backend server did not respond in time.
func (e *Error) Timeout() bool { return e.timeout }

// Response is a backend server's response, of which the body is not read yet. Either
// Close or Abort must be called.
type Response struct {
	stream  *web.Stream
	events  *sse.Reader
	release func() bool
	ctx     context.Context
}

// Send sends an attempt exactly once and returns when the response headers have
// arrived. It checks that the response belongs to this attempt. If ctx ends before
// the headers arrive, the connection is closed and a server that can cancel the
// attempt is asked to.
func (c *Client) Send(ctx context.Context, server fleet.Server, a Attempt) (*Response, error) {
	checkSecret(a)
	request := web.NewRequest(a.method, "http://"+server.Address()+a.uri).WithBody(a.contentType, a.body)
	for _, h := range a.headers {
		request.WithHeader(h.name, h.value)
	}
	request.WithHeader(HeaderRequestID, a.id)
	if a.priority != "" {
		request.WithHeader(HeaderPriority, a.priority)
	}
	if a.traceparent != "" {
		request.WithHeader("traceparent", a.traceparent)
	}
	stop := func() bool { return true }
	if a.cancelable {
		stop = context.AfterFunc(ctx, func() { c.Cancel(server.Address(), a.id) })
	}
	stream, err := c.http.Open(ctx, request)
	stop()
	if err != nil {
		return nil, sendError(ctx, err)
	}
	return c.checkResponse(ctx, stream, a)
}

// checkSecret checks the invariant that the outgoing request does not contain the
// caller's key.
func checkSecret(a Attempt) {
	if a.secret == "" {
		return
	}
	uri, err := url.PathUnescape(a.uri)
	keyAbsent := err == nil && !strings.Contains(uri, a.secret) && !bytes.Contains(a.body, []byte(a.secret))
	for _, h := range a.headers {
		keyAbsent = keyAbsent && !strings.Contains(h.value, a.secret)
	}
	invariant.Check(invariant.KeySecrecy, keyAbsent, "request %s contains the caller's key", a.id)
}

// sendError classifies an error of the HTTP client.
func sendError(ctx context.Context, err error) *Error {
	if errors.Is(err, web.ErrNotSent) {
		return &Error{ran: failure.RanNo, cause: Class.Wrap(err)}
	}
	ended := ctx.Err() != nil
	return &Error{ran: failure.RanUnknown, lost: !ended && !isTimeout(err), timeout: ended || isTimeout(err), cause: Class.Wrap(err)}
}

func isTimeout(err error) bool {
	return strings.Contains(err.Error(), "timeout")
}

// checkResponse checks that a response belongs to the attempt and was not refused,
// and prepares to read its body.
func (c *Client) checkResponse(ctx context.Context, stream *web.Stream, a Attempt) (*Response, error) {
	if echo := stream.Header(HeaderRequestID); echo != a.id {
		stream.Abort()
		return nil, &Error{ran: failure.RanUnknown, cause: Class.New("response has request id %q instead of %q", echo, a.id)}
	}
	if stream.Status() >= 400 && stream.Header(HeaderNotRun) == "true" {
		stream.Abort()
		return nil, &Error{ran: failure.RanNo, cause: Class.New("backend server refused the request with status %d", stream.Status())}
	}
	response := &Response{stream: stream, ctx: ctx}
	response.release = context.AfterFunc(ctx, stream.Abort)
	if !response.EventStream() {
		return response, nil
	}
	reader, err := sse.NewReader(stream.Response())
	if err != nil {
		response.Abort()
		return nil, &Error{ran: failure.RanUnknown, cause: Class.Wrap(err)}
	}
	reader.SetMaxBufferSize(maxEventBytes)
	response.events = reader
	return response, nil
}

func (r *Response) Status() int { return r.stream.Status() }

func (r *Response) ContentType() string { return r.stream.ContentType() }

// EventStream reports whether the body is a stream of server-sent events.
func (r *Response) EventStream() bool {
	return strings.HasPrefix(r.stream.ContentType(), "text/event-stream")
}

// Next reads the next event into e. An end of the body is an error: a complete
// stream ends with the event EndOfStream, after which Next is not called, so the
// response was truncated.
func (r *Response) Next(e *sse.Event) error {
	err := r.events.Read(e)
	if err == nil {
		return nil
	}
	if errors.Is(err, io.EOF) && r.ctx.Err() == nil {
		return &Error{ran: failure.RanUnknown, lost: true, cause: Class.New("the event stream ended early")}
	}
	return sendError(r.ctx, err)
}

// Body reads the whole body and checks it against the Content-Length header.
func (r *Response) Body() ([]byte, error) {
	body, err := r.stream.ReadAll()
	if err != nil {
		return nil, sendError(r.ctx, err)
	}
	want := r.stream.ContentLength()
	if want >= 0 && want != len(body) {
		return nil, &Error{ran: failure.RanUnknown, lost: true, cause: Class.New("received only %d of %d bytes of the response body", len(body), want)}
	}
	return body, nil
}

// Close returns the connection to the pool. The body must have been read to its end.
func (r *Response) Close() {
	if r.release() {
		r.stream.Close()
	}
}

// Abort closes the connection, so that no later request can read the rest of this
// response.
func (r *Response) Abort() {
	r.release()
	r.stream.Abort()
}

// Cancel asks a backend server to cancel a request. It ignores errors.
func (c *Client) Cancel(address, id string) {
	ctx, cancel := context.WithTimeout(context.Background(), controlTimeout)
	defer cancel()
	_, _ = c.http.Do(ctx, web.NewRequest("POST", "http://"+address+PathCancel+"?id="+url.QueryEscape(id)))
}

// WireLoad is the JSON form of a load report.
type WireLoad struct {
	Incarnation   string `json:"incarnation"`
	Sequence      uint64 `json:"sequence"`
	Running       int    `json:"running"`
	Queued        int    `json:"queued"`
	Slots         int    `json:"slots"`
	WeightVersion int64  `json:"weight-version"`
	Leaving       bool   `json:"leaving"`
	AgeMS         int64  `json:"age-ms"`
}

// Load reads the load report of a backend server.
func (c *Client) Load(ctx context.Context, server fleet.Server) (fleet.Load, error) {
	ctx, cancel := context.WithTimeout(ctx, controlTimeout)
	defer cancel()
	sentAt := time.Now()
	reply, err := c.http.Do(ctx, web.NewRequest("GET", "http://"+server.Address()+PathLoad))
	if err != nil {
		return fleet.Load{}, Class.Wrap(err)
	}
	var w WireLoad
	if err := json.Unmarshal(reply.Body(), &w); err != nil || reply.Status() != 200 {
		return fleet.Load{}, Class.New("load report has status %d or is not valid JSON", reply.Status())
	}
	takenAt := sentAt.Add(-time.Duration(w.AgeMS) * time.Millisecond)
	return fleet.NewLoad(server.ID(), uint32(xxhash.Sum64String(w.Incarnation)), w.Sequence, w.Running, w.Queued, w.Slots, w.WeightVersion, w.Leaving, takenAt), nil
}

// WeightsAction is a step of switching a model engine to another version of its
// weights.
type WeightsAction string

const (
	// StageWeights loads a version while the active one stays in use.
	StageWeights WeightsAction = "stage"
	// ActivateWeights switches to a staged version.
	ActivateWeights WeightsAction = "activate"
)

// WireWeights is the JSON form of a weights command.
type WireWeights struct {
	Action  string `json:"action"`
	Version int64  `json:"version"`
	Epoch   uint64 `json:"epoch"`
}

// Weights tells a backend server to stage or activate a version of its weights.
// epoch is the fencing epoch of the sender.
func (c *Client) Weights(ctx context.Context, server fleet.Server, action WeightsAction, version int64, epoch uint64) error {
	data, err := json.Marshal(WireWeights{string(action), version, epoch})
	if err != nil {
		return Class.Wrap(err)
	}
	reply, err := c.http.Do(ctx, web.NewRequest("POST", "http://"+server.Address()+PathWeights).WithBody("application/json", data))
	if err != nil {
		return Class.Wrap(err)
	}
	if reply.Status() != 200 {
		return Class.New("%s of weights version %d returned status %d", action, version, reply.Status())
	}
	return nil
}
