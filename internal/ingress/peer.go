package ingress

import (
	"context"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"cactusspoke/internal/http1"
	"cactusspoke/internal/pool"
	"cactusspoke/internal/reach"
	"cactusspoke/internal/routetable"

	"github.com/cloudwego/hertz/pkg/app"
	"go.uber.org/zap"
)

const (
	// peerPause is how long a peer gets no requests after it could not be reached or reached
	// no server itself. Its own state comes to the directory within about that time.
	peerPause = time.Second
	// maxRelayRounds limits how often a request is offered to maxRelayPeers peers. The
	// second time, those that reach no server either are left out.
	maxRelayRounds = 2
	// maxRelayedRequests limits the requests that wait for peers at one time.
	maxRelayedRequests = 512
	// retryAfterNoPath is the Retry-After value while neither this instance nor a peer
	// reaches a server. The paths are checked again within that time.
	retryAfterNoPath = 400 * time.Millisecond
	// maxPeerRetryAfter bounds the Retry-After value of a peer that is passed on.
	maxPeerRetryAfter = 10 * time.Second
)

// pauses holds until when peers get no requests. It is safe for concurrent use.
type pauses struct {
	mu    sync.Mutex
	until map[string]time.Time
}

// add begins a pause of a peer.
func (p *pauses) add(address string, now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.until == nil {
		p.until = map[string]time.Time{}
	}
	p.until[address] = now.Add(peerPause)
}

// without returns the addresses that are not paused.
func (p *pauses) without(addresses []string, now time.Time) []string {
	p.mu.Lock()
	defer p.mu.Unlock()
	out := addresses[:0]
	for _, address := range addresses {
		if now.Before(p.until[address]) {
			continue
		}
		delete(p.until, address)
		out = append(out, address)
	}
	return out
}

// relayPeers returns the peers that can take a request to a service, in random order.
func (s *Server) relayPeers(r *callerRequest, service string) []string {
	if r.relayed || s.relayedRequests.Load() >= maxRelayedRequests {
		return nil
	}
	return s.peerPauses.without(s.Directory.PeersReaching(s.Address, service, s.allowedDomain(r)), time.Now())
}

// verdict decides what to do with a request to a service.
func (s *Server) verdict(r *callerRequest, service string) reach.Verdict {
	k := s.Reach.Knowledge(service)
	if k.Lost() {
		k.Peers = len(s.relayPeers(r, service))
	}
	return reach.Decide(k)
}

// forwardToPeers relays a request to one peer after another until one responds. A peer
// counts, limits and authorizes it like a request of its own.
func (s *Server) forwardToPeers(ctx context.Context, c *app.RequestContext, r *callerRequest, state *forwardState, service string) attemptResult {
	s.relayedRequests.Add(1)
	defer s.relayedRequests.Add(-1)
	state.relayRounds++
	peers := s.relayPeers(r, service)
	peers = peers[:min(maxRelayPeers, len(peers))]
	for i, address := range peers {
		if ctx.Err() != nil || state.failures >= r.maxAttempts {
			break
		}
		result := s.forwardToPeer(ctx, c, r, state, address, i == len(peers)-1)
		s.Metrics.Inc("relayed_requests_total", "outcome", result.String())
		if result == attemptDone {
			s.Log.Info("request: relayed", zap.String("id", r.id), zap.String("peer", address), zap.String("service", service))
			return attemptDone
		}
		s.Log.Info("request: relaying failed", zap.String("id", r.id), zap.String("peer", address), zap.Stringer("verdict", result), zap.String("reason", state.reason))
		if result == attemptFailed && !r.route.Idempotent() {
			break
		}
	}
	if r.mayHaveRun {
		return attemptFailed
	}
	return attemptNotRun
}

// forwardToPeer relays a request to a peer. While more peers are left, this one gets only
// a part of the time and of the attempts.
func (s *Server) forwardToPeer(ctx context.Context, c *app.RequestContext, r *callerRequest, state *forwardState, address string, last bool) attemptResult {
	attempts := r.maxAttempts - state.failures
	deadline := r.deadline.Add(-responseMargin)
	if !last && r.route.Idempotent() && attempts > 1 {
		attempts--
		if r.route.Kind == routetable.Safe {
			deadline = time.Now().Add(max(minAttemptTimeout, time.Until(deadline)/2))
		}
	}
	ctx, cancel := context.WithDeadline(ctx, deadline)
	defer cancel()
	failed := func(reason string) attemptResult {
		state.reason = reason
		r.mayHaveRun = true
		state.failures += attempts
		return attemptFailed
	}
	response, err := s.Backends.Do(ctx, address, s.relayedRequest(c, r, deadline, attempts))
	if err != nil {
		if ctx.Err() == nil {
			s.peerPauses.add(address, time.Now())
		}
		state.reason = err.Error()
		if http1.NotSent(err) {
			return attemptNotRun
		}
		return failed(err.Error())
	}
	defer response.Close()
	status := response.Status()
	if response.Header(s.Headers.RequestID) != r.id {
		response.Abort()
		return failed("response to another request")
	}
	if response.Header(serverHeader) == "" && response.Header(s.Headers.Signature) == "" && status >= http.StatusBadRequest {
		return s.handlePeerError(response, state, address, failed)
	}
	if response.Header(s.Headers.Leaving) == pool.LeavingValue {
		s.Pool.MarkLeaving(response.Header(serverHeader))
	}
	if r.route.Kind == routetable.Streaming && status == http.StatusOK {
		if s.abortUnsealed(response, state) {
			return failed(state.reason)
		}
		return s.forwardStream(ctx, c, r, "peer "+address, func(pool.Outcome) {}, response, func() {})
	}
	result := s.forwardBuffered(ctx, c, r, state, attempts, "peer "+address, func(pool.Outcome) {}, response)
	if result == attemptFailed {
		return failed(state.reason)
	}
	return result
}

// relayedRequest returns the request as it is relayed to a peer.
func (s *Server) relayedRequest(c *app.RequestContext, r *callerRequest, deadline time.Time, attempts int) *http1.Request {
	request := s.peerRequest(c, r)
	remaining := strconv.FormatInt(max(1, time.Until(deadline).Milliseconds()), 10)
	headers := request.Headers[:0]
	for _, h := range request.Headers {
		if !strings.EqualFold(h.Name, s.Headers.DeadlineMS) {
			headers = append(headers, h)
		}
	}
	request.Headers = append(headers,
		http1.Header{Name: s.Headers.DeadlineMS, Value: remaining},
		http1.Header{Name: attemptsHeader, Value: strconv.Itoa(attempts)})
	return request
}

// handlePeerError handles an error of the peer itself, whose response names no server. It leaves
// open whether a server ran the request unless the peer refused or denied it.
func (s *Server) handlePeerError(response *http1.Response, state *forwardState, address string, failed func(string) attemptResult) attemptResult {
	reason := "refused by a peer with status " + strconv.Itoa(response.Status())
	if err := response.Drain(streamBufferBytes); err != nil {
		response.Abort()
	}
	if !isRefusal(response.Status()) && !isDeniedByPeer(response.Status()) {
		return failed(reason)
	}
	if response.Header(noPathHeader) != "" {
		s.peerPauses.add(address, time.Now())
	}
	state.reason = reason
	if response.Header(noRoomHeader) != "" {
		// A second round would only use up the caller's time.
		state.relayRounds = maxRelayRounds
		if seconds, err := strconv.ParseFloat(response.Header("Retry-After"), 64); err == nil && seconds > 0 {
			state.limitWait = max(state.limitWait, time.Duration(min(seconds, maxPeerRetryAfter.Seconds())*float64(time.Second)))
		}
	}
	return attemptNotRun
}

// isDeniedByPeer reports whether a peer responds with a status before it sends a request to any
// server, since its configuration or its limits do not allow the request.
func isDeniedByPeer(status int) bool {
	switch status {
	case http.StatusBadRequest, http.StatusUnauthorized, http.StatusForbidden, http.StatusNotFound,
		http.StatusRequestEntityTooLarge, http.StatusRequestURITooLong, http.StatusRequestHeaderFieldsTooLarge:
		return true
	}
	return false
}
