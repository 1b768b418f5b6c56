package capacity

import (
	"strings"
	"testing"

	"agateward/internal/bench/fit"
)

// TestMarkdown checks that the page marks limits that are not met.
func TestMarkdown(t *testing.T) {
	c := Capacity{
		Figures: []Figure{{Role: "judge", Name: "one look", Unit: "ms", Axis: "entries", Size: 410, Points: []fit.Point{{Size: 8, Cost: 1}, {Size: 32, Cost: 4}, {Size: 128, Cost: 16}}}},
		Roles: []Role{
			{Name: "request path: relay", CPU: 0.3, Bytes: 1 << 30},
			{Name: "judge", Control: true, CPU: 0.02, Memory: 1 << 20},
			{Name: "run records", Control: true, Writes: 150},
		},
	}
	got := c.Markdown()
	for _, want := range []string{
		"| processor time for control, of a core | 2 % | 1.1 % | **no** |",
		"| memory for control | 1 MB | 32 MB | yes |",
		"| writes of the store a second | 150 | 300 | yes |",
		"51.2 ms at 410",
	} {
		if !strings.Contains(got, want) {
			t.Errorf("page without %q:\n%s", want, got)
		}
	}
}
