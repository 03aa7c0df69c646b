package cli

import (
	"context"
	"encoding/json"
	"fmt"
	"io"

	"cactusspoke/internal/configcheck"
	"cactusspoke/internal/settings"
	"cactusspoke/platform"

	"github.com/urfave/cli/v3"
)

func checkCommand() *cli.Command {
	return &cli.Command{
		Name: "check", Usage: "validate a settings file, or a configuration before it is written to the store", ArgsUsage: "[FILE]",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "configuration", Usage: "configuration file to validate instead of a settings file"},
			&cli.StringFlag{Name: "against", Usage: "file with the active configuration; its version must be lower, and changes are listed"},
			&cli.BoolFlag{Name: "json", Usage: "print the result of --configuration as JSON"},
		},
		Action: func(_ context.Context, c *cli.Command) error {
			if c.IsSet("configuration") {
				return checkConfiguration(c)
			}
			if c.IsSet("against") || c.IsSet("json") {
				return usageErrorf("--against and --json need --configuration")
			}
			return checkSettings(c)
		},
	}
}

func checkSettings(c *cli.Command) error {
	path, err := singleArgument(c, "the settings file")
	if err != nil {
		return err
	}
	s, err := settings.Load(path)
	if err != nil {
		return err
	}
	fmt.Fprintf(c.Root().Writer, "settings of %s are valid\n", s.Instance())
	return nil
}

func checkConfiguration(c *cli.Command) error {
	path, activePath := c.String("configuration"), c.String("against")
	if c.Args().Present() {
		return usageErrorf("--configuration takes the place of the settings file")
	}
	if path == "-" && activePath == "-" {
		return usageErrorf("only one file can be read from standard input")
	}
	data, err := readInput(path)
	if err != nil {
		return &usageError{err}
	}
	var active []byte
	if c.IsSet("against") {
		if active, err = readInput(activePath); err != nil {
			return &usageError{err}
		}
	}
	report, err := platform.CheckConfig(data, active)
	if err != nil {
		return &usageError{err}
	}
	if c.Bool("json") {
		err = printReportJSON(c.Root().Writer, report)
	} else {
		printReport(c.Root().Writer, report)
	}
	if err == nil && len(report.Errors) > 0 {
		err = fmt.Errorf("errors in the configuration: %d", len(report.Errors))
	}
	return err
}

func printReport(out io.Writer, report configcheck.Report) {
	for _, f := range report.Errors {
		fmt.Fprintf(out, "error: %s: %s\n", f.Place, f.Text)
	}
	for _, f := range report.Warnings {
		fmt.Fprintf(out, "warning: %s: %s\n", f.Place, f.Text)
	}
	for _, change := range report.Changes {
		fmt.Fprintf(out, "%s: %s%s\n", change.Kind, change.Place, changedValues(change))
	}
	if len(report.Errors) == 0 {
		fmt.Fprintf(out, "the configuration is valid, warnings: %d\n", len(report.Warnings))
	}
}

// changedValues returns the values of a change, with a leading separator.
func changedValues(change configcheck.Change) string {
	switch {
	case change.Old == "" && change.New == "":
		return ""
	case change.Kind == configcheck.Added:
		return ": " + change.New
	case change.Kind == configcheck.Removed:
		return ": " + change.Old
	default:
		return fmt.Sprintf(": from %s to %s", valueOrAbsent(change.Old), valueOrAbsent(change.New))
	}
}

func valueOrAbsent(value string) string {
	if value == "" {
		return "absent"
	}
	return value
}

type findingJSON struct {
	Place string `json:"place"`
	Text  string `json:"text"`
}

type changeJSON struct {
	Change string          `json:"change"`
	Place  string          `json:"place"`
	Old    json.RawMessage `json:"old,omitempty"`
	New    json.RawMessage `json:"new,omitempty"`
}

// printReportJSON prints a report as JSON. Lists without entries are empty, not null.
func printReportJSON(out io.Writer, report configcheck.Report) error {
	changes := make([]changeJSON, 0, len(report.Changes))
	for _, c := range report.Changes {
		changes = append(changes, changeJSON{Change: string(c.Kind), Place: c.Place, Old: json.RawMessage(c.Old), New: json.RawMessage(c.New)})
	}
	encoder := json.NewEncoder(out)
	encoder.SetIndent("", "  ")
	return encoder.Encode(struct {
		Errors   []findingJSON `json:"errors"`
		Warnings []findingJSON `json:"warnings"`
		Changes  []changeJSON  `json:"changes"`
	}{encodeFindings(report.Errors), encodeFindings(report.Warnings), changes})
}

func encodeFindings(findings []configcheck.Finding) []findingJSON {
	out := make([]findingJSON, 0, len(findings))
	for _, f := range findings {
		out = append(out, findingJSON(f))
	}
	return out
}
