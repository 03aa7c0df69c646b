package ingress

import (
	"context"
	"errors"
	"io"
	"math/rand/v2"
	"net/http"
	"strconv"
	"strings"
	"time"

	"cactusspoke/internal/http1"
	"cactusspoke/internal/kv"
	"cactusspoke/internal/poison"
	"cactusspoke/internal/pool"
	"cactusspoke/internal/routetable"

	"github.com/cloudwego/hertz/pkg/app"
	"github.com/cloudwego/hertz/pkg/protocol/http1/resp"
	"go.uber.org/zap"
)

const (
	// wholeLimit bounds the bytes of an answer that is checked before any of it
	// is passed on.
	wholeLimit = 32 << 20
	// refusalTries bounds how many servers may refuse a request, without
	// running it, beyond the tries that its route allows.
	refusalTries = 4
	// refusalPause is the pause after every server was asked once.
	refusalPause = 15 * time.Millisecond
	// patience bounds a try that is not the last one, as a multiple of the
	// route's objective: beyond it another server is likely to be faster.
	patience = 1.5
	// patienceMin is the least time for a try that is not the last one.
	patienceMin = 250 * time.Millisecond
	// lastMargin is kept for the answer when the time is up.
	lastMargin = 10 * time.Millisecond
	// streamBuffer is the size in bytes of the buffer of a forwarded stream.
	streamBuffer = 4096
)

// progress is what is known of a request while it is tried.
type progress struct {
	tried map[string]bool
	// ran says that a server may have begun to run the request.
	ran     bool
	runs    int
	refused int
	counted bool
	// lost says that the last try ended with its connection.
	lost bool
	// losses counts the tries that did.
	losses int
	failed *wholeAnswer
	reason string
}

type wholeAnswer struct {
	status int
	header http.Header
	body   []byte
}

// verdict tells how a try ended.
type verdict int

const (
	// verdictDone says that the caller has its answer.
	verdictDone verdict = iota
	// verdictNotRun says that this try provably ran nothing.
	verdictNotRun
	// verdictFailed says that the try failed and may have run.
	verdictFailed
)

// String returns the verdict's name in logs.
func (v verdict) String() string { return [...]string{"done", "not-run", "failed"}[v] }

// forward sends a request to backend servers until one answers.
func (s *Server) forward(ctx context.Context, c *app.RequestContext, r *call) {
	ctx, cancel := context.WithDeadline(ctx, r.deadline)
	defer cancel()
	fingerprint := poison.Of(r.customer, r.path, c.Request.Body())
	if s.Poison.Blocked(fingerprint) {
		s.refuse(c, r, http.StatusServiceUnavailable, 0, "request crashed several servers")
		return
	}
	service := r.route.Pick(rand.Float64())
	p := &progress{tried: map[string]bool{}}
	for ctx.Err() == nil && p.runs < r.route.MaxAttempts && p.refused < r.route.MaxAttempts+refusalTries {
		handle, ok := s.Pool.Take(service, s.FailureDomain, func(server pool.Server, _ int) bool { return !p.tried[server.ID] })
		if !ok {
			if p.refused == 0 || p.ran {
				break
			}
			clear(p.tried)
			p.refused++
			kv.Sleep(ctx, refusalPause)
			continue
		}
		p.tried[handle.Server().ID] = true
		verdict := s.try(ctx, c, r, p, handle)
		if verdict != verdictDone {
			s.Log.Info("request: try ended without an answer", zap.String("id", r.id), zap.String("server", handle.Server().ID),
				zap.Stringer("verdict", verdict), zap.String("reason", p.reason), zap.Int("ran-before", p.runs),
				zap.Int64("configuration", s.View.Table().Version()), zap.Duration("left", time.Until(r.deadline)))
		}
		switch verdict {
		case verdictDone:
			return
		case verdictNotRun:
			p.refused++
		case verdictFailed:
			p.ran = true
			p.runs++
			if p.lost {
				p.losses++
			}
			if !r.route.Idempotent() {
				s.conclude(ctx, c, r, p, fingerprint)
				return
			}
		}
	}
	s.conclude(ctx, c, r, p, fingerprint)
}

// conclude gives the final answer to a request that no server served.
func (s *Server) conclude(_ context.Context, c *app.RequestContext, r *call, p *progress, fingerprint poison.Fingerprint) {
	// A request that another server served did not break the first one.
	for range p.losses {
		s.Poison.Suspect(fingerprint)
	}
	switch {
	case p.failed != nil:
		s.answer(c, r, p.failed)
	case !p.ran:
		reason := p.reason
		if reason == "" {
			reason = "no server takes it"
		}
		s.refuse(c, r, http.StatusServiceUnavailable, comeBackSoon, reason)
	case time.Until(r.deadline) <= lastMargin:
		s.refuse(c, r, http.StatusGatewayTimeout, 0, "out of time: "+p.reason)
	default:
		s.refuse(c, r, http.StatusBadGateway, 0, p.reason)
	}
}

// try sends a request to one server.
func (s *Server) try(ctx context.Context, c *app.RequestContext, r *call, p *progress, handle *pool.Handle) verdict {
	server := handle.Server()
	ctx, cancel := context.WithDeadline(ctx, s.tryUntil(r, p))
	defer cancel()
	sentAt := time.Now()
	p.lost = false
	response, err := s.Backends.Do(ctx, server.Address, s.request(c, r, server))
	if err != nil {
		p.reason = err.Error()
		if http1.NotSent(err) {
			handle.Done(pool.Failed)
			return verdictNotRun
		}
		p.lost = ctx.Err() == nil
		s.lost(ctx, handle)
		s.count(r, p, sentAt)
		return verdictFailed
	}
	defer response.Close()
	s.reportLoad(handle, response)
	if response.Header(s.Headers.NotRun) != "" || response.Status() == http.StatusMisdirectedRequest {
		return s.refusedBy(response, p, handle)
	}
	s.count(r, p, sentAt)
	if response.Header(s.Headers.RequestID) != r.id {
		response.Abort()
		handle.Done(pool.Failed)
		p.reason = "answer to another request"
		return verdictFailed
	}
	if r.route.Kind == routetable.Streaming && response.Status() == http.StatusOK {
		return s.stream(ctx, c, r, handle, response)
	}
	return s.whole(ctx, c, r, p, handle, response)
}

// tryUntil is when a try is given up: a request that may run again does not
// wait for one server all its time.
func (s *Server) tryUntil(r *call, p *progress) time.Time {
	last := r.deadline.Add(-lastMargin)
	if r.route.Kind != routetable.Safe || p.runs+1 >= r.route.MaxAttempts {
		return last
	}
	patient := max(patienceMin, time.Duration(patience*float64(r.route.Objective)))
	until := time.Now().Add(patient)
	if until.After(last) {
		return last
	}
	return until
}

func (s *Server) lost(ctx context.Context, handle *pool.Handle) {
	if errors.Is(ctx.Err(), context.Canceled) {
		handle.Done(pool.Abandoned)
		return
	}
	handle.Done(pool.Failed)
}

func (s *Server) refusedBy(response *http1.Response, p *progress, handle *pool.Handle) verdict {
	status := response.Status()
	p.reason = "refused by a server with status " + strconv.Itoa(status)
	_, err := response.ReadAll(streamBuffer)
	if err != nil {
		response.Abort()
	}
	if status == http.StatusMisdirectedRequest {
		handle.Done(pool.Misaddressed)
	} else {
		handle.Done(pool.Refused)
	}
	return verdictNotRun
}

// count notes a request's first begin for the usage report.
func (s *Server) count(r *call, p *progress, began time.Time) {
	if !p.counted {
		p.counted = true
		s.Meter.Count(r.customer, began)
	}
}

func (s *Server) reportLoad(handle *pool.Handle, response *http1.Response) {
	running, rest, found := strings.Cut(response.Header(s.Headers.Load), ",")
	if !found {
		return
	}
	waiting, _, _ := strings.Cut(rest, ",")
	a, errA := strconv.Atoi(strings.TrimSpace(running))
	b, errB := strconv.Atoi(strings.TrimSpace(waiting))
	if errA == nil && errB == nil {
		handle.Report(a + b)
	}
}

// hopHeaders names the headers that concern only one connection.
var hopHeaders = map[string]bool{
	"connection": true, "keep-alive": true, "transfer-encoding": true, "te": true, "trailer": true,
	"upgrade": true, "proxy-connection": true, "proxy-authorization": true, "proxy-authenticate": true,
	"content-length": true, "host": true, "expect": true,
}

// hopByHop tells whether a header concerns only one connection.
func hopByHop(name string) bool { return hopHeaders[strings.ToLower(name)] }

// request builds what a server gets.
func (s *Server) request(c *app.RequestContext, r *call, server pool.Server) *http1.Request {
	out := &http1.Request{Method: r.method, URI: r.uri, Host: r.host, Body: c.Request.Body()}
	listed := connectionListed(string(c.Request.Header.Peek("Connection")))
	c.Request.Header.VisitAll(func(name, value []byte) {
		if hopByHop(string(name)) || listed[strings.ToLower(string(name))] || s.own(string(name)) {
			return
		}
		out.Headers = append(out.Headers, http1.Header{Name: string(name), Value: string(value)})
	})
	left := max(1, time.Until(r.deadline).Milliseconds())
	out.Headers = append(out.Headers,
		http1.Header{Name: s.Headers.DeadlineMS, Value: strconv.FormatInt(left, 10)},
		http1.Header{Name: s.Headers.ExpectInstance, Value: server.ID})
	if r.customer != "" {
		out.Headers = append(out.Headers, http1.Header{Name: s.Headers.Customer, Value: r.customer})
	}
	return out
}

func connectionListed(value string) map[string]bool {
	listed := map[string]bool{}
	for name := range strings.SplitSeq(strings.ToLower(value), ",") {
		listed[strings.TrimSpace(name)] = true
	}
	return listed
}

// own tells whether a header of the caller stays here: its key, and what only
// the instance may set.
func (s *Server) own(name string) bool {
	for _, own := range []string{"Authorization", relayHeader, s.Headers.DeadlineMS, s.Headers.ExpectInstance, s.Headers.Customer} {
		if strings.EqualFold(name, own) {
			return true
		}
	}
	return false
}

// whole reads a server's answer to its end before any of it is passed on.
func (s *Server) whole(ctx context.Context, c *app.RequestContext, r *call, p *progress, handle *pool.Handle, response *http1.Response) verdict {
	body, err := response.ReadAll(wholeLimit)
	if err != nil {
		p.lost = ctx.Err() == nil
		s.lost(ctx, handle)
		p.reason = "answer broke off: " + err.Error()
		return verdictFailed
	}
	status := response.Status()
	if status < http.StatusBadRequest && response.Header(s.Headers.Signature) == "" {
		handle.Done(pool.Failed)
		p.reason = "answer without a seal"
		return verdictFailed
	}
	handle.Done(pool.Served)
	answer := &wholeAnswer{status, response.Headers(), body}
	if status >= http.StatusInternalServerError && r.route.Idempotent() && p.runs+1 < r.route.MaxAttempts {
		p.failed = answer
		p.reason = "server failed with status " + strconv.Itoa(status)
		return verdictFailed
	}
	s.answer(c, r, answer)
	return verdictDone
}

// answer passes a whole answer on unchanged.
func (s *Server) answer(c *app.RequestContext, r *call, a *wholeAnswer) {
	s.copyHeaders(c, a.header)
	c.SetStatusCode(a.status)
	c.Response.SetBodyRaw(a.body)
	if a.status >= http.StatusInternalServerError {
		s.Log.Info("request: failed at a server", zap.String("id", r.id), zap.Int("status", a.status),
			zap.String("route", r.route.Name), zap.Duration("took", time.Since(r.arrived)))
	}
}

func (s *Server) copyHeaders(c *app.RequestContext, header http.Header) {
	listed := connectionListed(header.Get("Connection"))
	for name, values := range header {
		if hopByHop(name) || listed[strings.ToLower(name)] {
			continue
		}
		for _, value := range values {
			c.Response.Header.Add(name, value)
		}
	}
}

// stream passes events on as they arrive. A stream that breaks off ends the
// connection without a clean end.
func (s *Server) stream(ctx context.Context, c *app.RequestContext, r *call, handle *pool.Handle, response *http1.Response) verdict {
	s.copyHeaders(c, response.Headers())
	c.SetStatusCode(response.Status())
	writer := resp.NewChunkedBodyWriter(&c.Response, c.GetWriter())
	c.Response.HijackWriter(writer)
	buffer := make([]byte, streamBuffer)
	for {
		n, err := response.Read(buffer)
		if n > 0 {
			_, failed := writer.Write(buffer[:n])
			if failed == nil {
				failed = writer.Flush()
			}
			if failed != nil {
				response.Abort()
				handle.Done(pool.Abandoned)
				return verdictDone
			}
		}
		if errors.Is(err, io.EOF) {
			handle.Done(pool.Served)
			return verdictDone
		}
		if err != nil {
			s.lost(ctx, handle)
			s.Log.Info("request: stream broke off", zap.String("id", r.id), zap.String("server", handle.Server().ID), zap.String("reason", err.Error()))
			_ = c.GetConn().Close()
			return verdictDone
		}
	}
}
