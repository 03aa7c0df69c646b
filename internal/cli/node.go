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
	// gcPercent trades processor time for memory, which is paid for.
	gcPercent = 30
	// memoryShare is the share of the machine's memory that the collector aims
	// to stay under.
	memoryShare = 0.7
)

// runner is a role of a process on the platform.
type runner interface {
	Run(ctx context.Context) error
}

func entryCommand() *cli.Command {
	return nodeCommand("entry", "run an entry instance beside a platform's store", func(s *node.Settings, figures *telemetry.Registry, log *zap.Logger) runner {
		return node.NewEntry(s, platform.Adapter(), figures, log)
	})
}

func schedulerCommand() *cli.Command {
	return nodeCommand("scheduler", "run a node that may hold the duties", func(s *node.Settings, figures *telemetry.Registry, log *zap.Logger) runner {
		return node.NewScheduler(s, platform.Adapter(), figures, log)
	})
}

func nodeCommand(name, usage string, build func(*node.Settings, *telemetry.Registry, *zap.Logger) runner) *cli.Command {
	return &cli.Command{
		Name: name, Usage: usage,
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "log-level", Value: "info", Usage: "least level of the lines in the log"},
			&cli.StringFlag{Name: "metrics", Usage: "port and path of the figures, as in 9464/metrics; empty for none"},
		},
		Action: func(ctx context.Context, c *cli.Command) error {
			s, err := platform.LoadSettings(platform.SettingsPath())
			if err != nil {
				return err
			}
			debug.SetGCPercent(gcPercent)
			debug.SetMemoryLimit(int64(memoryShare * float64(s.MemoryBytes)))
			writer := logs.NewWriter(os.Stdout)
			log, err := logs.NewAsync(c.String("log-level"), writer)
			if err != nil {
				return err
			}
			defer func() { _ = log.Sync() }()
			figures := telemetry.NewRegistry()
			if err := serveFigures(ctx, s.IP, c.String("metrics"), figures, writer, log); err != nil {
				return err
			}
			watchReload(ctx, platform.SettingsPath(), log, func(next *node.Settings) {
				debug.SetMemoryLimit(int64(memoryShare * float64(next.MemoryBytes)))
			})
			return build(s, figures, log).Run(ctx)
		},
	}
}
