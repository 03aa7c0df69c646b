package cli

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"

	"cactusspoke/internal/key"
	"cactusspoke/internal/operator"
	"cactusspoke/internal/settings"
	"cactusspoke/internal/web"

	"github.com/urfave/cli/v3"
)

func keyCommand() *cli.Command {
	customer := &cli.StringFlag{Name: "customer", Usage: "the customer's name", Required: true}
	return &cli.Command{
		Name: "key", Usage: "grant and withdraw callers' keys",
		Commands: []*cli.Command{
			{Name: "grant", Usage: "make a key; it is printed once", Flags: []cli.Flag{settingsFlag(), customer}, Action: grantKey},
			{
				Name: "withdraw", Usage: "withdraw a key for ever, by its text or id", ArgsUsage: "KEY",
				Flags: []cli.Flag{settingsFlag(), customer}, Action: withdrawKey,
			},
		},
	}
}

func grantKey(ctx context.Context, c *cli.Command) error {
	e, s, err := editor(c)
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, editTimeout)
	defer cancel()
	text, id, accepted, err := e.GrantKey(ctx, s.DigestSecret(), c.String("customer"))
	if err != nil {
		return err
	}
	fmt.Fprintln(c.Root().Writer, text)
	fmt.Fprintf(c.Root().ErrWriter, "key %s granted to %s at revision %d\n", id, c.String("customer"), accepted.Revision())
	return nil
}

// withdrawKey tells the instance of the settings directly, which spreads the
// denial even while the store is down, and writes the withdrawal.
func withdrawKey(ctx context.Context, c *cli.Command) error {
	text, err := oneArgument(c, "the key or its id")
	if err != nil {
		return err
	}
	e, s, err := editor(c)
	if err != nil {
		return err
	}
	id, digest, err := key.Parse(s.DigestSecret(), text)
	if err != nil {
		return usagef("%w", err)
	}
	ctx, cancel := context.WithTimeout(ctx, editTimeout)
	defer cancel()
	var suspendErr error
	if digest != "" {
		suspendErr = suspend(ctx, s, digest)
	}
	accepted, err := e.WithdrawKey(ctx, c.String("customer"), id)
	if err != nil && suspendErr == nil && digest != "" {
		return fmt.Errorf("key %s is denied by all instances in touch, but not yet withdrawn in the store; repeat the command: %w", id, err)
	}
	if err != nil {
		return errors.Join(err, suspendErr)
	}
	fmt.Fprintf(c.Root().Writer, "key %s withdrawn at revision %d\n", id, accepted.Revision())
	return nil
}

func suspend(ctx context.Context, s *settings.Settings, digest string) error {
	data, err := json.Marshal(operator.WireSuspensions{Digests: []string{digest}})
	if err != nil {
		return err
	}
	_, err = call(ctx, s, "POST", operator.PathSuspensions, data)
	return err
}

// call asks the instance of the settings.
func call(ctx context.Context, s *settings.Settings, method, path string, body []byte) ([]byte, error) {
	http, err := web.NewClient(0)
	if err != nil {
		return nil, err
	}
	request := web.NewRequest(method, "http://"+s.OperatorsAddress()+path).WithBody("application/json", body)
	reply, err := http.Do(ctx, request)
	if err != nil {
		return nil, fmt.Errorf("instance %s at %s does not answer: %w", s.Instance(), s.OperatorsAddress(), err)
	}
	if reply.Status() >= 300 {
		return nil, fmt.Errorf("instance %s answered %d: %s", s.Instance(), reply.Status(), reply.Body())
	}
	return reply.Body(), nil
}
