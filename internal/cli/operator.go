package cli

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"

	"cactusspoke/internal/operator"

	"github.com/urfave/cli/v3"
)

func statusCommand() *cli.Command {
	return &cli.Command{
		Name: "status", Usage: "print the status of an instance", Flags: []cli.Flag{settingsFlag()},
		Action: func(ctx context.Context, c *cli.Command) error {
			return printCall(ctx, c, "GET", operator.PathStatus)
		},
	}
}

func drainCommand() *cli.Command {
	return &cli.Command{
		Name: "drain", Usage: "shut an instance down without cutting off requests", Flags: []cli.Flag{settingsFlag()},
		Action: func(ctx context.Context, c *cli.Command) error {
			return printCall(ctx, c, "POST", operator.PathDrain)
		},
	}
}

func accountCommand() *cli.Command {
	return &cli.Command{
		Name: "account", Usage: "print an instance's usage and refusals of a window",
		Flags: []cli.Flag{settingsFlag(), &cli.Uint64Flag{Name: "window", Usage: "the window's number; none means the present"}},
		Action: func(ctx context.Context, c *cli.Command) error {
			path := operator.PathAccount
			if c.IsSet("window") {
				path = fmt.Sprintf("%s?window=%d", path, c.Uint64("window"))
			}
			return printCall(ctx, c, "GET", path)
		},
	}
}

func printCall(ctx context.Context, c *cli.Command, method, path string) error {
	s, err := load(c)
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, editTimeout)
	defer cancel()
	data, err := call(ctx, s, method, path, nil)
	if err != nil {
		return err
	}
	var out bytes.Buffer
	if err := json.Indent(&out, data, "", "  "); err != nil {
		return err
	}
	fmt.Fprintln(c.Root().Writer, out.String())
	return nil
}
