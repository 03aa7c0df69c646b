package forward

import (
	"bytes"
	"context"
	"fmt"
	"sync"

	"cactusspoke/internal/backendserver"
	"cactusspoke/internal/claim"
	"cactusspoke/internal/failure"

	"github.com/cloudwego/hertz/pkg/protocol/sse"
	"github.com/tidwall/gjson"
)

// forwardStream forwards a server-sent event stream to the caller. The response
// is complete only when the engine's end-of-stream event has been received.
func (f *Forwarder) forwardStream(ctx context.Context, c *call, response *backendserver.Response) error {
	event := sse.NewEvent()
	defer event.Release()
	for {
		if err := response.Next(event); err != nil {
			response.Abort()
			return err
		}
		if err := f.startResponse(ctx, c, response); err != nil {
			response.Abort()
			return err
		}
		last := string(event.Data) == backendserver.EndOfStream
		if last {
			f.recordUsage(c)
		}
		if err := c.forwardEvent(event.Data); err != nil {
			response.Abort()
			return callerGoneError(err)
		}
		if last {
			response.Close()
			c.lifecycle.fire(ctx, deliver)
			return nil
		}
	}
}

// startResponse sends the response head when the first event arrives, so that
// the request can still be retried on another server if this one fails earlier.
func (f *Forwarder) startResponse(ctx context.Context, c *call, response *backendserver.Response) error {
	if c.responseStarted {
		return nil
	}
	c.responseStarted = true
	c.lifecycle.fire(ctx, begin)
	if err := c.sink.Begin(response.Status(), response.ContentType()); err != nil {
		return callerGoneError(err)
	}
	return nil
}

var usageField = []byte(`"usage":{`)

// forwardEvent sends one event to the caller and records the engine's token
// counts. It drops a usage event that the caller did not ask for.
func (c *call) forwardEvent(data []byte) error {
	if bytes.Contains(data, usageField) {
		c.parseUsage(data)
		if c.request.hideUsage && gjson.GetBytes(data, "choices.#").Int() == 0 {
			return nil
		}
	}
	return c.sink.Event(data)
}

func (c *call) parseUsage(data []byte) {
	u := gjson.GetBytes(data, "usage")
	c.promptTokens = u.Get("prompt_tokens").Uint()
	c.completionTokens = u.Get("completion_tokens").Uint()
}

// forwardBody reads the complete body before sending any of it, so that the
// request can still be retried if the body is cut off.
func (f *Forwarder) forwardBody(ctx context.Context, c *call, response *backendserver.Response) error {
	body, err := response.Body()
	if err != nil {
		response.Abort()
		return err
	}
	response.Close()
	c.lifecycle.fire(ctx, begin)
	if bytes.Contains(body, usageField) {
		c.parseUsage(body)
	}
	f.recordUsage(c)
	if c.claimed {
		f.responses.Store(c.claim.ID(), response.Status(), response.ContentType(), body)
	}
	c.responseStarted = true
	if err := c.sink.Begin(response.Status(), response.ContentType()); err != nil {
		return callerGoneError(err)
	}
	if err := c.sink.Body(body); err != nil {
		return callerGoneError(err)
	}
	c.lifecycle.fire(ctx, deliver)
	return nil
}

// recordUsage records the token usage before the last byte is sent to the
// caller.
func (f *Forwarder) recordUsage(c *call) { c.usageRecord.Complete(c.promptTokens, c.completionTokens) }

func callerGoneError(err error) error {
	return failure.New(failure.CallerGone, "the answer could not be written: %w", err)
}

// AlreadyRunError is returned when another attempt holds the claim on the
// request.
type AlreadyRunError struct {
	id       claim.ID
	instance string
}

// Error names the instance that holds the claim.
func (e *AlreadyRunError) Error() string {
	return fmt.Sprintf("already claimed by %s", e.instance)
}

// Unwrap returns an error of the kind failure.AlreadyRun.
func (e *AlreadyRunError) Unwrap() error {
	return failure.New(failure.AlreadyRun, "a request with this idempotency key was run or is running")
}

// ID returns the ID of the claim.
func (e *AlreadyRunError) ID() claim.ID { return e.id }

// Instance returns the incarnation that holds the claim.
func (e *AlreadyRunError) Instance() string { return e.instance }

// Limits of the response cache.
const (
	maxCachedResponses = 1024
	maxCachedBodyBytes = 64 << 10
)

type cachedResponse struct {
	status      int
	contentType string
	body        []byte
}

// ResponseCache caches the responses of claimed requests for callers that
// repeat them. When it is full, it evicts the oldest response.
type ResponseCache struct {
	mu    sync.Mutex
	byID  map[claim.ID]cachedResponse
	order []claim.ID
}

// NewResponseCache returns an empty response cache.
func NewResponseCache() *ResponseCache { return &ResponseCache{byID: map[claim.ID]cachedResponse{}} }

// Store caches a response unless its body exceeds maxCachedBodyBytes.
func (a *ResponseCache) Store(id claim.ID, status int, contentType string, body []byte) {
	if len(body) > maxCachedBodyBytes {
		return
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	if _, ok := a.byID[id]; !ok {
		a.order = append(a.order, id)
	}
	a.byID[id] = cachedResponse{status, contentType, body}
	for len(a.order) > maxCachedResponses {
		delete(a.byID, a.order[0])
		a.order = a.order[1:]
	}
}

// Lookup returns a cached response.
func (a *ResponseCache) Lookup(id claim.ID) (status int, contentType string, body []byte, found bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	s, ok := a.byID[id]
	return s.status, s.contentType, s.body, ok
}
