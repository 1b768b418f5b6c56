package exposure

import "testing"

func TestCanaryShare(t *testing.T) {
	cases := []struct {
		name     string
		bound    Bound
		expected float64
		want     float64
	}{
		{"none expected", Bound{Share: 0.1, Requests: 50}, 0, ThinShare},
		{"few", Bound{Share: 0.1, Requests: 50}, 20, ThinShare},
		{"some", Bound{Share: 0.1, Requests: 50}, 62.5, 0.4},
		{"many", Bound{Share: 0.1, Requests: 50}, 1000, MaxShare},
		{"the default bound", Bound{}, 25, 0.4},
		{"no requests on top", Bound{Share: 0.1}, 5, MaxShare},
	}
	for _, c := range cases {
		if got := c.bound.CanaryShare(c.expected); got != c.want {
			t.Errorf("%s: %v, want %v", c.name, got, c.want)
		}
	}
}
