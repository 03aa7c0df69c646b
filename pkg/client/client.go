// Package client is for callers written in Go: it asks which entry instance
// to use, keeps the answer a while, sends again what may be sent again, and
// notices truncated answers.
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

// ErrTruncated says that a stream ended before its end.
var ErrTruncated = Class.New("the answer is truncated")

// Limits of a client.
const (
	maxTries     = 4
	retryPause   = 50 * time.Millisecond
	firstKeep    = time.Second
	entriesLimit = 2 * time.Second
)

// Client calls one deployment. It is safe for several goroutines.
type Client struct {
	http   *web.Client
	seeds  []string
	key    string
	domain string
	id     string

	mu      sync.Mutex
	entries []string
	until   time.Time
}

// New returns a client that first asks one of the seeds, each an IP address
// and port, and shows a key. An empty key is for routes open to all.
func New(seeds []string, key, failureDomain string) (*Client, error) {
	http, err := web.NewClient(0)
	if err != nil {
		return nil, Class.Wrap(err)
	}
	return &Client{http: http, seeds: seeds, key: key, domain: failureDomain, id: uuid.NewString()}, nil
}

type entriesWire struct {
	Entries []struct {
		Address string `json:"address"`
	} `json:"entries"`
	KeepMS int64 `json:"keep-ms"`
}

// Entries returns the addresses to use now, best first.
func (c *Client) Entries(ctx context.Context) []string {
	c.mu.Lock()
	defer c.mu.Unlock()
	if time.Now().Before(c.until) {
		return c.entries
	}
	for _, address := range append(append([]string(nil), c.entries...), c.seeds...) {
		wire, err := c.ask(ctx, address)
		if err != nil || len(wire.Entries) == 0 {
			continue
		}
		c.entries = nil
		for _, e := range wire.Entries {
			c.entries = append(c.entries, e.Address)
		}
		c.until = time.Now().Add(time.Duration(wire.KeepMS) * time.Millisecond)
		return c.entries
	}
	if len(c.entries) == 0 {
		c.entries = c.seeds
	}
	c.until = time.Now().Add(firstKeep)
	return c.entries
}

func (c *Client) ask(ctx context.Context, address string) (entriesWire, error) {
	ctx, cancel := context.WithTimeout(ctx, entriesLimit)
	defer cancel()
	var wire entriesWire
	url := "http://" + address + "/v1/entries?failure-domain=" + c.domain + "&caller=" + c.id
	reply, err := c.http.Do(ctx, web.NewRequest("GET", url))
	if err != nil {
		return wire, Class.Wrap(err)
	}
	return wire, Class.Wrap(json.Unmarshal(reply.Body(), &wire))
}

// forget makes the next call ask again, with the failed address last.
func (c *Client) forget(address string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	kept := make([]string, 0, len(c.entries))
	for _, e := range c.entries {
		if e != address {
			kept = append(kept, e)
		}
	}
	c.entries = kept
	c.until = time.Time{}
}

// Call is one request.
type Call struct {
	method         string
	path           string
	body           []byte
	idempotent     bool
	idempotencyKey string
}

// NewCall returns a request that may be run more than once.
func NewCall(method, path string, body []byte) Call {
	return Call{method: method, path: path, body: body, idempotent: true}
}

// OnceWith returns the request as one that must run at most once, under an
// idempotency key; sending it again is safe.
func (c Call) OnceWith(key string) Call {
	c.idempotent = false
	c.idempotencyKey = key
	return c
}

// Once returns the request as one that must run at most once. It is sent
// again only if it certainly did not run.
func (c Call) Once() Call {
	c.idempotent = false
	return c
}

func (c Call) mayRepeat() bool { return c.idempotent || c.idempotencyKey != "" }

// Reply is the system's answer.
type Reply struct {
	status int
	ran    string
	body   []byte
	tries  int
}

// Status returns the HTTP status code.
func (r *Reply) Status() int { return r.status }

// Ran returns, on a refusal, whether the request ran: no, unknown or yes.
func (r *Reply) Ran() string { return r.ran }

// Body returns the body.
func (r *Reply) Body() []byte { return r.body }

// Tries returns how often the request was sent.
func (r *Reply) Tries() int { return r.tries }

// Do sends a request and returns the whole answer.
func (c *Client) Do(ctx context.Context, call Call) (*Reply, error) {
	var last error
	for try := 1; try <= maxTries; try++ {
		address := c.pick(ctx, try)
		reply, err := c.http.Do(ctx, c.request(address, call))
		if err == nil {
			out := &Reply{reply.Status(), reply.Header("X-Ran"), reply.Body(), try}
			if !again(out, call) || try == maxTries {
				return out, nil
			}
		}
		last = err
		c.forget(address)
		if err != nil && !errors.Is(err, web.ErrNotSent) && !call.mayRepeat() {
			return nil, Class.Wrap(err)
		}
		if ctx.Err() != nil {
			break
		}
		time.Sleep(retryPause)
	}
	return nil, Class.Wrap(errors.Join(last, ctx.Err()))
}

// again tells whether an answer asks for another try.
func again(r *Reply, call Call) bool {
	switch {
	case r.status < 500:
		return false
	case r.ran == "no":
		return strings.Contains(string(r.body), `"may-retry":true`)
	default:
		return call.mayRepeat() && r.status != 504
	}
}

func (c *Client) pick(ctx context.Context, try int) string {
	entries := c.Entries(ctx)
	return entries[(try-1)%len(entries)]
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

// RefusedError is a refusal of a stream.
type RefusedError struct {
	reply *Reply
}

// Error returns the refusal's body.
func (e *RefusedError) Error() string { return string(e.reply.body) }

// Reply returns the refusal.
func (e *RefusedError) Reply() *Reply { return e.reply }

// Stream sends a request once and gives each event to fn. It returns
// ErrTruncated when the stream ends before its end.
func (c *Client) Stream(ctx context.Context, call Call, fn func(data []byte) error) error {
	address := c.pick(ctx, 1)
	stream, err := c.http.Open(ctx, c.request(address, call))
	if err != nil {
		c.forget(address)
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
	return c.read(ctx, stream, fn)
}

func (c *Client) read(ctx context.Context, stream *web.Stream, fn func(data []byte) error) error {
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
