package node

import (
	"context"
	"time"

	"cactusspoke/internal/kv"
	"cactusspoke/internal/telemetry"

	"go.uber.org/zap"
)

const (
	// latenessInterval is the time between two measurements of the lateness of timers.
	latenessInterval = 500 * time.Millisecond
	// latenessLogged is the lateness from which a measurement is logged. Latency
	// objectives and the timeouts of leases suffer from there on.
	latenessLogged = 150 * time.Millisecond
)

// measureLateness returns a component that measures how late timers fire. They are late if
// the process gets no processor time, is paused, or if all its processors are held in
// system calls.
func measureLateness(metrics *telemetry.Registry, log *zap.Logger) func(context.Context) error {
	return func(ctx context.Context) error {
		for ctx.Err() == nil {
			startedAt := time.Now()
			kv.Sleep(ctx, latenessInterval)
			if ctx.Err() != nil {
				break
			}
			late := time.Since(startedAt) - latenessInterval
			metrics.Observe("timer_lateness", late)
			if late >= latenessLogged {
				log.Warn("process: timers are late", zap.Duration("late", late))
			}
		}
		return ctx.Err()
	}
}
