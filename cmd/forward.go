package cmd

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"

	"agateward/internal/config/forwarding"
	"agateward/internal/forward/dialect"
	"agateward/internal/forward/gate"
	"agateward/internal/forward/node"
	"agateward/internal/forward/static"
	"agateward/internal/telemetry/log"
	"agateward/internal/telemetry/sink"
	"agateward/platform"

	"github.com/go-logr/logr"
	"github.com/urfave/cli/v3"
)

// maxLogLinesPerSecond is the maximum rate of log lines of one entry, in lines per second. The
// last lines of requests do not count.
const maxLogLinesPerSecond = 400

// forwardCommand runs one entry of the forwarding surface.
func forwardCommand() *cli.Command {
	return &cli.Command{
		Name: "forward", Usage: "run an entry of the forwarding surface until SIGINT or SIGTERM",
		Description: "The entry reads its configuration and its upstreams from the platform's store, or from a file.\n\n" +
			"Example:\n  agateward forward --settings examples/forward/forward-1.jsonc --routes examples/forward/routes.jsonc",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "settings", Required: true, Usage: "`FILE` with the entry's settings", Sources: cli.EnvVars("AGATEWARD_CONFIG")},
			&cli.StringFlag{Name: "routes", Usage: "read routes and upstreams from `FILE` instead of the platform's store"},
			&cli.BoolFlag{Name: "check", Usage: "check the settings and exit"},
		},
		Action: func(ctx context.Context, c *cli.Command) error {
			s, err := forwarding.Load(c.String("settings"))
			if err != nil || c.Bool("check") {
				return err
			}
			parts := node.Parts{Source: platform.NewSource(s.Store), Dialect: platform.Headers{}}
			if file := c.String("routes"); file != "" {
				src, err := static.Load(file)
				if err != nil {
					return err
				}
				parts = node.Parts{Source: src.Feed(), Dialect: dialect.Native{}}
			}
			return runForward(ctx, c.String("settings"), s, parts)
		},
	}
}

func runForward(ctx context.Context, file string, s forwarding.Settings, parts node.Parts) error {
	// A further signal does not end the process before its last lines are written.
	signal.Notify(make(chan os.Signal, 1), syscall.SIGINT, syscall.SIGTERM)
	ctx, stop := signal.NotifyContext(ctx, syscall.SIGINT, syscall.SIGTERM)
	defer stop()
	out := sink.New(os.Stdout, maxLogLinesPerSecond, gate.EndEvents()...)
	defer out.Close()
	l, err := log.New(out, s.LogLevel)
	if err != nil {
		return err
	}
	parts.Log = l
	n := node.New(s, parts)
	go reload(ctx, file, n, l)
	return n.Run(ctx)
}

// settingsPollInterval is the interval at which the settings file is checked for changes:
// it may change without a signal, and the check is cheap.
const settingsPollInterval = 2 * time.Second

// reload reads the settings again at SIGHUP and when the file has changed. Invalid
// settings are logged, and the current ones stay in force.
func reload(ctx context.Context, file string, n *node.Node, l logr.Logger) {
	hup := make(chan os.Signal, 1)
	signal.Notify(hup, syscall.SIGHUP)
	defer signal.Stop(hup)
	t := time.NewTicker(settingsPollInterval)
	defer t.Stop()
	last := fileVersion(file)
	for {
		select {
		case <-ctx.Done():
			return
		case <-t.C:
			if fileVersion(file) == last {
				continue
			}
		case <-hup:
		}
		last = fileVersion(file)
		fresh, err := forwarding.Load(file)
		if err != nil {
			l.Info("settings-refused", "error", err.Error())
			continue
		}
		l.Info("settings-read", "needs-restart", n.Adjust(fresh))
	}
}

// fileVersion returns the modification time and size of a file as text, which changes
// with its content. It is empty when the file can't be read.
func fileVersion(file string) string {
	info, err := os.Stat(file)
	if err != nil {
		return ""
	}
	return fmt.Sprint(info.ModTime().UnixNano(), "/", info.Size())
}
