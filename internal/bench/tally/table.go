package tally

import (
	"fmt"
	"io"
	"maps"
	"slices"
	"text/tabwriter"
	"time"

	"agateward/internal/result/code"
)

// WriteTable writes the counts as a table, followed by the result codes.
func (t *Tally) WriteTable(w io.Writer) error {
	tw := tabwriter.NewWriter(w, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprint(tw, "tier\tsent\tgoodput\t")
	for _, r := range results {
		fmt.Fprintf(tw, "%s\t", r)
	}
	fmt.Fprintln(tw, "first token p50\tp95\tbetween p50\tp95\ttotal p50\tp95\t")
	for _, x := range t.Tiers() {
		fmt.Fprintf(tw, "%d\t%d\t%.1f %%\t", x.Tier, x.Sent, 100*x.Goodput)
		for _, r := range results {
			fmt.Fprintf(tw, "%d\t", x.Results[r])
		}
		for _, q := range []Quantiles{x.FirstToken, x.Between, x.Total} {
			fmt.Fprintf(tw, "%s\t%s\t", formatTime(q.P50), formatTime(q.P95))
		}
		fmt.Fprintln(tw)
	}
	if err := tw.Flush(); err != nil {
		return err
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, n := range slices.Sorted(maps.Keys(t.codes)) {
		fmt.Fprintf(w, "%6d x %s\n", t.codes[n], codeName(n))
	}
	return nil
}

func codeName(number int) string {
	for _, c := range code.Table() {
		if c.Number == number {
			return c.String()
		}
	}
	return fmt.Sprintf("AW-%d", number)
}

// formatTime formats a time with three significant digits, or 0 as a hyphen.
func formatTime(d time.Duration) string {
	if d == 0 {
		return "-"
	}
	unit := time.Microsecond
	for d/unit >= 1000 {
		unit *= 10
	}
	return d.Round(unit).String()
}
