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
			return printResponse(ctx, c, "GET", operator.PathStatus)
		},
	}
}

func drainCommand() *cli.Command {
	return &cli.Command{
		Name: "drain", Usage: "shut down an instance after its running requests complete", Flags: []cli.Flag{settingsFlag()},
		Action: func(ctx context.Context, c *cli.Command) error {
			return printResponse(ctx, c, "POST", operator.PathDrain)
		},
	}
}

func accountCommand() *cli.Command {
	return &cli.Command{
		Name: "account", Usage: "print an instance's usage and refusals in a usage window",
		Flags: []cli.Flag{settingsFlag(), &cli.Uint64Flag{Name: "window", Usage: "number of the usage window; defaults to the current one"}},
		Action: func(ctx context.Context, c *cli.Command) error {
			path := operator.PathAccount
			if c.IsSet("window") {
				path = fmt.Sprintf("%s?window=%d", path, c.Uint64("window"))
			}
			return printResponse(ctx, c, "GET", path)
		},
	}
}

// printResponse calls the instance and prints the JSON response indented.
func printResponse(ctx context.Context, c *cli.Command, method, path string) error {
	s, err := loadSettings(c)
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, commandTimeout)
	defer cancel()
	data, err := callInstance(ctx, s, method, path, nil)
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
