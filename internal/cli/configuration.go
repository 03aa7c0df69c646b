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
					&cli.StringSliceFlag{Name: "set", Usage: "FIELD=VALUE, as in the JSON form", Required: true},
				}, Action: editProfile,
			},
			{Name: "history", Usage: "list the accepted edits", ArgsUsage: "NAME", Flags: []cli.Flag{settingsFlag()}, Action: profileHistory},
		},
	}
}

func editFlag() cli.Flag {
	return &cli.Uint64Flag{Name: "against", Usage: "the edit that the change was made against; none means whatever stands"}
}

func expectedEdit(c *cli.Command) uint64 {
	if !c.IsSet("against") {
		return configuration.AnyEdit
	}
	return c.Uint64("against")
}

func getProfile(ctx context.Context, c *cli.Command) error {
	p, err := standing(ctx, c)
	if err != nil {
		return err
	}
	return printProfile(c, p)
}

// standing reads the profile that a command names.
func standing(ctx context.Context, c *cli.Command) (*profile.Profile, error) {
	name, err := oneArgument(c, "the profile's name")
	if err != nil {
		return nil, err
	}
	e, _, err := editor(c)
	if err != nil {
		return nil, err
	}
	ctx, cancel := context.WithTimeout(ctx, editTimeout)
	defer cancel()
	p, _, err := e.Profile(ctx, name)
	if err != nil {
		return nil, err
	}
	if p == nil {
		return nil, fmt.Errorf("there is no profile %q", name)
	}
	return p, nil
}

func printProfile(c *cli.Command, p *profile.Profile) error {
	text, err := indented(p)
	if err != nil {
		return err
	}
	fmt.Fprintln(c.Root().Writer, text)
	return nil
}

func indented(p *profile.Profile) (string, error) {
	var tree any
	if err := json.Unmarshal(profile.EncodeProfile(p), &tree); err != nil {
		return "", err
	}
	text, err := json.MarshalIndent(tree, "", "  ")
	return string(text), err
}

func putProfile(ctx context.Context, c *cli.Command) error {
	path, err := oneArgument(c, "the JSON file")
	if err != nil {
		return err
	}
	data, err := readFile(path)
	if err != nil {
		return err
	}
	p, err := profile.DecodeProfile(data)
	if err != nil {
		return err
	}
	return accept(ctx, c, p, expectedEdit(c))
}

func accept(ctx context.Context, c *cli.Command, p *profile.Profile, expected uint64) error {
	e, _, err := editor(c)
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, editTimeout)
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

// printDifference lists the lines in which two profiles differ.
func printDifference(c *cli.Command, conflict *configuration.ConflictError) {
	standing, err := indented(conflict.Standing())
	if err != nil {
		return
	}
	wanted, err := indented(conflict.Wanted().WithEdit(conflict.Standing().Edit()))
	if err != nil {
		return
	}
	out := c.Root().ErrWriter
	for _, line := range missingFrom(standing, wanted) {
		fmt.Fprintln(out, "standing:"+line)
	}
	for _, line := range missingFrom(wanted, standing) {
		fmt.Fprintln(out, "wanted:  "+line)
	}
}

func missingFrom(a, b string) []string {
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
	p, err := standing(ctx, c)
	if err != nil {
		return err
	}
	expected := expectedEdit(c)
	if expected == configuration.AnyEdit {
		expected = p.Edit()
	}
	changed, err := change(p, c.StringSlice("set"))
	if err != nil {
		return err
	}
	return accept(ctx, c, changed, expected)
}

// change sets fields of a profile's JSON form. A value that is not JSON is
// taken as a text.
func change(p *profile.Profile, sets []string) (*profile.Profile, error) {
	data := profile.EncodeProfile(p)
	for _, set := range sets {
		field, value, ok := strings.Cut(set, "=")
		if !ok {
			return nil, usagef("--set takes FIELD=VALUE, not %q", set)
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
	name, err := oneArgument(c, "the profile's name")
	if err != nil {
		return err
	}
	e, _, err := editor(c)
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, editTimeout)
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
				return putRecord(ctx, c, func(ctx context.Context, e *configuration.Editor, data []byte) (string, configuration.Accepted, error) {
					s, err := profile.DecodeService(data)
					if err != nil {
						return "", configuration.Accepted{}, err
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
			Name: "put", Usage: "write a customer from a JSON file; its keys stay", ArgsUsage: "FILE", Flags: []cli.Flag{settingsFlag()},
			Action: func(ctx context.Context, c *cli.Command) error {
				return putRecord(ctx, c, func(ctx context.Context, e *configuration.Editor, data []byte) (string, configuration.Accepted, error) {
					customer, err := profile.DecodeCustomer(data)
					if err != nil {
						return "", configuration.Accepted{}, err
					}
					accepted, err := e.PutCustomer(ctx, customer)
					return "customer " + customer.Name(), accepted, err
				})
			},
		}},
	}
}

type putter func(ctx context.Context, e *configuration.Editor, data []byte) (string, configuration.Accepted, error)

func putRecord(ctx context.Context, c *cli.Command, put putter) error {
	path, err := oneArgument(c, "the JSON file")
	if err != nil {
		return err
	}
	data, err := readFile(path)
	if err != nil {
		return err
	}
	e, _, err := editor(c)
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, editTimeout)
	defer cancel()
	what, accepted, err := put(ctx, e, data)
	if err != nil {
		return err
	}
	fmt.Fprintf(c.Root().Writer, "%s: accepted at revision %d\n", what, accepted.Revision())
	return nil
}
