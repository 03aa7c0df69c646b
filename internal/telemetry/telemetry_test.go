package telemetry_test

import (
	"fmt"
	"testing"
	"time"

	"cactusspoke/internal/telemetry"

	"github.com/stretchr/testify/require"
)

func ExampleRegistry_Text() {
	set := telemetry.NewRegistry()
	set.Inc("requests_total", "status", "200")
	set.Inc("requests_total", "status", "200")
	set.SetGauge("duty_held", 1)
	fmt.Print(set.Text())
	// Output:
	// cactusspoke_duty_held 1
	// cactusspoke_requests_total{status="200"} 2
}

// TestHistogram asserts that a quantile is rendered in the same braces as the other
// labels.
func TestHistogram(t *testing.T) {
	set := telemetry.NewRegistry()
	set.Observe("store_call", 2*time.Millisecond, "call", "read")
	require.Contains(t, set.Text(), `cactusspoke_store_call_ms{call="read",quantile="0.99"} 2.000`)
	require.Contains(t, set.Text(), `cactusspoke_store_call_ms_count{call="read"} 1`)
}
