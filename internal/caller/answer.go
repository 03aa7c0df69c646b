package caller

import (
	"encoding/json"

	"cactusspoke/internal/failure"
	"cactusspoke/internal/web"

	"github.com/cloudwego/hertz/pkg/app"
	"github.com/cloudwego/hertz/pkg/protocol/sse"
)

// HeaderRan tells on a refusal whether the request ran.
const HeaderRan = "X-Ran"

type errorWire struct {
	Error errorBody `json:"error"`
}

// errorBody keeps the OpenAI form and adds what this system knows.
type errorBody struct {
	Message  string `json:"message"`
	Type     string `json:"type"`
	Code     string `json:"code"`
	Kind     string `json:"kind"`
	Ran      string `json:"ran"`
	MayRetry bool   `json:"may-retry"`
}

func errorJSON(err error) (status int, ran string, body []byte) {
	kind := failure.KindOf(err)
	answer := kind.Response()
	wire := errorWire{errorBody{
		Message: failure.Message(err), Type: answer.Name(), Code: answer.Name(), Kind: answer.Name(),
		Ran: answer.Ran().String(), MayRetry: answer.MayRetry(),
	}}
	body, marshalErr := json.Marshal(wire)
	if marshalErr != nil {
		panic(marshalErr)
	}
	return answer.Status(), answer.Ran().String(), body
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

// truncatedError says that an answer ended after it had begun.
type truncatedError struct {
	sink  *sink
	cause error
}

// Error returns the cause's message.
func (e *truncatedError) Error() string { return e.cause.Error() }

// Unwrap returns the cause.
func (e *truncatedError) Unwrap() error { return e.cause }

// sink writes an answer to a caller.
type sink struct {
	c      *app.RequestContext
	status int
	kind   string
	begun  bool
	writer *sse.Writer
	event  sse.Event
}

func newSink(c *app.RequestContext) *sink { return &sink{c: c} }

// Begin notes the status and the type of the answer.
func (s *sink) Begin(status int, contentType string) error {
	s.begun = true
	s.status = status
	s.kind = contentType
	return nil
}

// Event writes one event and flushes it.
func (s *sink) Event(data []byte) error {
	if s.writer == nil {
		s.c.SetStatusCode(s.status)
		s.writer = sse.NewWriter(s.c)
	}
	s.event.SetData(data)
	return s.writer.Write(&s.event)
}

// Body sets the whole answer, which the library writes.
func (s *sink) Body(body []byte) error {
	s.c.Data(s.status, s.kind, body)
	return nil
}

// settled wraps an error that came after the answer had begun.
func (s *sink) settled(err error) error {
	if err == nil || !s.begun {
		return err
	}
	return &truncatedError{sink: s, cause: err}
}

// breakOff tells the caller of a stream what happened and cuts the connection
// before the stream's end.
func (s *sink) breakOff(cause error) {
	if s.writer != nil {
		_, _, body := errorJSON(cause)
		_ = s.Event(body)
	}
	web.AbortResponse(s.c)
}
