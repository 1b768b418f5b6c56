package log

import (
	"strings"
	"testing"
)

func TestOneLineForEachEvent(t *testing.T) {
	cases := []struct {
		level string
		want  int
	}{
		{"error", 1},
		{"info", 2},
		{"debug", 3},
	}
	for _, c := range cases {
		t.Run(c.level, func(t *testing.T) {
			var b strings.Builder
			l, err := New(&b, c.level)
			if err != nil {
				t.Fatal(err)
			}
			l.Error(nil, "store-down", "text", "two\nlines")
			l.Info("ticket-accepted", "ticket", 7)
			l.V(LevelDebug).Info("request-done")
			lines := strings.Split(strings.TrimSpace(b.String()), "\n")
			if len(lines) != c.want {
				t.Fatalf("%d lines, want %d:\n%s", len(lines), c.want, b.String())
			}
			if !strings.Contains(lines[0], "event=store-down") {
				t.Errorf("line %q lacks the event's name", lines[0])
			}
		})
	}
}

func TestUnknownLevel(t *testing.T) {
	if _, err := New(nil, "loud"); err == nil {
		t.Error("level \"loud\" was accepted")
	}
}
