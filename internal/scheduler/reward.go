package scheduler

import (
	"context"
	"net/http"
	"strconv"
	"time"

	"cactusspoke/internal/batch"
	"cactusspoke/internal/http1"
	"cactusspoke/internal/pool"
)

const (
	// rewardTimeout bounds one try of a reward call where its route names no
	// shorter time.
	rewardTimeout = 2 * time.Second
	// rewardPause is the pause after a try that every server refused.
	rewardPause = 25 * time.Millisecond
	// rewardShare is the share of a server's slots that reward calls may take;
	// live callers use the same servers.
	rewardShare = 0.7
	// rewardReplyLimit bounds the bytes of an answer to a reward call.
	rewardReplyLimit = 1 << 20
)

// score sends an item's reward call until it succeeds. It reports false where
// the call failed for good.
func (s *Scheduler) score(ctx context.Context, r *batch.Reward) (string, bool) {
	failures := 0
	for ctx.Err() == nil {
		table := s.View.Table()
		route, ok := table.Match(r.Host, r.Path)
		if !ok {
			// The route is gone for now; a later configuration may bring it back.
			sleep(ctx, time.Second)
			continue
		}
		handle, ok := s.Pool.Acquire(route.PickService(0.5), s.FailureDomain, func(server pool.Server, running int) bool {
			return float64(running) < rewardShare*float64(max(2, server.Slots))
		})
		if !ok {
			sleep(ctx, rewardPause)
			continue
		}
		timeout := rewardTimeout
		if route.Timeout > 0 {
			timeout = min(timeout, route.Timeout)
		}
		seal, status := s.tryScore(ctx, handle, r, timeout)
		switch {
		case seal != "":
			return seal, true
		case status == http.StatusInternalServerError:
			failures++
			if failures >= route.MaxAttempts {
				return "", false
			}
		default:
			sleep(ctx, rewardPause)
		}
	}
	return "", false
}

// tryScore sends a reward call to one server and returns the seal of its
// success, or the status of its failure.
func (s *Scheduler) tryScore(ctx context.Context, handle *pool.Handle, r *batch.Reward, timeout time.Duration) (string, int) {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	body := r.Body
	if body == nil {
		body = []byte{}
	}
	request := &http1.Request{Method: http.MethodPost, URI: r.Path, Host: r.Host, Body: body, Headers: []http1.Header{
		{Name: s.Headers.RequestID, Value: r.ID},
		{Name: s.Headers.ExpectInstance, Value: handle.Server().ID},
		{Name: s.Headers.DeadlineMS, Value: strconv.FormatInt(timeout.Milliseconds(), 10)},
	}}
	response, err := s.Backends.Do(ctx, handle.Server().Address, request)
	if err != nil {
		handle.Release(pool.Failed)
		return "", 0
	}
	defer response.Close()
	_, err = response.ReadAll(rewardReplyLimit)
	status := response.Status()
	switch {
	case err != nil || response.Get(s.Headers.RequestID) != r.ID && response.Get(s.Headers.NotRun) == "":
		response.Abort()
		handle.Release(pool.Failed)
		return "", 0
	case status == http.StatusMisdirectedRequest:
		handle.Release(pool.Misdirected)
		return "", 0
	case response.Get(s.Headers.NotRun) != "":
		handle.Release(pool.Rejected)
		return "", 0
	}
	handle.Release(pool.Served)
	if status/100 == 2 {
		return response.Get(s.Headers.Seal), status
	}
	return "", status
}
