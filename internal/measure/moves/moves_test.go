package moves

import (
	"math/rand/v2"
	"testing"
)

// TestOneOfEach checks the outcome of one move of each kind and of a good move
// under each variant of faults.
func TestOneOfEach(t *testing.T) {
	for _, k := range append([]kind{good}, badKinds[:]...) {
		p := draw(rand.New(rand.NewPCG(1, 1)), k, 20)
		r := runMove(p, 1, faults{})
		t.Logf("%s %+v %+v", k, p, r)
		if want := k == good; r.onTime != want || r.notified != 1 {
			t.Errorf("%s: %+v", k, r)
		}
	}
	for _, v := range variants {
		rng := rand.New(rand.NewPCG(1, 1))
		p := draw(rng, good, 20)
		if r := runMove(p, 1, drawFaults(rng, v, p.window)); !r.onTime || r.notified != 1 || r.staleWrites > 0 || r.stepsInOutage > 0 {
			t.Errorf("%s: %+v", v, r)
		}
	}
}

// TestCharts checks that the charted share ends at 1 for a good move and at 0 for
// a bad one.
func TestCharts(t *testing.T) {
	list := charts(1)
	shares := list[0].Lines
	last := func(i int) float64 { return shares[i].Points[len(shares[i].Points)-1].Y }
	if last(0) != 1 || last(1) != 0 {
		t.Errorf("shares end at %v and %v, want 1 and 0", last(0), last(1))
	}
}
