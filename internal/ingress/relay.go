package ingress

import (
	"context"
	"net/http"
	"time"

	"cactusspoke/internal/http1"

	"github.com/cloudwego/hertz/pkg/app"
	"go.uber.org/zap"
)

const (
	// relayHeader marks a call that another entry instance passed on, so that
	// it is passed on once.
	relayHeader = "X-Cactusspoke-Relayed"
	// relayPeers bounds the peers that are asked.
	relayPeers = 3
	// relayPatience bounds the wait for one peer beyond the wait of the call.
	relayPatience = 1200 * time.Millisecond
)

// relay passes a call about a job on to entry instances that reach the store,
// while this one does not. It reports whether one of them answered.
func (s *Server) relay(ctx context.Context, c *app.RequestContext, r *call) bool {
	if len(c.Request.Header.Peek(relayHeader)) > 0 {
		return false
	}
	request := &http1.Request{Method: r.method, URI: r.uri, Host: r.host, Body: c.Request.Body()}
	c.Request.Header.VisitAll(func(name, value []byte) {
		if hopByHop(string(name)) {
			return
		}
		request.Headers = append(request.Headers, http1.Header{Name: string(name), Value: string(value)})
	})
	request.Headers = append(request.Headers, http1.Header{Name: relayHeader, Value: "1"})
	asked := 0
	for _, address := range s.Directory.Peers(s.Address) {
		if asked == relayPeers || ctx.Err() != nil {
			break
		}
		asked++
		if s.relayTo(ctx, c, r, address, request) {
			return true
		}
	}
	return false
}

// relayTo passes a call on to one peer. Its refusals are not passed back,
// since another peer may do better.
func (s *Server) relayTo(ctx context.Context, c *app.RequestContext, r *call, address string, request *http1.Request) bool {
	ctx, cancel := context.WithTimeout(ctx, relayPatience+s.wait(c))
	defer cancel()
	response, err := s.Backends.Do(ctx, address, request)
	if err != nil {
		s.Log.Info("job: peer did not take the call", zap.String("id", r.id), zap.String("peer", address), zap.String("reason", err.Error()))
		return false
	}
	defer response.Close()
	body, err := response.ReadAll(wholeLimit)
	if err != nil || response.Status() >= http.StatusInternalServerError {
		return false
	}
	s.copyHeaders(c, response.Headers())
	c.SetStatusCode(response.Status())
	c.Response.SetBodyRaw(body)
	s.Log.Info("job: call passed on to a peer, the store is out of reach", zap.String("id", r.id), zap.String("path", r.path),
		zap.String("peer", address), zap.Int("status", response.Status()), zap.Duration("took", time.Since(r.arrived)))
	return true
}
