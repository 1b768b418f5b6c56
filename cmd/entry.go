package cmd

import (
	"context"
	"os"
	"os/signal"
	"syscall"

	"agateward/internal/config/settings"
	"agateward/internal/entry/program"
	"agateward/internal/result/code"
	"agateward/internal/telemetry/log"

	"github.com/urfave/cli/v3"
)

// entryCommand runs one entry.
func entryCommand() *cli.Command {
	return &cli.Command{
		Name: "entry", Usage: "run an entry until SIGINT or SIGTERM",
		Description: "The first signal starts a graceful stop, a second one stops the entry at once.\n\n" +
			"Example:\n  agateward entry --settings examples/tafelberg/entry-1.jsonc",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "settings", Required: true, Usage: "`FILE` with the entry's settings"},
		},
		Action: func(ctx context.Context, c *cli.Command) error {
			s, err := settings.Load(c.String("settings"))
			if err != nil {
				return err
			}
			return runEntry(ctx, s)
		},
	}
}

func runEntry(ctx context.Context, s settings.Settings) error {
	l, err := log.New(os.Stderr, s.Telemetry.LogLevel)
	if err != nil {
		return err
	}
	p, err := program.New(ctx, s, program.Options{Log: l, Version: Version})
	if err != nil {
		return err
	}
	signals := make(chan os.Signal, 2)
	signal.Notify(signals, syscall.SIGINT, syscall.SIGTERM)
	defer signal.Stop(signals)
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	ended := make(chan struct{})
	defer close(ended)
	go func() {
		select {
		case <-signals:
			cancel()
		case <-ended:
			return
		}
		select {
		case <-signals:
			l.Info("stopped-at-once", "cause", "second signal")
			p.Kill()
		case <-ended:
		}
	}()
	if err := p.Run(ctx); err != nil {
		return code.Internal.Wrap(err, "run the entry")
	}
	return nil
}
