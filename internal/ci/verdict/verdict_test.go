package verdict_test

import (
	"bytes"
	"os"
	"strings"
	"testing"

	"agateward/internal/ci/verdict"
)

// replay feeds a recorded stream of go test -json to a verdict.
func replay(t *testing.T, stream string, known verdict.Known) (text, summary string, ok bool) {
	t.Helper()
	b, err := os.ReadFile("testdata/" + stream + ".jsonl")
	if err != nil {
		t.Fatal(err)
	}
	return feed(b, known)
}

func feed(stream []byte, known verdict.Known) (text, summary string, ok bool) {
	v := verdict.Verdict{Known: known}
	for line := range bytes.Lines(stream) {
		text += v.Add(bytes.TrimSuffix(line, []byte("\n")))
	}
	summary, ok = v.Summary()
	return text, summary, ok
}

func list(tests ...string) verdict.Known {
	known := verdict.Known{}
	for _, t := range tests {
		path, name, _ := strings.Cut(t, " ")
		known[verdict.Test{Package: "trial/" + path, Name: name}] = []string{"7"}
	}
	return known
}

// TestSummary guards against a failure that is taken for a listed one, and against a
// listed one that fails the run. The streams were recorded with Go 1.26.8.
func TestSummary(t *testing.T) {
	const known = "known failure: "
	const passes = "listed, but passes now: "
	tests := []struct {
		name, stream string
		known        verdict.Known
		ok           bool
		want         []string
	}{
		{"all pass", "pass", nil, true, []string{"result: ok, no test failed"}},
		{"listed tests fail", "failed", list("fail TestB", "fail TestA/x_y"), true,
			[]string{known + "trial/fail TestA/x_y (issue 7)", known + "trial/fail TestB (issue 7)", "result: ok, only tests listed"}},
		{"parent and subtest listed", "failed", list("fail TestB", "fail TestA", "fail TestA/x_y"), true,
			[]string{known + "trial/fail TestA (issue 7)", known + "trial/fail TestA/x_y (issue 7)"}},
		{"only the parent listed", "failed", list("fail TestB", "fail TestA"), false,
			[]string{"failure: trial/fail TestA/x_y: failed and is not listed"}},
		{"one not listed", "failed", list("fail TestA/x_y"), false,
			[]string{"failure: trial/fail TestB: failed and is not listed", "result: failed"}},
		{"listed in another package", "failed", list("pass TestB", "fail TestA/x_y"), false,
			[]string{"failure: trial/fail TestB: failed"}},
		{"listed prefix of a name", "failed", list("fail Test", "fail TestA/x", "fail TestB"), false,
			[]string{"failure: trial/fail TestA/x_y: failed"}},
		{"listed tests pass", "pass", list("pass TestA", "pass TestA/s"), true,
			[]string{passes + "trial/pass TestA (issue 7)", passes + "trial/pass TestA/s (issue 7)", "result: ok, no test failed"}},
		{"listed test is skipped", "failed", list("fail TestA/x_y", "fail TestB", "fail TestC"), true, nil},
		{"panic in a listed test", "panic", list("panic TestA"), false, []string{"failure: trial/panic: panic during TestA"}},
		{"race in a listed test", "race", list("race TestA"), false, []string{"failure: trial/race: data race during TestA"}},
		{"race after a listed failure", "race-after-tests", list("race TestA"), false, []string{"failure: trial/race: data race"}},
		{"time-out of a listed test", "time-out", list("timeout TestA"), false,
			[]string{"failure: trial/timeout: time-out during TestA"}},
		{"exit in a listed test", "exit", list("osexit TestA", "osexit TestA/s"), false,
			[]string{"failure: trial/osexit TestA: did not end"}},
		{"failed build", "build", list("build TestA"), false, []string{"failure: trial/build: build failed"}},
		{"failed vet", "vet", list("vet TestA"), false, []string{"failure: trial/vet: build failed"}},
		{"failed setup", "setup", list("setup TestA"), false, []string{"failure: trial/setup: build failed"}},
		{"no test files", "no-tests", nil, false, []string{"failure: no test ran"}},
		{"no test matches", "no-match", list("pass TestA"), false, []string{"failure: no test ran"}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			_, summary, ok := replay(t, tt.stream, tt.known)
			if ok != tt.ok {
				t.Errorf("ok is %t, want %t:\n%s", ok, tt.ok, summary)
			}
			for _, want := range tt.want {
				if !strings.Contains(summary, want) {
					t.Errorf("%q is missing in:\n%s", want, summary)
				}
			}
			if strings.Contains(summary, passes) != (len(tt.want) > 0 && strings.HasPrefix(tt.want[0], passes)) {
				t.Errorf("wrong tests are said to pass:\n%s", summary)
			}
		})
	}
}

// TestIncompleteStream guards against a pass when go test fails or is ended in a way
// that its events don't show.
func TestIncompleteStream(t *testing.T) {
	const start = `{"Action":"run","Package":"p","Test":"TestA"}` + "\n" + `{"Action":"pass","Package":"p","Test":"TestA"}` + "\n"
	const whole = start + `{"Action":"pass","Package":"p"}` + "\n"
	const exit = `{"Action":"exit","Status":0}` + "\n"
	tests := []struct {
		name, stream string
		ok           bool
	}{
		{"whole", whole + exit, true},
		{"empty", "", false},
		{"no exit status", whole, false},
		{"exit event without status", whole + `{"Action":"exit"}`, false},
		{"package did not end", start + exit, false},
		{"go test failed without a failed package", whole + `{"Action":"exit","Status":1}`, false},
		{"go test refused a flag", whole + `{"Action":"exit","Status":2}`, false},
		{"text between the events", whole + "boom\n" + exit, false},
		{"event of nothing", whole + "{}\n" + exit, false},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			if _, summary, ok := feed([]byte(tt.stream), nil); ok != tt.ok {
				t.Errorf("ok is %t, want %t:\n%s", ok, tt.ok, summary)
			}
		})
	}
}

// TestRepetitionFails guards against a listed test of a run with -count that is said to
// pass although one of its repetitions failed.
func TestRepetitionFails(t *testing.T) {
	stream := ""
	for _, result := range []string{"pass", "fail", "pass"} {
		stream += `{"Action":"run","Package":"trial/p","Test":"TestA"}` + "\n" +
			`{"Action":"` + result + `","Package":"trial/p","Test":"TestA"}` + "\n"
	}
	stream += `{"Action":"output","Package":"trial/p","Output":"FAIL\n"}` + "\n" +
		`{"Action":"fail","Package":"trial/p"}` + "\n" + `{"Action":"exit","Status":1}`
	_, summary, ok := feed([]byte(stream), list("p TestA"))
	if !ok || !strings.Contains(summary, "known failure: trial/p TestA") || strings.Contains(summary, "passes now") {
		t.Errorf("ok is %t:\n%s", ok, summary)
	}
}

// TestText guards against output that differs from that of go test: readers count its
// package lines, and look for the message of a test that failed.
func TestText(t *testing.T) {
	tests := []struct {
		stream string
		want   []string
		not    []string
	}{
		{"failed", []string{"--- FAIL: TestA (0.00s)\n    f_test.go:3: a\n    --- FAIL: TestA/x_y (0.00s)\n    ",
			"--- FAIL: TestB (0.00s)\n", "\nFAIL\nFAIL\ttrial/fail\t", "ok  \ttrial/pass\t"},
			[]string{"=== RUN", "--- PASS", "--- SKIP", "PASS\n", "hello"}},
		{"no-tests", []string{"?   \ttrial/notests\t[no test files]\n"}, nil},
		{"build", []string{"undefined: x\n", "FAIL\ttrial/build [build failed]\n", "ok  \ttrial/pass\t"}, nil},
		{"panic", []string{"--- FAIL: TestA (0.00s)\npanic: boom", "FAIL\ttrial/panic\t"}, []string{"TestOk"}},
		{"race-after-tests", []string{"FAIL\n==================\nWARNING: DATA RACE\n"}, nil},
	}
	for _, tt := range tests {
		t.Run(tt.stream, func(t *testing.T) {
			text, _, _ := replay(t, tt.stream, nil)
			for _, want := range tt.want {
				if !strings.Contains(text, want) {
					t.Errorf("%q is missing in:\n%s", want, text)
				}
			}
			for _, not := range tt.not {
				if strings.Contains(text, not) {
					t.Errorf("%q is in:\n%s", not, text)
				}
			}
		})
	}
}

// TestReadKnown guards against an entry that excuses a test it doesn't name, and against
// a malformed list that is accepted.
func TestReadKnown(t *testing.T) {
	const rest = "seed: 1\nseen: x\nissue: 30\n"
	tests := []struct {
		name, list, want string
		bad              bool
	}{
		{"no entry", "# Known\n", "", false},
		{"test", "# Known\n\ncommand: go test ./a/b -run TestX/y\n" + rest, "m/a/b TestX/y", false},
		{"further flags", "# Known\n\ncommand: go test ./a -run TestX -rapid.checks=8\n" + rest, "", false},
		{"another command", "# Known\n\ncommand: go run . soak\n" + rest, "", false},
		{"empty", "", "", true},
		{"no heading", "command: go test ./a -run TestX\n" + rest, "", true},
		{"incomplete", "# Known\ncommand: go test ./a -run TestX\nseed: 1\n", "", true},
		{"wrong order", "# Known\nseed: 1\ncommand: go test ./a -run TestX\nseen: x\nissue: 1\n", "", true},
		{"no issue", "# Known\ncommand: go test ./a -run TestX\nseed: 1\nseen: x\nissue: \n", "", true},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			known, err := verdict.ReadKnown(strings.NewReader(tt.list), "m")
			if (err != nil) != tt.bad {
				t.Fatalf("error is %v, want one: %t", err, tt.bad)
			}
			got := ""
			for test := range known {
				got += test.String()
			}
			if got != tt.want {
				t.Errorf("the list has %q, want %q", got, tt.want)
			}
		})
	}
}
