package scheduler

import (
	"context"
	"net/http"
	"strconv"
	"time"

	"cactusspoke/internal/batch"
	"cactusspoke/internal/http1"
	"cactusspoke/internal/pool"

	"go.uber.org/zap"
)

const (
	// rewardTimeout bounds one attempt of a reward call unless its route sets a
	// shorter timeout.
	rewardTimeout = 2 * time.Second
	// rewardRetryDelay is the delay before the next attempt when no server has room
	// or the call got no usable reply.
	rewardRetryDelay = 25 * time.Millisecond
	// rewardSlotShare is the share of a server's slots that reward calls may use;
	// the rest is left to live callers of the same servers.
	rewardSlotShare = 0.7
	// rewardResponseMaxBytes bounds the body of a reply to a reward call.
	rewardResponseMaxBytes = 1 << 20
)

// callReward retries the reward call of an item of a customer until it succeeds and returns the
// value of the seal header. It returns false if the call failed permanently or
// the context ended.
func (s *Scheduler) callReward(ctx context.Context, r *batch.RewardRequest, customer string) (string, bool) {
	request := &http1.Request{Method: http.MethodPost, URI: r.Path, Host: r.Host, Headers: []http1.Header{{Name: s.Headers.RequestID, Value: r.ID}}}
	if err := request.Validate(); err != nil { // accepted by an earlier version
		s.Log.Warn("item: reward call cannot be sent", zap.String("reward", r.ID), zap.String("reason", err.Error()))
		return "", false
	}
	failures := 0
	for ctx.Err() == nil {
		table := s.View.Table()
		route, ok := table.Match(r.Host, r.Path)
		if !ok {
			// A later configuration may restore the route.
			sleep(ctx, time.Second)
			continue
		}
		regions := table.AllowedRegions(route, customer)
		handle, ok := s.Pool.Acquire(route.PickService(0.5), s.FailureDomain, func(server pool.Server, running int) bool {
			return regions.Allows(s.Regions[server.FailureDomain]) && float64(running) < rewardSlotShare*float64(max(2, server.Slots))
		})
		if !ok {
			sleep(ctx, rewardRetryDelay)
			continue
		}
		timeout := rewardTimeout
		if route.Timeout > 0 {
			timeout = min(timeout, route.Timeout)
		}
		seal, status := s.tryReward(ctx, handle, r, timeout)
		switch {
		case seal != "":
			return seal, true
		case status == http.StatusInternalServerError:
			failures++
			if failures >= route.MaxAttempts {
				return "", false
			}
		default:
			sleep(ctx, rewardRetryDelay)
		}
	}
	return "", false
}

// tryReward sends a reward call to one server. It returns the seal of a
// successful reply, or else the status of the reply, which is 0 if the server
// did not run the call.
func (s *Scheduler) tryReward(ctx context.Context, handle *pool.Handle, r *batch.RewardRequest, timeout time.Duration) (string, int) {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	body := r.Body
	if body == nil {
		body = []byte{}
	}
	request := &http1.Request{Method: http.MethodPost, URI: r.Path, Host: r.Host, Body: body, Echo: s.Headers.RequestID, Headers: []http1.Header{
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
	s.reportLoad(handle, response)
	err = response.Drain(rewardResponseMaxBytes)
	status := response.Status()
	switch {
	case err != nil:
		response.Abort()
		handle.Release(pool.Failed)
		return "", 0
	case status == http.StatusMisdirectedRequest:
		handle.Release(pool.Misdirected)
		return "", 0
	case response.Header(s.Headers.NotRun) != "":
		handle.Release(pool.Rejected)
		return "", 0
	}
	handle.Release(pool.Served)
	if status/100 == 2 {
		return response.Header(s.Headers.Signature), status
	}
	return "", status
}
