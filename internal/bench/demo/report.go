package demo

import (
	"errors"
	"fmt"
	"time"

	"agateward/internal/result/code"
	"agateward/ward"
)

// report prints what was observed and fails if a promise was not seen to hold.
func (d *Demo) report(deposits []deposit, good, bad outcome) error {
	w := d.Out
	fmt.Fprintf(w, "\nagateward demo: what was observed in %.0f s\n\n", time.Since(d.began).Seconds())
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
	fmt.Fprintf(w, "deposit ran %s\n", times(runs))
	d.printMove(good)
	d.printMove(bad)
	violations := d.tally.Check(d.runs())
	fmt.Fprintf(w, "promises broken, by the stand-ins' own counts: %d\n", violations.Sum())
	return errors.Join(
		expect(runs == 1, "the deposit ran %s", times(runs)),
		expect(good.event.Kind == ward.EventMoveDone, "the good version was not moved in: %s", good.event.Text),
		expect(!good.whole().IsZero() && !good.whole().After(good.view.Move.Deadline), "the good version was moved in after its deadline"),
		expect(bad.event.Kind == ward.EventMoveRolledBack, "the bad version was not taken back: %s", bad.event.Text),
		expect(violations.Sum() == 0, "promises were broken: %v", violations.Details),
	)
}

func expect(ok bool, format string, args ...any) error {
	if ok {
		return nil
	}
	return code.Internal.New(format, args...)
}

func times(n int) string {
	if n == 1 {
		return "once"
	}
	return fmt.Sprintf("%d times", n)
}

func (d *Demo) printMove(o outcome) {
	m := o.view.Move
	switch o.event.Kind {
	case ward.EventMoveDone:
		fmt.Fprintf(d.Out, "move %s done by its deadline, all traffic moved %.1f s before it: %s\n", m.Name, m.Deadline.Sub(o.whole()).Seconds(), o.event.Text)
	default:
		fmt.Fprintf(d.Out, "move %s taken back after %.1f s: %s\n", m.Name, o.took.Seconds(), o.event.Text)
	}
}

// prefill sums up what the engines computed and threw away, in tokens.
func (d *Demo) prefill() (prefilled, wasted float64) {
	for _, e := range d.engines {
		s := e.Stats()
		prefilled += s.Prefilled
		wasted += s.Wasted
	}
	return prefilled, wasted
}

// runs joins the runs that the stand-ins counted.
func (d *Demo) runs() map[string]int {
	all := d.service.Runs()
	for _, e := range d.engines {
		for k, n := range e.Runs() {
			all[k] += n
		}
	}
	return all
}
