package plan

import (
	"reflect"
	"testing"
	"time"
)

func TestNew(t *testing.T) {
	faults := []string{"busy", "lost"}
	a, b := New(7, time.Minute, faults), New(7, time.Minute, faults)
	if !reflect.DeepEqual(a, b) {
		t.Error("one seed gives two plans")
	}
	if reflect.DeepEqual(a, New(8, time.Minute, faults)) {
		t.Error("two seeds give one plan")
	}
	kinds, overlap := make(map[Kind]bool), false
	for seed := range uint64(20) {
		list := New(seed, time.Minute, faults)
		for i, f := range list {
			kinds[f.Kind] = true
			overlap = overlap || i > 0 && list[i-1].At+list[i-1].For > f.At
			if f.At < settle || f.At > time.Minute-settle || f.For < least || f.For > most {
				t.Fatalf("seed %d: %+v", seed, f)
			}
		}
	}
	if len(kinds) != len(weights) || !overlap {
		t.Errorf("%d kinds of %d, overlapping %v", len(kinds), len(weights), overlap)
	}
}
