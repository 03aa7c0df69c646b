package caller

import (
	"context"
	"encoding/json"
	"strconv"

	"cactusspoke/internal/failure"
	"cactusspoke/internal/profile"
	"cactusspoke/internal/rollout"
	"cactusspoke/internal/step"

	"github.com/cloudwego/hertz/pkg/app"
	"github.com/tidwall/sjson"
)

type groupWire struct {
	ID       string          `json:"id"`
	Messages json.RawMessage `json:"messages"`
	Samples  int             `json:"samples"`
}

type openWire struct {
	Step          uint64      `json:"step"`
	Service       string      `json:"service"`
	WeightVersion int64       `json:"weight-version"`
	MaxTokens     int         `json:"max-tokens"`
	Groups        []groupWire `json:"groups"`
}

type stepWire struct {
	Step    uint64            `json:"step"`
	State   string            `json:"state"`
	Samples []json.RawMessage `json:"samples,omitempty"`
	Dropped int               `json:"dropped,omitempty"`
	Stale   int               `json:"stale,omitempty"`
}

// openStep starts a training step.
func (s *Server) openStep(ctx context.Context, c *app.RequestContext) error {
	caller, err := s.identify(c)
	if err != nil {
		return err
	}
	var wire openWire
	if err := json.Unmarshal(c.Request.Body(), &wire); err != nil {
		return failure.New(failure.BadRequest, "the step cannot be read: %w", err)
	}
	service, p, err := s.lookUpService(wire.Service, profile.Model)
	if err != nil {
		return err
	}
	if err := caller.checkAccess(service.Name()); err != nil {
		return err
	}
	groups, err := wire.groups()
	if err != nil {
		return err
	}
	id := step.NewID(caller.customer.Name(), wire.Step)
	request := rollout.NewStepRequest(id, service, p, caller.customer, caller.digest, caller.apiKey, wire.WeightVersion, groups)
	if err := s.driver.Open(ctx, request); err != nil {
		return err
	}
	writeJSON(c, 202, stepWire{Step: wire.Step, State: "open"})
	return nil
}

// groups returns the sample groups with the request of each.
func (w openWire) groups() ([]rollout.Group, error) {
	groups := make([]rollout.Group, 0, len(w.Groups))
	for i, g := range w.Groups {
		if len(g.Messages) == 0 {
			return nil, failure.New(failure.BadRequest, "groups[%d].messages: must be present", i)
		}
		data, err := w.completionBody(g)
		if err != nil {
			return nil, failure.New(failure.BadRequest, "groups[%d]: %w", i, err)
		}
		groups = append(groups, rollout.NewGroup(g.ID, data, g.Samples))
	}
	return groups, nil
}

// completionBody returns the chat completion request that is run for each sample
// of a group. It asks for token counts in each event, since the spans of weight
// versions are built from them.
func (w openWire) completionBody(g groupWire) ([]byte, error) {
	data, err := sjson.SetRawBytes([]byte(`{"stream":true,"stream_options":{"include_usage":true,"continuous_usage_stats":true}}`), "messages", g.Messages)
	if err != nil {
		return nil, err
	}
	data, err = sjson.SetBytes(data, "model", w.Service)
	if err != nil || w.MaxTokens == 0 {
		return data, err
	}
	return sjson.SetBytes(data, "max_tokens", w.MaxTokens)
}

// getStep returns the samples of a sealed step. It can be repeated until the step
// is acknowledged.
func (s *Server) getStep(ctx context.Context, c *app.RequestContext) error {
	id, err := s.stepID(c)
	if err != nil {
		return err
	}
	version, err := strconv.ParseInt(c.Query("weight-version"), 10, 64)
	if err != nil {
		return failure.New(failure.BadRequest, "weight-version: must be the trainer's version now")
	}
	delivery, err := s.driver.Deliver(ctx, id, version)
	if err != nil {
		return err
	}
	wire := stepWire{Step: id.Number(), State: "sealed", Dropped: delivery.DroppedCount(), Stale: delivery.StaleCount()}
	for _, data := range delivery.EncodedSamples() {
		wire.Samples = append(wire.Samples, data)
	}
	writeJSON(c, 200, wire)
	return nil
}

// acknowledgeStep records that the trainer has received a step.
func (s *Server) acknowledgeStep(ctx context.Context, c *app.RequestContext) error {
	id, err := s.stepID(c)
	if err != nil {
		return err
	}
	if err := s.driver.Acknowledge(ctx, id); err != nil {
		return err
	}
	writeJSON(c, 200, stepWire{Step: id.Number(), State: "acknowledged"})
	return nil
}

// stepID returns the id of the step in the path, for the authenticated customer.
func (s *Server) stepID(c *app.RequestContext) (step.ID, error) {
	caller, err := s.identify(c)
	if err != nil {
		return step.ID{}, err
	}
	number, err := strconv.ParseUint(c.Param("step"), 10, 64)
	if err != nil {
		return step.ID{}, failure.New(failure.BadRequest, "step: must be a number")
	}
	return step.NewID(caller.customer.Name(), number), nil
}
