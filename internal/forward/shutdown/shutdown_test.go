package shutdown_test

import (
	"testing"
	"time"

	"agateward/internal/forward/shutdown"
)

func TestExit(t *testing.T) {
	begin := time.Unix(100, 0)
	tests := []struct {
		name    string
		grace   time.Duration
		after   time.Duration
		running int
		want    bool
	}{
		{"idle, the balancer has not noticed", 8 * time.Second, 2500 * time.Millisecond, 0, false},
		{"idle, the balancer has noticed", 8 * time.Second, 2600 * time.Millisecond, 0, true},
		{"a request runs", 8 * time.Second, 7 * time.Second, 1, false},
		{"a request runs at the end of the grace", 8 * time.Second, 7200 * time.Millisecond, 1, true},
		{"idle, half of a short grace is over", 2 * time.Second, time.Second, 0, true},
		{"no grace", 0, 0, 1, true},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			s := shutdown.Shutdown{Begin: begin, Grace: tt.grace}
			if got := s.Exit(begin.Add(tt.after), tt.running); got != tt.want {
				t.Errorf("exit %v, want %v", got, tt.want)
			}
		})
	}
}

func TestBound(t *testing.T) {
	s := shutdown.Shutdown{Begin: time.Unix(100, 0), Grace: 8 * time.Second}
	tests := []struct {
		after time.Duration
		sure  bool
	}{{0, false}, {2 * time.Second, false}, {3 * time.Second, true}, {7 * time.Second, true}}
	for _, tt := range tests {
		end, sure := s.Bound(s.Begin.Add(tt.after))
		if want := s.Begin.Add(7200 * time.Millisecond); !end.Equal(want) || sure != tt.sure {
			t.Errorf("after %v: end %v, sure %v", tt.after, end, sure)
		}
	}
}
