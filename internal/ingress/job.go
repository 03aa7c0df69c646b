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
	// jobRequestTimeout limits a request about a job; callers wait about that long.
	jobRequestTimeout = 4 * time.Second
	// maxResultWait limits how long a read blocks until a result is available.
	maxResultWait = time.Second
	// maxResultBytes limits the size of the results in one response.
	maxResultBytes = 1 << 20
	// resultOverheadBytes is added to the text of each result to estimate its
	// encoded size.
	resultOverheadBytes = 200
	// maxIDLength limits the length in bytes of a job's id.
	maxIDLength = 128
	// maxJobItems limits the items of a job, which the duty holder has in memory. An item that
	// an engine can run states a model and its tokens; with the usual lengths of IDs and
	// paths it has 150 bytes, so that a body of 32 MiB has no more of them.
	maxJobItems = 225_000
)

// serveJobRequest handles reads of a job's results or items and the end of a
// job. It returns false without responding if the request is none of these.
func (s *Server) serveJobRequest(ctx context.Context, c *app.RequestContext, r *callerRequest, table *routetable.Table) bool {
	var serve func(ctx context.Context, c *app.RequestContext, r *callerRequest, id string)
	// serveAtHolder responds from the memory of the duty holder, if it can.
	serveAtHolder := func(context.Context, *app.RequestContext, *callerRequest, string) bool { return false }
	id := ""
	switch {
	case r.method == http.MethodGet && strings.HasPrefix(r.path, s.Paths.JobResults):
		id, serve, serveAtHolder = strings.TrimPrefix(r.path, s.Paths.JobResults), s.serveJobResults, s.serveHolderResults
	case r.method == http.MethodGet && strings.HasPrefix(r.path, s.Paths.JobItem):
		id, serve, serveAtHolder = strings.TrimPrefix(r.path, s.Paths.JobItem), s.serveJobItem, s.serveHolderItem
	case r.method == http.MethodDelete && strings.HasPrefix(r.path, s.Paths.JobDelete):
		id, serve = strings.TrimPrefix(r.path, s.Paths.JobDelete), s.serveJobEnd
	default:
		return false
	}
	if !s.authenticate(c, r, table, false) {
		return true
	}
	if !isValidID(id) {
		s.respondError(c, r, http.StatusNotFound, 0, "no such job")
		return true
	}
	if s.refusedWhileStopping(c, r, r.receivedAt.Add(jobCallTime)) {
		return true
	}
	if r.relayed {
		c.Response.Header.Set(s.Headers.RequestID, r.id)
	}
	ctx, cancel := context.WithTimeout(ctx, jobRequestTimeout)
	defer cancel()
	if serveAtHolder(ctx, c, r, id) {
		return true
	}
	if !s.StoreReachable() && s.relay(ctx, c, r) {
		return true
	}
	serve(ctx, c, r, id)
	return true
}

// isValidID reports whether an id can be part of a store key.
func isValidID(id string) bool {
	return id != "" && len(id) <= maxIDLength && !strings.ContainsAny(id, "/ ?&%")
}

// submitJob accepts a batch job.
func (s *Server) submitJob(ctx context.Context, c *app.RequestContext, r *callerRequest) {
	if r.method != http.MethodPost || !isValidID(r.id) {
		s.respondError(c, r, http.StatusBadRequest, 0, "a job is a POST with an id")
		return
	}
	items := s.Jobs.NewItems()
	job, err := s.Codec.Job(c.Request.Body(), items.Add)
	if err != nil {
		s.respondError(c, r, http.StatusBadRequest, 0, err.Error())
		return
	}
	if items.Len() > maxJobItems {
		s.respondError(c, r, http.StatusRequestEntityTooLarge, 0, "a job has at most "+strconv.Itoa(maxJobItems)+" items")
		return
	}
	if r.relayed {
		c.Response.Header.Set(s.Headers.RequestID, r.id)
	}
	job.ID, job.Customer, job.Host, job.Route = r.id, r.customer, r.host, r.route.Name
	job.ConfigurationVersion = r.configurationVersion
	job.SubmittedAt = s.Clock.TimeOfDay(r.receivedAt).UnixMilli()
	ctx, cancel := context.WithDeadline(ctx, r.deadline)
	defer cancel()
	key := submission{r.customer, r.id}
	r.mayHaveRun = s.submissions.has(key, time.Now())
	defer func() {
		if r.mayHaveRun || c.Response.StatusCode() == http.StatusAccepted {
			s.submissions.add(key, time.Now())
		}
	}()
	if !s.StoreReachable() && s.relay(ctx, c, r) {
		return
	}
	err = s.Jobs.SubmitItems(ctx, job, items)
	r.mayHaveRun = r.mayHaveRun || errors.Is(err, batch.ErrOutcomeUnknown)
	if err != nil && !errors.Is(err, kv.ErrForbidden) && s.relay(ctx, c, r) {
		return
	}
	switch {
	case err == nil:
		c.SetStatusCode(http.StatusAccepted)
		s.Log.Info("job: accepted", zap.String("id", r.id), zap.String("customer", r.customer), zap.Int64("step", job.Step),
			zap.Int("items", items.Len()), zap.Int64("min-version", job.MinVersion), zap.Int64("configuration", job.ConfigurationVersion), zap.Duration("took", time.Since(r.receivedAt)))
	case errors.Is(err, kv.ErrRefused) && !r.mayHaveRun:
		s.respondError(c, r, http.StatusServiceUnavailable, retryAfterBusy, err.Error())
	case errors.Is(err, kv.ErrForbidden):
		s.respondError(c, r, http.StatusRequestEntityTooLarge, 0, err.Error())
	default:
		s.respondError(c, r, http.StatusGatewayTimeout, 0, err.Error())
	}
}

// respondJobError responds to a request about a job that failed with err, after
// trying to relay it to a peer. It reports whether err is not nil.
func (s *Server) respondJobError(ctx context.Context, c *app.RequestContext, r *callerRequest, err error) bool {
	switch {
	case err == nil:
		return false
	case !errors.Is(err, batch.ErrJobNotFound) && !errors.Is(err, batch.ErrWrongCustomer) && s.relay(ctx, c, r):
	case errors.Is(err, batch.ErrJobNotFound), errors.Is(err, batch.ErrWrongCustomer):
		s.respondError(c, r, http.StatusNotFound, 0, err.Error())
	case r.mayHaveRun:
		s.respondError(c, r, http.StatusGatewayTimeout, 0, err.Error())
	default:
		s.respondError(c, r, http.StatusServiceUnavailable, retryAfterBusy, err.Error())
	}
	return true
}

// serveJobResults responds with the results after a position, and waits for the
// next one if there is none yet.
func (s *Server) serveJobResults(ctx context.Context, c *app.RequestContext, r *callerRequest, id string) {
	after := resultPosition(c)
	page, err := s.Jobs.ReadResults(ctx, id, r.customer, after, s.resultWait(c))
	if s.respondJobError(ctx, c, r, err) {
		return
	}
	s.respondResults(c, page, after)
}

// serveHolderResults is serveJobResults with the results in the memory of the duty holder. It
// returns false without a response if the holder cannot tell.
func (s *Server) serveHolderResults(ctx context.Context, c *app.RequestContext, r *callerRequest, id string) bool {
	after := resultPosition(c)
	page, ok := s.HolderResults.Read(ctx, id, r.customer, after, s.resultWait(c))
	if ok {
		s.respondResults(c, page, after)
	}
	return ok
}

// resultPosition returns the position from which results are read.
func resultPosition(c *app.RequestContext) int {
	after, err := strconv.Atoi(c.Query("After"))
	if err != nil {
		return 0
	}
	return max(0, after)
}

func (s *Server) respondResults(c *app.RequestContext, page batch.ResultPage, after int) {
	results := limitResults(page.Results)
	c.SetContentType("application/json")
	c.SetStatusCode(http.StatusOK)
	c.Response.SetBodyRaw(s.Codec.Results(page.Total, after+len(results), results))
}

// resultWait returns how long the caller wants a read to wait for a result.
func (s *Server) resultWait(c *app.RequestContext) time.Duration {
	ms, err := strconv.Atoi(string(c.Request.Header.Peek(s.Headers.WaitMS)))
	if err != nil || ms < 0 {
		return 0
	}
	return time.Duration(min(ms, int(maxResultWait.Milliseconds()))) * time.Millisecond
}

// limitResults returns the leading results that fit into one response, but at
// least one.
func limitResults(results []batch.Result) []batch.Result {
	size := 0
	for i := range results {
		size += len(results[i].Text) + resultOverheadBytes
		if size > maxResultBytes && i > 0 {
			return results[:i]
		}
	}
	return results
}

// serveJobItem responds with the body of one item of a job.
func (s *Server) serveJobItem(ctx context.Context, c *app.RequestContext, r *callerRequest, id string) {
	query, err := url.ParseQuery(string(c.Request.URI().QueryString()))
	if err != nil {
		s.respondError(c, r, http.StatusBadRequest, 0, err.Error())
		return
	}
	body, found, err := s.Jobs.ItemBody(ctx, id, r.customer, query.Get("Id"))
	if s.respondJobError(ctx, c, r, err) {
		return
	}
	if !found {
		s.respondError(c, r, http.StatusNotFound, 0, "no such item")
		return
	}
	respondItem(c, body)
}

// serveHolderItem is serveJobItem with the items of open jobs in the memory of the duty holder.
// It returns false without a response if the holder does not have the item.
func (s *Server) serveHolderItem(ctx context.Context, c *app.RequestContext, r *callerRequest, id string) bool {
	query, err := url.ParseQuery(string(c.Request.URI().QueryString()))
	if err != nil {
		return false
	}
	body, ok := s.HolderResults.Item(ctx, id, r.customer, query.Get("Id"))
	if ok {
		respondItem(c, body)
	}
	return ok
}

func respondItem(c *app.RequestContext, body []byte) {
	c.SetContentType("application/octet-stream")
	c.SetStatusCode(http.StatusOK)
	c.Response.SetBodyRaw(body)
}

// serveJobEnd ends a job at its caller's request.
func (s *Server) serveJobEnd(ctx context.Context, c *app.RequestContext, r *callerRequest, id string) {
	err := s.Jobs.MarkEnded(ctx, id, r.customer)
	r.mayHaveRun = r.mayHaveRun || errors.Is(err, batch.ErrOutcomeUnknown)
	if s.respondJobError(ctx, c, r, err) {
		return
	}
	c.SetStatusCode(http.StatusOK)
	s.Log.Info("job: ended by the caller", zap.String("id", id), zap.String("customer", r.customer))
}
