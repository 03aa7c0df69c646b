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

// relay passes a stream of events on. The answer is whole only when the
// engine's own end has been seen.
func (f *Forwarder) relay(ctx context.Context, c *call, answer *backendserver.Response) error {
	event := sse.NewEvent()
	defer event.Release()
	for {
		if err := answer.Next(event); err != nil {
			answer.Abort()
			return err
		}
		if err := f.beginOnce(ctx, c, answer); err != nil {
			answer.Abort()
			return err
		}
		last := string(event.Data) == backendserver.EndOfStream
		if last {
			f.settle(c)
		}
		if err := c.pass(event.Data); err != nil {
			answer.Abort()
			return gone(err)
		}
		if last {
			answer.Close()
			c.life.step(ctx, deliver)
			return nil
		}
	}
}

// beginOnce begins the caller's answer with the first event, so that a server
// which fails before it can still be replaced by another.
func (f *Forwarder) beginOnce(ctx context.Context, c *call, answer *backendserver.Response) error {
	if c.begun {
		return nil
	}
	c.begun = true
	c.life.step(ctx, begin)
	if err := c.sink.Begin(answer.Status(), answer.ContentType()); err != nil {
		return gone(err)
	}
	return nil
}

var usageField = []byte(`"usage":{`)

// pass gives one event to the caller and reads the engine's token counts.
func (c *call) pass(data []byte) error {
	if bytes.Contains(data, usageField) {
		c.readUsage(data)
		if c.request.hideUsage && gjson.GetBytes(data, "choices.#").Int() == 0 {
			return nil
		}
	}
	return c.sink.Event(data)
}

func (c *call) readUsage(data []byte) {
	u := gjson.GetBytes(data, "usage")
	c.prompt = u.Get("prompt_tokens").Uint()
	c.tokens = u.Get("completion_tokens").Uint()
}

// whole reads a whole body before the caller gets any of it.
func (f *Forwarder) whole(ctx context.Context, c *call, answer *backendserver.Response) error {
	body, err := answer.Body()
	if err != nil {
		answer.Abort()
		return err
	}
	answer.Close()
	c.life.step(ctx, begin)
	if bytes.Contains(body, usageField) {
		c.readUsage(body)
	}
	f.settle(c)
	if c.claimed {
		f.answers.Store(c.claim.ID(), answer.Status(), answer.ContentType(), body)
	}
	c.begun = true
	if err := c.sink.Begin(answer.Status(), answer.ContentType()); err != nil {
		return gone(err)
	}
	if err := c.sink.Body(body); err != nil {
		return gone(err)
	}
	c.life.step(ctx, deliver)
	return nil
}

// settle counts the request before its last byte leaves.
func (f *Forwarder) settle(c *call) { c.entry.Complete(c.prompt, c.tokens) }

func gone(err error) error {
	return failure.New(failure.CallerGone, "the answer could not be written: %w", err)
}

// AlreadyRunError says that another attempt holds the claim of the request.
type AlreadyRunError struct {
	id       claim.ID
	instance string
}

// Error names the instance that holds the claim.
func (e *AlreadyRunError) Error() string {
	return fmt.Sprintf("already claimed by %s", e.instance)
}

// Unwrap returns the error's kind.
func (e *AlreadyRunError) Unwrap() error {
	return failure.New(failure.AlreadyRun, "a request with this idempotency key was run or is running")
}

// ID returns the claim's id.
func (e *AlreadyRunError) ID() claim.ID { return e.id }

// Instance returns the incarnation that holds the claim.
func (e *AlreadyRunError) Instance() string { return e.instance }

// Limits of stored answers.
const (
	maxAnswers     = 1024
	maxAnswerBytes = 64 << 10
)

type stored struct {
	status      int
	contentType string
	body        []byte
}

// Answers keeps the answers of claimed requests for callers that send them
// again. The oldest go first.
type Answers struct {
	mu    sync.Mutex
	byID  map[claim.ID]stored
	order []claim.ID
}

// NewAnswers returns an empty store of answers.
func NewAnswers() *Answers { return &Answers{byID: map[claim.ID]stored{}} }

// Store keeps one answer, unless it is too large.
func (a *Answers) Store(id claim.ID, status int, contentType string, body []byte) {
	if len(body) > maxAnswerBytes {
		return
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	if _, ok := a.byID[id]; !ok {
		a.order = append(a.order, id)
	}
	a.byID[id] = stored{status, contentType, body}
	for len(a.order) > maxAnswers {
		delete(a.byID, a.order[0])
		a.order = a.order[1:]
	}
}

// Stored returns a kept answer.
func (a *Answers) Stored(id claim.ID) (status int, contentType string, body []byte, found bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	s, ok := a.byID[id]
	return s.status, s.contentType, s.body, ok
}
