package cli

import (
	"context"
	"fmt"
	"runtime/debug"

	"github.com/urfave/cli/v3"
)

func versionCommand() *cli.Command {
	return &cli.Command{
		Name: "version", Usage: "print the version and source revision of this program",
		Action: func(_ context.Context, c *cli.Command) error {
			revision := "unknown"
			info, ok := debug.ReadBuildInfo()
			if !ok {
				return fmt.Errorf("the program has no build information")
			}
			for _, setting := range info.Settings {
				if setting.Key == "vcs.revision" {
					revision = setting.Value
				}
			}
			fmt.Fprintf(c.Root().Writer, "%s %s, revision %s\n", info.Path, info.GoVersion, revision)
			return nil
		},
	}
}
