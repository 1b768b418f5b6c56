package requestsim

import "time"

// baseline hands every request over at once: in turn, to the engine with the
// fewest of the entry's own requests, or to the one whose last load report is
// the lowest.
type baseline struct {
	w       *world
	turn    []int
	own     [][]int
	reports []int
}

func newBaseline(w *world) *baseline {
	b := &baseline{w: w, turn: make([]int, w.setup.Entries), own: make([][]int, w.setup.Entries)}
	b.reports = make([]int, len(w.engines))
	for i := range b.own {
		b.own[i] = make([]int, len(w.engines))
		b.turn[i] = w.rng.IntN(len(w.engines))
	}
	w.every(0, 500*time.Millisecond, func() bool {
		for i, e := range w.engines {
			r := e.Report(w.now)
			w.poke(e)
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
		i = least(b.own[j.entry], b.w.rng.IntN(n))
	case JoinShortest:
		i = least(b.reports, b.w.rng.IntN(n))
	default:
		i = b.turn[j.entry] % n
		b.turn[j.entry]++
	}
	b.own[j.entry][i]++
	b.w.dispatch(j, b.w.engines[i])
}

// least returns the index of the smallest value, the first from an offset on.
func least(xs []int, from int) int {
	best := from
	for k := range xs {
		if i := (from + k) % len(xs); xs[i] < xs[best] {
			best = i
		}
	}
	return best
}

func (b *baseline) firstToken(*job) {}

func (b *baseline) end(j *job, _ bool) { b.own[j.entry][j.engine.index]-- }

func (b *baseline) leave(j *job) { b.own[j.entry][j.engine.index]-- }

func (b *baseline) kill(int) {}

func (b *baseline) lost(*job) {}
