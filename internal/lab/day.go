package lab

import (
	"context"
	"errors"
	"fmt"
	"io"
	"os"

	"cactusspoke/internal/replay"
	"cactusspoke/platform"

	"github.com/urfave/cli/v3"
)

// largestPrices is the number of prices in a row of measures.
const largestPrices = 3

func dayCommand() *cli.Command {
	return &cli.Command{
		Name: "day", Usage: "summarize the logs of a deployment's day: store calls, steps, seconds and holders",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "log", Usage: "file with the log lines of all processes", Required: true},
			&cli.StringFlag{Name: "report", Usage: "the bench's report of the day"},
			&cli.StringFlag{Name: "plots", Usage: "folder for plots"},
		},
		Action: func(_ context.Context, c *cli.Command) error {
			file, err := openInput(c.String("log"), "write the logs of a day with the bench's option --log all")
			if err != nil {
				return err
			}
			defer func() { _ = file.Close() }()
			lines, err := replay.ReadLog(file)
			if err != nil {
				return fmt.Errorf("%s: %w", c.String("log"), err)
			}
			if path := c.String("report"); path != "" {
				if err := writeMeasures(c.Root().Writer, path); err != nil {
					return err
				}
			}
			day := replay.Summarize(lines)
			if err := day.Write(c.Root().Writer); err != nil {
				return err
			}
			if folder := c.String("plots"); folder != "" {
				return day.Plot(folder)
			}
			return nil
		},
	}
}

func measuresCommand() *cli.Command {
	return &cli.Command{
		Name: "measures", Usage: "print a table row for each day in reports of the bench or entries of its journal", ArgsUsage: "FILE...",
		Action: func(_ context.Context, c *cli.Command) error {
			if c.Args().Len() == 0 {
				return errors.New("measures takes one or more files: reports of the bench or entries of its journal")
			}
			for _, path := range c.Args().Slice() {
				if err := writeMeasures(c.Root().Writer, path); err != nil {
					return err
				}
			}
			return nil
		},
	}
}

// openInput opens a file. If it is missing, the error says what to do.
func openInput(path, hint string) (*os.File, error) {
	file, err := os.Open(path)
	if errors.Is(err, os.ErrNotExist) {
		return nil, fmt.Errorf("there is no file %s: %s", path, hint)
	}
	return file, err
}

// writeMeasures prints the days of a report or journal entry as rows of a Markdown
// table: worth, the parts of the credit, and the largest prices.
func writeMeasures(w io.Writer, path string) error {
	file, err := openInput(path, "write the report of a day with the bench's option --report, or name an entry of the journal")
	if err != nil {
		return err
	}
	defer func() { _ = file.Close() }()
	data, err := io.ReadAll(file)
	if err != nil {
		return err
	}
	days, err := platform.DecodeDayReports(data)
	if err != nil {
		return fmt.Errorf("%s: %w", path, err)
	}
	for _, day := range days {
		fmt.Fprintf(w, "| %s | %.3f |", day.Name, day.Worth)
		for _, part := range day.Parts {
			fmt.Fprintf(w, " %s %.3f |", part.Name, part.Share)
		}
		for _, price := range day.Prices[:min(largestPrices, len(day.Prices))] {
			fmt.Fprintf(w, " %s %.3f |", price.Name, price.Worth)
		}
		fmt.Fprintln(w)
	}
	return nil
}
