package ingress

import (
	"context"
	"errors"
	"net/http"
	"strconv"
	"time"

	"cactusspoke/internal/http1"
	"cactusspoke/internal/pool"
)

const (
	// maxProbeWait and the maxProbeShare of the route's latency objective bound how long a
	// request waits for probes.
	maxProbeWait  = 15 * time.Millisecond
	maxProbeShare = 0.1
	// probeTimeout bounds a probe. It is longer than a request waits, since a probe that is
	// given up costs its connection, and its report is of use to later requests.
	probeTimeout = 250 * time.Millisecond
	// maxProbeBytes bounds the body of a response to a probe.
	maxProbeBytes = 4096
)

// errNoReport means that a health path responded without a load report that could be used.
var errNoReport = errors.New("no valid load report")

// probe asks the health paths of the two servers between which the pool chose, if that is
// expected to pay, and then switches the handle to the better one. The request goes
// on after probeWait at the latest, with whatever is known, and waits only once.
func (s *Server) probe(ctx context.Context, r *callerRequest, handle *pool.Handle) {
	if r.probed {
		return
	}
	longest := probeWait(r)
	servers := handle.ServersToProbe(longest)
	if len(servers) == 0 {
		return
	}
	service, ok := s.View.Table().Service(servers[0].Service)
	if !ok || !http1.ValidTarget(service.HealthPath) {
		return
	}
	r.probed = true
	startedAt := time.Now()
	answered := make(chan struct{}, len(servers))
	for _, server := range servers {
		done := s.probes.DoChan(server.Address, func() (any, error) {
			s.probeServer(server, service.HealthPath, r.host)
			return nil, nil
		})
		go func() {
			<-done
			answered <- struct{}{}
		}()
	}
	awaitProbes(ctx, answered, len(servers), longest)
	s.Metrics.Observe("probe_wait", time.Since(startedAt))
	if handle.Reconsider() {
		s.Metrics.Inc("probed_choices_changed_total")
	}
}

// awaitProbes returns when n probes were answered, after the longest wait, or when the context ends.
func awaitProbes(ctx context.Context, answered <-chan struct{}, n int, longest time.Duration) {
	timer := time.NewTimer(longest)
	defer timer.Stop()
	for range n {
		select {
		case <-answered:
		case <-timer.C:
			return
		case <-ctx.Done():
			return
		}
	}
}

// probeWait returns the longest wait of a request for probes.
func probeWait(r *callerRequest) time.Duration {
	if r.route.LatencyObjective <= 0 {
		return maxProbeWait
	}
	return min(maxProbeWait, time.Duration(maxProbeShare*float64(r.route.LatencyObjective)))
}

// probeServer asks a server's health path for its load, over an existing connection.
func (s *Server) probeServer(server pool.Server, path, host string) {
	ctx, cancel := context.WithTimeout(s.requestsEnd, probeTimeout)
	defer cancel()
	startedAt := time.Now()
	request := &http1.Request{
		Method: http.MethodGet, URI: path, Host: host, ReuseOnly: true,
		Headers: []http1.Header{{Name: s.Headers.ExpectInstance, Value: server.ID}},
	}
	response, err := s.Backends.Do(ctx, server.Address, request)
	if errors.Is(err, http1.ErrNoConnection) {
		s.Metrics.Inc("load_probes_total", "outcome", "no-connection")
		return
	}
	if err == nil {
		err = s.readProbe(server, response, startedAt)
	}
	if err != nil {
		s.Metrics.Inc("load_probes_total", "outcome", "failed")
		s.Pool.RecordFailedProbe(server, err.Error())
		return
	}
	s.Metrics.Inc("load_probes_total", "outcome", "answered")
}

// readProbe passes the report in the response to a probe to the pool.
func (s *Server) readProbe(server pool.Server, response *http1.Response, startedAt time.Time) error {
	defer response.Close()
	now := time.Now()
	if err := response.Drain(maxProbeBytes); err != nil {
		return err
	}
	if response.Status() != http.StatusOK {
		return errors.New("status " + strconv.Itoa(response.Status()))
	}
	report, err := s.Codec.Load(response.Header(s.Headers.Load), now)
	if err != nil || report.Slowness <= 0 {
		s.Metrics.Inc("invalid_load_reports_total")
		return errNoReport
	}
	s.Metrics.Inc("load_reports_total")
	s.Pool.RecordProbe(server, now.Sub(startedAt), report)
	return nil
}
