package cmd

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"os"
	"os/signal"
	"strconv"
	"syscall"
	"time"

	"agateward/internal/platform/memory"
	"agateward/internal/platform/server"
	"agateward/internal/result/code"
	"agateward/internal/standin/batch"
	"agateward/internal/standin/engine"
	"agateward/internal/standin/service"
	"agateward/ward"

	"github.com/urfave/cli/v3"
)

const (
	// headerTimeout bounds reading the headers of a request to a stand-in.
	headerTimeout = 10 * time.Second
	// standInGrace is how long running requests may take when a stand-in stops.
	standInGrace = 10 * time.Second
)

// standInCommand runs the stand-ins of external systems.
func standInCommand() *cli.Command {
	return &cli.Command{
		Name:  "stand-in",
		Usage: "run a stand-in for the platform, a model engine or a plain service",
		Description: "Each stand-in runs until SIGINT or SIGTERM.\n\nExample:\n" +
			"  agateward stand-in platform --listen 127.0.0.1:7100\n" +
			"  agateward stand-in engine --listen 127.0.0.1:7201 --name engine-1 --version v1\n" +
			"  agateward stand-in service --listen 127.0.0.1:7301 --name booking-1",
		Commands: []*cli.Command{standInPlatform(), standInEngine(), standInService()},
	}
}

func standInPlatform() *cli.Command {
	return &cli.Command{
		Name:        "platform",
		Usage:       "run the key-value store and the list of instances, in memory",
		Description: "Faults can also be set at run time with PUT /faults.\n\nExample:\n  agateward stand-in platform --listen 127.0.0.1:7100 --slow 50ms",
		Flags: []cli.Flag{
			listenFlag("127.0.0.1:7100"),
			&cli.StringFlag{Name: "instances", Usage: "`FILE` with a JSON list of instances"},
			&cli.BoolFlag{Name: "down", Usage: "refuse every call of the store"},
			&cli.DurationFlag{Name: "slow", Usage: "`TIME` added to each call of the store"},
			&cli.Float64Flag{Name: "lost-answer", Usage: "`SHARE` of writes whose answer is lost"},
			&cli.DurationFlag{Name: "watch-lag", Usage: "`TIME` by which a watch lags"},
			&cli.DurationFlag{Name: "list-lag", Usage: "`TIME` by which the list of instances lags"},
			seedFlag(),
		},
		Action: func(ctx context.Context, c *cli.Command) error {
			p := &memory.Platform{Seed: c.Uint64("seed")}
			if err := loadInstances(p, c.String("instances")); err != nil {
				return err
			}
			p.SetFaults(memory.Faults{
				Down:       c.Bool("down"),
				Slow:       ward.Duration(c.Duration("slow")),
				LostAnswer: c.Float64("lost-answer"),
				WatchLag:   ward.Duration(c.Duration("watch-lag")),
				ListLag:    ward.Duration(c.Duration("list-lag")),
			})
			ctx, stop := signalContext(ctx)
			defer stop()
			return serveStandIn(ctx, c, cancelWith(ctx, server.New(p)))
		},
	}
}

// loadInstances adds the instances listed in a file to the platform.
func loadInstances(p *memory.Platform, path string) error {
	if path == "" {
		return nil
	}
	b, err := os.ReadFile(path)
	if err != nil {
		return code.BadCommand.Wrap(err, "read the list of instances")
	}
	var list []ward.Instance
	if err := json.Unmarshal(b, &list); err != nil {
		return code.BadCommand.Wrap(err, "%s holds no JSON list of instances", path)
	}
	p.PutInstances(list...)
	return nil
}

func standInEngine() *cli.Command {
	return &cli.Command{
		Name:        "engine",
		Usage:       "run a model engine with continuous batching",
		Description: "Example:\n  agateward stand-in engine --listen 127.0.0.1:7202 --name engine-2 --version v2 --fail-share 0.2 --fault-route menus",
		Flags: append([]cli.Flag{
			listenFlag("127.0.0.1:7201"),
			&cli.StringFlag{Name: "name", Value: "engine-1", Usage: "`NAME` of the upstream"},
			&cli.StringFlag{Name: "version", Value: "v1", Usage: "`VERSION` that is loaded at startup"},
			&cli.StringFlag{Name: "model", Value: "stand-in", Usage: "`NAME` of the model"},
			&cli.IntFlag{Name: "generation", Value: 1, Usage: "hardware generation"},
			&cli.Float64Flag{Name: "prefill-rate", Usage: "prompt `TOKENS` per second"},
			&cli.DurationFlag{Name: "decode-base", Usage: "`TIME` of a decode step"},
			&cli.DurationFlag{Name: "decode-per-sequence", Usage: "`TIME` that each sequence adds to a step"},
			&cli.IntFlag{Name: "max-batch", Usage: "maximum number of `SEQUENCES` that run at a time"},
			&cli.IntFlag{Name: "cache-tokens", Usage: "capacity of the prefix cache in `TOKENS`"},
			&cli.DurationFlag{Name: "report-lag", Usage: "minimum age of a load report"},
			&cli.DurationFlag{Name: "load-time", Value: 2 * time.Second, Usage: "`TIME` to load a version"},
			&cli.BoolFlag{Name: "checks-fence", Usage: "refuse orders with an old fencing number"},
			&cli.StringFlag{Name: "fault-version", Usage: "`VERSION` that the fault affects"},
			&cli.Float64Flag{Name: "cut-share", Usage: "`SHARE` of answers that are truncated"},
			&cli.StringFlag{Name: "crash-part", Usage: "`ID`, in hexadecimal, of a part of prompts under which the engine crashes: the process exits"},
			&cli.Float64Flag{Name: "cross-share", Usage: "`SHARE` of answers that carry another request's id"},
		}, faultFlags()...),
		Action: func(ctx context.Context, c *cli.Command) error {
			ctx, stop := signalContext(ctx)
			defer stop()
			part, err := crashPart(c.String("crash-part"))
			if err != nil {
				return err
			}
			s := &engine.Server{
				CrashPart:   part,
				OnCrash:     func() { os.Exit(ExitFailed) },
				Profile:     engineProfile(c),
				Model:       c.String("model"),
				LoadTime:    c.Duration("load-time"),
				ChecksFence: c.Bool("checks-fence"),
				CutShare:    c.Float64("cut-share"),
				CrossShare:  c.Float64("cross-share"),
			}
			return serveStandIn(ctx, c, s)
		},
	}
}

// crashPart reads the id of a part of prompts. An empty text is 0, no part.
func crashPart(v string) (uint64, error) {
	if v == "" {
		return 0, nil
	}
	id, err := strconv.ParseUint(v, 16, 64)
	if err != nil || id == 0 {
		return 0, code.BadCommand.New("--crash-part %q is not a hexadecimal number above 0", v)
	}
	return id, nil
}

// engineProfile returns the speed and the fault of an engine from the flags.
func engineProfile(c *cli.Command) batch.Profile {
	return batch.Profile{
		Name:              c.String("name"),
		Version:           c.String("version"),
		Generation:        c.Int("generation"),
		PrefillRate:       c.Float64("prefill-rate"),
		DecodeBase:        c.Duration("decode-base"),
		DecodePerSequence: c.Duration("decode-per-sequence"),
		MaxBatch:          c.Int("max-batch"),
		CacheTokens:       c.Int("cache-tokens"),
		ReportLag:         c.Duration("report-lag"),
		Seed:              c.Uint64("seed"),
		Faults: []batch.Fault{{
			Version:    c.String("fault-version"),
			Route:      c.String("fault-route"),
			From:       time.Now().Add(c.Duration("fault-after")),
			MinRunning: c.Int("fault-min-running"),
			FailShare:  c.Float64("fail-share"),
			Slow:       c.Float64("slow"),
		}},
	}
}

func standInService() *cli.Command {
	return &cli.Command{
		Name:        "service",
		Usage:       "run a plain service that counts the runs of each idempotency key",
		Description: "Example:\n  agateward stand-in service --listen 127.0.0.1:7301 --name booking-1 --latency 20ms",
		Flags: append([]cli.Flag{
			listenFlag("127.0.0.1:7301"),
			&cli.StringFlag{Name: "name", Value: "booking-1", Usage: "`NAME` of the upstream"},
			&cli.StringFlag{Name: "version", Value: "v1", Usage: "`VERSION` of the service"},
			&cli.DurationFlag{Name: "latency", Value: 5 * time.Millisecond, Usage: "`TIME` that a call takes"},
			&cli.BoolFlag{Name: "checks-idempotency", Usage: "run each idempotency key at most once"},
			&cli.Float64Flag{Name: "lose-share", Usage: "`SHARE` of calls that run but whose answer is lost"},
		}, faultFlags()...),
		Action: func(ctx context.Context, c *cli.Command) error {
			ctx, stop := signalContext(ctx)
			defer stop()
			return serveStandIn(ctx, c, &service.Server{
				Name:              c.String("name"),
				Version:           c.String("version"),
				Latency:           c.Duration("latency"),
				ChecksIdempotency: c.Bool("checks-idempotency"),
				Faults: []service.Fault{{
					Route:      c.String("fault-route"),
					From:       time.Now().Add(c.Duration("fault-after")),
					MinRunning: c.Int("fault-min-running"),
					FailShare:  c.Float64("fail-share"),
					LoseShare:  c.Float64("lose-share"),
					Slow:       c.Float64("slow"),
				}},
			})
		},
	}
}

// faultFlags returns the flags of faults that engines and services share.
func faultFlags() []cli.Flag {
	return []cli.Flag{
		&cli.Float64Flag{Name: "fail-share", Usage: "`SHARE` of requests that fail, from 0 to 1"},
		&cli.Float64Flag{Name: "slow", Usage: "`FACTOR` by which requests are slowed down"},
		&cli.StringFlag{Name: "fault-route", Usage: "`ROUTE` that the fault affects"},
		&cli.DurationFlag{Name: "fault-after", Usage: "`TIME` after which the fault begins"},
		&cli.IntFlag{Name: "fault-min-running", Usage: "minimum number of running `REQUESTS` for the fault to occur"},
		seedFlag(),
	}
}

func listenFlag(address string) cli.Flag {
	return &cli.StringFlag{Name: "listen", Value: address, Usage: "`ADDRESS` to listen on, as IP address and port"}
}

func seedFlag() cli.Flag {
	return &cli.Uint64Flag{Name: "seed", Value: 1, Usage: "`SEED` of the random number generator"}
}

// signalContext returns a context that is cancelled by the first SIGINT or SIGTERM.
func signalContext(ctx context.Context) (context.Context, context.CancelFunc) {
	return signal.NotifyContext(ctx, os.Interrupt, syscall.SIGTERM)
}

// cancelWith cancels the calls of h when ctx ends, so that a pending watch does not
// delay a stop.
func cancelWith(ctx context.Context, h http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		inner, cancel := context.WithCancel(r.Context())
		defer cancel()
		defer context.AfterFunc(ctx, cancel)()
		h.ServeHTTP(w, r.WithContext(inner))
	})
}

// serveStandIn serves h until ctx ends, and then lets running answers finish.
func serveStandIn(ctx context.Context, c *cli.Command, h http.Handler) error {
	address, err := netip.ParseAddrPort(c.String("listen"))
	if err != nil {
		return code.BadCommand.Wrap(err, "--listen must be an IP address and port, such as 127.0.0.1:7100")
	}
	ln, err := net.Listen("tcp", address.String())
	if err != nil {
		return code.BadCommand.Wrap(err, "listen on %s", address)
	}
	return serveUntil(ctx, ln, h, c.Root().Writer, c.FullName())
}

// serveUntil serves h on ln until ctx ends.
func serveUntil(ctx context.Context, ln net.Listener, h http.Handler, out io.Writer, name string) error {
	s := &http.Server{Handler: h, ReadHeaderTimeout: headerTimeout}
	fmt.Fprintf(out, "%s on http://%s\n", name, ln.Addr())
	failed := make(chan error, 1)
	go func() { failed <- s.Serve(ln) }()
	select {
	case err := <-failed:
		return err
	case <-ctx.Done():
	}
	grace, cancel := context.WithTimeout(context.Background(), standInGrace)
	defer cancel()
	return s.Shutdown(grace)
}
