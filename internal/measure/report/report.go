// Package report provides the result of an experiment and its printed forms.
//
// # Usage
//
//	var r report.Report
//	r.Add(report.Result{Name: "goodput-top", Value: 0.97, Unit: "share"}.AtLeast(0.95))
//	err := r.WriteTable(os.Stdout)
package report

import (
	"context"
	"encoding/csv"
	"encoding/json"
	"fmt"
	"io"
	"strconv"
	"text/tabwriter"
)

// Result is one measured value of an experiment.
type Result struct {
	Name  string  `json:"name"`
	Value float64 `json:"value"`
	Unit  string  `json:"unit"`
	// Baseline is the value of the best baseline in the same run, or nil.
	Baseline *float64 `json:"baseline"`
	// Target is the bound on Value, such as ">= 0.95"; Met reports whether Value
	// is within it. Without a target they are empty and nil.
	Target string `json:"target"`
	Met    *bool  `json:"met"`
}

// AtLeast sets a lower bound as the target.
func (r Result) AtLeast(bound float64) Result {
	return r.withTarget(fmt.Sprintf(">= %g", bound), r.Value >= bound)
}

// AtMost sets an upper bound as the target.
func (r Result) AtMost(bound float64) Result {
	return r.withTarget(fmt.Sprintf("<= %g", bound), r.Value <= bound)
}

// WithBaseline sets the value of the best baseline.
func (r Result) WithBaseline(baseline float64) Result {
	r.Baseline = &baseline
	return r
}

func (r Result) withTarget(target string, met bool) Result {
	r.Target = target
	r.Met = &met
	return r
}

// Report is the outcome of one experiment at one seed.
type Report struct {
	Experiment string   `json:"experiment"`
	Seed       uint64   `json:"seed"`
	Results    []Result `json:"results"`
	// Charts are the charts of the results; they are drawn on request.
	Charts []Chart `json:"-"`
	// Page is the generated section of a documentation page, in Markdown.
	Page string `json:"-"`
}

// Chart is a line chart of results.
type Chart struct {
	// Name is its file name without the extension.
	Name  string
	Title string
	// X and Y are the labels of the axes, with units.
	X, Y  string
	Lines []Line
}

// Line is one line of a chart.
type Line struct {
	Name   string
	Points []Point
}

// Point is one point of a line.
type Point struct {
	X, Y float64
}

// Experiment is one measurement of the project's own components, with stand-ins
// for the rest and mostly on virtual time.
type Experiment interface {
	// Name is its name on the command line.
	Name() string
	// About is a description in one phrase.
	About() string
	// Run runs it with the seed and reports progress through the callback.
	Run(ctx context.Context, seed uint64, progress func(text string)) (Report, error)
}

// Add appends results to the report.
func (r *Report) Add(results ...Result) { r.Results = append(r.Results, results...) }

// Missed returns the number of results that miss their targets.
func (r Report) Missed() int {
	n := 0
	for _, x := range r.Results {
		if x.Met != nil && !*x.Met {
			n++
		}
	}
	return n
}

// WriteTable writes the report as an aligned text table.
func (r Report) WriteTable(w io.Writer) error {
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	fmt.Fprintf(t, "%s (seed %d)\nfigure\tvalue\tunit\tbaseline\ttarget\tmet\n", r.Experiment, r.Seed)
	for _, x := range r.Results {
		fmt.Fprintln(t, x.Name+"\t"+formatNumber(x.Value)+"\t"+x.Unit+"\t"+x.baseline()+"\t"+x.Target+"\t"+x.met())
	}
	return t.Flush()
}

// WriteCSV writes the report as comma-separated values with a header row.
func (r Report) WriteCSV(w io.Writer) error {
	c := csv.NewWriter(w)
	rows := [][]string{{"experiment", "seed", "name", "value", "unit", "baseline", "target", "met"}}
	seed := strconv.FormatUint(r.Seed, 10)
	for _, x := range r.Results {
		rows = append(rows, []string{r.Experiment, seed, x.Name, formatNumber(x.Value), x.Unit, x.baseline(), x.Target, x.met()})
	}
	return c.WriteAll(rows)
}

// WriteJSON writes the report as one JSON object.
func (r Report) WriteJSON(w io.Writer) error {
	e := json.NewEncoder(w)
	e.SetIndent("", "  ")
	return e.Encode(r)
}

func (r Result) baseline() string {
	if r.Baseline == nil {
		return ""
	}
	return formatNumber(*r.Baseline)
}

func (r Result) met() string {
	if r.Met == nil {
		return ""
	}
	return strconv.FormatBool(*r.Met)
}

// formatNumber formats v with four significant digits; runs with different seeds
// differ by more than that.
func formatNumber(v float64) string { return strconv.FormatFloat(v, 'g', 4, 64) }
