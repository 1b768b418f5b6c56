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

func TestBounds(t *testing.T) {
	begin := time.Unix(100, 0)
	tests := []struct {
		grace, late, end time.Duration
	}{
		{8 * time.Second, 2600 * time.Millisecond, 7200 * time.Millisecond},
		{2 * time.Second, time.Second, 1800 * time.Millisecond},
		{0, 0, 0},
	}
	for _, tt := range tests {
		s := shutdown.Shutdown{Begin: begin, Grace: tt.grace}
		if late, end := s.Late().Sub(begin), s.End().Sub(begin); late != tt.late || end != tt.end {
			t.Errorf("grace %v: late %v, end %v; want %v, %v", tt.grace, late, end, tt.late, tt.end)
		}
	}
}
