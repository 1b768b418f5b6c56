package demo

import (
	"errors"
	"fmt"
	"time"

	"agateward/internal/result/code"
	"agateward/ward"
)

// report prints the measured results and returns an error for each broken promise.
func (d *Demo) report(deposits []deposit, good, bad outcome) error {
	w := d.Out
	fmt.Fprintf(w, "\nagateward demo: results of %.0f s\n\n", time.Since(d.began).Seconds())
	if err := d.tally.WriteTable(w); err != nil {
		return err
	}
	fmt.Fprintln(w)
	prefilled, wasted := d.prefill()
	fmt.Fprintf(w, "wasted prefill: %.0f of %.0f prompt tokens (%.1f%%)\n", wasted, prefilled, 100*wasted/max(prefilled, 1))
	for _, x := range deposits {
		fmt.Fprintf(w, "deposit through entry %d: status %d %s\n", x.entry, x.status, x.body)
	}
	runs := d.service.Runs()[depositKey]
	fmt.Fprintf(w, "deposit ran %s\n", formatTimes(runs))
	d.printMove(good)
	d.printMove(bad)
	violations := d.tally.Check(d.runs())
	fmt.Fprintf(w, "promises broken, compared with the counts of the stand-ins: %d\n", violations.Sum())
	return errors.Join(
		expect(runs == 1, "the deposit ran %s", formatTimes(runs)),
		expect(good.event.Kind == ward.EventMoveDone, "the move to the good version did not complete: %s", good.event.Text),
		expect(!good.allMovedAt().IsZero() && !good.allMovedAt().After(good.view.Move.Deadline), "the move to the good version did not put all traffic on it by the deadline"),
		expect(bad.event.Kind == ward.EventMoveRolledBack, "the move to the bad version was not rolled back: %s", bad.event.Text),
		expect(violations.Sum() == 0, "promises were broken: %v", violations.Details),
	)
}

func expect(ok bool, format string, args ...any) error {
	if ok {
		return nil
	}
	return code.Internal.New(format, args...)
}

func formatTimes(n int) string {
	if n == 1 {
		return "once"
	}
	return fmt.Sprintf("%d times", n)
}

func (d *Demo) printMove(o outcome) {
	m := o.view.Move
	switch o.event.Kind {
	case ward.EventMoveDone:
		fmt.Fprintf(d.Out, "move %s done by its deadline, all traffic moved %.1f s before it: %s\n", m.Name, m.Deadline.Sub(o.allMovedAt()).Seconds(), o.event.Text)
	default:
		fmt.Fprintf(d.Out, "move %s rolled back after %.1f s: %s\n", m.Name, o.took.Seconds(), o.event.Text)
	}
}

// prefill returns the prompt tokens that the engines computed and those that were
// wasted.
func (d *Demo) prefill() (prefilled, wasted float64) {
	for _, e := range d.engines {
		s := e.Stats()
		prefilled += s.Prefilled
		wasted += s.Wasted
	}
	return prefilled, wasted
}

// runs returns the run counts of all stand-ins.
func (d *Demo) runs() map[string]int {
	all := d.service.Runs()
	for _, e := range d.engines {
		for k, n := range e.Runs() {
			all[k] += n
		}
	}
	return all
}
