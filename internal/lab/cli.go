package lab

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"os"
	"os/signal"
	"path/filepath"
	"strings"
	"syscall"
	"time"

	"github.com/urfave/cli/v3"
)

// Main runs the cactusspoke-lab command line and returns the exit code.
func Main(args []string, stdout, stderr io.Writer) int {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	root := &cli.Command{
		Name: "cactusspoke-lab", Usage: "simulators and load generator for testing cactusspoke", Writer: stdout, ErrWriter: stderr,
		ExitErrHandler: func(context.Context, *cli.Command, error) {},
		Commands: []*cli.Command{
			engineCommand(), plainCommand(), trainerCommand(), loadCommand(), compareCommand(), layoutCommand(), weightsCommand(), instancesCommand(),
			dayCommand(), measuresCommand(),
			addressOnlyCommand("store", "the key-value service", func(a string) runner { return NewStore(a) }),
			addressOnlyCommand("orders", "the interface that takes orders", func(a string) runner { return NewOrderReceiver(a) }),
			addressOnlyCommand("usage", "the interface that takes usage reports", func(a string) runner { return NewUsageReceiver(a) }),
			addressOnlyCommand("scorer", "a service that scores samples", func(a string) runner { return NewScorer(a) }),
		},
	}
	if err := root.Run(ctx, args); err != nil {
		fmt.Fprintf(stderr, "cactusspoke-lab: %s\n", err)
		return 1
	}
	return 0
}

type runner interface {
	Serve(ctx context.Context) error
}

func addressFlag() cli.Flag {
	return &cli.StringFlag{Name: "address", Usage: "IP address and port", Required: true}
}

func addressOnlyCommand(name, usage string, build func(address string) runner) *cli.Command {
	return &cli.Command{
		Name: name, Usage: usage, Flags: []cli.Flag{addressFlag()},
		Action: func(ctx context.Context, c *cli.Command) error {
			return build(c.String("address")).Serve(ctx)
		},
	}
}

func engineCommand() *cli.Command {
	return &cli.Command{
		Name: "engine", Usage: "a model engine",
		Flags: []cli.Flag{
			addressFlag(),
			&cli.StringFlag{Name: "model", Value: "model"},
			&cli.IntFlag{Name: "slots", Value: 16},
			&cli.IntFlag{Name: "token-ms", Value: 5},
			&cli.DurationFlag{Name: "token-per-running", Value: 100 * time.Microsecond},
			&cli.DurationFlag{Name: "prefill", Value: time.Millisecond},
			&cli.IntFlag{Name: "cache-blocks", Value: 512},
			&cli.StringFlag{Name: "weights", Usage: "the weight store's address"},
		},
		Action: func(ctx context.Context, c *cli.Command) error {
			e, err := NewEngine(EngineOptions{
				Address: c.String("address"), Model: c.String("model"), Slots: c.Int("slots"),
				DecodeStepTime:           time.Duration(c.Int("token-ms")) * time.Millisecond,
				DecodeStepTimePerRequest: c.Duration("token-per-running"), PrefillTimePerBlock: c.Duration("prefill"),
				CacheBlocks: c.Int("cache-blocks"), WeightStoreAddress: c.String("weights"),
			})
			if err != nil {
				return err
			}
			return e.Serve(ctx)
		},
	}
}

func plainCommand() *cli.Command {
	return &cli.Command{
		Name: "plain-service", Usage: "a plain service",
		Flags: []cli.Flag{addressFlag(), &cli.IntFlag{Name: "slots", Value: 16}, &cli.DurationFlag{Name: "work", Value: 10 * time.Millisecond}},
		Action: func(ctx context.Context, c *cli.Command) error {
			return NewPlainService(c.String("address"), c.Int("slots"), c.Duration("work")).Serve(ctx)
		},
	}
}

func weightsCommand() *cli.Command {
	return &cli.Command{
		Name: "weight-store", Usage: "the rate-limited weight store",
		Flags: []cli.Flag{addressFlag(), &cli.IntFlag{Name: "parallel", Value: 4}, &cli.DurationFlag{Name: "fetch", Value: 100 * time.Millisecond}},
		Action: func(ctx context.Context, c *cli.Command) error {
			return NewWeightStore(c.String("address"), c.Int("parallel"), c.Duration("fetch")).Serve(ctx)
		},
	}
}

func instancesCommand() *cli.Command {
	return &cli.Command{
		Name: "instances", Usage: "the platform's list of instances, with a propagation delay",
		Flags: []cli.Flag{addressFlag(), &cli.StringFlag{Name: "file", Required: true}, &cli.DurationFlag{Name: "lag", Value: 500 * time.Millisecond}},
		Action: func(ctx context.Context, c *cli.Command) error {
			return NewInstanceList(c.String("address"), c.String("file"), c.Duration("lag")).Serve(ctx)
		},
	}
}

func trainerCommand() *cli.Command {
	return &cli.Command{
		Name: "trainer", Usage: "run a trainer for a number of steps",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "entries", Usage: "comma-separated addresses of entry instances", Required: true},
			&cli.StringFlag{Name: "key-file", Required: true},
			&cli.StringFlag{Name: "service", Required: true},
			&cli.StringFlag{Name: "weights", Required: true},
			&cli.IntFlag{Name: "steps", Value: 1},
			&cli.IntFlag{Name: "groups", Value: 8},
			&cli.IntFlag{Name: "samples", Value: 4},
			&cli.IntFlag{Name: "max-tokens", Value: 32},
			&cli.Uint64Flag{Name: "first-step", Value: 1},
			&cli.DurationFlag{Name: "think", Value: 100 * time.Millisecond},
		},
		Action: func(ctx context.Context, c *cli.Command) error {
			key, err := os.ReadFile(c.String("key-file"))
			if err != nil {
				return err
			}
			t, err := NewTrainer(TrainerOptions{
				Entries: strings.Split(c.String("entries"), ","), Key: strings.TrimSpace(string(key)),
				Service: c.String("service"), Weights: c.String("weights"), Steps: c.Int("steps"), Groups: c.Int("groups"),
				Samples: c.Int("samples"), MaxTokens: c.Int("max-tokens"), FirstStep: c.Uint64("first-step"), ThinkTime: c.Duration("think"),
			})
			if err != nil {
				return err
			}
			result, err := t.Run(ctx)
			printJSON(c, result)
			return err
		},
	}
}

func loadCommand() *cli.Command {
	return &cli.Command{
		Name: "load", Usage: "send the load of a workload file and print the result for each customer",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "workload", Required: true},
			&cli.StringFlag{Name: "entries", Required: true},
			&cli.StringFlag{Name: "keys", Usage: "folder with a CUSTOMER.key file for each customer", Required: true},
			&cli.DurationFlag{Name: "duration", Value: 10 * time.Second},
			&cli.FloatFlag{Name: "scale", Value: 1},
			&cli.Uint64Flag{Name: "seed", Value: 1},
		},
		Action: func(ctx context.Context, c *cli.Command) error {
			w, err := ReadWorkload(c.String("workload"))
			if err != nil {
				return err
			}
			keys, err := readKeys(w, c.String("keys"))
			if err != nil {
				return err
			}
			l, err := NewLoad(LoadOptions{
				Workload: w, Entries: strings.Split(c.String("entries"), ","), Keys: keys,
				Duration: c.Duration("duration"), Scale: c.Float("scale"), Seed: c.Uint64("seed"),
			})
			if err != nil {
				return err
			}
			printJSON(c, l.Run(ctx))
			return nil
		},
	}
}

func compareCommand() *cli.Command {
	return &cli.Command{
		Name: "compare", Usage: "compare direct requests to an engine with requests through an entry instance",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "direct", Usage: "the engine's address", Required: true},
			&cli.StringFlag{Name: "through", Usage: "the entry instance's address", Required: true},
			&cli.StringFlag{Name: "operators", Usage: "the entry instance's operators address", Required: true},
			&cli.StringFlag{Name: "key-file", Required: true},
			&cli.StringFlag{Name: "service", Required: true},
			&cli.IntFlag{Name: "streams", Value: 1},
			&cli.IntFlag{Name: "tokens", Value: 32},
			&cli.IntFlag{Name: "rounds", Value: 6, Usage: "alternating rounds of each path"},
			&cli.IntFlag{Name: "requests", Value: 8, Usage: "requests per stream and round"},
		},
		Action: func(ctx context.Context, c *cli.Command) error {
			key, err := os.ReadFile(c.String("key-file"))
			if err != nil {
				return err
			}
			result, err := Compare(ctx, CompareOptions{
				DirectAddress: c.String("direct"), EntryAddress: c.String("through"), OperatorsAddress: c.String("operators"),
				Key: strings.TrimSpace(string(key)), Service: c.String("service"), Streams: c.Int("streams"),
				Tokens: c.Int("tokens"), Rounds: c.Int("rounds"), Requests: c.Int("requests"),
			})
			printJSON(c, result)
			return err
		},
	}
}

func readKeys(w *Workload, folder string) (map[string]string, error) {
	keys := map[string]string{}
	for _, customer := range w.Customers {
		data, err := os.ReadFile(filepath.Join(folder, customer.Name+".key"))
		if err != nil {
			return nil, Class.Wrap(err)
		}
		keys[customer.Name] = strings.TrimSpace(string(data))
	}
	return keys, nil
}

func layoutCommand() *cli.Command {
	return &cli.Command{
		Name: "layout", Usage: "write the settings and command lines for a workload's deployment",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "workload", Required: true},
			&cli.StringFlag{Name: "folder", Required: true},
			&cli.IntFlag{Name: "base-port", Value: 21000},
		},
		Action: func(_ context.Context, c *cli.Command) error {
			w, err := ReadWorkload(c.String("workload"))
			if err != nil {
				return err
			}
			return WriteLayout(w, c.String("folder"), c.Int("base-port"))
		},
	}
}

func printJSON(c *cli.Command, v any) {
	data, err := json.MarshalIndent(v, "", "  ")
	if err != nil {
		panic(err)
	}
	fmt.Fprintln(c.Root().Writer, string(data))
}
