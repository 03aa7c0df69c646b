// Package client is a Go client for callers. It looks up the entry instances and
// caches the list, retries requests where that is safe, and detects truncated
// responses.
package client

import (
	"context"
	"encoding/json"
	"errors"
	"strings"
	"sync"
	"time"

	"cactusspoke/internal/backendserver"
	"cactusspoke/internal/web"

	"github.com/cloudwego/hertz/pkg/protocol/sse"
	"github.com/google/uuid"
	"github.com/zeebo/errs"
)

// Class prefixes the errors of this package.
var Class = errs.Class("client")

// ErrTruncated is returned when a stream ends without its end-of-stream event.
var ErrTruncated = Class.New("the answer is truncated")

// Retry limits and timeouts of a client.
const (
	maxAttempts = 4
	retryDelay  = 50 * time.Millisecond
	// fallbackKeepTime is how long old entries are used if the lookup fails.
	fallbackKeepTime = time.Second
	entriesTimeout   = 2 * time.Second
)

// Client sends requests to one deployment. It is safe for concurrent use.
type Client struct {
	httpClient    *web.Client
	seeds         []string
	key           string
	failureDomain string
	callerID      string

	mu              sync.Mutex
	entries         []string
	entriesExpireAt time.Time
}

// New returns a client that looks up the entry instances at the seeds, each an IP
// address and port, and authenticates with key. The key may be empty for routes
// that do not require one.
func New(seeds []string, key, failureDomain string) (*Client, error) {
	http, err := web.NewClient(0)
	if err != nil {
		return nil, Class.Wrap(err)
	}
	return &Client{httpClient: http, seeds: seeds, key: key, failureDomain: failureDomain, callerID: uuid.NewString()}, nil
}

// entriesResponse is the response of /v1/entries.
type entriesResponse struct {
	Entries []struct {
		Address string `json:"address"`
	} `json:"entries"`
	KeepMS int64 `json:"keep-ms"`
}

// Entries returns the addresses of the entry instances to use, best first. If the
// lookup fails, it returns the previous list or the seeds.
func (c *Client) Entries(ctx context.Context) []string {
	c.mu.Lock()
	defer c.mu.Unlock()
	if time.Now().Before(c.entriesExpireAt) {
		return c.entries
	}
	for _, address := range append(append([]string(nil), c.entries...), c.seeds...) {
		response, err := c.fetchEntries(ctx, address)
		if err != nil || len(response.Entries) == 0 {
			continue
		}
		c.entries = nil
		for _, e := range response.Entries {
			c.entries = append(c.entries, e.Address)
		}
		c.entriesExpireAt = time.Now().Add(time.Duration(response.KeepMS) * time.Millisecond)
		return c.entries
	}
	if len(c.entries) == 0 {
		c.entries = c.seeds
	}
	c.entriesExpireAt = time.Now().Add(fallbackKeepTime)
	return c.entries
}

func (c *Client) fetchEntries(ctx context.Context, address string) (entriesResponse, error) {
	ctx, cancel := context.WithTimeout(ctx, entriesTimeout)
	defer cancel()
	var response entriesResponse
	url := "http://" + address + "/v1/entries?failure-domain=" + c.failureDomain + "&caller=" + c.callerID
	reply, err := c.httpClient.Do(ctx, web.NewRequest("GET", url))
	if err != nil {
		return response, Class.Wrap(err)
	}
	return response, Class.Wrap(json.Unmarshal(reply.Body(), &response))
}

// dropEntry removes a failed address from the cached list and makes the next
// request look up the list again.
func (c *Client) dropEntry(address string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	kept := make([]string, 0, len(c.entries))
	for _, e := range c.entries {
		if e != address {
			kept = append(kept, e)
		}
	}
	c.entries = kept
	c.entriesExpireAt = time.Time{}
}

// Call is a request to send.
type Call struct {
	method         string
	path           string
	body           []byte
	idempotent     bool
	idempotencyKey string
}

// NewCall returns an idempotent request, which may be executed more than once.
func NewCall(method, path string, body []byte) Call {
	return Call{method: method, path: path, body: body, idempotent: true}
}

// OnceWith returns a copy of the request that must be executed at most once, with
// an idempotency key that makes resending it safe.
func (c Call) OnceWith(key string) Call {
	c.idempotent = false
	c.idempotencyKey = key
	return c
}

// Once returns a copy of the request that must be executed at most once. It is
// resent only if it was certainly not executed.
func (c Call) Once() Call {
	c.idempotent = false
	return c
}

func (c Call) canResend() bool { return c.idempotent || c.idempotencyKey != "" }

// Reply is the response to a request.
type Reply struct {
	status int
	ran    string
	body   []byte
	tries  int
}

func (r *Reply) Status() int { return r.status }

// Ran returns, for a refused request, whether it was executed: no, unknown or yes.
func (r *Reply) Ran() string { return r.ran }

func (r *Reply) Body() []byte { return r.body }

// Tries returns the number of times the request was sent.
func (r *Reply) Tries() int { return r.tries }

// Do sends a request, with retries where they are safe, and returns the complete
// response.
func (c *Client) Do(ctx context.Context, call Call) (*Reply, error) {
	var lastErr error
	for attempt := 1; attempt <= maxAttempts; attempt++ {
		address := c.selectEntry(ctx, attempt)
		reply, err := c.httpClient.Do(ctx, c.request(address, call))
		if err == nil {
			out := &Reply{reply.Status(), reply.Header("X-Ran"), reply.Body(), attempt}
			if !shouldRetry(out, call) || attempt == maxAttempts {
				return out, nil
			}
		}
		lastErr = err
		c.dropEntry(address)
		if err != nil && !errors.Is(err, web.ErrNotSent) && !call.canResend() {
			return nil, Class.Wrap(err)
		}
		if ctx.Err() != nil {
			break
		}
		time.Sleep(retryDelay)
	}
	return nil, Class.Wrap(errors.Join(lastErr, ctx.Err()))
}

// shouldRetry reports whether a response permits another try.
func shouldRetry(r *Reply, call Call) bool {
	switch {
	case r.status < 500:
		return false
	case r.ran == "no":
		return strings.Contains(string(r.body), `"may-retry":true`)
	default:
		return call.canResend() && r.status != 504
	}
}

func (c *Client) selectEntry(ctx context.Context, attempt int) string {
	entries := c.Entries(ctx)
	return entries[(attempt-1)%len(entries)]
}

func (c *Client) request(address string, call Call) *web.Request {
	request := web.NewRequest(call.method, "http://"+address+call.path)
	if call.body != nil {
		request.WithBody("application/json", call.body)
	}
	if c.key != "" {
		request.WithHeader("Authorization", "Bearer "+c.key)
	}
	if call.idempotencyKey != "" {
		request.WithHeader("Idempotency-Key", call.idempotencyKey)
	}
	return request
}

// RefusedError is returned when a stream request is refused.
type RefusedError struct {
	reply *Reply
}

// Error returns the response body.
func (e *RefusedError) Error() string { return string(e.reply.body) }

// Reply returns the response.
func (e *RefusedError) Reply() *Reply { return e.reply }

// Stream sends a request without retries and calls fn for each event. It returns
// ErrTruncated if the connection ends before the end-of-stream event.
func (c *Client) Stream(ctx context.Context, call Call, fn func(data []byte) error) error {
	address := c.selectEntry(ctx, 1)
	stream, err := c.httpClient.Open(ctx, c.request(address, call))
	if err != nil {
		c.dropEntry(address)
		return Class.Wrap(err)
	}
	if stream.Status() != 200 {
		defer stream.Close()
		body, err := stream.ReadAll()
		if err != nil {
			return err
		}
		return &RefusedError{&Reply{stream.Status(), stream.Header("X-Ran"), body, 1}}
	}
	return c.readEvents(ctx, stream, fn)
}

func (c *Client) readEvents(ctx context.Context, stream *web.Stream, fn func(data []byte) error) error {
	reader, err := sse.NewReader(stream.Response())
	if err != nil {
		stream.Abort()
		return Class.Wrap(err)
	}
	stop := context.AfterFunc(ctx, stream.Abort)
	defer stop()
	event := sse.NewEvent()
	defer event.Release()
	for {
		if err := reader.Read(event); err != nil {
			stream.Abort()
			return errors.Join(ErrTruncated, err)
		}
		if string(event.Data) == backendserver.EndOfStream {
			stream.Close()
			return nil
		}
		if err := fn(event.Data); err != nil {
			stream.Abort()
			return err
		}
	}
}
