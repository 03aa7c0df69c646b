package lab

import (
	"context"
	"encoding/json"
	"fmt"
	"strings"
	"sync"
	"time"

	"cactusspoke/internal/backendserver"
	"cactusspoke/internal/platform"
	"cactusspoke/internal/sample"
	"cactusspoke/internal/web"

	"github.com/cespare/xxhash/v2"
	"github.com/cloudwego/hertz/pkg/app"
	"github.com/cloudwego/hertz/pkg/protocol/sse"
)

// EngineOptions set the size and speed of an engine.
type EngineOptions struct {
	Address string
	Model   string
	// Slots is how many requests run in one batch.
	Slots int
	// Token is the time of one decoding step of an empty batch.
	Token time.Duration
	// TokenPerRunning is added to a decoding step for each request in the batch.
	TokenPerRunning time.Duration
	// Prefill is the time for each block of the prompt that is not cached.
	Prefill time.Duration
	// CacheBlocks is how many prompt blocks the prefix cache holds.
	CacheBlocks int
	// Weights is the weight store's address; empty means that versions load at
	// once.
	Weights string
}

// Engine stands in for a model engine that batches continuously.
type Engine struct {
	*backend
	options EngineOptions
	peers   *web.Client
	cache   *prefixCache
	batch   *batch

	weights   sync.Mutex
	epoch     uint64
	staged    map[int64]bool
	cancelled sync.Map
}

// NewEngine returns an engine.
func NewEngine(o EngineOptions) (*Engine, error) {
	client, err := web.NewClient(0)
	if err != nil {
		return nil, err
	}
	e := &Engine{
		backend: newBackend(o.Address, o.Slots), options: o, peers: client,
		cache: newPrefixCache(o.CacheBlocks), batch: newBatch(o.Slots), staged: map[int64]bool{},
	}
	e.version.Store(1)
	e.handle("POST", "/v1/chat/completions", e.complete)
	e.handle("POST", "/v1/completions", e.complete)
	e.handle("POST", backendserver.PathWeights, e.orderWeights)
	e.http.Handle("POST", backendserver.PathCancel, e.cancel)
	return e, nil
}

// cancel ends a request at its next decoding step.
func (e *Engine) cancel(_ context.Context, c *app.RequestContext) {
	e.cancelled.Store(c.Query("id"), true)
	reply(c, 200, struct{}{})
}

type completionWire struct {
	Messages      json.RawMessage `json:"messages"`
	Prompt        json.RawMessage `json:"prompt"`
	MaxTokens     int             `json:"max_tokens"`
	Stream        bool            `json:"stream"`
	StreamOptions struct {
		IncludeUsage bool `json:"include_usage"`
		Continuous   bool `json:"continuous_usage_stats"`
	} `json:"stream_options"`
}

type usageWire struct {
	PromptTokens     int `json:"prompt_tokens"`
	CompletionTokens int `json:"completion_tokens"`
	TotalTokens      int `json:"total_tokens"`
}

type deltaWire struct {
	Role    string `json:"role,omitempty"`
	Content string `json:"content"`
}

type choiceWire struct {
	Index        int        `json:"index"`
	Delta        *deltaWire `json:"delta,omitempty"`
	Message      *deltaWire `json:"message,omitempty"`
	FinishReason *string    `json:"finish_reason"`
}

type chunkWire struct {
	ID          string       `json:"id"`
	Object      string       `json:"object"`
	Created     int64        `json:"created"`
	Model       string       `json:"model"`
	Fingerprint string       `json:"system_fingerprint"`
	Choices     []choiceWire `json:"choices"`
	Usage       *usageWire   `json:"usage,omitempty"`
}

// defaultTokens is the answer's length where the request does not say.
const defaultTokens = 32

func (e *Engine) complete(ctx context.Context, c *app.RequestContext) {
	e.inspect(c)
	var wire completionWire
	if err := json.Unmarshal(c.Request.Body(), &wire); err != nil {
		c.String(400, err.Error())
		return
	}
	id := c.Request.Header.Get(backendserver.HeaderRequestID)
	e.queued.Add(1)
	entered := e.batch.enter(ctx, c.Request.Header.Get(backendserver.HeaderPriority) != "rollout")
	e.queued.Add(-1)
	if !entered {
		return
	}
	defer e.batch.leave()
	e.running.Add(1)
	defer e.running.Add(-1)
	e.countRun(id)
	prompt := string(wire.Messages) + string(wire.Prompt)
	missing := e.cache.visit(prompt)
	time.Sleep(time.Duration(missing) * e.options.Prefill)
	g := &generation{engine: e, wire: wire, id: id, prompt: prompt, tokens: outputLength(wire, prompt)}
	if wire.Stream {
		g.stream(ctx, c)
		return
	}
	g.whole(ctx, c)
}

// outputLength is the same for the same prompt, and now and then long.
func outputLength(wire completionWire, prompt string) int {
	limit := wire.MaxTokens
	if limit == 0 {
		limit = defaultTokens
	}
	h := xxhash.Sum64String(prompt)
	if h%16 == 0 {
		return limit
	}
	return max(1, int(float64(limit)*(0.3+0.5*float64(h%1000)/1000)))
}

// generation is one answer under way.
type generation struct {
	engine *Engine
	wire   completionWire
	id     string
	prompt string
	tokens int
}

const bytesPerToken = 4

func (g *generation) usage(done int) *usageWire {
	prompt := len(g.prompt) / bytesPerToken
	return &usageWire{prompt, done, prompt + done}
}

// next waits for one decoding step; it returns false when the request ended.
func (g *generation) next(ctx context.Context) bool {
	e := g.engine
	time.Sleep(e.options.Token + time.Duration(e.running.Load())*e.options.TokenPerRunning)
	for e.faults.now().Frozen && ctx.Err() == nil {
		time.Sleep(frozenPoll)
	}
	_, cancelled := e.cancelled.LoadAndDelete(g.id)
	return ctx.Err() == nil && !cancelled
}

func (g *generation) fingerprint() string {
	return sample.FormatFingerprint(g.engine.incarnation, g.engine.version.Load())
}

func word(i int) string { return fmt.Sprintf("tok%d ", i) }

func (g *generation) chunk(content string, finish *string, usage *usageWire) chunkWire {
	return chunkWire{
		ID: "chatcmpl-" + g.id, Object: "chat.completion.chunk", Created: time.Now().Unix(), Model: g.engine.options.Model,
		Fingerprint: g.fingerprint(), Usage: usage,
		Choices: []choiceWire{{Delta: &deltaWire{Content: content}, FinishReason: finish}},
	}
}

func (g *generation) stream(ctx context.Context, c *app.RequestContext) {
	writer := sse.NewWriter(c)
	cut := g.engine.faults.take(func(w *faultsWire) *int { return &w.CutStreams })
	for i := range g.tokens {
		if !g.next(ctx) || (cut && i == g.tokens/2) {
			web.AbortResponse(c)
			return
		}
		var finish *string
		if i == g.tokens-1 {
			stop := "stop"
			finish = &stop
		}
		var usage *usageWire
		if g.wire.StreamOptions.Continuous {
			usage = g.usage(i + 1)
		}
		if write(writer, g.chunk(word(i), finish, usage)) != nil {
			return
		}
	}
	if g.wire.StreamOptions.IncludeUsage {
		last := g.chunk("", nil, g.usage(g.tokens))
		last.Choices = []choiceWire{}
		if write(writer, last) != nil {
			return
		}
	}
	_ = writer.WriteEvent("", "", []byte(backendserver.EndOfStream))
}

func write(writer *sse.Writer, chunk chunkWire) error {
	data, err := json.Marshal(chunk)
	if err != nil {
		return err
	}
	return writer.WriteEvent("", "", data)
}

func (g *generation) whole(ctx context.Context, c *app.RequestContext) {
	var text strings.Builder
	for i := range g.tokens {
		if !g.next(ctx) {
			web.AbortResponse(c)
			return
		}
		text.WriteString(word(i))
	}
	stop := "stop"
	reply(c, 200, chunkWire{
		ID: "chatcmpl-" + g.id, Object: "chat.completion", Created: time.Now().Unix(), Model: g.engine.options.Model,
		Fingerprint: g.fingerprint(), Usage: g.usage(g.tokens),
		Choices: []choiceWire{{Message: &deltaWire{Role: "assistant", Content: text.String()}, FinishReason: &stop}},
	})
}

// orderWeights stages or activates a version. An order with an old epoch is
// refused, unless the engine is told to ignore epochs.
func (e *Engine) orderWeights(ctx context.Context, c *app.RequestContext) {
	var wire backendserver.WireWeights
	if err := json.Unmarshal(c.Request.Body(), &wire); err != nil {
		c.String(400, err.Error())
		return
	}
	faults := e.faults.now()
	e.weights.Lock()
	old := wire.Epoch < e.epoch
	if !old {
		e.epoch = wire.Epoch
	}
	e.weights.Unlock()
	if (old && !faults.IgnoreEpochs) || faults.FailStage {
		c.SetStatusCode(412)
		return
	}
	if wire.Action == string(backendserver.StageWeights) {
		e.stage(ctx, c, wire.Version)
		return
	}
	e.activate(c, wire.Version)
}

func (e *Engine) stage(ctx context.Context, c *app.RequestContext, version int64) {
	if e.options.Weights != "" {
		if _, err := e.peers.Do(ctx, web.NewRequest("GET", "http://"+e.options.Weights+PathFetch)); err != nil {
			c.String(502, err.Error())
			return
		}
	}
	e.weights.Lock()
	defer e.weights.Unlock()
	e.staged[version] = true
	reply(c, 200, platform.WireWeights{Service: e.options.Model, Version: version})
}

func (e *Engine) activate(c *app.RequestContext, version int64) {
	e.weights.Lock()
	defer e.weights.Unlock()
	if !e.staged[version] {
		c.SetStatusCode(409)
		return
	}
	e.version.Store(version)
	e.staged = map[int64]bool{version: true}
	reply(c, 200, platform.WireWeights{Service: e.options.Model, Version: version})
}
