package node

import (
	"context"
	"errors"
	"testing"
	"testing/synctest"

	"cactusspoke/internal/telemetry"

	"github.com/stretchr/testify/require"
	"go.uber.org/zap"
)

// TestLatenessIsMeasured checks that a histogram of the lateness of timers is kept.
func TestLatenessIsMeasured(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		metrics := telemetry.NewRegistry()
		ctx, cancel := context.WithTimeout(t.Context(), 10*latenessInterval+latenessInterval/2)
		defer cancel()
		err := measureLateness(metrics, zap.NewNop())(ctx)
		require.True(t, errors.Is(err, context.DeadlineExceeded))
		require.Contains(t, metrics.Text(), "cactusspoke_timer_lateness_ms_count 10\n")
	})
}
