package caller

import (
	"encoding/json"

	"cactusspoke/internal/failure"
	"cactusspoke/internal/web"

	"github.com/cloudwego/hertz/pkg/app"
	"github.com/cloudwego/hertz/pkg/protocol/sse"
)

// HeaderRan is the header of an error response that tells whether the request
// was executed.
const HeaderRan = "X-Ran"

type errorWire struct {
	Error errorBody `json:"error"`
}

// errorBody is an error in OpenAI format with additional fields: the kind of the
// failure, whether the request was executed and whether it may be retried.
type errorBody struct {
	Message  string `json:"message"`
	Type     string `json:"type"`
	Code     string `json:"code"`
	Kind     string `json:"kind"`
	Ran      string `json:"ran"`
	MayRetry bool   `json:"may-retry"`
}

// errorJSON returns the status, the value of HeaderRan and the body of an error
// response.
func errorJSON(err error) (status int, ran string, body []byte) {
	kind := failure.KindOf(err)
	response := kind.Response()
	wire := errorWire{errorBody{
		Message: failure.Message(err), Type: response.Name(), Code: response.Name(), Kind: response.Name(),
		Ran: response.Ran().String(), MayRetry: response.MayRetry(),
	}}
	body, marshalErr := json.Marshal(wire)
	if marshalErr != nil {
		panic(marshalErr)
	}
	return response.Status(), response.Ran().String(), body
}

func writeError(c *app.RequestContext, err error) {
	status, ran, body := errorJSON(err)
	c.Response.Header.Set(HeaderRan, ran)
	c.Data(status, "application/json", body)
}

func writeJSON(c *app.RequestContext, status int, v any) {
	body, err := json.Marshal(v)
	if err != nil {
		panic(err)
	}
	c.Data(status, "application/json", body)
}

// truncatedError is an error that occurred after the response had started.
type truncatedError struct {
	sink  *sink
	cause error
}

func (e *truncatedError) Error() string { return e.cause.Error() }

func (e *truncatedError) Unwrap() error { return e.cause }

// sink is a forward.Sink that writes the response to the caller.
type sink struct {
	c           *app.RequestContext
	status      int
	contentType string
	started     bool
	writer      *sse.Writer
	event       sse.Event
}

func newSink(c *app.RequestContext) *sink { return &sink{c: c} }

// Begin records the status and content type of the response.
func (s *sink) Begin(status int, contentType string) error {
	s.started = true
	s.status = status
	s.contentType = contentType
	return nil
}

// Event writes and flushes one server-sent event.
func (s *sink) Event(data []byte) error {
	if s.writer == nil {
		s.c.SetStatusCode(s.status)
		s.writer = sse.NewWriter(s.c)
	}
	s.event.SetData(data)
	return s.writer.Write(&s.event)
}

// Body sets the complete response body, which the HTTP library writes.
func (s *sink) Body(body []byte) error {
	s.c.Data(s.status, s.contentType, body)
	return nil
}

// wrapTruncated wraps an error that occurred after the response had started.
func (s *sink) wrapTruncated(err error) error {
	if err == nil || !s.started {
		return err
	}
	return &truncatedError{sink: s, cause: err}
}

// abort sends the error as a last event if the response is a stream, and closes
// the connection without ending the response.
func (s *sink) abort(cause error) {
	if s.writer != nil {
		_, _, body := errorJSON(cause)
		_ = s.Event(body)
	}
	web.AbortResponse(s.c)
}
