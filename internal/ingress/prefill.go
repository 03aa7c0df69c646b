package ingress

import (
	"strconv"
	"time"

	"cactusspoke/internal/pool"
	"cactusspoke/internal/prefill"
	"cactusspoke/internal/routetable"

	"github.com/cloudwego/hertz/pkg/app"
	"go.uber.org/zap"
)

// tokensPerEvent is the assumed number of tokens in an event of a stream that is resumed.
// Engines prefill what it had like the prompt.
const tokensPerEvent = 70

// maxResumedEvents bounds the position of a resumed stream that is believed.
const maxResumedEvents = 1 << 16

// statedPrompt returns what a stream states of its prompt.
func (s *Server) statedPrompt(c *app.RequestContext, r *callerRequest) prefill.Prompt {
	if r.route.Kind != routetable.Streaming {
		return prefill.Prompt{}
	}
	counts := string(c.Request.Header.Peek(s.Headers.TokenCounts))
	if counts == "" {
		return prefill.Prompt{}
	}
	prompt, valid := prefill.Parse(counts, string(c.Request.Header.Peek(s.Headers.PromptPrefix)))
	if !valid {
		s.Metrics.Inc("invalid_token_counts_total")
	}
	if events, err := strconv.Atoi(string(c.Request.Header.Peek(s.Headers.LastEventID))); err == nil && events > 0 && events <= maxResumedEvents {
		return prompt.Resumed(tokensPerEvent * events)
	}
	return prompt
}

// acquireByPrefill selects a server like Pool.Acquire, but only among those that a stream
// should prefer because of the prompts of this instance in progress there. It returns false if
// they make no difference or none of those servers can be used.
func (s *Server) acquireByPrefill(r *callerRequest, service string, suitable func(pool.Server) bool) (*pool.Handle, bool) {
	now := time.Now()
	if r.prompt.Tokens == 0 || !s.prefills.Outlook(now).Relevant(r.prompt, r.route.LatencyObjective) {
		return nil, false
	}
	var ids []string
	var weights []int64
	for _, snapshot := range s.Pool.Servers(service) {
		// A wait for a slot would take longer than one for prefill.
		free := snapshot.Running < max(1, snapshot.Server.Slots) && (!snapshot.Limited || snapshot.Allowed > 0)
		if free && !snapshot.Server.Draining && !snapshot.Ejected && !snapshot.Evacuated && suitable(snapshot.Server) {
			ids, weights = append(ids, snapshot.Server.ID), append(weights, weightsOf(snapshot.Server))
		}
	}
	estimates, shortShare := s.prefills.Estimates(r.prompt, ids, weights, now)
	preferred := prefill.Prefer(estimates, r.route.LatencyObjective, shortShare)
	if preferred == nil {
		return nil, false
	}
	chosen := make(map[string]bool, len(ids))
	for i, id := range ids {
		chosen[id] = preferred[i]
	}
	handle, ok := s.Pool.Acquire(service, s.FailureDomain, func(server pool.Server, _ int) bool { return chosen[server.ID] })
	if ok {
		s.Metrics.Inc("prefill_placements_total", "service", service)
		s.logPrefill(service, len(ids), now)
	}
	return handle, ok
}

// prefillLogInterval is the minimum time between two log lines about streams whose servers
// were selected by expected prefill.
const prefillLogInterval = time.Second

// logPrefill logs, at most once per prefillLogInterval, how many streams expected prefill has
// kept from some servers since the last line.
func (s *Server) logPrefill(service string, servers int, now time.Time) {
	n := s.prefillPlacements.Add(1)
	last := s.prefillLoggedAt.Load()
	if now.UnixNano()-last < int64(prefillLogInterval) || !s.prefillLoggedAt.CompareAndSwap(last, now.UnixNano()) {
		return
	}
	s.prefillPlacements.Add(-n)
	s.Log.Info("request: servers preferred by expected prefill", zap.String("service", service), zap.Int64("requests", n), zap.Int("servers", servers))
}

// endPrefill records that the attempt of a request ended.
func (s *Server) endPrefill(r *callerRequest) {
	r.prefill.End(time.Now())
	if took, kind, ok := r.prefill.Result(); ok {
		s.Metrics.Observe("first_event", took, "prompt", kind)
	}
	r.prefill = nil
}

// weightsOf names the state of the weights that a server has loaded.
func weightsOf(server pool.Server) int64 {
	sum := int64(0)
	for _, version := range server.Models {
		sum += version
	}
	return sum
}
