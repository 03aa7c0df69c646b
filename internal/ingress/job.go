package ingress

import (
	"context"
	"errors"
	"net/http"
	"net/url"
	"strconv"
	"strings"
	"time"

	"cactusspoke/internal/batch"
	"cactusspoke/internal/kv"
	"cactusspoke/internal/routetable"

	"github.com/cloudwego/hertz/pkg/app"
	"go.uber.org/zap"
)

const (
	// jobCallTimeout bounds a call about a job; its callers wait about that long.
	jobCallTimeout = 4 * time.Second
	// maxWait bounds how long a read is kept waiting for a result.
	maxWait = time.Second
	// replyBytes bounds the results in one answer.
	replyBytes = 1 << 20
)

// serveJobCall answers reads and ends of jobs; it reports whether the request
// was one.
func (s *Server) serveJobCall(ctx context.Context, c *app.RequestContext, r *call, table *routetable.Table) bool {
	var serve func(ctx context.Context, c *app.RequestContext, r *call, id string)
	id := ""
	switch {
	case r.method == http.MethodGet && strings.HasPrefix(r.path, s.Paths.JobResults):
		id, serve = strings.TrimPrefix(r.path, s.Paths.JobResults), s.jobResults
	case r.method == http.MethodGet && strings.HasPrefix(r.path, s.Paths.JobItem):
		id, serve = strings.TrimPrefix(r.path, s.Paths.JobItem), s.jobItem
	case r.method == http.MethodDelete && strings.HasPrefix(r.path, s.Paths.JobDelete):
		id, serve = strings.TrimPrefix(r.path, s.Paths.JobDelete), s.jobEnd
	default:
		return false
	}
	if !s.identify(c, r, table, false) {
		return true
	}
	if !validID(id) {
		s.refuse(c, r, http.StatusNotFound, 0, "no such job")
		return true
	}
	ctx, cancel := context.WithTimeout(ctx, jobCallTimeout)
	defer cancel()
	if !s.StoreReachable() && s.relay(ctx, c, r) {
		return true
	}
	serve(ctx, c, r, id)
	return true
}

// validID keeps ids usable as keys in the store.
func validID(id string) bool {
	return id != "" && len(id) <= 128 && !strings.ContainsAny(id, "/ ?&%")
}

// submit takes in a batch job.
func (s *Server) submit(ctx context.Context, c *app.RequestContext, r *call) {
	if r.method != http.MethodPost || !validID(r.id) {
		s.refuse(c, r, http.StatusBadRequest, 0, "a job is a POST with an id")
		return
	}
	job, err := s.Codec.Job(c.Request.Body())
	if err != nil {
		s.refuse(c, r, http.StatusBadRequest, 0, err.Error())
		return
	}
	job.ID, job.Customer, job.Host, job.Route = r.id, r.customer, r.host, r.route.Name
	job.SubmittedAt = r.arrived.UnixMilli()
	ctx, cancel := context.WithDeadline(ctx, r.deadline)
	defer cancel()
	if !s.StoreReachable() && s.relay(ctx, c, r) {
		return
	}
	err = s.Ledger.Submit(ctx, job)
	if err != nil && !errors.Is(err, kv.ErrForbidden) && s.relay(ctx, c, r) {
		return
	}
	switch {
	case err == nil:
		c.SetStatusCode(http.StatusAccepted)
		s.Log.Info("job: accepted", zap.String("id", r.id), zap.String("customer", r.customer), zap.Int64("step", job.Step),
			zap.Int("items", len(job.Items)), zap.Int64("min-version", job.MinVersion), zap.Duration("took", time.Since(r.arrived)))
	case errors.Is(err, kv.ErrRefused):
		s.refuse(c, r, http.StatusServiceUnavailable, comeBackSoon, err.Error())
	case errors.Is(err, kv.ErrForbidden):
		s.refuse(c, r, http.StatusRequestEntityTooLarge, 0, err.Error())
	default:
		s.refuse(c, r, http.StatusGatewayTimeout, 0, err.Error())
	}
}

// jobFailed answers a call about a job that could not be served. It reports
// whether there was an error.
func (s *Server) jobFailed(ctx context.Context, c *app.RequestContext, r *call, err error) bool {
	switch {
	case err == nil:
		return false
	case !errors.Is(err, batch.ErrJobNotFound) && !errors.Is(err, batch.ErrWrongCustomer) && s.relay(ctx, c, r):
	case errors.Is(err, batch.ErrJobNotFound), errors.Is(err, batch.ErrWrongCustomer):
		s.refuse(c, r, http.StatusNotFound, 0, err.Error())
	default:
		s.refuse(c, r, http.StatusServiceUnavailable, comeBackSoon, err.Error())
	}
	return true
}

// jobResults answers a read of results.
func (s *Server) jobResults(ctx context.Context, c *app.RequestContext, r *call, id string) {
	after, err := strconv.Atoi(c.Query("After"))
	if err != nil || after < 0 {
		after = 0
	}
	page, err := s.Ledger.ReadResults(ctx, id, r.customer, after, s.wait(c))
	if s.jobFailed(ctx, c, r, err) {
		return
	}
	results := fitting(page.Results)
	c.SetContentType("application/json")
	c.SetStatusCode(http.StatusOK)
	c.Response.SetBodyRaw(s.Codec.Results(page.Total, after+len(results), results))
}

func (s *Server) wait(c *app.RequestContext) time.Duration {
	ms, err := strconv.Atoi(string(c.Request.Header.Peek(s.Headers.WaitMS)))
	if err != nil {
		return 0
	}
	return min(maxWait, time.Duration(ms)*time.Millisecond)
}

// fitting returns as many results as one answer may hold, and at least one.
func fitting(results []batch.Result) []batch.Result {
	size := 0
	for i := range results {
		size += len(results[i].Text) + 200
		if size > replyBytes && i > 0 {
			return results[:i]
		}
	}
	return results
}

// jobItem answers with the body of an item.
func (s *Server) jobItem(ctx context.Context, c *app.RequestContext, r *call, id string) {
	query, err := url.ParseQuery(string(c.Request.URI().QueryString()))
	if err != nil {
		s.refuse(c, r, http.StatusBadRequest, 0, err.Error())
		return
	}
	body, found, err := s.Ledger.ItemBody(ctx, id, r.customer, query.Get("Id"))
	if s.jobFailed(ctx, c, r, err) {
		return
	}
	if !found {
		s.refuse(c, r, http.StatusNotFound, 0, "no such item")
		return
	}
	c.SetContentType("application/octet-stream")
	c.SetStatusCode(http.StatusOK)
	c.Response.SetBodyRaw(body)
}

// jobEnd ends a job.
func (s *Server) jobEnd(ctx context.Context, c *app.RequestContext, r *call, id string) {
	if s.jobFailed(ctx, c, r, s.Ledger.MarkEnded(ctx, id, r.customer)) {
		return
	}
	c.SetStatusCode(http.StatusOK)
	s.Log.Info("job: ended by its caller", zap.String("id", id), zap.String("customer", r.customer))
}
