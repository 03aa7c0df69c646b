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

// EngineOptions holds the capacity and latency settings of a simulated engine.
type EngineOptions struct {
	Address string
	Model   string
	// Slots is the maximum number of requests in one batch.
	Slots int
	// DecodeStepTime is the base duration of a decoding step.
	DecodeStepTime time.Duration
	// DecodeStepTimePerRequest is added to the duration of a decoding step for each
	// request in the batch.
	DecodeStepTimePerRequest time.Duration
	// PrefillTimePerBlock is the processing time of each prompt block that is not in
	// the prefix cache.
	PrefillTimePerBlock time.Duration
	// CacheBlocks is the capacity of the prefix cache in prompt blocks.
	CacheBlocks int
	// WeightStoreAddress is the address of the weight store. If it is empty, staging
	// a version fetches nothing and takes no time.
	WeightStoreAddress string
}

// Engine simulates a model engine with continuous batching.
type Engine struct {
	*backend
	options           EngineOptions
	weightStoreClient *web.Client
	cache             *prefixCache
	batch             *batch

	weightsMu         sync.Mutex
	epoch             uint64
	stagedVersions    map[int64]bool
	cancelledRequests sync.Map
}

// NewEngine returns an engine that serves weight version 1.
func NewEngine(o EngineOptions) (*Engine, error) {
	client, err := web.NewClient(0)
	if err != nil {
		return nil, err
	}
	e := &Engine{
		backend: newBackend(o.Address, o.Slots), options: o, weightStoreClient: client,
		cache: newPrefixCache(o.CacheBlocks), batch: newBatch(o.Slots), stagedVersions: map[int64]bool{},
	}
	e.version.Store(1)
	e.handleWithFaults("POST", "/v1/chat/completions", e.handleCompletion)
	e.handleWithFaults("POST", "/v1/completions", e.handleCompletion)
	e.handleWithFaults("POST", backendserver.PathWeights, e.handleWeights)
	e.http.Handle("POST", backendserver.PathCancel, e.handleCancel)
	return e, nil
}

// handleCancel marks a request to be stopped at its next decoding step.
func (e *Engine) handleCancel(_ context.Context, c *app.RequestContext) {
	e.cancelledRequests.Store(c.Query("id"), true)
	replyJSON(c, 200, struct{}{})
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

// defaultMaxTokens applies to requests without max_tokens.
const defaultMaxTokens = 32

func (e *Engine) handleCompletion(ctx context.Context, c *app.RequestContext) {
	e.recordRequest(c)
	var wire completionWire
	if err := json.Unmarshal(c.Request.Body(), &wire); err != nil {
		c.String(400, err.Error())
		return
	}
	id := c.Request.Header.Get(backendserver.HeaderRequestID)
	e.queued.Add(1)
	acquired := e.batch.acquire(ctx, c.Request.Header.Get(backendserver.HeaderPriority) != "rollout")
	e.queued.Add(-1)
	if !acquired {
		return
	}
	defer e.batch.release()
	e.running.Add(1)
	defer e.running.Add(-1)
	e.countRun(id)
	prompt := string(wire.Messages) + string(wire.Prompt)
	missing := e.cache.lookup(prompt)
	time.Sleep(time.Duration(missing) * e.options.PrefillTimePerBlock)
	g := &generation{engine: e, wire: wire, id: id, prompt: prompt, outputTokens: outputLength(wire, prompt)}
	if wire.Stream {
		g.respondStream(ctx, c)
		return
	}
	g.respond(ctx, c)
}

// outputLength returns the number of tokens to generate. It depends only on the
// prompt and the limit. One prompt in 16 gets the full limit, the others 30 to 80
// percent of it.
func outputLength(wire completionWire, prompt string) int {
	limit := wire.MaxTokens
	if limit == 0 {
		limit = defaultMaxTokens
	}
	h := xxhash.Sum64String(prompt)
	if h%16 == 0 {
		return limit
	}
	return max(1, int(float64(limit)*(0.3+0.5*float64(h%1000)/1000)))
}

// generation is a completion in progress.
type generation struct {
	engine       *Engine
	wire         completionWire
	id           string
	prompt       string
	outputTokens int
}

const bytesPerToken = 4

func (g *generation) usage(done int) *usageWire {
	prompt := len(g.prompt) / bytesPerToken
	return &usageWire{prompt, done, prompt + done}
}

// decodeStep waits for one decoding step. It returns false if the request was
// cancelled.
func (g *generation) decodeStep(ctx context.Context) bool {
	e := g.engine
	time.Sleep(e.options.DecodeStepTime + time.Duration(e.running.Load())*e.options.DecodeStepTimePerRequest)
	for e.faults.current().Frozen && ctx.Err() == nil {
		time.Sleep(frozenPollInterval)
	}
	_, cancelled := e.cancelledRequests.LoadAndDelete(g.id)
	return ctx.Err() == nil && !cancelled
}

func (g *generation) fingerprint() string {
	return sample.FormatFingerprint(g.engine.incarnation, g.engine.version.Load())
}

func tokenText(i int) string { return fmt.Sprintf("tok%d ", i) }

func (g *generation) newChunk(content string, finish *string, usage *usageWire) chunkWire {
	return chunkWire{
		ID: "chatcmpl-" + g.id, Object: "chat.completion.chunk", Created: time.Now().Unix(), Model: g.engine.options.Model,
		Fingerprint: g.fingerprint(), Usage: usage,
		Choices: []choiceWire{{Delta: &deltaWire{Content: content}, FinishReason: finish}},
	}
}

func (g *generation) respondStream(ctx context.Context, c *app.RequestContext) {
	writer := sse.NewWriter(c)
	cut := g.engine.faults.consume(func(w *faultsWire) *int { return &w.CutStreams })
	for i := range g.outputTokens {
		if !g.decodeStep(ctx) || (cut && i == g.outputTokens/2) {
			web.AbortResponse(c)
			return
		}
		var finish *string
		if i == g.outputTokens-1 {
			stop := "stop"
			finish = &stop
		}
		var usage *usageWire
		if g.wire.StreamOptions.Continuous {
			usage = g.usage(i + 1)
		}
		if writeChunk(writer, g.newChunk(tokenText(i), finish, usage)) != nil {
			return
		}
	}
	if g.wire.StreamOptions.IncludeUsage {
		last := g.newChunk("", nil, g.usage(g.outputTokens))
		last.Choices = []choiceWire{}
		if writeChunk(writer, last) != nil {
			return
		}
	}
	_ = writer.WriteEvent("", "", []byte(backendserver.EndOfStream))
}

func writeChunk(writer *sse.Writer, chunk chunkWire) error {
	data, err := json.Marshal(chunk)
	if err != nil {
		return err
	}
	return writer.WriteEvent("", "", data)
}

func (g *generation) respond(ctx context.Context, c *app.RequestContext) {
	var text strings.Builder
	for i := range g.outputTokens {
		if !g.decodeStep(ctx) {
			web.AbortResponse(c)
			return
		}
		text.WriteString(tokenText(i))
	}
	stop := "stop"
	replyJSON(c, 200, chunkWire{
		ID: "chatcmpl-" + g.id, Object: "chat.completion", Created: time.Now().Unix(), Model: g.engine.options.Model,
		Fingerprint: g.fingerprint(), Usage: g.usage(g.outputTokens),
		Choices: []choiceWire{{Message: &deltaWire{Role: "assistant", Content: text.String()}, FinishReason: &stop}},
	})
}

// handleWeights stages or activates a weight version. It rejects a command whose
// epoch is older than the newest one seen, unless the IgnoreEpochs fault is set.
func (e *Engine) handleWeights(ctx context.Context, c *app.RequestContext) {
	var wire backendserver.WireWeights
	if err := json.Unmarshal(c.Request.Body(), &wire); err != nil {
		c.String(400, err.Error())
		return
	}
	faults := e.faults.current()
	e.weightsMu.Lock()
	stale := wire.Epoch < e.epoch
	if !stale {
		e.epoch = wire.Epoch
	}
	e.weightsMu.Unlock()
	if (stale && !faults.IgnoreEpochs) || faults.FailStage {
		c.SetStatusCode(412)
		return
	}
	if wire.Action == string(backendserver.StageWeights) {
		e.stageWeights(ctx, c, wire.Version)
		return
	}
	e.activateWeights(c, wire.Version)
}

func (e *Engine) stageWeights(ctx context.Context, c *app.RequestContext, version int64) {
	if e.options.WeightStoreAddress != "" {
		if _, err := e.weightStoreClient.Do(ctx, web.NewRequest("GET", "http://"+e.options.WeightStoreAddress+PathFetch)); err != nil {
			c.String(502, err.Error())
			return
		}
	}
	e.weightsMu.Lock()
	defer e.weightsMu.Unlock()
	e.stagedVersions[version] = true
	replyJSON(c, 200, platform.WireWeights{Service: e.options.Model, Version: version})
}

func (e *Engine) activateWeights(c *app.RequestContext, version int64) {
	e.weightsMu.Lock()
	defer e.weightsMu.Unlock()
	if !e.stagedVersions[version] {
		c.SetStatusCode(409)
		return
	}
	e.version.Store(version)
	e.stagedVersions = map[int64]bool{version: true}
	replyJSON(c, 200, platform.WireWeights{Service: e.options.Model, Version: version})
}
