package moves

import (
	"math/rand/v2"

	"agateward/internal/measure/report"
)

// run runs the move until its outcome is told, at most for twice its window.
func (w *world) run() result {
	limit := int(2 * w.window / look)
	for w.tick = 0; w.tick < limit; w.tick++ {
		w.pass()
		if w.result.told > 0 && w.quiet() {
			break
		}
	}
	return w.result
}

// pass lets one look's time pass.
func (w *world) pass() {
	w.complete()
	w.fail()
	w.judge()
	w.observeAll()
	w.steer()
	w.exchange()
	w.send()
}

// suspicion returns the evidence for harm that an entry sees.
func (e *entry) suspicion() float64 {
	v := e.verdicts[0].Suspicion
	for _, x := range e.verdicts {
		v = max(v, x.Suspicion)
	}
	return v
}

// charts draws the share and the evidence over a good move and over one that
// turns bad, five points, at 20 requests a second.
func charts(seed uint64) []report.Chart {
	const every = 10
	share := report.Chart{Name: "moves-share", Title: "Share of the new version over a move", X: "minutes", Y: "share"}
	evidence := report.Chart{Name: "moves-evidence", Title: "Evidence for harm at one entry", X: "minutes", Y: "natural logarithm"}
	for _, k := range []kind{good, failsLater} {
		p := draw(rand.New(rand.NewPCG(seed, 1)), k, 20)
		if k == failsLater {
			p.points = 0.05
		}
		w := newWorld(p, seed, faults{})
		s, e := report.Line{Name: string(k)}, report.Line{Name: string(k)}
		for w.tick = 0; w.at() < w.window; w.tick++ {
			w.pass()
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
