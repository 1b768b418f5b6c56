package chart

import (
	"os"
	"strings"
	"testing"

	"agateward/internal/measure/report"
)

func TestDraw(t *testing.T) {
	c := report.Chart{Name: "goodput", Title: "Goodput", Lines: []report.Line{{Name: "tier 1", Points: []report.Point{{X: 1, Y: 1}, {X: 2, Y: 0.9}}}}}
	paths, err := Folder(t.TempDir() + "/new").Draw(report.Report{Charts: []report.Chart{c}})
	if err != nil || len(paths) != 1 {
		t.Fatalf("paths %v, error %v", paths, err)
	}
	b, err := os.ReadFile(paths[0])
	if err != nil || !strings.Contains(string(b), "<svg") {
		t.Errorf("no SVG file: %v", err)
	}
}
