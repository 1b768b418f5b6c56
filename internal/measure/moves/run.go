package moves

import (
	"math/rand/v2"

	"agateward/internal/measure/report"
)

// run runs the move until its outcome is notified and no entry sends requests to
// the new version, for at most twice its window.
func (w *simulation) run() result {
	limit := int(2 * w.window / tickInterval)
	for w.tick = 0; w.tick < limit; w.tick++ {
		w.runTick()
		if w.result.notified > 0 && w.drained() {
			break
		}
	}
	return w.result
}

// runTick runs one tick.
func (w *simulation) runTick() {
	w.complete()
	w.injectFaults()
	w.evaluate()
	w.updateOracle()
	w.advance()
	w.exchange()
	w.send()
}

// suspicion returns the highest suspicion of an entry over the routes.
func (e *entry) suspicion() float64 {
	v := e.verdicts[0].Suspicion
	for _, x := range e.verdicts {
		v = max(v, x.Suspicion)
	}
	return v
}

// charts returns charts of the share and of the evidence over a good move and over
// one whose failure rate later rises by five points, at 20 requests a second.
func charts(seed uint64) []report.Chart {
	const every = 10
	share := report.Chart{Name: "moves-share", Title: "Share of the new version over a move", X: "minutes", Y: "share"}
	evidence := report.Chart{Name: "moves-evidence", Title: "Evidence for harm at one entry", X: "minutes", Y: "natural logarithm"}
	for _, k := range []kind{good, failsLater} {
		p := draw(rand.New(rand.NewPCG(seed, 1)), k, 20)
		if k == failsLater {
			p.addedFailures = 0.05
		}
		w := newSimulation(p, seed, faults{})
		s, e := report.Line{Name: string(k)}, report.Line{Name: string(k)}
		for w.tick = 0; w.at() < w.window; w.tick++ {
			w.runTick()
			if w.tick%every > 0 {
				continue
			}
			x := w.at().Minutes()
			s.Points = append(s.Points, report.Point{X: x, Y: w.store.state.Share})
			e.Points = append(e.Points, report.Point{X: x, Y: w.entries[0].suspicion()})
		}
		share.Lines = append(share.Lines, s)
		evidence.Lines = append(evidence.Lines, e)
	}
	return []report.Chart{share, evidence}
}
