package forward

import (
	"context"
	"errors"
	"fmt"
	"time"

	"cactusspoke/internal/admission"
	"cactusspoke/internal/backendserver"
	"cactusspoke/internal/claim"
	"cactusspoke/internal/failure"
	"cactusspoke/internal/fleet"
	"cactusspoke/internal/invariant"
	"cactusspoke/internal/logs"
	"cactusspoke/internal/quarantine"

	"github.com/cespare/xxhash/v2"
	"go.opentelemetry.io/otel/attribute"
	"go.uber.org/zap"
)

// try makes one attempt and tells whether to make another.
func (f *Forwarder) try(ctx context.Context, c *call) (again bool, err error) {
	spanCtx, span := f.tracer.Start(ctx, "queue")
	ticket := admission.NewTicket(c.request.CustomerName(), c.request.weight(), c.request.cost,
		c.request.priority, time.Now().Add(c.request.profile.QueueWait()))
	server, err := c.service.gate.Enter(spanCtx, ticket, c)
	span.End()
	if err != nil {
		return false, f.stop(ctx, c, f.explain(c, err))
	}
	c.life.step(ctx, reserve)
	if err := f.admit(ctx, c); err != nil {
		f.fleet.End(time.Now(), server.ID(), fleet.Neutral)
		return false, f.stop(ctx, c, err)
	}
	err = f.attemptAt(ctx, c, server)
	c.service.gate.Correct(ticket, max(float64(c.tokens+c.prompt), 1))
	return f.after(ctx, c, server, err)
}

// explain tells a wait for a busy server from one where no server was left.
func (f *Forwarder) explain(c *call, err error) error {
	if failure.KindOf(err) != failure.QueueTimeout {
		return err
	}
	for _, s := range f.fleet.Servers(time.Now(), c.request.service.Name(), 1) {
		if c.accepts(s) {
			return err
		}
	}
	return failure.New(failure.NoBackend, "no backend server can take the request")
}

// stop ends a call that waits or is reserved. An earlier try that may have
// run turns any refusal into a failure of unknown outcome.
func (f *Forwarder) stop(ctx context.Context, c *call, err error) error {
	if c.life.mayHaveRun() {
		c.life.step(ctx, fail)
		return failure.New(failure.BackendFailed, "an earlier try failed, then: %s", failure.Message(err))
	}
	f.release(c)
	c.life.step(ctx, refuse)
	return err
}

// admit repeats the checks that may have changed while the call waited, and
// claims a request that must run at most once.
func (f *Forwarder) admit(ctx context.Context, c *call) error {
	if err := f.Permitted(c.request); err != nil {
		return err
	}
	if !c.request.claimed() || c.claimed {
		return nil
	}
	return f.claim(ctx, c)
}

// Permitted tells whether the request's key is still good.
func (f *Forwarder) Permitted(r *Request) error {
	if r.customer == nil {
		return nil
	}
	if !f.trusted(time.Now()) {
		return failure.New(failure.CutOff, "this instance cannot tell whether keys were withdrawn")
	}
	customer, known, allowed := f.view.Allowed(r.digest)
	if !known || !allowed {
		return failure.New(failure.KeyWithdrawn, "the key was withdrawn")
	}
	invariant.Check(invariant.CustomerIsolation, customer.Name() == r.customer.Name(),
		"key of %s on a request of %s", customer.Name(), r.customer.Name())
	return nil
}

func (f *Forwarder) claim(ctx context.Context, c *call) error {
	ctx, cancel := context.WithTimeout(ctx, claimTimeout)
	defer cancel()
	id := claim.NewID(c.request.CustomerName(), c.request.service.Name(), c.request.idempotencyKey)
	body := xxhash.Sum64String(c.request.method + c.request.uri + string(c.request.body))
	c.claim = claim.New(id, body, c.id, f.prefix)
	result := f.claimer.Claim(ctx, c.claim)
	switch result.Outcome() {
	case claim.Granted:
		c.claimed = true
		return nil
	case claim.Taken:
		return &AlreadyRunError{id: id, instance: result.Instance()}
	case claim.Mismatch:
		return failure.New(failure.KeyReused, "the idempotency key was used for another request")
	default:
		return failure.New(failure.StoreUnavailable, "the claim could not be stored")
	}
}

// release gives the claim of a request back that certainly did not run.
func (f *Forwarder) release(c *call) {
	if !c.claimed {
		return
	}
	invariant.Check(invariant.AtMostOnce, !c.life.mayHaveRun(), "claim of a request that may have run is released")
	c.claimed = false
	ctx, cancel := context.WithTimeout(context.Background(), claimTimeout)
	defer cancel()
	f.claimer.Release(ctx, c.claim)
}

// attemptAt sends the request to one server and passes its answer on.
func (f *Forwarder) attemptAt(ctx context.Context, c *call, server fleet.Server) error {
	ctx, span := f.tracer.Start(ctx, "attempt")
	defer span.End()
	span.SetAttributes(attribute.String("backend.server", server.ID()), attribute.Int("attempt", c.attempt))
	invariant.Check(invariant.AtMostOnce, c.request.idempotent || !c.life.mayHaveRun(),
		"non-idempotent request %s would run again", c.id)
	c.life.step(ctx, dispatch)
	id := fmt.Sprintf("%s-%d", c.id, c.attempt)
	priority := "live"
	if c.request.priority == admission.Rollout {
		priority = "rollout"
	}
	answer, err := f.backends.Send(ctx, server, backendserver.NewAttempt(id, c.request.method, c.request.uri,
		c.request.contentType, c.request.headers, c.request.body, priority, f.tracer.Inject(ctx), c.request.secret))
	if err != nil {
		return err
	}
	if answer.EventStream() {
		return f.relay(ctx, c, answer)
	}
	return f.whole(ctx, c, answer)
}

// after settles an attempt and tells whether to make another.
func (f *Forwarder) after(ctx context.Context, c *call, server fleet.Server, err error) (again bool, final error) {
	if err == nil {
		f.fleet.End(time.Now(), server.ID(), fleet.Served)
		f.suspects.Completed(c.fp)
		c.service.earnRetry()
		return false, nil
	}
	var sent *backendserver.Error
	if !errors.As(err, &sent) {
		f.fleet.End(time.Now(), server.ID(), fleet.Neutral)
		c.life.step(ctx, fail)
		return false, err
	}
	f.blame(ctx, c, server, sent)
	if sent.Ran() == failure.RanNo {
		c.life.step(ctx, proveNot)
	}
	if f.mayRetry(ctx, c, server) {
		if sent.Ran() != failure.RanNo {
			c.life.step(ctx, retry)
		}
		return true, nil
	}
	return false, f.conclude(ctx, c, sent)
}

// blame judges the server and, after a crash, the request.
func (f *Forwarder) blame(ctx context.Context, c *call, server fleet.Server, sent *backendserver.Error) {
	outcome := fleet.Unhealthy
	if ctx.Err() != nil && !sent.ConnectionLost() {
		outcome = fleet.Neutral
	}
	f.fleet.End(time.Now(), server.ID(), outcome)
	if sent.ConnectionLost() && f.crashed(server) {
		f.suspects.Crashed(time.Now(), c.fp)
	}
	f.log.Info("forward: attempt failed", zap.String("request", c.id), zap.String("server", server.ID()),
		zap.Stringer("ran", sent.Ran()), logs.Err(sent))
}

// crashed tells a server that died under a request from a connection that
// broke: a server that still answers as the same run has not crashed.
func (f *Forwarder) crashed(server fleet.Server) bool {
	load, err := f.backends.Load(context.Background(), server)
	if err != nil {
		return true
	}
	return server.Incarnation() != 0 && load.Incarnation() != server.Incarnation()
}

// mayRetry tells whether another try is safe and within the budgets. A
// request that was running in a crash is tried again only by its caller, so
// that it is screened as a suspect first.
func (f *Forwarder) mayRetry(ctx context.Context, c *call, server fleet.Server) bool {
	if c.begun || ctx.Err() != nil || c.attempt >= maxAttempts {
		return false
	}
	if c.life.mayHaveRun() && !c.request.idempotent {
		return false
	}
	if c.alone && c.life.mayHaveRun() {
		return false
	}
	if f.suspects.Judge(time.Now(), c.fp) != quarantine.Clear && !c.alone {
		if !f.suspects.TryRun(c.request.service.Name(), c.fp) {
			return false
		}
		c.alone = true
	}
	if !c.service.spendRetry() {
		return false
	}
	c.avoid = append(c.avoid, server.ID())
	return true
}

// conclude turns the last attempt's end into the answer for the caller.
func (f *Forwarder) conclude(ctx context.Context, c *call, sent *backendserver.Error) error {
	if !c.life.mayHaveRun() {
		f.release(c)
		c.life.step(ctx, refuse)
		return failure.Wrap(failure.BackendRefused, &backendserver.Class, sent)
	}
	c.life.step(ctx, fail)
	switch {
	case failure.KindOf(context.Cause(ctx)) == failure.WithdrawnWhileRunning:
		return context.Cause(ctx)
	case c.begun:
		return failure.Wrap(failure.Truncated, &backendserver.Class, sent)
	case errors.Is(ctx.Err(), context.Canceled):
		return failure.New(failure.CallerGone, "the caller left")
	case sent.Timeout():
		return failure.Wrap(failure.BackendTimeout, &backendserver.Class, sent)
	default:
		return failure.Wrap(failure.BackendFailed, &backendserver.Class, sent)
	}
}
