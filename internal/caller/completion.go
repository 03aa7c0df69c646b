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

// Estimates of a request's cost before it ran.
const (
	bytesPerToken       = 4
	defaultOutputTokens = 256
)

// complete serves chat and plain completions in the OpenAI form.
func (s *Server) complete(ctx context.Context, c *app.RequestContext) error {
	who, err := s.identify(c)
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
	accountOf(c).service = model.String()
	service, p, err := s.service(model.String(), profile.Model)
	if err != nil {
		return err
	}
	if err := who.mayUse(service.Name()); err != nil {
		return err
	}
	data, err = body(c, p, who.secret)
	if err != nil {
		return err
	}
	request, err := s.completion(c, who, service, p, data)
	if err != nil {
		return err
	}
	return s.do(ctx, c, request)
}

func (s *Server) completion(c *app.RequestContext, who identity, service *profile.Service, p *profile.Profile, data []byte) (*forward.Request, error) {
	prompt := prompt(data)
	if len(prompt) == 0 {
		return nil, failure.New(failure.BadRequest, "messages or prompt: must be present")
	}
	path := string(c.Path())
	target, err := uri(path, c, who.secret)
	if err != nil {
		return nil, err
	}
	request := forward.New(service, p, "POST", target, path).WithCustomer(who.customer, who.digest, who.secret)
	if gjson.GetBytes(data, "stream").Bool() && !gjson.GetBytes(data, "stream_options.include_usage").Bool() {
		data, err = sjson.SetBytes(data, "stream_options.include_usage", true)
		if err != nil {
			return nil, failure.New(failure.BadRequest, "stream_options: must be an object")
		}
		request.WithoutUsageEvent()
	}
	work := routing.NewAttributes()
	if hash, ok := routing.PrefixHash(prompt); ok {
		work = work.WithPrefix(hash)
	}
	return request.WithBody("application/json", data, headers(c, who.secret)).
		WithIdempotency(true, "").
		WithRouting(work, cost(data, prompt)), nil
}

func prompt(data []byte) []byte {
	for _, field := range []string{"messages", "prompt"} {
		if v := gjson.GetBytes(data, field); v.Exists() && v.Type != gjson.Null {
			return []byte(v.Raw)
		}
	}
	return nil
}

func cost(data, prompt []byte) float64 {
	output := float64(defaultOutputTokens)
	for _, field := range []string{"max_completion_tokens", "max_tokens"} {
		if v := gjson.GetBytes(data, field); v.Type == gjson.Number && v.Num > 0 {
			output = v.Num
			break
		}
	}
	return output + float64(len(prompt))/bytesPerToken
}

func (s *Server) service(name string, kind profile.Kind) (*profile.Service, *profile.Profile, error) {
	service, p, ok := s.view.Current().Service(name)
	if !ok || service.Kind() != kind {
		return nil, nil, failure.New(failure.UnknownService, "there is no %s service %q", kind, name)
	}
	return service, p, nil
}

// do runs a request and writes its answer.
func (s *Server) do(ctx context.Context, c *app.RequestContext, request *forward.Request) error {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	if request.CancelsOnKeyWithdrawal() {
		go s.watchKey(ctx, cancel, request)
	}
	sink := newSink(c)
	accountOf(c).counted = true
	err := s.forwarder.Do(ctx, request, sink)
	var ran *forward.AlreadyRunError
	if errors.As(err, &ran) {
		return s.replay(ctx, c, request, ran, err)
	}
	return sink.settled(err)
}

// watchKey ends running work of a withdrawn key where the profile says so.
func (s *Server) watchKey(ctx context.Context, cancel context.CancelCauseFunc, request *forward.Request) {
	t := time.NewTicker(watchPeriod)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-t.C:
			if s.forwarder.CheckKey(request) != nil {
				cancel(failure.New(failure.WithdrawnWhileRunning, "the key was withdrawn while the request ran"))
				return
			}
		}
	}
}

// replay answers a request that was sent again with the stored answer of the
// attempt that ran, if that is still held.
func (s *Server) replay(ctx context.Context, c *app.RequestContext, request *forward.Request, ran *forward.AlreadyRunError, err error) error {
	entry := s.ledger.Open(request.CustomerName(), request.ServiceName())
	status, kind, data, found := s.answers.Lookup(ran.ID())
	if !found {
		status, kind, data, found = s.storedElsewhere(ctx, ran)
	}
	if !found {
		entry.Refuse(failure.KindOf(err).String())
		return err
	}
	entry.Replay()
	c.Response.Header.Set("Idempotent-Replayed", "true")
	c.Data(status, kind, data)
	return nil
}

func (s *Server) storedElsewhere(ctx context.Context, ran *forward.AlreadyRunError) (int, string, []byte, bool) {
	for _, m := range s.members.MayBe(time.Now(), ran.Instance()) {
		status, kind, data, found, err := s.clients.StoredAnswer(ctx, m.PeersAddress(), ran.ID())
		if err != nil {
			s.log.Warn("caller: stored answer not read", zap.String("instance", ran.Instance()), zap.String("reason", err.Error()))
		}
		if found {
			return status, kind, data, true
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

// models lists the model services that the caller may use.
func (s *Server) models(_ context.Context, c *app.RequestContext) error {
	who, err := s.identify(c)
	if err != nil {
		return err
	}
	wire := modelsWire{Object: "list", Data: []modelWire{}}
	for name, service := range s.view.Current().Services() {
		if service.Kind() == profile.Model && who.customer.MayUse(name) {
			wire.Data = append(wire.Data, modelWire{name, "model", "cactusspoke"})
		}
	}
	writeJSON(c, 200, wire)
	return nil
}
