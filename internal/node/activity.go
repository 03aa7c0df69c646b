package node

import (
	"context"
	"time"

	"cactusspoke/internal/kv"

	"go.uber.org/zap"
)

// activityInterval is the time between two log lines about a process's activity.
const activityInterval = 10 * time.Second

// logActivity returns a component that logs the calls to the store by purpose and
// the open connections to servers, and once more at the end.
func logActivity(role string, store *kv.MeteredStore, connections func() int, log *zap.Logger) func(context.Context) error {
	return func(ctx context.Context) error {
		for ctx.Err() == nil {
			kv.Sleep(ctx, activityInterval)
			log.Info("process: activity", zap.String("role", role), zap.Any("store-calls", store.TakeCalls()), zap.Int("connections", connections()))
		}
		return ctx.Err()
	}
}
