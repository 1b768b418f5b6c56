package requestsim

import "time"

// baseline dispatches every request at once: round-robin, to the engine with the
// fewest outstanding requests of the entry, or to the engine with the lowest last
// load report.
type baseline struct {
	w           *simulation
	next        []int
	outstanding [][]int
	reports     []int
}

func newBaseline(w *simulation) *baseline {
	b := &baseline{w: w, next: make([]int, w.setup.Entries), outstanding: make([][]int, w.setup.Entries)}
	b.reports = make([]int, len(w.engines))
	for i := range b.outstanding {
		b.outstanding[i] = make([]int, len(w.engines))
		b.next[i] = w.rng.IntN(len(w.engines))
	}
	w.every(0, 500*time.Millisecond, func() bool {
		for i, e := range w.engines {
			r := e.Report(w.now)
			w.scheduleWake(e)
			b.reports[i] = r.Running + r.Waiting
		}
		return true
	})
	return b
}

func (b *baseline) arrive(j *job) {
	n := len(b.w.engines)
	i := 0
	switch b.w.setup.Policy {
	case LeastOutstanding:
		i = indexOfMin(b.outstanding[j.entry], b.w.rng.IntN(n))
	case JoinShortest:
		i = indexOfMin(b.reports, b.w.rng.IntN(n))
	default:
		i = b.next[j.entry] % n
		b.next[j.entry]++
	}
	b.outstanding[j.entry][i]++
	b.w.dispatch(j, b.w.engines[i])
}

// indexOfMin returns the index of the smallest value, the first from an offset on.
func indexOfMin(xs []int, from int) int {
	best := from
	for k := range xs {
		if i := (from + k) % len(xs); xs[i] < xs[best] {
			best = i
		}
	}
	return best
}

func (b *baseline) firstToken(*job) {}

func (b *baseline) end(j *job, _ bool) { b.outstanding[j.entry][j.engine.index]-- }

func (b *baseline) cancel(j *job) { b.outstanding[j.entry][j.engine.index]-- }

func (b *baseline) kill(int) {}

func (b *baseline) entryKilled(*job) {}
