package chart_test

import (
	"strings"
	"testing"

	"agateward/internal/move/chart"
)

func TestLoadRejectsInvalidCharts(t *testing.T) {
	tests := []struct{ name, file, want string }{
		{"syntax", `{`, "chart:"},
		{"initial", `{"initial": "x", "states": []}`, "no initial state"},
		{"target", `{"initial": "a", "states": [{"name": "a", "transitions": [{"to": "b"}]}]}`, "does not exist"},
		{"guard", `{"initial": "a", "states": [{"name": "a", "transitions": [{"if": ["g"], "to": "b"}]}, {"name": "b", "final": true}]}`, "unknown guard"},
		{"action", `{"initial": "a", "states": [{"name": "a", "enter": ["x"], "transitions": [{"to": "b"}]}, {"name": "b", "final": true}]}`, "unknown action"},
		{"no way out", `{"initial": "a", "states": [{"name": "a", "transitions": [{"to": "a"}]}]}`, "never ends"},
		{"not reached", `{"initial": "a", "states": [{"name": "a", "final": true}, {"name": "b", "final": true}]}`, "never reached"},
		{"dead end", `{"initial": "a", "states": [{"name": "a"}]}`, "must have transitions"},
	}
	for _, tt := range tests {
		if _, err := chart.Load([]byte(tt.file), nil, nil); err == nil || !strings.Contains(err.Error(), tt.want) {
			t.Errorf("%s: got %v, want %q", tt.name, err, tt.want)
		}
	}
}
