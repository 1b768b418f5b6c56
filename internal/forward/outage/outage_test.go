package outage

import (
	"testing"
	"time"
)

func TestOutages(t *testing.T) {
	const lost, refused = true, false
	cases := []struct {
		name       string
		calls      []bool
		unanswered time.Duration
		want       bool
	}{
		{"no call failed", nil, time.Minute, false},
		{"a connection was lost", []bool{lost}, 1900 * time.Millisecond, false},
		{"two were lost, another call was answered between", []bool{lost, lost}, 1900 * time.Millisecond, false},
		{"two were lost", []bool{lost, lost}, 3600 * time.Millisecond, true},
		{"one was lost while this process was stopped", []bool{lost}, MinLapse, true},
		{"the store could not be reached after it", []bool{lost, refused}, 1900 * time.Millisecond, true},
		{"the store refused a call", []bool{refused}, 0, true},
		{"it refused a call, then a connection was lost", []bool{refused, lost}, 0, true},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			var o Tracker
			for range 2 {
				for _, connectionLost := range c.calls {
					o.Failed(connectionLost)
				}
				if got := o.Ongoing(c.unanswered); got != c.want || o.Failing() != (len(c.calls) > 0) {
					t.Errorf("ongoing %t, failing %t", got, o.Failing())
				}
				if ended := o.Answered(c.unanswered); ended != c.want {
					t.Errorf("an answer ends an outage: %t, want %t", ended, c.want)
				}
				if o.Ongoing(time.Hour) || o.Failing() {
					t.Error("an answer leaves something of the outage")
				}
			}
		})
	}
}
