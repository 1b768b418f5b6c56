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

var errFindings = errors.New("promises were broken")

// soakCommand plays faults against entries that run as separate processes.
func soakCommand() *cli.Command {
	return &cli.Command{
		Name: "soak", Usage: "run entries as processes on this machine, harm them and check what callers and upstreams see",
		Description: "Each seed draws other faults. Settings and logs of the processes stay in a directory per seed.\n\n" +
			"Example:\n  agateward soak --seed 1 --seeds 5 --length 30s --dir soak-logs",
		Flags: []cli.Flag{
			&cli.Uint64Flag{Name: "seed", Value: 1, Usage: "first `SEED`"},
			&cli.Uint64Flag{Name: "seeds", Value: 1, Usage: "`NUMBER` of seeds to play one after the other"},
			&cli.DurationFlag{Name: "length", Value: 30 * time.Second, Usage: "`TIME` of one seed"},
			&cli.IntFlag{Name: "entries", Value: 5, Usage: "`NUMBER` of entries"},
			&cli.IntFlag{Name: "callers", Value: 24, Usage: "`NUMBER` of callers"},
			&cli.StringFlag{Name: "dir", Required: true, Usage: "`DIRECTORY` for settings and logs"},
		},
		Action: func(ctx context.Context, c *cli.Command) error {
			program, err := os.Executable()
			if err != nil {
				return fmt.Errorf("path of this program: %w", err)
			}
			broken := false
			for i := range c.Uint64("seeds") {
				s := run.Soak{
					Program: program, Dir: filepath.Join(c.String("dir"), fmt.Sprint("seed-", c.Uint64("seed")+i)), Seed: c.Uint64("seed") + i,
					Length: c.Duration("length"), Entries: c.Int("entries"), Callers: c.Int("callers"),
					Store: &standin.Store{}, Dialect: standin.Headers{},
				}
				found, err := soakSeed(ctx, c, &s)
				if err != nil {
					return err
				}
				broken = broken || found
			}
			if broken {
				return errFindings
			}
			return nil
		},
	}
}

// soakSeed plays one seed and tells whether it found a broken promise.
func soakSeed(ctx context.Context, c *cli.Command, s *run.Soak) (bool, error) {
	if err := os.MkdirAll(s.Dir, 0o755); err != nil {
		return false, fmt.Errorf("directory of the soak: %w", err)
	}
	file, err := os.Create(filepath.Join(s.Dir, "soak.log"))
	if err != nil {
		return false, fmt.Errorf("log of the soak: %w", err)
	}
	defer func() { _ = file.Close() }() // a log of which the rest is with the caller
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
