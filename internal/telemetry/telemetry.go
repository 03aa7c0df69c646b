// Package telemetry keeps the counters, gauges and latency histograms of a process
// and renders them in the Prometheus text format.
package telemetry

import (
	"fmt"
	"sort"
	"strings"
	"time"

	"github.com/rcrowley/go-metrics"
)

const (
	// namePrefix precedes the name of each metric.
	namePrefix = "cactusspoke_"
	// reservoirSize is how many measurements a histogram keeps.
	reservoirSize = 512
)

// quantiles are rendered for each histogram.
var quantiles = []float64{0.5, 0.9, 0.99}

// Registry holds the metrics of a process. It is safe for concurrent use. The
// values of labels must come from a bounded set, so ids and keys are not allowed.
type Registry struct {
	registry metrics.Registry
}

func NewRegistry() *Registry { return &Registry{registry: metrics.NewRegistry()} }

// Inc adds one to a counter. Labels alternate between names and values.
func (s *Registry) Inc(name string, labels ...string) { s.Add(name, 1, labels...) }

// Add adds n to a counter.
func (s *Registry) Add(name string, n int64, labels ...string) {
	metrics.GetOrRegisterCounter(metricName(name, labels), s.registry).Inc(n)
}

// SetGauge sets the value of a gauge.
func (s *Registry) SetGauge(name string, value int64, labels ...string) {
	metrics.GetOrRegisterGauge(metricName(name, labels), s.registry).Update(value)
}

// Observe adds a duration to a histogram, which is rendered in milliseconds.
func (s *Registry) Observe(name string, duration time.Duration, labels ...string) {
	h := s.registry.GetOrRegister(metricName(name, labels), func() metrics.Histogram {
		return metrics.NewHistogram(metrics.NewUniformSample(reservoirSize))
	})
	h.(metrics.Histogram).Update(duration.Microseconds())
}

// metricName returns a name followed by its labels in braces.
func metricName(name string, labels []string) string {
	if len(labels) == 0 {
		return name
	}
	pairs := make([]string, 0, len(labels)/2)
	for i := 0; i+1 < len(labels); i += 2 {
		pairs = append(pairs, fmt.Sprintf("%s=%q", labels[i], labels[i+1]))
	}
	return name + "{" + strings.Join(pairs, ",") + "}"
}

// Text renders all metrics, sorted by line.
func (s *Registry) Text() string {
	var lines []string
	s.registry.Each(func(name string, metric any) {
		switch m := metric.(type) {
		case metrics.Counter:
			lines = append(lines, fmt.Sprintf("%s%s %d", namePrefix, name, m.Count()))
		case metrics.Gauge:
			lines = append(lines, fmt.Sprintf("%s%s %d", namePrefix, name, m.Value()))
		case metrics.Histogram:
			lines = append(lines, histogramLines(name, m.Snapshot())...)
		}
	})
	sort.Strings(lines)
	return strings.Join(lines, "\n") + "\n"
}

// histogramLines renders the count, the sum and the quantiles of a histogram.
func histogramLines(name string, h metrics.Histogram) []string {
	base, labels, _ := strings.Cut(name, "{")
	labels = strings.TrimSuffix(labels, "}")
	labelsWith := func(extra string) string {
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
		fmt.Sprintf("%s%s_ms_count%s %d", namePrefix, base, labelsWith(""), h.Count()),
		fmt.Sprintf("%s%s_ms_sum%s %.3f", namePrefix, base, labelsWith(""), float64(h.Sum())/1000),
	}
	for _, q := range quantiles {
		lines = append(lines, fmt.Sprintf("%s%s_ms%s %.3f", namePrefix, base, labelsWith(fmt.Sprintf("quantile=\"%g\"", q)), h.Percentile(q)/1000))
	}
	return lines
}
