package ingress

import (
	"context"
	"net/http"
	"time"

	"github.com/cloudwego/hertz/pkg/app"
)

const (
	// earlyStopShare is the initial share of the shutdown in which requests are admitted
	// whose deadline lies beyond its end. Callers still hold the address, and most requests
	// end long before their deadline.
	earlyStopShare = 0.35
	// stopResponseMargin is reserved before the end for the responses to requests that
	// are ended.
	stopResponseMargin = 200 * time.Millisecond
	// jobCallTime is an upper estimate of the duration of a request about a job.
	jobCallTime = 1500 * time.Millisecond
	// retryAfterStopping is the Retry-After value of an instance that stops. Its peers
	// can take the request at once.
	retryAfterStopping = 20 * time.Millisecond
)

// stopPlan holds the begin and the end of a graceful shutdown.
type stopPlan struct{ began, end time.Time }

// admits reports whether a request with a deadline is admitted now. One that is admitted too
// late would be cut after a server began to run it.
func (p *stopPlan) admits(now, deadline time.Time) bool {
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

// untilStopped returns a context that also ends at the end of a graceful shutdown.
func (s *Server) untilStopped(ctx context.Context) (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithCancel(ctx)
	stop := context.AfterFunc(s.requestsEnd, cancel)
	return ctx, func() {
		stop()
		cancel()
	}
}

// refusedWhileStopping refuses a request that may outlast a graceful shutdown and reports
// whether it did.
func (s *Server) refusedWhileStopping(c *app.RequestContext, r *callerRequest, deadline time.Time) bool {
	if s.stopping.Load().admits(time.Now(), deadline) {
		return false
	}
	c.SetConnectionClose()
	s.respondError(c, r, http.StatusServiceUnavailable, retryAfterStopping, "the instance stops")
	return true
}
