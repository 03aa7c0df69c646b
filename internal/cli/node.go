package cli

import (
	"context"
	"os"
	"runtime/debug"

	"cactusspoke/internal/logs"
	"cactusspoke/internal/node"
	"cactusspoke/internal/telemetry"
	"cactusspoke/platform"

	"github.com/urfave/cli/v3"
	"go.uber.org/zap"
)

const (
	// gcPercent is below Go's default of 100 to save memory, which is billed, at
	// the cost of CPU time.
	gcPercent = 30
	// memoryLimitFraction is the fraction of the memory limit in the settings that
	// is set as the garbage collector's soft limit.
	memoryLimitFraction = 0.7
)

// nodeRunner is a node role that runs until its context ends.
type nodeRunner interface {
	Run(ctx context.Context) error
}

func entryCommand() *cli.Command {
	return nodeCommand("entry", "run an entry instance that uses the platform's store", func(s *node.Settings, registry *telemetry.Registry, log *zap.Logger) nodeRunner {
		return node.NewEntry(s, platform.Adapter(), registry, log)
	})
}

func schedulerCommand() *cli.Command {
	return nodeCommand("scheduler", "run a node that can take on duties", func(s *node.Settings, registry *telemetry.Registry, log *zap.Logger) nodeRunner {
		return node.NewScheduler(s, platform.Adapter(), registry, log)
	})
}

func nodeCommand(name, usage string, build func(*node.Settings, *telemetry.Registry, *zap.Logger) nodeRunner) *cli.Command {
	return &cli.Command{
		Name: name, Usage: usage,
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "log-level", Value: "info", Usage: "minimum log level"},
			&cli.StringFlag{Name: "metrics", Usage: "port and path of the metrics endpoint, such as 9464/metrics; empty disables it"},
		},
		Action: func(ctx context.Context, c *cli.Command) error {
			s, err := platform.LoadSettings(platform.SettingsPath())
			if err != nil {
				return err
			}
			debug.SetGCPercent(gcPercent)
			debug.SetMemoryLimit(int64(memoryLimitFraction * float64(s.MemoryBytes)))
			writer := logs.NewWriter(os.Stdout)
			log, err := logs.NewAsync(c.String("log-level"), writer)
			if err != nil {
				return err
			}
			defer func() { _ = log.Sync() }()
			registry := telemetry.NewRegistry()
			if err := serveMetrics(ctx, s.IP, c.String("metrics"), registry, writer, log); err != nil {
				return err
			}
			reloadOnSIGHUP(ctx, platform.SettingsPath(), log, func(next *node.Settings) {
				debug.SetMemoryLimit(int64(memoryLimitFraction * float64(next.MemoryBytes)))
			})
			return build(s, registry, log).Run(ctx)
		},
	}
}
