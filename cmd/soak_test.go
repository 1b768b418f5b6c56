package cmd

import (
	"context"
	"os"
	"path/filepath"
	"strings"
	"testing"
)

// runAsProgramEnv is the environment variable that makes the test binary run the command
// line, because the soak starts its own binary as separate processes.
const runAsProgramEnv = "AGATEWARD_TEST_AS_PROGRAM"

func TestMain(m *testing.M) {
	if os.Getenv(runAsProgramEnv) != "" {
		os.Exit(Run(context.Background(), os.Args))
	}
	os.Exit(m.Run())
}

// Guards against promises that processes break and single packages keep. Of the two
// seeds, 6 has most wrong answers of upstreams.
func TestShortSoak(t *testing.T) {
	t.Setenv(runAsProgramEnv, "1")
	dir := t.TempDir()
	args := []string{"agateward", "soak", "--seed", "5", "--seeds", "2", "--length", "12s", "--entries", "3", "--callers", "10", "--dir", dir}
	got := Run(context.Background(), args)
	logs, _ := filepath.Glob(filepath.Join(dir, "*", "soak.log"))
	for _, file := range logs {
		b, err := os.ReadFile(file)
		if got != ExitOK {
			t.Logf("%s (%v):\n%s", file, err, b)
		}
		for _, cause := range []string{"part", "request"} {
			if !strings.Contains(string(b), "event=upstream-crashed cause="+cause) {
				t.Errorf("%s: no upstream crashed, cause %s", file, cause)
			}
		}
	}
	if got != ExitOK || len(logs) != 2 {
		t.Errorf("exit code %d, logs %v", got, logs)
	}
}

// Guards against requests that are lost around planned work: the faults of the other soaks excuse
// most of them, so that these show none.
func TestPlannedSoak(t *testing.T) {
	t.Setenv(runAsProgramEnv, "1")
	dir := t.TempDir()
	got := Run(context.Background(), []string{"agateward", "soak", "--planned", "--seed", "1", "--length", "16s", "--entries", "4", "--callers", "16", "--dir", dir})
	if got == ExitOK {
		return
	}
	b, err := os.ReadFile(filepath.Join(dir, "seed-1", "soak.log"))
	t.Errorf("exit code %d (%v):\n%s", got, err, b)
}
