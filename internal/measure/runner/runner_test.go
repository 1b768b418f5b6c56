package runner

import (
	"context"
	"encoding/json"
	"strings"
	"testing"

	"agateward/internal/measure/report"
	"agateward/internal/result/code"
)

// fake is an experiment with one result.
type fake string

func (f fake) Name() string  { return string(f) }
func (f fake) About() string { return "a fake" }
func (f fake) Run(_ context.Context, seed uint64, _ func(string)) (report.Report, error) {
	var r report.Report
	r.Add(report.Result{Name: "figure", Value: float64(seed), Unit: "x"}.AtLeast(5))
	return r, nil
}

func TestRun(t *testing.T) {
	rn := Runner{Experiments: []report.Experiment{fake("a"), fake("b")}, Seed: 7}
	for _, tt := range []struct {
		name string
		want int
	}{{"a", 1}, {All, 2}} {
		reports, err := rn.Run(t.Context(), tt.name)
		if err != nil || len(reports) != tt.want {
			t.Fatalf("%s: %d reports, %v", tt.name, len(reports), err)
		}
		var b strings.Builder
		if err := Write(&b, "json", reports); err != nil {
			t.Fatal(err)
		}
		if !json.Valid([]byte(b.String())) || !strings.Contains(b.String(), `"met": true`) {
			t.Errorf("%s: JSON %s", tt.name, b.String())
		}
	}
	if _, err := rn.Run(t.Context(), "c"); !code.BadCommand.Is(err) {
		t.Errorf("unknown name: %v", err)
	}
}

func TestListHasUniqueNames(t *testing.T) {
	seen := map[string]bool{All: true}
	for _, x := range List() {
		if seen[x.Name()] || x.About() == "" {
			t.Errorf("experiment %q is listed twice or has no description", x.Name())
		}
		seen[x.Name()] = true
	}
}
