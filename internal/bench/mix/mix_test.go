package mix

import (
	"math/rand/v2"
	"strings"
	"testing"
)

func TestDraw(t *testing.T) {
	for _, name := range []string{"tafelberg", "brassie"} {
		m, err := Named(name)
		if err != nil {
			t.Fatal(err)
		}
		a, b := rand.New(rand.NewPCG(1, 0)), rand.New(rand.NewPCG(1, 0))
		for range 1000 {
			q, again := m.Draw(a), m.Draw(b)
			if q.Reference != again.Reference || q.Prompt != again.Prompt {
				t.Fatal("draws with the same seed differ")
			}
			if n := len(q.Class.Output); n == 2 && (q.Output < q.Class.Output[0] || q.Output > q.Class.Output[1]) {
				t.Fatalf("output of %d tokens, want %v", q.Output, q.Class.Output)
			}
			if q.Prompt != "" && !strings.Contains(q.Prompt, q.Reference) {
				t.Fatalf("prompt without its reference %s", q.Reference)
			}
		}
	}
}

func TestParseFaults(t *testing.T) {
	tests := []struct{ name, text, want string }{
		{"empty", `{}`, "classes: is empty"},
		{"kind", `{"classes": [{"name": "a", "weight": 1, "kind": "x"}]}`, "classes[0].kind"},
		{"lengths", `{"classes": [{"name": "a", "weight": 1, "kind": "chat", "prompt": [5, 1], "output": [1, 2]}]}`, "two lengths"},
		{"unknown key", `{"classes": [], "x": 1}`, "x"},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			if _, err := Parse("f", []byte(tt.text)); err == nil || !strings.Contains(err.Error(), tt.want) {
				t.Errorf("error %v, want %q", err, tt.want)
			}
		})
	}
}
