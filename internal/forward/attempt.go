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
	"cactusspoke/internal/profile"
	"cactusspoke/internal/quarantine"

	"github.com/cespare/xxhash/v2"
	"go.opentelemetry.io/otel/attribute"
	"go.uber.org/zap"
)

// attempt makes one attempt and reports whether to make another.
func (f *Forwarder) attempt(ctx context.Context, c *call) (shouldRetry bool, err error) {
	spanCtx, span := f.tracer.Start(ctx, "queue")
	ticket := admission.NewTicket(c.request.CustomerName(), c.request.weight(), c.request.cost,
		c.request.priority, time.Now().Add(c.request.profile.QueueWait()))
	server, err := c.state.gate.Acquire(spanCtx, ticket, c)
	span.End()
	if err != nil {
		return false, f.abort(ctx, c, f.explainQueueError(c, err))
	}
	c.lifecycle.fire(ctx, reserve)
	if err := f.authorize(ctx, c); err != nil {
		f.fleet.EndRequest(time.Now(), server.ID(), fleet.Neutral)
		return false, f.abort(ctx, c, err)
	}
	err = f.sendTo(ctx, c, server)
	c.state.gate.CorrectCost(ticket, max(float64(c.completionTokens+c.promptTokens), 1))
	return f.finishAttempt(ctx, c, server, err)
}

// explainQueueError replaces a queue timeout by NoBackend if there is no server
// that the call can use, so that callers can tell it from busy servers.
func (f *Forwarder) explainQueueError(c *call, err error) error {
	if failure.KindOf(err) != failure.QueueTimeout {
		return err
	}
	for _, s := range f.fleet.Servers(time.Now(), c.request.service.Name(), 1) {
		if c.canUse(s) {
			return err
		}
	}
	return failure.New(failure.NoBackend, "no backend server can take the request")
}

// abort ends a call that is queued or has a reserved server. If an earlier
// attempt may have run, it returns a failure of unknown outcome instead of a
// refusal.
func (f *Forwarder) abort(ctx context.Context, c *call, err error) error {
	if c.lifecycle.mayHaveRun() {
		c.lifecycle.fire(ctx, fail)
		return failure.New(failure.BackendFailed, "an earlier try failed, then: %s", failure.Message(err))
	}
	f.releaseClaim(c)
	c.lifecycle.fire(ctx, refuse)
	return err
}

// authorize checks the key again, because it may have been withdrawn while the
// call was queued, and claims a request that must run at most once.
func (f *Forwarder) authorize(ctx context.Context, c *call) error {
	if err := f.CheckKey(c.request); err != nil {
		return err
	}
	if !c.request.claimed() || c.claimed {
		return nil
	}
	return f.claim(ctx, c)
}

// CheckKey returns an error if the key of the request was withdrawn, or if this
// instance cannot currently tell.
func (f *Forwarder) CheckKey(r *Request) error {
	if r.customer == nil {
		return nil
	}
	if !f.keysVerifiable(time.Now()) {
		return failure.New(failure.CutOff, "this instance cannot tell whether keys were withdrawn")
	}
	customer, known, allowed := f.view.Allowed(r.digest)
	if !known || !allowed {
		return failure.New(failure.KeyWithdrawn, "the key was withdrawn")
	}
	invariant.Check(invariant.CustomerIsolation, customer.Name() == r.customer.Name(),
		"key of customer %s used for a request of customer %s", customer.Name(), r.customer.Name())
	return nil
}

func (f *Forwarder) claim(ctx context.Context, c *call) error {
	ctx, cancel := context.WithTimeout(ctx, claimTimeout)
	defer cancel()
	id := claim.NewID(c.request.CustomerName(), c.request.service.Name(), c.request.idempotencyKey)
	body := xxhash.Sum64String(c.request.method + c.request.uri + string(c.request.body))
	c.claim = claim.New(id, body, c.id, f.incarnation)
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

// releaseClaim releases the claim of a request that did not run, so that the
// caller can repeat it with the same idempotency key.
func (f *Forwarder) releaseClaim(c *call) {
	if !c.claimed {
		return
	}
	invariant.Check(invariant.AtMostOnce, !c.lifecycle.mayHaveRun(), "releasing the claim of a request that may have run")
	c.claimed = false
	ctx, cancel := context.WithTimeout(context.Background(), claimTimeout)
	defer cancel()
	f.claimer.Release(ctx, c.claim)
}

// sendTo sends the request to a server and forwards its response.
func (f *Forwarder) sendTo(ctx context.Context, c *call, server fleet.Server) error {
	ctx, span := f.tracer.Start(ctx, "attempt")
	defer span.End()
	span.SetAttributes(attribute.String("backend.server", server.ID()), attribute.Int("attempt", c.attempt))
	invariant.Check(invariant.AtMostOnce, c.request.idempotent || !c.lifecycle.mayHaveRun(),
		"non-idempotent request %s would run again", c.id)
	c.lifecycle.fire(ctx, dispatch)
	id := fmt.Sprintf("%s-%d", c.id, c.attempt)
	priority := "live"
	if c.request.priority == admission.Rollout {
		priority = "rollout"
	}
	attempt := backendserver.NewAttempt(id, c.request.method, c.request.uri,
		c.request.contentType, c.request.headers, c.request.body, priority, f.tracer.Inject(ctx), c.request.secret)
	if c.request.service.Kind() == profile.Model {
		attempt = attempt.WithCancel()
	}
	response, err := f.backends.Send(ctx, server, attempt)
	if err != nil {
		return err
	}
	if response.EventStream() {
		return f.forwardStream(ctx, c, response)
	}
	return f.forwardBody(ctx, c, response)
}

// finishAttempt records the outcome of an attempt and reports whether to make
// another.
func (f *Forwarder) finishAttempt(ctx context.Context, c *call, server fleet.Server, err error) (shouldRetry bool, final error) {
	if err == nil {
		f.fleet.EndRequest(time.Now(), server.ID(), fleet.Succeeded)
		f.quarantine.ReportCompletion(c.fingerprint)
		c.state.refillRetryBudget()
		return false, nil
	}
	var sent *backendserver.Error
	if !errors.As(err, &sent) {
		f.fleet.EndRequest(time.Now(), server.ID(), fleet.Neutral)
		c.lifecycle.fire(ctx, fail)
		return false, err
	}
	f.recordFailure(ctx, c, server, sent)
	if sent.Ran() == failure.RanNo {
		c.lifecycle.fire(ctx, confirmNotRun)
	}
	if f.mayRetry(ctx, c, server) {
		if sent.Ran() != failure.RanNo {
			c.lifecycle.fire(ctx, retry)
		}
		return true, nil
	}
	return false, f.finalError(ctx, c, sent)
}

// recordFailure records a failure of the server and, if the server crashed, a
// crash caused by the request.
func (f *Forwarder) recordFailure(ctx context.Context, c *call, server fleet.Server, sent *backendserver.Error) {
	outcome := fleet.ServerFailed
	if ctx.Err() != nil && !sent.ConnectionLost() {
		outcome = fleet.Neutral
	}
	f.fleet.EndRequest(time.Now(), server.ID(), outcome)
	if sent.ConnectionLost() && f.crashed(server) {
		f.quarantine.ReportCrash(time.Now(), c.fingerprint)
	}
	f.log.Info("forward: attempt failed", zap.String("request", c.id), zap.String("server", server.ID()),
		zap.Stringer("ran", sent.Ran()), logs.Err(sent))
}

// crashed reports whether the server crashed. It did not if it still responds
// with the same incarnation; then only the connection was lost.
func (f *Forwarder) crashed(server fleet.Server) bool {
	load, err := f.backends.Load(context.Background(), server)
	if err != nil {
		return true
	}
	return server.Incarnation() != 0 && load.Incarnation() != server.Incarnation()
}

// mayRetry reports whether another attempt is safe and within the limits. A
// request that already runs as a suspect and may have run is left to its caller
// to repeat, so that checkQuarantine runs first. A request that has just become
// a suspect is retried only if no other suspect of the service is running.
func (f *Forwarder) mayRetry(ctx context.Context, c *call, server fleet.Server) bool {
	if c.responseStarted || ctx.Err() != nil || c.attempt >= maxAttempts {
		return false
	}
	if c.lifecycle.mayHaveRun() && !c.request.idempotent {
		return false
	}
	if c.isolated && c.lifecycle.mayHaveRun() {
		return false
	}
	if f.quarantine.Check(time.Now(), c.fingerprint) != quarantine.Allow && !c.isolated {
		if !f.quarantine.TryAcquire(c.request.service.Name(), c.fingerprint) {
			return false
		}
		c.isolated = true
	}
	if !c.state.takeRetry() {
		return false
	}
	c.excluded = append(c.excluded, server.ID())
	return true
}

// finalError returns the error for the caller after the last attempt.
func (f *Forwarder) finalError(ctx context.Context, c *call, sent *backendserver.Error) error {
	if !c.lifecycle.mayHaveRun() {
		f.releaseClaim(c)
		c.lifecycle.fire(ctx, refuse)
		return failure.Wrap(failure.BackendRefused, &backendserver.Class, sent)
	}
	c.lifecycle.fire(ctx, fail)
	switch {
	case failure.KindOf(context.Cause(ctx)) == failure.WithdrawnWhileRunning:
		return context.Cause(ctx)
	case c.responseStarted:
		return failure.Wrap(failure.Truncated, &backendserver.Class, sent)
	case errors.Is(ctx.Err(), context.Canceled):
		return failure.New(failure.CallerGone, "the caller left")
	case sent.Timeout():
		return failure.Wrap(failure.BackendTimeout, &backendserver.Class, sent)
	default:
		return failure.Wrap(failure.BackendFailed, &backendserver.Class, sent)
	}
}
