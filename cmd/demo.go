package cmd

import (
	"context"
	"os"

	"agateward/internal/bench/demo"
	"agateward/internal/telemetry/log"

	"github.com/urfave/cli/v3"
)

// demoCommand runs a demonstration fleet in one process.
func demoCommand() *cli.Command {
	return &cli.Command{
		Name: "demo", Usage: "run a demonstration fleet in one process, in under 40 s",
		Description: "All connections use loopback TCP. Every figure in the report is measured during the run.\n\nExample:\n  agateward demo --seed 7",
		Flags: []cli.Flag{
			&cli.Uint64Flag{Name: "seed", Value: 1, Usage: "`SEED` of the generated traffic"},
			&cli.StringFlag{Name: "log-level", Value: "error", Usage: "`LEVEL` of the entries' logs: error, info or debug", Validator: oneOf("error", "info", "debug")},
		},
		Action: func(ctx context.Context, c *cli.Command) error {
			l, err := log.New(os.Stderr, c.String("log-level"))
			if err != nil {
				return err
			}
			d := demo.Demo{Out: c.Root().Writer, Progress: os.Stderr, Seed: c.Uint64("seed"), Log: l}
			return d.Run(ctx)
		},
	}
}
