package shutdown_test

import (
	"testing"
	"time"

	"agateward/internal/forward/shutdown"
)

// Guards against requests that begin after the decision to exit and are cut a moment later,
// and against an exit that waits for connections without a request.
func TestNext(t *testing.T) {
	begin := time.Unix(100, 0)
	const ms = time.Millisecond
	tests := []struct {
		name                 string
		grace, after         time.Duration
		step                 shutdown.Step
		running, connections int
		want                 shutdown.Step
	}{
		{"idle, the balancer has not noticed", 8000 * ms, 2500 * ms, shutdown.Serving, 0, 3, shutdown.Serving},
		{"idle, the balancer has noticed", 8000 * ms, 2600 * ms, shutdown.Serving, 0, 3, shutdown.Refusing},
		{"a request runs", 8000 * ms, 7000 * ms, shutdown.Serving, 1, 3, shutdown.Serving},
		{"a request runs at the end of the grace", 8000 * ms, 7200 * ms, shutdown.Serving, 1, 3, shutdown.Refusing},
		{"idle, half of a short grace is over", 2000 * ms, 1000 * ms, shutdown.Serving, 0, 3, shutdown.Refusing},
		{"no grace", 0, 0, shutdown.Serving, 1, 3, shutdown.Refusing},
		{"a request began at the decision", 8000 * ms, 2620 * ms, shutdown.Refusing, 1, 3, shutdown.Refusing},
		{"none began at the decision", 8000 * ms, 2600 * ms, shutdown.Refusing, 0, 3, shutdown.Closing},
		{"the end of the grace", 8000 * ms, 7200 * ms, shutdown.Refusing, 1, 3, shutdown.Closing},
		{"half a head is there", 8000 * ms, 7600 * ms, shutdown.Closing, 0, 1, shutdown.Closing},
		{"an answer is being written", 8000 * ms, 7600 * ms, shutdown.Closing, 1, 0, shutdown.Closing},
		{"nothing is open", 8000 * ms, 2620 * ms, shutdown.Closing, 0, 0, shutdown.Closed},
		{"half a head is there for too long", 8000 * ms, 7680 * ms, shutdown.Closing, 0, 1, shutdown.Closed},
		{"last answers without a grace", 0, 90 * ms, shutdown.Closing, 1, 1, shutdown.Closing},
		{"no grace is left", 0, 100 * ms, shutdown.Closing, 1, 1, shutdown.Closed},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			s := shutdown.Shutdown{Begin: begin, Grace: tt.grace}
			if got := s.Next(begin.Add(tt.after), tt.step, tt.running, tt.connections); got != tt.want {
				t.Errorf("step %d, want %d", got, tt.want)
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
