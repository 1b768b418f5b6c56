// Package runner runs experiments by name, prints their progress and writes
// their reports.
//
// # Usage
//
//	r := runner.Runner{Experiments: runner.List(), Seed: 1, Progress: os.Stderr}
//	reports, err := r.Run(ctx, "all")
//	err = runner.Write(os.Stdout, "table", reports)
//
// An experiment is expected to end within Limit on the kind of machine that the
// figures of docs/MEASUREMENTS.md come from; the progress says when one took
// longer.
package runner

import (
	"context"
	"fmt"
	"io"
	"strings"
	"time"

	"agateward/internal/measure/report"
	"agateward/internal/result/code"
)

// All is the name that runs every experiment.
const All = "all"

const (
	// Limit is the expected maximum time of one experiment.
	Limit = 60 * time.Second
	// hangTimeout is the time after which an experiment is cancelled.
	hangTimeout = 5 * Limit
)

// Outputs are the formats that Write accepts.
var Outputs = []string{"table", "csv", "json"}

// Runner runs experiments.
type Runner struct {
	Experiments []report.Experiment
	// Seed is passed to each experiment.
	Seed uint64
	// Progress receives the progress messages, one a line; nil discards them.
	Progress io.Writer
}

// Run runs the experiment with the given name, or all of them for All. When one
// fails, it returns the reports so far and the error.
func (rn Runner) Run(ctx context.Context, name string) ([]report.Report, error) {
	chosen, err := rn.choose(name)
	if err != nil {
		return nil, err
	}
	var reports []report.Report
	for _, x := range chosen {
		r, err := rn.runOne(ctx, x)
		if err != nil {
			return reports, fmt.Errorf("experiment %s at seed %d: %w", x.Name(), rn.Seed, err)
		}
		reports = append(reports, r)
	}
	return reports, nil
}

func (rn Runner) choose(name string) ([]report.Experiment, error) {
	if name == All {
		return rn.Experiments, nil
	}
	var names []string
	for _, x := range rn.Experiments {
		if x.Name() == name {
			return []report.Experiment{x}, nil
		}
		names = append(names, x.Name())
	}
	return nil, code.BadCommand.New("unknown experiment %q; allowed are %s, %s", name, strings.Join(names, ", "), All)
}

func (rn Runner) runOne(ctx context.Context, x report.Experiment) (report.Report, error) {
	ctx, cancel := context.WithTimeout(ctx, hangTimeout)
	defer cancel()
	begin := time.Now()
	rn.printProgress(x, x.About())
	r, err := x.Run(ctx, rn.Seed, func(text string) { rn.printProgress(x, text) })
	if err != nil {
		return r, err
	}
	r.Experiment = x.Name()
	r.Seed = rn.Seed
	took := time.Since(begin)
	rn.printProgress(x, fmt.Sprintf("took %s, %d targets missed", took.Round(time.Millisecond), r.Missed()))
	if took > Limit {
		rn.printProgress(x, fmt.Sprintf("exceeded the limit of %s for an experiment", Limit))
	}
	return r, nil
}

func (rn Runner) printProgress(x report.Experiment, text string) {
	if rn.Progress != nil {
		fmt.Fprintf(rn.Progress, "%s: %s\n", x.Name(), text)
	}
}

// Write writes the reports as "table", "csv" or "json". JSON is one object for
// one report and a list for several.
func Write(w io.Writer, output string, reports []report.Report) error {
	if output == "json" && len(reports) > 1 {
		return writeList(w, reports)
	}
	for i, r := range reports {
		if err := writeOne(w, output, r, i > 0); err != nil {
			return err
		}
	}
	return nil
}

func writeOne(w io.Writer, output string, r report.Report, separate bool) error {
	switch output {
	case "json":
		return r.WriteJSON(w)
	case "csv":
		return r.WriteCSV(w)
	}
	if separate {
		fmt.Fprintln(w)
	}
	return r.WriteTable(w)
}

func writeList(w io.Writer, reports []report.Report) error {
	fmt.Fprintln(w, "[")
	for i, r := range reports {
		if i > 0 {
			fmt.Fprintln(w, ",")
		}
		if err := r.WriteJSON(w); err != nil {
			return err
		}
	}
	_, err := fmt.Fprintln(w, "]")
	return err
}
