package fit

import (
	"math"
	"testing"
)

func TestOf(t *testing.T) {
	l := Of([]Point{{10, 25}, {100, 205}, {750, 1505}})
	if math.Abs(l.Slope-2) > 1e-9 || math.Abs(l.Intercept-5) > 1e-9 || l.R2 < 0.999 {
		t.Errorf("line %+v, want 5 + 2x", l)
	}
	if got := l.At(1000); math.Abs(got-2005) > 1e-6 {
		t.Errorf("At(1000) = %g", got)
	}
	if got := (Line{Intercept: -5, Slope: 1}).At(2); got != 0 {
		t.Errorf("cost %g below zero", got)
	}
}
