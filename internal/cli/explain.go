package cli

import (
	"context"
	"fmt"
	"io"
	"os"
	"path/filepath"

	"cactusspoke/internal/explain"

	"github.com/urfave/cli/v3"
)

func explainCommand() *cli.Command {
	return &cli.Command{
		Name: "explain", Usage: "print the log lines related to a request, an item or a job", ArgsUsage: "ID FILE...",
		Action: func(_ context.Context, c *cli.Command) error {
			if c.Args().Len() < 2 {
				return usageErrorf("%s takes an id and one or more log files", c.FullName())
			}
			var log explain.Log
			for _, path := range c.Args().Slice()[1:] {
				if err := readLog(&log, path); err != nil {
					return err
				}
			}
			result := log.Find(c.Args().First())
			if len(result.Matches) == 0 {
				return fmt.Errorf("no log line contains %s; try the logs of the other instances or of an earlier period", c.Args().First())
			}
			out := c.Root().Writer
			printLines(out, "lines with this id", result.Matches)
			printLines(out, "lines of its job", result.JobLines)
			printLines(out, "related lines from the same time", result.Related)
			return nil
		},
	}
}

func readLog(log *explain.Log, path string) error {
	f, err := os.Open(path)
	if err != nil {
		return err
	}
	defer f.Close()
	return log.Read(filepath.Base(path), f)
}

func printLines(out io.Writer, title string, lines []explain.Line) {
	if len(lines) == 0 {
		return
	}
	fmt.Fprintf(out, "%s:\n", title)
	for _, line := range lines {
		fmt.Fprintf(out, "  %s %s\n", line.Source(), line.Text())
	}
}
