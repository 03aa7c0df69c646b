// Package cli implements the cactusspoke command line.
package cli

import (
	"context"
	"errors"
	"fmt"
	"io"
	"os"
	"os/signal"
	"syscall"
	"time"

	"cactusspoke/internal/configuration"
	"cactusspoke/internal/instance"
	"cactusspoke/internal/logs"
	"cactusspoke/internal/settings"
	"cactusspoke/internal/store"
	"cactusspoke/internal/web"

	"github.com/urfave/cli/v3"
)

// Exit codes.
const (
	exitFailed   = 1
	exitUsage    = 2
	exitConflict = 3
)

// commandTimeout limits the duration of a command that calls the store or an
// instance.
const commandTimeout = 10 * time.Second

// Main runs the command line and returns the exit code.
func Main(args []string, out, errOut io.Writer) int {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	root := &cli.Command{
		Name:           "cactusspoke",
		Usage:          "rollout service for reinforcement learning",
		Writer:         out,
		ErrWriter:      errOut,
		ExitErrHandler: func(context.Context, *cli.Command, error) {},
		Commands: []*cli.Command{
			runCommand(), settingsCommand(), profileCommand(), serviceCommand(), customerCommand(),
			keyCommand(), statusCommand(), accountCommand(), drainCommand(),
			entryCommand(), schedulerCommand(), explainCommand(), versionCommand(),
		},
	}
	setUsageErrorHandling(root)
	return exitCode(root.Run(ctx, args), errOut)
}

// setUsageErrorHandling makes a command and its subcommands return a usageError
// for invalid arguments, instead of printing the help text.
func setUsageErrorHandling(c *cli.Command) {
	c.OnUsageError = func(_ context.Context, _ *cli.Command, err error, _ bool) error {
		return &usageError{err}
	}
	if c.Action == nil {
		c.Action = func(_ context.Context, c *cli.Command) error {
			if c.Args().Present() {
				return usageErrorf("there is no command %q", c.Args().First())
			}
			return cli.ShowSubcommandHelp(c)
		}
	}
	for _, sub := range c.Commands {
		setUsageErrorHandling(sub)
	}
}

// usageError is an error in the command's arguments.
type usageError struct{ cause error }

func (e *usageError) Error() string { return e.cause.Error() }

func exitCode(err error, errOut io.Writer) int {
	if err == nil {
		return 0
	}
	fmt.Fprintf(errOut, "cactusspoke: %s\n", logs.OneLine(err))
	var usage *usageError
	var conflict *configuration.ConflictError
	switch {
	case errors.As(err, &usage):
		return exitUsage
	case errors.As(err, &conflict):
		return exitConflict
	default:
		return exitFailed
	}
}

func usageErrorf(format string, args ...any) error {
	return &usageError{fmt.Errorf(format, args...)}
}

func settingsFlag() cli.Flag {
	return &cli.StringFlag{Name: "settings", Aliases: []string{"s"}, Usage: "settings file of an instance", Required: true}
}

func loadSettings(c *cli.Command) (*settings.Settings, error) {
	return settings.Load(c.String("settings"))
}

// singleArgument returns the argument of a command that takes exactly one.
func singleArgument(c *cli.Command, description string) (string, error) {
	if c.Args().Len() != 1 {
		return "", usageErrorf("%s takes one argument: %s", c.FullName(), description)
	}
	return c.Args().First(), nil
}

// newEditor returns an editor for the store given in the settings.
func newEditor(c *cli.Command) (*configuration.Editor, *settings.Settings, error) {
	s, err := loadSettings(c)
	if err != nil {
		return nil, nil, err
	}
	http, err := web.NewClient(0)
	if err != nil {
		return nil, nil, err
	}
	return configuration.NewEditor(store.NewResolvingClient(store.NewHTTP(http, s.StoreAddress(), s.StoreTimeout()))), s, nil
}

func runCommand() *cli.Command {
	return &cli.Command{
		Name: "run", Usage: "run an entry instance", Flags: []cli.Flag{settingsFlag()},
		Action: func(ctx context.Context, c *cli.Command) error {
			s, err := loadSettings(c)
			if err != nil {
				return err
			}
			log, err := logs.New(s.LogLevel())
			if err != nil {
				return err
			}
			defer func() { _ = log.Sync() }()
			work, cancel := context.WithCancel(context.Background())
			defer cancel()
			i, err := instance.New(work, s, log)
			if err != nil {
				return err
			}
			return i.Run(ctx)
		},
	}
}

func settingsCommand() *cli.Command {
	return &cli.Command{
		Name: "settings", Usage: "validate or describe the settings of an instance",
		Commands: []*cli.Command{
			checkCommand(),
			{
				Name: "describe", Usage: "list all settings fields",
				Action: func(_ context.Context, c *cli.Command) error {
					for _, line := range settings.Describe() {
						fmt.Fprintln(c.Root().Writer, line)
					}
					return nil
				},
			},
		},
	}
}

// readInput reads a file, or standard input if the path is "-".
func readInput(path string) ([]byte, error) {
	if path == "-" {
		return io.ReadAll(os.Stdin)
	}
	return os.ReadFile(path)
}
