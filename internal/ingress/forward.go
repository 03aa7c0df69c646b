package ingress

import (
	"bytes"
	"context"
	"errors"
	"io"
	"math/rand/v2"
	"net/http"
	"strconv"
	"strings"
	"time"

	"cactusspoke/internal/http1"
	"cactusspoke/internal/intake"
	"cactusspoke/internal/kv"
	"cactusspoke/internal/memory"
	"cactusspoke/internal/poison"
	"cactusspoke/internal/pool"
	"cactusspoke/internal/protocol"
	"cactusspoke/internal/reach"
	"cactusspoke/internal/routetable"
	"cactusspoke/internal/streamorigin"
	"cactusspoke/internal/web"

	"github.com/cloudwego/hertz/pkg/app"
	"github.com/cloudwego/hertz/pkg/protocol/http1/resp"
	"go.uber.org/zap"
)

const (
	// maxBufferedBytes limits the size of a response that is read whole and checked
	// before any of it is sent to the caller.
	maxBufferedBytes = 32 << 20
	// bufferStepBytes is the size of the steps in which such a response is read.
	bufferStepBytes = 64 << 10
	// maxExtraRejections is added to the route's maximum number of attempts to get
	// the number of attempts that may end without running the request.
	maxExtraRejections = 4
	// rejectionBackoff is the pause after all available servers were tried and
	// before they are tried again.
	rejectionBackoff = 15 * time.Millisecond
	// attemptTimeoutFactor times the route's latency objective is the timeout of an
	// attempt that is not the last one. After that time, another server is likely to
	// respond sooner.
	attemptTimeoutFactor = 1.5
	// minAttemptTimeout is the minimum timeout of an attempt that is not the last one.
	minAttemptTimeout = 250 * time.Millisecond
	// responseMargin is reserved before the deadline for sending an error response.
	responseMargin = 10 * time.Millisecond
	// maxTurnWait limits the wait for a turn at a server with a limit. After that time,
	// another instance may have a free share, and this one may be asked to stop.
	maxTurnWait = 2 * time.Second
	// maxTurnDelay is how late a request that waited for its turn at a server with a limit
	// may be sent. Otherwise a paused process would send all waiting requests at once.
	maxTurnDelay = 200 * time.Millisecond
	// maxCrashDelay is how long after the start of its stream a request may be the reason for
	// the crash of its server.
	maxCrashDelay = 2 * time.Second
	// streamBufferBytes is the size of the copy buffer of a forwarded stream.
	streamBufferBytes = 4096
	// reasonUnsealed is why an attempt failed whose server did not seal its success.
	reasonUnsealed = "response without a seal"
)

// forwardState is the state of a request across its attempts.
type forwardState struct {
	// triedServers holds the ids of the servers tried since the last backoff.
	triedServers map[string]bool
	// failures counts the failed attempts that may have run the request.
	failures int
	// rejections counts the attempts that did not run the request and the backoffs.
	rejections int
	// metered is set once the request is counted for the usage report.
	metered bool
	// connectionLost is set if the last attempt lost its connection.
	connectionLost bool
	// lostServers are the servers of the attempts that lost their connection.
	lostServers []pool.Server
	// errorResponse is the last server error, which is sent if no attempt succeeds.
	errorResponse *bufferedResponse
	// reason describes the failure of the last attempt.
	reason string
	// relayRounds counts how often the request was offered to peers.
	relayRounds int
	// noPath is set if neither this instance nor a peer reaches a server.
	noPath bool
	// limitWait is how long the limits of all servers allow no further request.
	limitWait time.Duration
	// admitted is set once the request passed the gate of its service.
	admitted admittedRequest
}

// bufferedResponse is a backend server's response that was read whole.
type bufferedResponse struct {
	sender string
	status int
	header http.Header
	body   []byte
}

// attemptResult is the result of one attempt.
type attemptResult int

const (
	// attemptDone means that the response was sent to the caller or cannot be
	// replaced any more.
	attemptDone attemptResult = iota
	// attemptNotRun means that the server certainly did not run the request.
	attemptNotRun
	// attemptFailed means that the attempt failed and the server may have run the
	// request.
	attemptFailed
)

// String returns the name that is used in logs.
func (r attemptResult) String() string { return [...]string{"done", "not-run", "failed"}[r] }

// forward sends a request to one backend server after another until one responds
// or no further attempt is allowed.
func (s *Server) forward(ctx context.Context, c *app.RequestContext, r *callerRequest) {
	ctx, cancel := context.WithDeadline(ctx, r.deadline)
	defer cancel()
	fingerprint := poison.FingerprintOf(r.customer, r.path, c.Request.Body())
	if s.Poison.Blocked(fingerprint) {
		s.respondError(c, r, http.StatusServiceUnavailable, 0, "request crashed several servers")
		return
	}
	service := r.route.PickService(rand.Float64())
	r.prompt = s.statedPrompt(c, r)
	state := &forwardState{triedServers: map[string]bool{}}
	defer func() { s.endAdmission(r, state, c.Response.StatusCode() < http.StatusInternalServerError) }()
	// A peer looks for the origin of a resumed stream itself.
	if s.verdict(r, service) == reach.Relay && s.forwardToPeers(ctx, c, r, state, service) == attemptDone {
		return
	}
	if !s.findOrigin(ctx, c, r, state, service) {
		return
	}
	if r.resumesAt != nil {
		service = r.resumesAt.Service
	}
	for ctx.Err() == nil && s.mayTryAgain(r, state) {
		verdict := s.verdict(r, service)
		if verdict == reach.Refuse {
			state.noPath = true
			break
		}
		if verdict == reach.Relay {
			if state.relayRounds == maxRelayRounds {
				break
			}
			if s.forwardToPeers(ctx, c, r, state, service) == attemptDone {
				return
			}
			continue
		}
		if !s.admit(ctx, c, r, state, service) {
			return
		}
		handle, ok := s.acquire(ctx, r, state, service)
		if !ok {
			if state.rejections == 0 || r.mayHaveRun || state.limitWait > 0 {
				break
			}
			clear(state.triedServers)
			state.rejections++
			s.endAdmission(r, state, false)
			kv.Sleep(ctx, rejectionBackoff)
			continue
		}
		state.triedServers[handle.Server().ID] = true
		result := s.attempt(ctx, c, r, state, handle)
		if result != attemptDone {
			s.Log.Info("request: attempt failed", zap.String("id", r.id), zap.String("server", handle.Server().ID),
				zap.Stringer("verdict", result), zap.String("reason", state.reason), zap.Int("ran-before", state.failures),
				zap.Int64("configuration", s.View.Table().Version()), zap.Duration("left", time.Until(r.deadline)))
		}
		switch result {
		case attemptDone:
			return
		case attemptNotRun:
			state.rejections++
		case attemptFailed:
			r.mayHaveRun = true
			state.failures++
			if state.connectionLost {
				state.lostServers = append(state.lostServers, handle.Server())
			}
			if !r.route.Idempotent() {
				s.respondFailure(ctx, c, r, state, service, fingerprint)
				return
			}
		}
	}
	s.respondFailure(ctx, c, r, state, service, fingerprint)
}

// mayTryAgain reports whether another attempt is allowed.
func (s *Server) mayTryAgain(r *callerRequest, state *forwardState) bool {
	if r.mayHaveRun && !r.route.Idempotent() {
		return false
	}
	return state.failures < r.maxAttempts && state.rejections < r.route.MaxAttempts+maxExtraRejections
}

// acquire selects a server for the next attempt. If the limits of all servers are
// exhausted, it waits until one allows a request, unless that would be too late.
func (s *Server) acquire(ctx context.Context, r *callerRequest, state *forwardState, service string) (*pool.Handle, bool) {
	untried := func(server pool.Server) bool {
		return s.mayReach(r, server.FailureDomain) && !state.triedServers[server.ID] && (r.resumesAt == nil || server.Software == r.resumesAt.Software)
	}
	latestStart := r.deadline.Add(-max(responseMargin, r.route.LatencyObjective))
	if longest := time.Now().Add(maxTurnWait); longest.Before(latestStart) {
		latestStart = longest
	}
	for ctx.Err() == nil {
		handle, ok := s.acquireByPrefill(r, service, untried)
		if ok {
			return handle, true
		}
		handle, ok = s.Pool.Acquire(service, s.FailureDomain, func(server pool.Server, _ int) bool { return untried(server) })
		if ok {
			s.probe(ctx, r, handle)
			return handle, true
		}
		handle, wait := s.Pool.Reserve(service, untried, latestStart)
		if handle == nil {
			state.limitWait = wait
			if wait > 0 {
				state.reason = "the limits of all servers are used up"
				s.Metrics.Inc("limit_refusals_total", "service", service)
			}
			return nil, false
		}
		s.Metrics.Observe("limit_wait", wait)
		turn := time.Now().Add(wait)
		kv.Sleep(ctx, wait)
		if ctx.Err() == nil && handle.Usable() && time.Since(turn) < maxTurnDelay {
			return handle, true
		}
		handle.Release(pool.Abandoned)
	}
	return nil, false
}

// respondFailure sends the final response to a request that failed on all servers.
func (s *Server) respondFailure(_ context.Context, c *app.RequestContext, r *callerRequest, state *forwardState, service string, fingerprint poison.Fingerprint) {
	s.reportCrashes(state, service, fingerprint)
	switch {
	case state.noPath && !r.mayHaveRun:
		if r.relayed {
			c.Response.Header.Set(noPathHeader, "1")
		}
		s.respondError(c, r, http.StatusServiceUnavailable, retryAfterNoPath, "no path to the servers")
	case !r.mayHaveRun && s.Pool.EvacuatedService(service):
		s.respondError(c, r, http.StatusServiceUnavailable, retryAfterUnavailable, "all servers are in evacuated domains")
	case state.errorResponse != nil:
		s.writeResponse(c, r, state.errorResponse)
	case !r.mayHaveRun:
		reason := state.reason
		if reason == "" {
			reason = "no backend server available"
		}
		s.respondError(c, r, http.StatusServiceUnavailable, max(s.busyRetryAfter(r, state, service), state.limitWait), reason)
	case time.Until(r.deadline) <= responseMargin:
		s.respondError(c, r, http.StatusGatewayTimeout, 0, "out of time: "+state.reason)
	default:
		s.respondError(c, r, http.StatusBadGateway, 0, state.reason)
	}
}

// reportCrashes reports the lost connections of a request for which no attempt succeeded: one
// that another server serves did not cause them. If the paths to the servers seem lost, each
// counts only once its server turns out to have crashed: at a small service, the request itself
// may have taken down most servers.
func (s *Server) reportCrashes(state *forwardState, service string, fingerprint poison.Fingerprint) {
	pathsLost := s.Reach.Knowledge(service).Lost()
	for _, server := range state.lostServers {
		if pathsLost {
			s.Poison.Suspect(fingerprint, server.ID, server.Born)
		} else {
			s.Poison.ReportCrash(fingerprint)
		}
	}
}

// attempt sends a request to one server. The response goes to the caller unless
// another attempt may still succeed.
func (s *Server) attempt(ctx context.Context, c *app.RequestContext, r *callerRequest, state *forwardState, handle *pool.Handle) attemptResult {
	server := handle.Server()
	ctx, cancel := context.WithDeadline(ctx, s.attemptDeadline(r, state))
	defer cancel()
	sentAt := time.Now()
	r.prefill = s.prefills.Begin(server.ID, r.prompt, weightsOf(server), r.route.LatencyObjective, sentAt)
	defer s.endPrefill(r)
	state.connectionLost = false
	response, err := s.Backends.Do(ctx, server.Address, s.backendRequest(c, r, server))
	if errors.Is(err, http1.ErrInvalidRequest) {
		handle.Release(pool.Abandoned)
		s.respondError(c, r, http.StatusBadRequest, 0, err.Error())
		return attemptDone
	}
	if err != nil {
		state.reason = err.Error()
		answered := errors.Is(err, http1.ErrOtherRequest) || errors.Is(err, http1.ErrInvalidResponse)
		if !answered && !errors.Is(ctx.Err(), context.Canceled) {
			s.Reach.Suspect(server.Service, server.Address)
			s.lossToGate(server)
		}
		if http1.NotSent(err) {
			handle.Release(pool.Failed)
			return attemptNotRun
		}
		state.connectionLost = ctx.Err() == nil && !answered
		releaseBroken(ctx, handle.Release)
		s.meterOnce(r, state, sentAt)
		return attemptFailed
	}
	defer response.Close()
	s.reportLoad(handle, response)
	if response.Header(s.Headers.NotRun) != "" || response.Status() == http.StatusMisdirectedRequest {
		return s.handleRejection(response, state, handle)
	}
	s.meterOnce(r, state, sentAt)
	if r.route.Kind == routetable.Streaming && response.Status() == http.StatusOK {
		if s.abortUnsealed(response, state) {
			handle.Release(pool.Failed)
			return attemptFailed
		}
		if r.route.Resumable && r.resumesAt == nil {
			s.Streams.Begin(r.id, streamorigin.Origin{Service: server.Service, Software: server.Software}, r.route.Services())
		}
		begunAt := time.Now()
		broken := func() {
			// Faulty servers break streams off, too, and callers resume them: only the end of
			// the server itself, soon after the start, counts against the request.
			if time.Since(begunAt) < maxCrashDelay {
				s.Poison.Suspect(poison.FingerprintOf(r.customer, r.path, c.Request.Body()), server.ID, server.Born)
			}
		}
		return s.forwardStream(ctx, c, r, server.ID, handle.Release, response, broken)
	}
	return s.forwardBuffered(ctx, c, r, state, 1, server.ID, handle.Release, response)
}

// attemptDeadline returns the deadline of the next attempt. On a route whose
// requests are safe to repeat, an attempt that is not the last one gets only a
// part of the remaining time, so that a slow server can be replaced.
func (s *Server) attemptDeadline(r *callerRequest, state *forwardState) time.Time {
	last := r.deadline.Add(-responseMargin)
	if r.route.Kind != routetable.Safe || state.failures+1 >= r.maxAttempts {
		return last
	}
	timeout := max(minAttemptTimeout, time.Duration(attemptTimeoutFactor*float64(r.route.LatencyObjective)))
	deadline := time.Now().Add(timeout)
	if deadline.After(last) {
		return last
	}
	return deadline
}

// releaseBroken releases a server whose response was not completed. A canceled
// request is no evidence against the server.
func releaseBroken(ctx context.Context, release func(pool.Outcome)) {
	if errors.Is(ctx.Err(), context.Canceled) {
		release(pool.Abandoned)
		return
	}
	release(pool.Failed)
}

// handleRejection releases a server that responded without running the request.
func (s *Server) handleRejection(response *http1.Response, state *forwardState, handle *pool.Handle) attemptResult {
	status := response.Status()
	state.reason = "refused by a server with status " + strconv.Itoa(status)
	if err := response.Drain(streamBufferBytes); err != nil {
		response.Abort()
	}
	if status == http.StatusMisdirectedRequest {
		handle.Release(pool.Misdirected)
	} else {
		handle.Release(pool.Rejected)
		s.rejectionToGate(handle.Server())
	}
	return attemptNotRun
}

// meterOnce counts a request for the usage report when it first may have run.
func (s *Server) meterOnce(r *callerRequest, state *forwardState, startedAt time.Time) {
	if !state.metered {
		state.metered = true
		s.Meter.Count(r.customer, startedAt)
	}
}

// reportLoad passes the load header of a response to the pool.
func (s *Server) reportLoad(handle *pool.Handle, response *http1.Response) {
	text := response.Header(s.Headers.Load)
	if text == "" {
		return
	}
	report, err := s.Codec.Load(text, time.Now())
	if err != nil {
		s.Metrics.Inc("invalid_load_reports_total")
		handle.IgnoreReport(text, err)
		return
	}
	s.Metrics.Inc("load_reports_total")
	handle.ReportLoad(report)
	s.reportToGate(handle.Server(), report)
}

// backendRequest builds the request to a backend server.
func (s *Server) backendRequest(c *app.RequestContext, r *callerRequest, server pool.Server) *http1.Request {
	out := &http1.Request{Method: r.method, URI: r.requestURI, Host: r.host, Body: c.Request.Body(), Echo: s.Headers.RequestID}
	hopByHop := protocol.NewHopByHop(string(c.Request.Header.Peek("Connection")))
	c.Request.Header.VisitAll(func(name, value []byte) {
		if hopByHop.Has(string(name)) || s.Headers.SetByInstance(string(name)) {
			return
		}
		out.Headers = append(out.Headers, http1.Header{Name: string(name), Value: string(value)})
	})
	remainingMS := max(1, time.Until(r.deadline).Milliseconds())
	out.Headers = append(out.Headers,
		http1.Header{Name: s.Headers.DeadlineMS, Value: strconv.FormatInt(remainingMS, 10)},
		http1.Header{Name: s.Headers.ExpectInstance, Value: server.ID})
	if r.customer != "" {
		out.Headers = append(out.Headers, http1.Header{Name: s.Headers.Customer, Value: r.customer})
	}
	return out
}

// forwardBuffered reads a server's whole response and checks it before any of it
// is sent to the caller. attempts is how many attempts it took, sender names the server or
// peer, and release releases it.
func (s *Server) forwardBuffered(ctx context.Context, c *app.RequestContext, r *callerRequest, state *forwardState, attempts int, sender string, release func(pool.Outcome), response *http1.Response) attemptResult {
	account := s.responses.Open(response.Interrupt)
	defer account.Close()
	body, err := readReserved(response, response.BodyLength(), func(n int64) error {
		if err := account.Resize(ctx, n); err != nil {
			return err
		}
		return web.ReserveResponse(ctx, n)
	})
	if err != nil {
		_ = web.ReserveResponse(ctx, 0) // less memory is always granted
		if account.Evicted() {
			err = memory.ErrExhausted
		}
	}
	if err != nil {
		outOfMemory := errors.Is(err, errTooLong) || errors.Is(err, memory.ErrExhausted) || errors.Is(err, intake.ErrExhausted) || errors.Is(err, intake.ErrTooLarge)
		state.connectionLost = ctx.Err() == nil && !outOfMemory
		releaseBroken(ctx, release)
		state.reason = "incomplete response: " + err.Error()
		return attemptFailed
	}
	status := response.Status()
	if status < http.StatusBadRequest && response.Header(s.Headers.Signature) == "" {
		release(pool.Failed)
		state.reason = reasonUnsealed
		return attemptFailed
	}
	if isRefusal(status) && response.Header(s.Headers.Signature) == "" {
		// The server does not state that the request has not run, so the caller must not be
		// told so either.
		release(pool.Failed)
		state.reason = "status " + strconv.Itoa(status) + " that leaves open whether the request ran"
		return attemptFailed
	}
	release(pool.Served)
	buffered := &bufferedResponse{sender, status, response.Headers(), body}
	if status >= http.StatusInternalServerError && r.route.Idempotent() && state.failures+attempts < r.maxAttempts {
		state.errorResponse = buffered
		state.reason = "backend server failed with status " + strconv.Itoa(status)
		return attemptFailed
	}
	s.writeResponse(c, r, buffered)
	return attemptDone
}

// errTooLong means that a response has more than maxBufferedBytes.
var errTooLong = errors.New("response is too long")

// readReserved reads a whole response body of a length, or 0 if it is not known, of up to
// maxBufferedBytes. It calls reserve before the buffer grows, with the bytes that it takes from
// then on.
func readReserved(response io.Reader, length int64, reserve func(int64) error) (body []byte, err error) {
	if length >= maxBufferedBytes {
		return nil, errTooLong
	}
	if length > 0 {
		if err := reserve(length); err != nil {
			return nil, err
		}
		body = make([]byte, 0, length)
	}
	probe := make([]byte, bytes.MinRead) // receives the end of a body that fills its buffer
	for {
		space := body[len(body):min(cap(body), len(body)+bufferStepBytes)]
		full := len(space) == 0
		if full {
			space = probe
		}
		n, err := response.Read(space)
		if full && n > 0 {
			grown, growErr := growBody(body, reserve)
			if growErr != nil {
				return nil, growErr
			}
			body = append(grown, probe[:n]...)
		} else {
			body = body[:len(body)+n]
		}
		switch {
		case errors.Is(err, io.EOF):
			return body, nil
		case err != nil:
			return nil, err
		case len(body) >= maxBufferedBytes:
			return nil, errTooLong
		}
	}
}

// growBody returns the body in a buffer of twice the size.
func growBody(body []byte, reserve func(int64) error) ([]byte, error) {
	size := max(bufferStepBytes, 2*cap(body))
	if err := reserve(int64(cap(body) + size)); err != nil {
		return nil, err
	}
	grown := append(make([]byte, 0, size), body...)
	return grown, reserve(int64(size))
}

// writeResponse sends a buffered response to the caller unchanged.
func (s *Server) writeResponse(c *app.RequestContext, r *callerRequest, response *bufferedResponse) {
	s.copyHeaders(c, response.header)
	nameServer(c, r, response.sender)
	c.SetStatusCode(response.status)
	c.Response.SetBodyRaw(response.body)
	if response.status >= http.StatusInternalServerError {
		s.Log.Info("request: backend server responded with an error", zap.String("id", r.id), zap.Int("status", response.status),
			zap.String("route", r.route.Name), zap.Duration("took", time.Since(r.receivedAt)))
	}
}

// nameServer tells the instance that relayed a request which server responds.
func nameServer(c *app.RequestContext, r *callerRequest, server string) {
	if r.relayed {
		c.Response.Header.Set(serverHeader, server)
	}
}

// copyHeaders adds the end-to-end headers of a response to the caller's response.
func (s *Server) copyHeaders(c *app.RequestContext, header http.Header) {
	hopByHop := protocol.NewHopByHop(header.Get("Connection"))
	for name, values := range header {
		if hopByHop.Has(name) || strings.EqualFold(name, serverHeader) {
			continue
		}
		for _, value := range values {
			c.Response.Header.Add(name, value)
		}
	}
}

// abortUnsealed closes the connection of a stream whose server has not sealed it, so that it does
// not count as a success. It reports whether it did.
func (s *Server) abortUnsealed(response *http1.Response, state *forwardState) bool {
	if response.Header(s.Headers.Signature) != "" {
		return false
	}
	response.Abort()
	state.reason = reasonUnsealed
	return true
}

// forwardStream sends events to the caller as they arrive. If the server's stream
// is incomplete, the caller's connection is closed without the final chunk, so
// that the caller can tell. sender names the server or peer; release releases it, and broken is
// called if its connection is lost while the caller and the instance still wait.
func (s *Server) forwardStream(ctx context.Context, c *app.RequestContext, r *callerRequest, sender string, release func(pool.Outcome), response *http1.Response, broken func()) attemptResult {
	s.copyHeaders(c, response.Headers())
	nameServer(c, r, sender)
	c.SetStatusCode(response.Status())
	writer := resp.NewChunkedBodyWriter(&c.Response, c.GetWriter())
	c.Response.HijackWriter(writer)
	buffer := make([]byte, streamBufferBytes)
	for {
		n, err := response.Read(buffer)
		if n > 0 {
			r.prefill.FirstEvent(time.Now())
			_, writeErr := writer.Write(buffer[:n])
			if writeErr == nil {
				writeErr = writer.Flush()
			}
			if writeErr != nil {
				response.Abort()
				release(pool.Abandoned)
				return attemptDone
			}
		}
		if errors.Is(err, io.EOF) {
			release(pool.Served)
			return attemptDone
		}
		if err != nil {
			if ctx.Err() == nil {
				broken()
			}
			releaseBroken(ctx, release)
			s.Log.Info("request: stream broke off", zap.String("id", r.id), zap.String("server", sender), zap.String("reason", err.Error()))
			_ = c.GetConn().Close()
			return attemptDone
		}
	}
}
