package outage

import "testing"

func TestOutages(t *testing.T) {
	const lost, refused = true, false
	cases := []struct {
		name  string
		calls []bool
		want  bool
	}{
		{"no call failed", nil, false},
		{"a connection was lost", []bool{lost}, false},
		{"a new connection was lost too", []bool{lost, lost}, true},
		{"the store could not be reached after it", []bool{lost, refused}, true},
		{"the store refused a call", []bool{refused}, true},
		{"it refused a call, then a connection was lost", []bool{refused, lost}, true},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			var o Tracker
			for range 2 {
				for _, connectionLost := range c.calls {
					o.Failed(connectionLost)
				}
				if o.Ongoing() != c.want || o.Failing() != (len(c.calls) > 0) {
					t.Errorf("ongoing %t, failing %t", o.Ongoing(), o.Failing())
				}
				if ended := o.Answered(); ended != c.want {
					t.Errorf("an answer ends an outage: %t, want %t", ended, c.want)
				}
				if o.Ongoing() || o.Failing() || o.Answered() {
					t.Error("an answer leaves something of the outage")
				}
			}
		})
	}
}
