package ingress

import (
	"context"
	"net/http"
	"strconv"
	"strings"
	"time"

	"cactusspoke/internal/http1"
	"cactusspoke/internal/protocol"

	"github.com/cloudwego/hertz/pkg/app"
	"go.uber.org/zap"
)

const (
	// relayedHeader marks a request that was relayed by another entry instance.
	// Such a request is not relayed again.
	relayedHeader = "X-Cactusspoke-Relayed"
	// attemptsHeader limits the attempts of the instance that gets a relayed request, so
	// that all instances together keep within the route's.
	attemptsHeader = "X-Cactusspoke-Attempts"
	// serverHeader names the backend server in the response to a relayed request.
	serverHeader = "X-Cactusspoke-Server"
	// noPathHeader in the response to a relayed request says that the peer reaches no server
	// either.
	noPathHeader = "X-Cactusspoke-No-Path"
	// noRoomHeader in the response to a relayed request says that it cannot be answered in
	// time since the servers lack capacity.
	noRoomHeader = "X-Cactusspoke-No-Room"
	// maxRelayPeers limits the number of peers to which a request is relayed.
	maxRelayPeers = 3
	// relayTimeout limits the time for one peer, in addition to the time for which
	// the request itself asks to wait for a result.
	relayTimeout = 1200 * time.Millisecond
)

// relay forwards a request about a job to other entry instances, since these may
// reach the store when this one cannot. It reports whether a peer responded. If not, a peer
// may still have carried out the request: see callerRequest.mayHaveRun.
func (s *Server) relay(ctx context.Context, c *app.RequestContext, r *callerRequest) bool {
	if r.relayed {
		return false
	}
	request := s.peerRequest(c, r)
	attempts := 0
	for _, address := range s.Directory.Peers(s.Address, s.allowedDomain(r)) {
		if attempts == maxRelayPeers || ctx.Err() != nil {
			break
		}
		attempts++
		if s.relayToPeer(ctx, c, r, address, request) {
			return true
		}
	}
	return false
}

// peerRequest returns the request as it is relayed to another instance. The peer handles
// it like a request of the caller, whose API key it carries.
func (s *Server) peerRequest(c *app.RequestContext, r *callerRequest) *http1.Request {
	request := &http1.Request{Method: r.method, URI: r.requestURI, Host: r.host, Body: c.Request.Body()}
	hopByHop := protocol.NewHopByHop(string(c.Request.Header.Peek("Connection")))
	c.Request.Header.VisitAll(func(name, value []byte) {
		if hopByHop.Has(string(name)) || strings.EqualFold(string(name), attemptsHeader) {
			return
		}
		request.Headers = append(request.Headers, http1.Header{Name: string(name), Value: string(value)})
	})
	request.Headers = append(request.Headers, http1.Header{Name: relayedHeader, Value: "1"})
	return request
}

// relayToPeer forwards a request to one peer and copies its response. Server
// errors and denials are not copied, since another peer may succeed, nor are refusals if an
// earlier attempt may have carried out the request.
func (s *Server) relayToPeer(ctx context.Context, c *app.RequestContext, r *callerRequest, address string, request *http1.Request) bool {
	ctx, cancel := context.WithTimeout(ctx, relayTimeout+s.resultWait(c))
	defer cancel()
	notRun := func(reason string) bool {
		s.Log.Info("job: relaying the request to a peer failed", zap.String("id", r.id), zap.String("peer", address),
			zap.String("reason", reason), zap.Bool("may-have-run", r.mayHaveRun))
		return false
	}
	failed := func(reason string) bool {
		r.mayHaveRun = r.mayHaveRun || r.method != http.MethodGet
		return notRun(reason)
	}
	response, err := s.Backends.Do(ctx, address, request)
	if http1.NotSent(err) {
		return notRun(err.Error())
	}
	if err != nil {
		return failed(err.Error())
	}
	defer response.Close()
	if id := response.Header(s.Headers.RequestID); id != "" && id != r.id { // earlier versions send none
		response.Abort()
		return failed("response to another request: " + id)
	}
	body, err := response.ReadAll(maxBufferedBytes)
	if err != nil {
		return failed(err.Error())
	}
	status := response.Status()
	switch {
	case deniesJobCall(r, status):
		return notRun("denied with status " + strconv.Itoa(status) + ", its configuration may be older")
	case status == http.StatusServiceUnavailable, isRefusal(status) && r.mayHaveRun:
		return notRun("refused with status " + strconv.Itoa(status))
	case status >= http.StatusInternalServerError:
		return failed("failed with status " + strconv.Itoa(status))
	}
	s.copyHeaders(c, response.Headers())
	c.SetStatusCode(status)
	c.Response.SetBodyRaw(body)
	s.Log.Info("job: request relayed to a peer because the store is unreachable", zap.String("id", r.id), zap.String("path", r.path),
		zap.String("peer", address), zap.Int("status", status), zap.Duration("took", time.Since(r.receivedAt)))
	return true
}

// deniesJobCall reports whether a status says that the configuration does not allow a request about a
// job. This instance has found that its own does. A 404 of a read is that of the job.
func deniesJobCall(r *callerRequest, status int) bool {
	switch status {
	case http.StatusUnauthorized, http.StatusForbidden:
		return true
	case http.StatusNotFound:
		return r.method == http.MethodPost
	}
	return false
}

// isRefusal reports whether a status promises that the request has not run and never will.
func isRefusal(status int) bool {
	switch status {
	case http.StatusRequestTimeout, http.StatusMisdirectedRequest, http.StatusTooManyRequests, http.StatusServiceUnavailable:
		return true
	}
	return false
}
