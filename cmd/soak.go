package cmd

import (
	"context"
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"time"

	"agateward/internal/soak/run"
	"agateward/internal/telemetry/log"
	"agateward/platform/standin"

	"github.com/urfave/cli/v3"
)

var errFindings = errors.New("promises were broken; see the findings")

// soakCommand injects faults into entries that run as separate processes.
func soakCommand() *cli.Command {
	return &cli.Command{
		Name: "soak", Usage: "run entries as local processes, inject faults and check what callers and upstreams see",
		Description: "Each seed gives another series of faults. Settings and logs of the processes are kept in one directory per seed.\n\n" +
			"Example:\n  agateward soak --seed 1 --seeds 5 --length 30s --dir soak-logs",
		Flags: []cli.Flag{
			&cli.Uint64Flag{Name: "seed", Value: 1, Usage: "first `SEED`"},
			&cli.Uint64Flag{Name: "seeds", Value: 1, Usage: "`NUMBER` of seeds to run one after the other"},
			&cli.DurationFlag{Name: "length", Value: 30 * time.Second, Usage: "`TIME` that one seed runs"},
			&cli.IntFlag{Name: "entries", Value: 5, Usage: "`NUMBER` of entries"},
			&cli.IntFlag{Name: "callers", Value: 24, Usage: "`NUMBER` of callers"},
			&cli.BoolFlag{Name: "planned", Usage: "only planned work and silences of upstreams: no request may be lost"},
			&cli.StringFlag{Name: "dir", Required: true, Usage: "`DIRECTORY` for settings and logs"},
		},
		Action: func(ctx context.Context, c *cli.Command) error {
			program, err := os.Executable()
			if err != nil {
				return fmt.Errorf("find the path of this program: %w", err)
			}
			violated := false
			for i := range c.Uint64("seeds") {
				s := run.Soak{
					Program: program, Dir: filepath.Join(c.String("dir"), fmt.Sprint("seed-", c.Uint64("seed")+i)), Seed: c.Uint64("seed") + i,
					Length: c.Duration("length"), Entries: c.Int("entries"), Callers: c.Int("callers"),
					Planned: c.Bool("planned"), Store: &standin.Store{}, Dialect: standin.Headers{},
				}
				found, err := soakSeed(ctx, c, &s)
				if err != nil {
					return err
				}
				violated = violated || found
			}
			if violated {
				return errFindings
			}
			return nil
		},
	}
}

// soakSeed runs one seed and reports whether it found a broken promise.
func soakSeed(ctx context.Context, c *cli.Command, s *run.Soak) (bool, error) {
	if err := os.MkdirAll(s.Dir, 0o755); err != nil {
		return false, fmt.Errorf("create the directory of the soak: %w", err)
	}
	file, err := os.Create(filepath.Join(s.Dir, "soak.log"))
	if err != nil {
		return false, fmt.Errorf("create the log of the soak: %w", err)
	}
	defer func() { _ = file.Close() }() // the findings are also printed
	if s.Log, err = log.New(file, "info"); err != nil {
		return false, err
	}
	r, err := s.Run(ctx)
	if err != nil {
		return false, err
	}
	out := c.Root().Writer
	fmt.Fprintf(out, "seed %d: %d requests, %d served, %d refused, %d faults, %d findings\n", s.Seed, r.Asked, r.Served, r.Refused, r.Faults, len(r.Findings))
	for _, f := range r.Findings {
		fmt.Fprintf(out, "  %s %s %s: %s\n", f.At.UTC().Format(time.RFC3339Nano), f.Promise, f.ID, f.What)
		s.Log.Info("finding", "promise", f.Promise, "request", f.ID, "at", f.At, "what", f.What)
	}
	return len(r.Findings) > 0, nil
}
