// Package runner runs experiments by name: it finds them in List, shows their
// progress, and prints their reports.
//
// # Usage
//
//	r := runner.Runner{Experiments: runner.List(), Seed: 1, Progress: os.Stderr}
//	reports, err := r.Run(ctx, "all")
//	err = runner.Write(os.Stdout, "table", reports)
//
// An experiment ends within Limit on the kind of machine that the figures of
// docs/MEASUREMENTS.md come from; one that takes longer is told so.
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
	// Limit is the time that one experiment may take.
	Limit = 60 * time.Second
	// patience ends an experiment that hangs.
	patience = 5 * Limit
)

// Outputs are the forms that Write knows.
var Outputs = []string{"table", "csv", "json"}

// Runner runs experiments.
type Runner struct {
	Experiments []report.Experiment
	// Seed is handed to each experiment.
	Seed uint64
	// Progress gets a line now and then; nil gets none.
	Progress io.Writer
}

// Run runs the experiment with the name, or all of them. When one fails the
// reports so far are returned with the error.
func (f Runner) Run(ctx context.Context, name string) ([]report.Report, error) {
	chosen, err := f.choose(name)
	if err != nil {
		return nil, err
	}
	var reports []report.Report
	for _, x := range chosen {
		r, err := f.one(ctx, x)
		if err != nil {
			return reports, fmt.Errorf("experiment %s at seed %d: %w", x.Name(), f.Seed, err)
		}
		reports = append(reports, r)
	}
	return reports, nil
}

func (f Runner) choose(name string) ([]report.Experiment, error) {
	if name == All {
		return f.Experiments, nil
	}
	var names []string
	for _, x := range f.Experiments {
		if x.Name() == name {
			return []report.Experiment{x}, nil
		}
		names = append(names, x.Name())
	}
	return nil, code.BadCommand.New("no experiment %q; there are: %s, %s", name, strings.Join(names, ", "), All)
}

func (f Runner) one(ctx context.Context, x report.Experiment) (report.Report, error) {
	ctx, cancel := context.WithTimeout(ctx, patience)
	defer cancel()
	begin := time.Now()
	f.tell(x, x.About())
	r, err := x.Run(ctx, f.Seed, func(text string) { f.tell(x, text) })
	if err != nil {
		return r, err
	}
	r.Experiment = x.Name()
	r.Seed = f.Seed
	took := time.Since(begin)
	f.tell(x, fmt.Sprintf("took %s, %d targets missed", took.Round(time.Millisecond), r.Missed()))
	if took > Limit {
		f.tell(x, fmt.Sprintf("longer than the %s that an experiment may take", Limit))
	}
	return r, nil
}

func (f Runner) tell(x report.Experiment, text string) {
	if f.Progress != nil {
		fmt.Fprintf(f.Progress, "%s: %s\n", x.Name(), text)
	}
}

// Write writes the reports as a table, as CSV or as JSON: one object for one
// report, and a list for several.
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

func writeOne(w io.Writer, output string, r report.Report, further bool) error {
	switch output {
	case "json":
		return r.WriteJSON(w)
	case "csv":
		return r.WriteCSV(w)
	}
	if further {
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
