package backend

import (
	"errors"
	"testing"
	"testing/synctest"
	"time"
)

// Guards against a whole answer that is taken for a cut one, as the end of its request's write
// is noticed late in a busy process.
func TestLateEndOfWrite(t *testing.T) {
	cases := []struct {
		name string
		late time.Duration
		err  error
		want bool
	}{
		{"at once", 0, nil, true},
		{"late", 500 * time.Millisecond, nil, true},
		{"late and broken", 500 * time.Millisecond, errors.New("broken pipe"), false},
		{"too late", 2 * time.Second, nil, false},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				x := &Exchange{writeDone: make(chan error, 1)}
				time.AfterFunc(c.late, func() { x.writeDone <- c.err })
				if got := x.written(); got != c.want {
					t.Errorf("written is %v, want %v", got, c.want)
				}
				time.Sleep(c.late)
			})
		})
	}
}
