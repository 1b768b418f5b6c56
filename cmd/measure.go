package cmd

import (
	"context"
	"fmt"
	"os"
	"slices"
	"strings"

	"agateward/internal/measure/chart"
	"agateward/internal/measure/page"
	"agateward/internal/measure/report"
	"agateward/internal/measure/runner"
	"agateward/internal/result/code"

	"github.com/urfave/cli/v3"
)

// measureCommand runs experiments.
func measureCommand() *cli.Command {
	return &cli.Command{
		Name:        "measure",
		Usage:       "run an experiment, or all of them",
		ArgsUsage:   "NAME|all",
		Description: measureDescription(),
		Flags: []cli.Flag{
			seedFlag(),
			&cli.StringFlag{Name: "output", Value: "table", Usage: "`FORM`: " + strings.Join(runner.Outputs, ", ")},
			&cli.StringFlag{Name: "plot", Usage: "`FOLDER` for SVG plots"},
			&cli.StringFlag{Name: "page", Usage: "`FILE` of the docs whose generated part is rewritten"},
			&cli.BoolFlag{Name: "strict", Usage: "fail when a target is missed"},
		},
		Action: runMeasure,
	}
}

// measureDescription lists the experiments.
func measureDescription() string {
	var b strings.Builder
	b.WriteString("Progress goes to standard error. Experiments:\n")
	for _, x := range runner.List() {
		fmt.Fprintf(&b, "  %-14s %s\n", x.Name(), x.About())
	}
	b.WriteString("\nExample:\n  agateward measure all --seed 2 --output csv\n  agateward measure overload --plot plots\n  agateward measure capacity --page docs/CAPACITY.md")
	return b.String()
}

func runMeasure(ctx context.Context, c *cli.Command) error {
	if c.Args().Len() != 1 {
		return code.BadCommand.New("measure takes the name of one experiment, or all")
	}
	output := c.String("output")
	if !slices.Contains(runner.Outputs, output) {
		return code.BadCommand.New("--output takes %s", strings.Join(runner.Outputs, ", "))
	}
	f := runner.Runner{Experiments: runner.List(), Seed: c.Uint64("seed"), Progress: os.Stderr}
	reports, failed := f.Run(ctx, c.Args().First())
	if err := runner.Write(c.Root().Writer, output, reports); err != nil {
		return err
	}
	if err := drawCharts(c.String("plot"), reports); err != nil {
		return err
	}
	if err := rewritePage(c.String("page"), reports); err != nil {
		return err
	}
	if failed != nil {
		return failed
	}
	return checkTargets(c, reports)
}

// drawCharts draws the charts of the reports and prints the names of the files.
func drawCharts(folder string, reports []report.Report) error {
	if folder == "" {
		return nil
	}
	for _, r := range reports {
		paths, err := chart.Folder(folder).Draw(r)
		if err != nil {
			return err
		}
		for _, p := range paths {
			fmt.Fprintln(os.Stderr, "drawn:", p)
		}
	}
	return nil
}

// rewritePage replaces the generated part of a file by the pages of the reports.
func rewritePage(file string, reports []report.Report) error {
	if file == "" {
		return nil
	}
	var made strings.Builder
	for _, r := range reports {
		made.WriteString(r.Page)
	}
	b, err := os.ReadFile(file)
	if err != nil {
		return code.BadCommand.Wrap(err, "read the file of --page")
	}
	next, ok := page.Replace(string(b), made.String())
	if !ok {
		return code.BadCommand.New("%s has no generated part between %q and %q", file, page.Begin, page.End)
	}
	return os.WriteFile(file, []byte(next), 0o644)
}

// checkTargets returns an error when --strict is set and a target was missed.
func checkTargets(c *cli.Command, reports []report.Report) error {
	n := 0
	for _, r := range reports {
		n += r.Missed()
	}
	if n == 0 || !c.Bool("strict") {
		return nil
	}
	return cli.Exit(fmt.Sprintf("%d targets missed", n), ExitFailed)
}
