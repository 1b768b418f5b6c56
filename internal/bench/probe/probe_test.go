package probe

import "testing"

func TestHeap(t *testing.T) {
	const size = 1 << 20
	if got := Heap(func() any { return make([]byte, size) }); got < size || got > 2*size {
		t.Errorf("Heap = %d, want about %d", got, size)
	}
}

func TestTimeCallsEnough(t *testing.T) {
	n := 0
	if d := Time(func() { n++ }); d < 0 || n < roundCount {
		t.Errorf("Time = %v after %d calls", d, n)
	}
}
