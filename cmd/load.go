package cmd

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"os"
	"time"

	"agateward/internal/bench/load"
	"agateward/internal/bench/mix"
	"agateward/internal/bench/tally"
	"agateward/internal/result/code"

	"github.com/urfave/cli/v3"
)

// runsTimeout bounds reading the run counts of a stand-in.
const runsTimeout = 10 * time.Second

// loadCommand sends caller traffic and checks the answers.
func loadCommand() *cli.Command {
	return &cli.Command{
		Name:  "load",
		Usage: "send caller traffic to entries and check the answers",
		Description: "Arrivals are random and seeded. Every answer must be complete, in time and belong to its request.\n" +
			"With --stand-in the runs that the stand-ins counted are compared with the answers that callers got.\n" +
			"Exit code 1 means that a promise was broken.\n\nExample:\n" +
			"  agateward load --target http://127.0.0.1:8080 --rate 20 --duration 10s --mix tafelberg --stand-in http://127.0.0.1:9300",
		Flags: []cli.Flag{
			&cli.StringSliceFlag{Name: "target", Required: true, Usage: "base `URL` of an entry; repeat the flag for several entries"},
			&cli.Float64Flag{Name: "rate", Value: 10, Usage: "`REQUESTS` per second"},
			&cli.DurationFlag{Name: "duration", Value: 10 * time.Second, Usage: "`TIME` during which requests are sent"},
			&cli.StringFlag{Name: "mix", Value: "tafelberg", Usage: "`MIX` of requests: tafelberg, brassie or a file"},
			&cli.StringSliceFlag{Name: "stand-in", Usage: "base `URL` of a stand-in whose runs are checked"},
			&cli.StringFlag{Name: "output", Value: "table", Usage: "`FORM`: table or json"},
			seedFlag(),
		},
		Action: runLoad,
	}
}

func runLoad(ctx context.Context, c *cli.Command) error {
	if c.Float64("rate") <= 0 || c.Duration("duration") <= 0 {
		return code.BadCommand.New("--rate and --duration must be above 0")
	}
	m, err := mix.Named(c.String("mix"))
	if err != nil {
		return err
	}
	var t tally.Tally
	g := load.Generator{
		Targets:  c.StringSlice("target"),
		Mix:      m,
		Rate:     c.Float64("rate"),
		Duration: c.Duration("duration"),
		Seed:     c.Uint64("seed"),
		Tally:    &t,
		Progress: func(text string) { fmt.Fprintln(os.Stderr, "load:", text) },
	}
	if err := g.Run(ctx); err != nil {
		return err
	}
	v, err := checkRuns(ctx, &t, c.StringSlice("stand-in"))
	if err != nil {
		return err
	}
	if err := printLoad(c.Root().Writer, c.String("output"), &t, v); err != nil {
		return err
	}
	if v.Sum() > 0 {
		return cli.Exit("promises were broken", ExitFailed)
	}
	return nil
}

// checkRuns compares the tally with the run counts of the stand-ins. Without
// stand-ins only the content of the answers is checked.
func checkRuns(ctx context.Context, t *tally.Tally, standIns []string) (tally.Violations, error) {
	if len(standIns) == 0 {
		return tally.Violations{WrongAnswers: t.Count(tally.Wrong)}, nil
	}
	runs := make(map[string]int)
	for _, url := range standIns {
		if err := addRuns(ctx, url, runs); err != nil {
			return tally.Violations{}, err
		}
	}
	return t.Check(runs), nil
}

func addRuns(ctx context.Context, url string, runs map[string]int) error {
	ctx, cancel := context.WithTimeout(ctx, runsTimeout)
	defer cancel()
	r, err := http.NewRequestWithContext(ctx, http.MethodGet, url+"/runs", nil)
	if err != nil {
		return code.BadCommand.Wrap(err, "--stand-in %s", url)
	}
	resp, err := http.DefaultClient.Do(r)
	if err != nil {
		return fmt.Errorf("read the runs of a stand-in: %w", err)
	}
	defer resp.Body.Close()
	var counts map[string]int
	if err := json.NewDecoder(resp.Body).Decode(&counts); err != nil {
		return fmt.Errorf("decode the runs of %s: %w", url, err)
	}
	for k, n := range counts {
		runs[k] += n
	}
	return nil
}

func printLoad(w io.Writer, output string, t *tally.Tally, v tally.Violations) error {
	if output == "json" {
		e := json.NewEncoder(w)
		e.SetIndent("", "  ")
		return e.Encode(struct {
			Tiers      []tally.Tier     `json:"tiers"`
			Violations tally.Violations `json:"violations"`
		}{t.Tiers(), v})
	}
	if err := t.WriteTable(w); err != nil {
		return err
	}
	fmt.Fprintf(w, "double runs %d, double dispatches %d, \"not run\" that ran %d, answers without a run %d, wrong answers %d\n",
		v.DoubleRuns, v.DoubleDispatches, v.FalseNotRun, v.FalseAnswers, v.WrongAnswers)
	for _, d := range v.Details {
		fmt.Fprintln(w, d)
	}
	return nil
}
