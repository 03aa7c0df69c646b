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

// watchReload reads the settings again on each SIGHUP until the context ends.
// Settings that cannot be read leave the last good ones in force.
func watchReload(ctx context.Context, path string, log *zap.Logger, apply func(*node.Settings)) {
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
				log.Error("settings: not reloaded, the last ones stay in force", logs.Err(err))
				continue
			}
			apply(s)
			log.Info("settings: reloaded", zap.String("path", path))
		}
	}()
}
