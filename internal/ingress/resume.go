package ingress

import (
	"context"
	"net/http"
	"strconv"
	"strings"
	"time"

	"cactusspoke/internal/routetable"
	"cactusspoke/internal/streamorigin"

	"github.com/cloudwego/hertz/pkg/app"
	"go.uber.org/zap"
)

// findOrigin sets the origin of the stream that a request resumes, if any. It responds and
// returns false if no server of the software version that began the stream can resume it. If
// this instance cannot find out where the stream began, peers get the request.
func (s *Server) findOrigin(ctx context.Context, c *app.RequestContext, r *callerRequest, state *forwardState, service string) bool {
	if r.route.Kind != routetable.Streaming || !resumesStream(string(c.Request.Header.Peek(s.Headers.LastEventID))) {
		return true
	}
	begunBy := string(c.Request.Header.Peek(s.Headers.Resumes))
	recorded, err := s.Streams.Find(ctx, begunBy)
	if recorded == nil && err == nil {
		err = s.Software.Confirm(ctx, r.receivedAt)
	}
	services := r.route.Services()
	origin, verdict := streamorigin.Decide(streamorigin.Knowledge{
		Recorded: recorded, LookupFailed: err != nil, Services: services,
		Seen: s.Pool.SoftwareSeen(services, streamorigin.Retention), Ready: s.Pool.SoftwareReady(services),
	})
	fields := []zap.Field{
		zap.String("id", r.id), zap.String("begun-by", begunBy), zap.Bool("recorded", recorded != nil),
		zap.String("begun-at", origin.Software), zap.Stringer("verdict", verdict),
	}
	if err != nil {
		fields = append(fields, zap.String("reason", err.Error()))
	}
	s.Log.Info("request: stream taken up", fields...)
	s.Metrics.Inc("resumed_streams_total", "verdict", verdict.String())
	retryAfter := time.Duration(0)
	switch verdict {
	case streamorigin.GoOn:
		r.resumesAt = &origin
		return true
	case streamorigin.Unavailable:
		if s.forwardToPeers(ctx, c, r, state, service) == attemptDone {
			return false
		}
		if r.mayHaveRun {
			s.respondError(c, r, http.StatusBadGateway, 0, state.reason)
			return false
		}
		retryAfter = retryAfterUnavailable
	case streamorigin.Gone, streamorigin.Unknown:
	}
	s.respondError(c, r, http.StatusServiceUnavailable, retryAfter, "the stream cannot go on: "+verdict.String())
	return false
}

// resumesStream reports whether a Last-Event-ID says that events came before.
func resumesStream(lastEventID string) bool {
	n, err := strconv.Atoi(strings.TrimSpace(lastEventID))
	return lastEventID != "" && (err != nil || n > 0)
}
