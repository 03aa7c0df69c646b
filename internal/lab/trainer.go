package lab

import (
	"context"
	"encoding/json"
	"fmt"
	"time"

	"cactusspoke/internal/platform"
	"cactusspoke/internal/sample"
	"cactusspoke/internal/web"
	"cactusspoke/pkg/client"
)

// TrainerOptions configures a simulated trainer.
type TrainerOptions struct {
	Entries   []string
	Key       string
	Service   string
	Weights   string
	Steps     int
	Groups    int
	Samples   int
	MaxTokens int
	FirstStep uint64
	// ThinkTime is the time that the trainer spends on a step before it publishes weights.
	ThinkTime time.Duration
}

// TrainerResult sums up the steps and samples that a trainer received.
type TrainerResult struct {
	Steps          int     `json:"steps"`
	Samples        int     `json:"samples"`
	Tokens         int     `json:"tokens"`
	Spans          int     `json:"spans"`
	Dropped        int     `json:"dropped"`
	DeliveredTwice int     `json:"delivered-twice"`
	TooOld         int     `json:"too-old"`
	MaxStaleness   int64   `json:"max-staleness"`
	IdleMS         int64   `json:"idle-ms"`
	IdleShare      float64 `json:"idle-share"`
}

// Trainer simulates a trainer. For each step it opens the step, waits for the
// samples, checks and acknowledges them, and publishes the next weight version.
type Trainer struct {
	options     TrainerOptions
	client      *client.Client
	http        *web.Client
	version     int64
	seenSamples map[string]bool
	result      TrainerResult
}

// NewTrainer returns a trainer with its HTTP clients.
func NewTrainer(o TrainerOptions) (*Trainer, error) {
	http, err := web.NewClient(0)
	if err != nil {
		return nil, err
	}
	c, err := client.New(o.Entries, o.Key, "")
	if err != nil {
		return nil, err
	}
	return &Trainer{options: o, client: c, http: http, version: 1, seenSamples: map[string]bool{}}, nil
}

// stepPollInterval is the delay between requests for a step that is not ready.
const stepPollInterval = 100 * time.Millisecond

// Run runs all steps and returns their totals.
func (t *Trainer) Run(ctx context.Context) (TrainerResult, error) {
	startedAt := time.Now()
	if err := t.fetchVersion(ctx); err != nil {
		return t.result, err
	}
	for i := range t.options.Steps {
		number := t.options.FirstStep + uint64(i)
		if err := t.runStep(ctx, number); err != nil {
			return t.result, Class.New("step %d: %w", number, err)
		}
		time.Sleep(t.options.ThinkTime)
		if err := t.publishWeights(ctx); err != nil {
			return t.result, err
		}
	}
	t.result.IdleShare = float64(t.result.IdleMS) / float64(max(1, time.Since(startedAt).Milliseconds()))
	return t.result, nil
}

func (t *Trainer) fetchVersion(ctx context.Context) error {
	url := "http://" + t.options.Weights + platform.PathWeights + "?service=" + t.options.Service
	reply, err := t.http.Do(ctx, web.NewRequest("GET", url))
	if err != nil {
		return Class.Wrap(err)
	}
	var wire platform.WireWeights
	if err := json.Unmarshal(reply.Body(), &wire); err != nil {
		return Class.Wrap(err)
	}
	t.version = max(1, wire.Version)
	return nil
}

type groupWire struct {
	ID       string        `json:"id"`
	Messages []messageWire `json:"messages"`
	Samples  int           `json:"samples"`
}

type messageWire struct {
	Role    string `json:"role"`
	Content string `json:"content"`
}

type openWire struct {
	Step          uint64      `json:"step"`
	Service       string      `json:"service"`
	WeightVersion int64       `json:"weight-version"`
	MaxTokens     int         `json:"max-tokens"`
	Groups        []groupWire `json:"groups"`
}

func (t *Trainer) encodeOpenRequest(number uint64) []byte {
	wire := openWire{Step: number, Service: t.options.Service, WeightVersion: t.version, MaxTokens: t.options.MaxTokens}
	for g := range t.options.Groups {
		content := fmt.Sprintf("round %d, pickup group %d", number, g)
		wire.Groups = append(wire.Groups, groupWire{
			ID: fmt.Sprintf("g%d", g), Samples: t.options.Samples, Messages: []messageWire{{"user", content}},
		})
	}
	data, err := json.Marshal(wire)
	if err != nil {
		panic(err)
	}
	return data
}

type stepWire struct {
	State   string            `json:"state"`
	Samples []json.RawMessage `json:"samples"`
	Dropped int               `json:"dropped"`
}

// runStep opens a step, waits for its samples, checks and acknowledges them. If the
// instance does not know the step, it opens it again; opening is idempotent.
func (t *Trainer) runStep(ctx context.Context, number uint64) error {
	startedAt := time.Now()
	path := fmt.Sprintf("/v1/steps/%d", number)
	opened := false
	for {
		if !opened {
			reply, err := t.client.Do(ctx, client.NewCall("POST", "/v1/steps", t.encodeOpenRequest(number)))
			if err == nil && reply.Status() >= 400 && reply.Status() < 500 {
				return Class.New("refused: %s", reply.Body())
			}
			opened = err == nil && reply.Status() == 202
		}
		reply, err := t.client.Do(ctx, client.NewCall("GET", fmt.Sprintf("%s?weight-version=%d", path, t.version), nil))
		if err == nil && reply.Status() == 404 {
			opened = false
		}
		if err == nil && reply.Status() == 200 {
			t.result.IdleMS += time.Since(startedAt).Milliseconds()
			if err := t.checkStep(number, reply.Body()); err != nil {
				return err
			}
			return t.acknowledge(ctx, path)
		}
		if ctx.Err() != nil {
			return ctx.Err()
		}
		time.Sleep(stepPollInterval)
	}
}

func (t *Trainer) acknowledge(ctx context.Context, path string) error {
	for {
		reply, err := t.client.Do(ctx, client.NewCall("POST", path+"/ack", []byte("{}")))
		if err == nil && reply.Status() == 200 {
			return nil
		}
		if ctx.Err() != nil {
			return ctx.Err()
		}
		time.Sleep(stepPollInterval)
	}
}

// checkStep decodes the samples of a step and adds them to the result.
func (t *Trainer) checkStep(number uint64, body []byte) error {
	var wire stepWire
	if err := json.Unmarshal(body, &wire); err != nil {
		return Class.Wrap(err)
	}
	t.result.Steps++
	t.result.Dropped += wire.Dropped
	for _, raw := range wire.Samples {
		s, err := sample.Decode(raw)
		if err != nil {
			return err
		}
		t.checkSample(number, s)
	}
	return nil
}

func (t *Trainer) checkSample(number uint64, s *sample.Sample) {
	id := fmt.Sprintf("%d/%s", number, s.ID())
	if t.seenSamples[id] {
		t.result.DeliveredTwice++
	}
	t.seenSamples[id] = true
	t.result.Samples++
	t.result.Tokens += s.TokenCount()
	t.result.Spans += len(s.Spans())
	staleness := t.version - s.OldestVersion()
	t.result.MaxStaleness = max(t.result.MaxStaleness, staleness)
	if staleness > maxAllowedStaleness {
		t.result.TooOld++
	}
}

// maxAllowedStaleness is the default staleness bound of a profile, in weight
// versions.
const maxAllowedStaleness = 2

func (t *Trainer) publishWeights(ctx context.Context) error {
	t.version++
	data, err := json.Marshal(platform.WireWeights{Service: t.options.Service, Version: t.version})
	if err != nil {
		return Class.Wrap(err)
	}
	_, err = t.http.Do(ctx, web.NewRequest("POST", "http://"+t.options.Weights+PathPublish).WithBody("application/json", data))
	return Class.Wrap(err)
}
