package ingress

import (
	"context"
	"net/http"
	"time"

	"github.com/cloudwego/hertz/pkg/app"
)

const (
	// earlyStopShare is the share of the time for stopping in which requests are taken
	// that may last longer than is left. Callers do not know of the stop yet, and most
	// requests end long before their deadline.
	earlyStopShare = 0.35
	// stopResponseMargin is reserved before the end for the responses to requests that
	// are ended.
	stopResponseMargin = 200 * time.Millisecond
	// jobCallTime is the time that a request about a job needs, with some in hand.
	jobCallTime = 1500 * time.Millisecond
	// retryAfterStopping is the Retry-After value of an instance that stops. Its peers
	// can take the request at once.
	retryAfterStopping = 20 * time.Millisecond
)

// stopPlan is the time in which an instance stops.
type stopPlan struct{ began, end time.Time }

// takes reports whether a request with a deadline is taken now. One that is taken too
// late would be cut after a server began to run it.
func (p *stopPlan) takes(now, deadline time.Time) bool {
	if p == nil || !deadline.After(p.end.Add(-stopResponseMargin)) {
		return true
	}
	return now.Sub(p.began) < time.Duration(earlyStopShare*float64(p.end.Sub(p.began)))
}

// Stop makes the readiness check fail and stops address lookups from falling back to this
// instance. Requests are still served unless they may last beyond end; those that run
// then are ended with a response.
func (s *Server) Stop(end time.Time) {
	plan := &stopPlan{began: time.Now(), end: end}
	s.stopping.Store(plan)
	time.AfterFunc(time.Until(end.Add(-stopResponseMargin)), s.endRequests)
}

// untilStopped returns a context that also ends when an instance that stops runs out of
// time.
func (s *Server) untilStopped(ctx context.Context) (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithCancel(ctx)
	stop := context.AfterFunc(s.requestsEnd, cancel)
	return ctx, func() {
		stop()
		cancel()
	}
}

// refusedWhileStopping refuses a request that may last longer than this instance runs.
func (s *Server) refusedWhileStopping(c *app.RequestContext, r *callerRequest, deadline time.Time) bool {
	if s.stopping.Load().takes(time.Now(), deadline) {
		return false
	}
	c.SetConnectionClose()
	s.respondError(c, r, http.StatusServiceUnavailable, retryAfterStopping, "the instance stops")
	return true
}
