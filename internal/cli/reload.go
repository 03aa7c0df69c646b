package cli

import (
	"context"
	"os"
	"os/signal"
	"syscall"

	"cactusspoke/internal/logs"
	"cactusspoke/internal/node"
	"cactusspoke/platform"

	"go.uber.org/zap"
)

// reloadOnSIGHUP reloads the settings on each SIGHUP until the context ends.
// Invalid settings are rejected and the previous ones stay in effect.
func reloadOnSIGHUP(ctx context.Context, path string, log *zap.Logger, apply func(*node.Settings)) {
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGHUP)
	go func() {
		defer signal.Stop(signals)
		for {
			select {
			case <-ctx.Done():
				return
			case <-signals:
			}
			s, err := platform.LoadSettings(path)
			if err != nil {
				log.Error("settings: reload failed; keeping the previous settings", logs.Err(err))
				continue
			}
			apply(s)
			log.Info("settings: reloaded", zap.String("path", path))
		}
	}()
}
