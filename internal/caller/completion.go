package caller

import (
	"context"
	"errors"
	"time"

	"cactusspoke/internal/failure"
	"cactusspoke/internal/forward"
	"cactusspoke/internal/profile"
	"cactusspoke/internal/routing"

	"github.com/cloudwego/hertz/pkg/app"
	"github.com/tidwall/gjson"
	"github.com/tidwall/sjson"
	"go.uber.org/zap"
)

// Values for the estimate of a request's cost.
const (
	bytesPerToken       = 4
	defaultOutputTokens = 256
)

// serveCompletion serves chat and text completions in OpenAI format.
func (s *Server) serveCompletion(ctx context.Context, c *app.RequestContext) error {
	caller, err := s.identify(c)
	if err != nil {
		return err
	}
	data, err := c.Body()
	if err != nil || !gjson.ValidBytes(data) {
		return failure.New(failure.BadRequest, "the body is not JSON")
	}
	model := gjson.GetBytes(data, "model")
	if model.Type != gjson.String {
		return failure.New(failure.BadRequest, "model: must name a service")
	}
	requestInfoOf(c).service = model.String()
	service, p, err := s.lookUpService(model.String(), profile.Model)
	if err != nil {
		return err
	}
	if err := caller.checkAccess(service.Name()); err != nil {
		return err
	}
	data, err = readBody(c, p, caller.apiKey)
	if err != nil {
		return err
	}
	request, err := s.completionRequest(c, caller, service, p, data)
	if err != nil {
		return err
	}
	return s.forwardRequest(ctx, c, request)
}

// completionRequest builds the request to forward. It asks streams for usage,
// which is needed to count tokens, and hides the usage event from callers that
// didn't ask for it.
func (s *Server) completionRequest(c *app.RequestContext, caller identity, service *profile.Service, p *profile.Profile, data []byte) (*forward.Request, error) {
	prompt := extractPrompt(data)
	if len(prompt) == 0 {
		return nil, failure.New(failure.BadRequest, "messages or prompt: must be present")
	}
	path := string(c.Path())
	target, err := forwardedURI(path, c, caller.apiKey)
	if err != nil {
		return nil, err
	}
	request := forward.New(service, p, "POST", target, path).WithCustomer(caller.customer, caller.digest, caller.apiKey)
	if gjson.GetBytes(data, "stream").Bool() && !gjson.GetBytes(data, "stream_options.include_usage").Bool() {
		data, err = sjson.SetBytes(data, "stream_options.include_usage", true)
		if err != nil {
			return nil, failure.New(failure.BadRequest, "stream_options: must be an object")
		}
		request.WithoutUsageEvent()
	}
	attributes := routing.NewAttributes()
	if hash, ok := routing.PrefixHash(prompt); ok {
		attributes = attributes.WithPrefix(hash)
	}
	return request.WithBody("application/json", data, forwardedHeaders(c, caller.apiKey)).
		WithIdempotency(true, "").
		WithRouting(attributes, estimateCost(data, prompt)), nil
}

// extractPrompt returns the raw JSON of the messages or the prompt, or nil.
func extractPrompt(data []byte) []byte {
	for _, field := range []string{"messages", "prompt"} {
		if v := gjson.GetBytes(data, field); v.Exists() && v.Type != gjson.Null {
			return []byte(v.Raw)
		}
	}
	return nil
}

// estimateCost estimates the cost of a request in tokens: the requested maximum
// of output tokens plus the tokens of the prompt.
func estimateCost(data, prompt []byte) float64 {
	output := float64(defaultOutputTokens)
	for _, field := range []string{"max_completion_tokens", "max_tokens"} {
		if v := gjson.GetBytes(data, field); v.Type == gjson.Number && v.Num > 0 {
			output = v.Num
			break
		}
	}
	return output + float64(len(prompt))/bytesPerToken
}

// lookUpService returns a service of the given kind with its profile.
func (s *Server) lookUpService(name string, kind profile.Kind) (*profile.Service, *profile.Profile, error) {
	service, p, ok := s.view.Current().Service(name)
	if !ok || service.Kind() != kind {
		return nil, nil, failure.New(failure.UnknownService, "there is no %s service %q", kind, name)
	}
	return service, p, nil
}

// forwardRequest forwards a request and writes the response to the caller.
func (s *Server) forwardRequest(ctx context.Context, c *app.RequestContext, request *forward.Request) error {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	if request.CancelsOnKeyWithdrawal() {
		go s.cancelOnWithdrawal(ctx, cancel, request)
	}
	sink := newSink(c)
	requestInfoOf(c).counted = true
	err := s.forwarder.Do(ctx, request, sink)
	var alreadyRun *forward.AlreadyRunError
	if errors.As(err, &alreadyRun) {
		return s.replay(ctx, c, request, alreadyRun, err)
	}
	return sink.wrapTruncated(err)
}

// cancelOnWithdrawal cancels a running request when its key is withdrawn.
func (s *Server) cancelOnWithdrawal(ctx context.Context, cancel context.CancelCauseFunc, request *forward.Request) {
	ticker := time.NewTicker(keyCheckInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			if s.forwarder.CheckKey(request) != nil {
				cancel(failure.New(failure.WithdrawnWhileRunning, "the key was withdrawn while the request ran"))
				return
			}
		}
	}
}

// replay answers a repeated request with the stored response of the earlier
// attempt, on this instance or a peer. It returns err if no response is stored.
func (s *Server) replay(ctx context.Context, c *app.RequestContext, request *forward.Request, alreadyRun *forward.AlreadyRunError, err error) error {
	usageRecord := s.usageRecorder.Start(request.CustomerName(), request.ServiceName())
	status, contentType, data, found := s.responses.Lookup(alreadyRun.ID())
	if !found {
		status, contentType, data, found = s.storedResponseFromPeers(ctx, alreadyRun)
	}
	if !found {
		usageRecord.Refuse(failure.KindOf(err).String())
		return err
	}
	usageRecord.Replay()
	c.Response.Header.Set("Idempotent-Replayed", "true")
	c.Data(status, contentType, data)
	return nil
}

// storedResponseFromPeers reads the stored response from the peers that may be the
// instance that ran the request.
func (s *Server) storedResponseFromPeers(ctx context.Context, alreadyRun *forward.AlreadyRunError) (int, string, []byte, bool) {
	for _, m := range s.members.IncarnationCandidates(time.Now(), alreadyRun.Instance()) {
		status, contentType, data, found, err := s.clients.StoredResponse(ctx, m.PeersAddress(), alreadyRun.ID())
		if err != nil {
			s.log.Warn("caller: cannot read stored response from peer", zap.String("instance", alreadyRun.Instance()), zap.String("reason", err.Error()))
		}
		if found {
			return status, contentType, data, true
		}
	}
	return 0, "", nil, false
}

type modelWire struct {
	ID      string `json:"id"`
	Object  string `json:"object"`
	OwnedBy string `json:"owned_by"`
}

type modelsWire struct {
	Object string      `json:"object"`
	Data   []modelWire `json:"data"`
}

// serveModels lists the model services that the caller may use.
func (s *Server) serveModels(_ context.Context, c *app.RequestContext) error {
	caller, err := s.identify(c)
	if err != nil {
		return err
	}
	wire := modelsWire{Object: "list", Data: []modelWire{}}
	for name, service := range s.view.Current().Services() {
		if service.Kind() == profile.Model && caller.customer.MayUse(name) {
			wire.Data = append(wire.Data, modelWire{name, "model", "cactusspoke"})
		}
	}
	writeJSON(c, 200, wire)
	return nil
}
