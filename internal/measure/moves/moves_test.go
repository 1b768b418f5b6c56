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
