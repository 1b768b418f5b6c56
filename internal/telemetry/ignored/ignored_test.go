package ignored_test

import (
	"bytes"
	"strings"
	"testing"
	"time"

	"agateward/internal/telemetry/ignored"

	"github.com/VictoriaMetrics/metrics"
	"github.com/go-logr/logr/funcr"
)

// Guards against a log that another writer fills, and against input that is ignored unseen.
func TestLinesAreBoundedAndAllIsCounted(t *testing.T) {
	now := time.Unix(1, 0)
	var lines []string
	log := funcr.New(func(_, args string) { lines = append(lines, args) }, funcr.Options{})
	input := &ignored.Input{Set: metrics.NewSet(), Now: func() time.Time { return now }}
	for range ignored.MaxLines + 5 {
		input.Note(log, "news-ignored", "error", "short")
	}
	input.Note(log, "order-ignored", "key", "config")
	if want := ignored.MaxLines + 1; len(lines) != want {
		t.Fatalf("%d lines, want %d", len(lines), want)
	}
	now = now.Add(ignored.Period)
	input.Note(log, "news-ignored", "error", "short")
	if last := lines[len(lines)-1]; !strings.Contains(last, `"left-out"=5`) {
		t.Errorf("the line after a period is %s", last)
	}
	var b bytes.Buffer
	input.Set.WritePrometheus(&b)
	for _, want := range []string{`{event="news-ignored"} 26`, `{event="order-ignored"} 1`} {
		if !strings.Contains(b.String(), want) {
			t.Errorf("no %s in %s", want, b.String())
		}
	}
}
