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
		Name: "explain", Usage: "show from log files what happened to a request, an item or a job", ArgsUsage: "ID FILE...",
		Action: func(_ context.Context, c *cli.Command) error {
			if c.Args().Len() < 2 {
				return usagef("%s takes an id and the log files of the instances", c.FullName())
			}
			var log explain.Log
			for _, path := range c.Args().Slice()[1:] {
				if err := readLog(&log, path); err != nil {
					return err
				}
			}
			story := log.Find(c.Args().First())
			if len(story.Matches) == 0 {
				return fmt.Errorf("no line names %s: look in the logs of the other instances, or of the hour before", c.Args().First())
			}
			out := c.Root().Writer
			show(out, "its own lines", story.Matches)
			show(out, "its job", story.JobLines)
			show(out, "around that time", story.Related)
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

func show(out io.Writer, title string, lines []explain.Line) {
	if len(lines) == 0 {
		return
	}
	fmt.Fprintf(out, "%s:\n", title)
	for _, line := range lines {
		fmt.Fprintf(out, "  %s %s\n", line.Source(), line.Text())
	}
}
