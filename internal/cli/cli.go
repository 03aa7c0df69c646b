// Package cli is the command line of the product.
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

// editTimeout bounds one command that changes the configuration.
const editTimeout = 10 * time.Second

// Main runs the command line and returns the exit code.
func Main(args []string, out, problems io.Writer) int {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	root := &cli.Command{
		Name:           "cactusspoke",
		Usage:          "rollout service for reinforcement learning",
		Writer:         out,
		ErrWriter:      problems,
		ExitErrHandler: func(context.Context, *cli.Command, error) {},
		Commands: []*cli.Command{
			runCommand(), settingsCommand(), profileCommand(), serviceCommand(), customerCommand(),
			keyCommand(), statusCommand(), accountCommand(), drainCommand(),
			entryCommand(), schedulerCommand(), explainCommand(), versionCommand(),
		},
	}
	strictly(root)
	return exitCode(root.Run(ctx, args), problems)
}

// strictly makes wrong arguments of a command and of all below it end in one
// sentence and the exit code for them.
func strictly(c *cli.Command) {
	c.OnUsageError = func(_ context.Context, _ *cli.Command, err error, _ bool) error {
		return &usageError{err}
	}
	if c.Action == nil {
		c.Action = func(_ context.Context, c *cli.Command) error {
			if c.Args().Present() {
				return usagef("there is no command %q", c.Args().First())
			}
			return cli.ShowSubcommandHelp(c)
		}
	}
	for _, sub := range c.Commands {
		strictly(sub)
	}
}

type usageError struct{ cause error }

func (e *usageError) Error() string { return e.cause.Error() }

func exitCode(err error, problems io.Writer) int {
	if err == nil {
		return 0
	}
	fmt.Fprintf(problems, "cactusspoke: %s\n", logs.OneLine(err))
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

func usagef(format string, args ...any) error {
	return &usageError{fmt.Errorf(format, args...)}
}

func settingsFlag() cli.Flag {
	return &cli.StringFlag{Name: "settings", Aliases: []string{"s"}, Usage: "settings file of an instance", Required: true}
}

func load(c *cli.Command) (*settings.Settings, error) {
	return settings.Load(c.String("settings"))
}

// oneArgument returns the only argument of a command.
func oneArgument(c *cli.Command, what string) (string, error) {
	if c.Args().Len() != 1 {
		return "", usagef("%s takes one argument: %s", c.FullName(), what)
	}
	return c.Args().First(), nil
}

// editor opens the store that the settings name.
func editor(c *cli.Command) (*configuration.Editor, *settings.Settings, error) {
	s, err := load(c)
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
			s, err := load(c)
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
		Name: "settings", Usage: "check or describe the settings of an instance",
		Commands: []*cli.Command{
			{
				Name: "check", Usage: "check a settings file", ArgsUsage: "FILE",
				Action: func(_ context.Context, c *cli.Command) error {
					path, err := oneArgument(c, "the settings file")
					if err != nil {
						return err
					}
					s, err := settings.Load(path)
					if err != nil {
						return err
					}
					fmt.Fprintf(c.Root().Writer, "settings of %s are good\n", s.Instance())
					return nil
				},
			},
			{
				Name: "describe", Usage: "list every field",
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

func readFile(path string) ([]byte, error) {
	if path == "-" {
		return io.ReadAll(os.Stdin)
	}
	return os.ReadFile(path)
}
