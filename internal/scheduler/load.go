package scheduler

import (
	"sync"
	"time"

	"cactusspoke/internal/http1"
	"cactusspoke/internal/load"
	"cactusspoke/internal/pool"
)

// maxPendingReports bounds the reports between two passes of the loop.
const maxPendingReports = 4096

// serverReport is a load report of a server.
type serverReport struct {
	server string
	report load.Report
}

// loadReports holds the load reports since the last pass of the loop. They do not cause a pass of
// their own, since each start of an item brings one.
type loadReports struct {
	mu      sync.Mutex
	pending []serverReport
}

func (l *loadReports) add(r serverReport) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if len(l.pending) < maxPendingReports {
		l.pending = append(l.pending, r)
	}
}

// take returns and removes the pending reports.
func (l *loadReports) take() []serverReport {
	l.mu.Lock()
	defer l.mu.Unlock()
	out := l.pending
	l.pending = nil
	return out
}

// reportLoad reads the load header of a response. The pool gets only reports of the slowness:
// without it, the selection of servers for reward calls counts this process's requests alone.
func (s *Scheduler) reportLoad(handle *pool.Handle, response *http1.Response) (load.Report, bool) {
	text := response.Header(s.Headers.Load)
	if text == "" || s.DecodeLoad == nil {
		return load.Report{}, false
	}
	report, err := s.DecodeLoad(text, time.Now())
	if err != nil {
		s.Metrics.Inc("invalid_load_reports_total")
		handle.IgnoreReport(text, err)
		return load.Report{}, false
	}
	s.Metrics.Inc("load_reports_total")
	if report.Slowness > 0 {
		handle.ReportLoad(report)
	}
	return report, true
}

// reportEngineLoad reads the load header of an engine's response.
func (s *Scheduler) reportEngineLoad(handle *pool.Handle, response *http1.Response) {
	if report, ok := s.reportLoad(handle, response); ok {
		s.reports.add(serverReport{handle.Server().ID, report})
	}
}

// applyReports passes the reports since the last pass to the estimates of the engines.
func (s *Scheduler) applyReports() {
	for _, r := range s.reports.take() {
		s.latencies.report(r.server, r.report)
	}
}
