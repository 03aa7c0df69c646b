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
			{Name: "grant", Usage: "create a key and print it; it cannot be shown again", Flags: []cli.Flag{settingsFlag(), customer}, Action: grantKey},
			{
				Name: "withdraw", Usage: "permanently withdraw a key, given in full or by its id", ArgsUsage: "KEY",
				Flags: []cli.Flag{settingsFlag(), customer}, Action: withdrawKey,
			},
		},
	}
}

func grantKey(ctx context.Context, c *cli.Command) error {
	e, s, err := newEditor(c)
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, commandTimeout)
	defer cancel()
	text, id, accepted, err := e.GrantKey(ctx, s.DigestSecret(), c.String("customer"))
	if err != nil {
		return err
	}
	fmt.Fprintln(c.Root().Writer, text)
	fmt.Fprintf(c.Root().ErrWriter, "key %s granted to %s at revision %d\n", id, c.String("customer"), accepted.Revision())
	return nil
}

// withdrawKey asks the instance in the settings to deny the key at once, which
// reaches the other instances even while the store is unavailable, and then
// records the withdrawal in the store.
func withdrawKey(ctx context.Context, c *cli.Command) error {
	text, err := singleArgument(c, "the key or its id")
	if err != nil {
		return err
	}
	e, s, err := newEditor(c)
	if err != nil {
		return err
	}
	id, digest, err := key.Parse(s.DigestSecret(), text)
	if err != nil {
		return usageErrorf("%w", err)
	}
	ctx, cancel := context.WithTimeout(ctx, commandTimeout)
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
	data, err := json.Marshal(operator.Suspensions{Digests: []string{digest}})
	if err != nil {
		return err
	}
	_, err = callInstance(ctx, s, "POST", operator.PathSuspensions, data)
	return err
}

// callInstance calls the operator interface of the instance in the settings.
func callInstance(ctx context.Context, s *settings.Settings, method, path string, body []byte) ([]byte, error) {
	http, err := web.NewClient(0)
	if err != nil {
		return nil, err
	}
	request := web.NewRequest(method, "http://"+s.OperatorsAddress()+path).WithBody("application/json", body)
	reply, err := http.Do(ctx, request)
	if err != nil {
		return nil, fmt.Errorf("instance %s at %s cannot be reached: %w", s.Instance(), s.OperatorsAddress(), err)
	}
	if reply.Status() >= 300 {
		return nil, fmt.Errorf("instance %s responded with status %d: %s", s.Instance(), reply.Status(), reply.Body())
	}
	return reply.Body(), nil
}
