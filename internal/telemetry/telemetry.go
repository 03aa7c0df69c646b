// Package telemetry counts what a process does, and shows the counters and
// latency histograms as text that common scrapers read.
package telemetry

import (
	"fmt"
	"sort"
	"strings"
	"time"

	"github.com/rcrowley/go-metrics"
)

const (
	// prefix stands before the name of each figure.
	prefix = "cactusspoke_"
	// reservoir is how many measurements a histogram keeps.
	reservoir = 512
)

// quantiles are shown of each histogram.
var quantiles = []float64{0.5, 0.9, 0.99}

// Set is the figures of a process. It is safe for concurrent use. Labels must
// come from a bounded set: no ids, no keys.
type Set struct {
	registry metrics.Registry
}

// New returns a set without figures.
func New() *Set { return &Set{registry: metrics.NewRegistry()} }

// Count adds one to a counter. Labels are pairs of name and value.
func (s *Set) Count(name string, labels ...string) { s.Add(name, 1, labels...) }

// Add adds to a counter.
func (s *Set) Add(name string, n int64, labels ...string) {
	metrics.GetOrRegisterCounter(full(name, labels), s.registry).Inc(n)
}

// Gauge sets a figure that goes up and down.
func (s *Set) Gauge(name string, value int64, labels ...string) {
	metrics.GetOrRegisterGauge(full(name, labels), s.registry).Update(value)
}

// Observe adds a duration to a histogram, which is shown in milliseconds.
func (s *Set) Observe(name string, took time.Duration, labels ...string) {
	h := s.registry.GetOrRegister(full(name, labels), func() metrics.Histogram {
		return metrics.NewHistogram(metrics.NewUniformSample(reservoir))
	})
	h.(metrics.Histogram).Update(took.Microseconds())
}

func full(name string, labels []string) string {
	if len(labels) == 0 {
		return name
	}
	pairs := make([]string, 0, len(labels)/2)
	for i := 0; i+1 < len(labels); i += 2 {
		pairs = append(pairs, fmt.Sprintf("%s=%q", labels[i], labels[i+1]))
	}
	return name + "{" + strings.Join(pairs, ",") + "}"
}

// Text returns all figures, a line each, in order of their names.
func (s *Set) Text() string {
	var lines []string
	s.registry.Each(func(name string, figure any) {
		switch f := figure.(type) {
		case metrics.Counter:
			lines = append(lines, fmt.Sprintf("%s%s %d", prefix, name, f.Count()))
		case metrics.Gauge:
			lines = append(lines, fmt.Sprintf("%s%s %d", prefix, name, f.Value()))
		case metrics.Histogram:
			lines = append(lines, histogram(name, f.Snapshot())...)
		}
	})
	sort.Strings(lines)
	return strings.Join(lines, "\n") + "\n"
}

func histogram(name string, h metrics.Histogram) []string {
	base, labels, _ := strings.Cut(name, "{")
	labels = strings.TrimSuffix(labels, "}")
	with := func(extra string) string {
		switch {
		case labels == "" && extra == "":
			return ""
		case labels == "" || extra == "":
			return "{" + labels + extra + "}"
		default:
			return "{" + labels + "," + extra + "}"
		}
	}
	lines := []string{
		fmt.Sprintf("%s%s_ms_count%s %d", prefix, base, with(""), h.Count()),
		fmt.Sprintf("%s%s_ms_sum%s %.3f", prefix, base, with(""), float64(h.Sum())/1000),
	}
	for _, q := range quantiles {
		lines = append(lines, fmt.Sprintf("%s%s_ms%s %.3f", prefix, base, with(fmt.Sprintf("quantile=\"%g\"", q)), h.Percentile(q)/1000))
	}
	return lines
}
