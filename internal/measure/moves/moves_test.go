package moves

import (
	"math/rand/v2"
	"testing"
)

// TestOneOfEach runs one move of each kind and of each variant.
func TestOneOfEach(t *testing.T) {
	for _, k := range append([]kind{good}, badKinds[:]...) {
		p := draw(rand.New(rand.NewPCG(1, 1)), k, 20)
		r := ours(p, 1, faults{})
		t.Logf("%s %+v %+v", k, p, r)
		if want := k == good; r.onTime != want || r.told != 1 {
			t.Errorf("%s: %+v", k, r)
		}
	}
	for _, v := range variants {
		rng := rand.New(rand.NewPCG(1, 1))
		p := draw(rng, good, 20)
		if r := ours(p, 1, drawFaults(rng, v, p.window)); !r.onTime || r.told != 1 || r.stale > 0 || r.stepsInOutage > 0 {
			t.Errorf("%s: %+v", v, r)
		}
	}
}

// TestCharts draws the course of a good and of a bad move.
func TestCharts(t *testing.T) {
	list := charts(1)
	shares := list[0].Lines
	last := func(i int) float64 { return shares[i].Points[len(shares[i].Points)-1].Y }
	if last(0) != 1 || last(1) != 0 {
		t.Errorf("shares end at %v and %v, want 1 and 0", last(0), last(1))
	}
}
