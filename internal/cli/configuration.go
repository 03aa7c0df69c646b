package cli

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"strings"

	"cactusspoke/internal/configuration"
	"cactusspoke/internal/profile"

	"github.com/tidwall/sjson"
	"github.com/urfave/cli/v3"
)

func profileCommand() *cli.Command {
	return &cli.Command{
		Name: "profile", Usage: "read and edit profiles",
		Commands: []*cli.Command{
			{Name: "get", Usage: "print a profile", ArgsUsage: "NAME", Flags: []cli.Flag{settingsFlag()}, Action: getProfile},
			{
				Name: "put", Usage: "write a profile from a JSON file", ArgsUsage: "FILE",
				Flags: []cli.Flag{settingsFlag(), editFlag()}, Action: putProfile,
			},
			{
				Name: "edit", Usage: "change fields of a profile", ArgsUsage: "NAME",
				Flags: []cli.Flag{
					settingsFlag(), editFlag(),
					&cli.StringSliceFlag{Name: "set", Usage: "FIELD=VALUE, with the field name of the JSON form", Required: true},
				}, Action: editProfile,
			},
			{Name: "history", Usage: "list the accepted edits of a profile", ArgsUsage: "NAME", Flags: []cli.Flag{settingsFlag()}, Action: profileHistory},
		},
	}
}

func editFlag() cli.Flag {
	return &cli.Uint64Flag{Name: "against", Usage: "edit number that the change is based on; without it, the current edit is replaced"}
}

func expectedEdit(c *cli.Command) uint64 {
	if !c.IsSet("against") {
		return configuration.AnyEdit
	}
	return c.Uint64("against")
}

func getProfile(ctx context.Context, c *cli.Command) error {
	p, err := loadProfile(ctx, c)
	if err != nil {
		return err
	}
	return printProfile(c, p)
}

// loadProfile reads the profile named in the command's argument.
func loadProfile(ctx context.Context, c *cli.Command) (*profile.Profile, error) {
	name, err := singleArgument(c, "the profile's name")
	if err != nil {
		return nil, err
	}
	e, _, err := newEditor(c)
	if err != nil {
		return nil, err
	}
	ctx, cancel := context.WithTimeout(ctx, commandTimeout)
	defer cancel()
	p, _, err := e.Profile(ctx, name)
	if err != nil {
		return nil, err
	}
	if p == nil {
		return nil, fmt.Errorf("profile %q does not exist", name)
	}
	return p, nil
}

func printProfile(c *cli.Command, p *profile.Profile) error {
	text, err := formatProfile(p)
	if err != nil {
		return err
	}
	fmt.Fprintln(c.Root().Writer, text)
	return nil
}

// formatProfile returns a profile as indented JSON.
func formatProfile(p *profile.Profile) (string, error) {
	var tree any
	if err := json.Unmarshal(profile.EncodeProfile(p), &tree); err != nil {
		return "", err
	}
	text, err := json.MarshalIndent(tree, "", "  ")
	return string(text), err
}

func putProfile(ctx context.Context, c *cli.Command) error {
	path, err := singleArgument(c, "the JSON file")
	if err != nil {
		return err
	}
	data, err := readInput(path)
	if err != nil {
		return err
	}
	p, err := profile.DecodeProfile(data)
	if err != nil {
		return err
	}
	return submitProfile(ctx, c, p, expectedEdit(c))
}

// submitProfile writes a profile. On an edit conflict, it prints the difference
// from the stored profile.
func submitProfile(ctx context.Context, c *cli.Command, p *profile.Profile, expected uint64) error {
	e, _, err := newEditor(c)
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, commandTimeout)
	defer cancel()
	accepted, err := e.PutProfile(ctx, p, expected)
	var conflict *configuration.ConflictError
	if errors.As(err, &conflict) {
		printDifference(c, conflict)
	}
	if err != nil {
		return err
	}
	fmt.Fprintf(c.Root().Writer, "profile %s: edit %d accepted at revision %d\n", p.Name(), accepted.Edit(), accepted.Revision())
	return nil
}

// printDifference prints the lines that differ between the stored profile and the
// rejected one.
func printDifference(c *cli.Command, conflict *configuration.ConflictError) {
	current, err := formatProfile(conflict.Current())
	if err != nil {
		return
	}
	proposed, err := formatProfile(conflict.Proposed().WithEdit(conflict.Current().Edit()))
	if err != nil {
		return
	}
	out := c.Root().ErrWriter
	for _, line := range linesMissingFrom(current, proposed) {
		fmt.Fprintln(out, "standing:"+line)
	}
	for _, line := range linesMissingFrom(proposed, current) {
		fmt.Fprintln(out, "wanted:  "+line)
	}
}

// linesMissingFrom returns the lines of a that b lacks, ignoring trailing commas.
func linesMissingFrom(a, b string) []string {
	present := map[string]bool{}
	for line := range strings.SplitSeq(b, "\n") {
		present[strings.TrimSuffix(line, ",")] = true
	}
	var out []string
	for line := range strings.SplitSeq(a, "\n") {
		if trimmed := strings.TrimSuffix(line, ","); !present[trimmed] {
			out = append(out, trimmed)
		}
	}
	return out
}

func editProfile(ctx context.Context, c *cli.Command) error {
	p, err := loadProfile(ctx, c)
	if err != nil {
		return err
	}
	expected := expectedEdit(c)
	if expected == configuration.AnyEdit {
		expected = p.Edit()
	}
	changed, err := applyAssignments(p, c.StringSlice("set"))
	if err != nil {
		return err
	}
	return submitProfile(ctx, c, changed, expected)
}

// applyAssignments sets fields in a profile's JSON form. A value that is not valid JSON
// is used as a string.
func applyAssignments(p *profile.Profile, assignments []string) (*profile.Profile, error) {
	data := profile.EncodeProfile(p)
	for _, assignment := range assignments {
		field, value, ok := strings.Cut(assignment, "=")
		if !ok {
			return nil, usageErrorf("--set takes FIELD=VALUE, not %q", assignment)
		}
		var err error
		if json.Valid([]byte(value)) {
			data, err = sjson.SetRawBytes(data, field, []byte(value))
		} else {
			data, err = sjson.SetBytes(data, field, value)
		}
		if err != nil {
			return nil, err
		}
	}
	return profile.DecodeProfile(data)
}

func profileHistory(ctx context.Context, c *cli.Command) error {
	name, err := singleArgument(c, "the profile's name")
	if err != nil {
		return err
	}
	e, _, err := newEditor(c)
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, commandTimeout)
	defer cancel()
	edits, err := e.History(ctx, name)
	if err != nil {
		return err
	}
	for _, p := range edits {
		fmt.Fprintf(c.Root().Writer, "%d %s\n", p.Edit(), profile.EncodeProfile(p))
	}
	return nil
}

func serviceCommand() *cli.Command {
	return &cli.Command{
		Name: "service", Usage: "write services",
		Commands: []*cli.Command{{
			Name: "put", Usage: "write a service from a JSON file", ArgsUsage: "FILE", Flags: []cli.Flag{settingsFlag()},
			Action: func(ctx context.Context, c *cli.Command) error {
				return putRecord(ctx, c, func(ctx context.Context, e *configuration.Editor, data []byte) (string, configuration.WriteResult, error) {
					s, err := profile.DecodeService(data)
					if err != nil {
						return "", configuration.WriteResult{}, err
					}
					accepted, err := e.PutService(ctx, s)
					return "service " + s.Name(), accepted, err
				})
			},
		}},
	}
}

func customerCommand() *cli.Command {
	return &cli.Command{
		Name: "customer", Usage: "write customers",
		Commands: []*cli.Command{{
			Name: "put", Usage: "write a customer from a JSON file; existing keys are preserved", ArgsUsage: "FILE", Flags: []cli.Flag{settingsFlag()},
			Action: func(ctx context.Context, c *cli.Command) error {
				return putRecord(ctx, c, func(ctx context.Context, e *configuration.Editor, data []byte) (string, configuration.WriteResult, error) {
					customer, err := profile.DecodeCustomer(data)
					if err != nil {
						return "", configuration.WriteResult{}, err
					}
					accepted, err := e.PutCustomer(ctx, customer)
					return "customer " + customer.Name(), accepted, err
				})
			},
		}},
	}
}

// putFunc decodes and writes a record and returns its kind and name.
type putFunc func(ctx context.Context, e *configuration.Editor, data []byte) (string, configuration.WriteResult, error)

func putRecord(ctx context.Context, c *cli.Command, put putFunc) error {
	path, err := singleArgument(c, "the JSON file")
	if err != nil {
		return err
	}
	data, err := readInput(path)
	if err != nil {
		return err
	}
	e, _, err := newEditor(c)
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, commandTimeout)
	defer cancel()
	what, accepted, err := put(ctx, e, data)
	if err != nil {
		return err
	}
	fmt.Fprintf(c.Root().Writer, "%s: accepted at revision %d\n", what, accepted.Revision())
	return nil
}
