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
		t.Error("same seed gives different plans")
	}
	if reflect.DeepEqual(a, New(8, time.Minute, faults)) {
		t.Error("different seeds give the same plan")
	}
	kinds, overlap := make(map[Kind]bool), false
	for seed := range uint64(20) {
		list := New(seed, time.Minute, faults)
		for i, f := range list {
			kinds[f.Kind] = true
			overlap = overlap || i > 0 && list[i-1].At+list[i-1].Duration > f.At
			if f.At < settleTime || f.At > time.Minute-settleTime || f.Duration < minDuration || f.Duration > maxDuration {
				t.Fatalf("seed %d: %+v", seed, f)
			}
		}
	}
	if len(kinds) != len(weights) || !overlap {
		t.Errorf("%d kinds of %d, overlapping %v", len(kinds), len(weights), overlap)
	}
}
