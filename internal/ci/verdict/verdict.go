// Package verdict decides whether a run of go test failed by anything but the tests
// that are listed as known failures, and renders the run's event stream as text.
//
// # Usage
//
//	v := verdict.Verdict{Known: known}
//	for line := range lines { // of go test -json, then {"Action":"exit","Status":1}
//		fmt.Print(v.Add(line))
//	}
//	summary, ok := v.Summary()
//
// A listed test excuses itself and the parents that fail with it, but neither its
// siblings nor its own subtests. A panic, a data race, a failed build, a time-out or
// any other early end of a package is never excused.
package verdict

import (
	"encoding/json"
	"fmt"
	"slices"
	"strings"
)

// event is an event of go test -json (go doc test2json), or the exit status of the
// command, which the caller appends.
type event struct {
	Action      string
	Package     string
	ImportPath  string
	Test        string
	Output      string
	FailedBuild string
	// Status is the exit status of go test, for the action "exit".
	Status *int
}

// Verdict collects the events of one run. The zero value knows no failures.
type Verdict struct {
	// Known are the listed tests.
	Known Known

	packages map[string]*packageRun
	// known and faults are the findings so far.
	known, faults []string
	passed        map[Test]bool
	failed        map[Test]bool
	ran           bool
	failedPackage bool
	status        *int
}

// packageRun is what a package has reported before it ended.
type packageRun struct {
	// output is what no test printed.
	output strings.Builder
	tests  []*testRun
	byName map[string]*testRun
}

// testRun is a test of a package. With -count it has one result for all its runs.
type testRun struct {
	name, result string
	output       strings.Builder
}

// Add takes a line of the stream and returns the text to print for it: build errors at
// once, the output of a package when the package ends.
func (v *Verdict) Add(line []byte) string {
	var e event
	if err := json.Unmarshal(line, &e); err != nil {
		v.fault("not an event of go test -json: %q", line)
		return string(line) + "\n"
	}
	switch {
	case e.Action == "exit":
		v.status = e.Status
	case e.Action == "build-output":
		return e.Output
	case e.Action == "build-fail":
		v.fault("%s: build failed", e.ImportPath)
	case e.Package == "":
		v.fault("not an event of a package: %q", line)
	case e.Test != "":
		v.testEvent(e)
	case e.Action == "start":
		v.run(e.Package)
	case e.Action == "output":
		v.run(e.Package).output.WriteString(e.Output)
	case e.Action == "pass" || e.Action == "skip" || e.Action == "fail":
		return v.end(e)
	}
	return ""
}

func (v *Verdict) testEvent(e event) {
	r := v.run(e.Package)
	t := r.byName[e.Test]
	if t == nil {
		t = &testRun{name: e.Test}
		r.byName[e.Test] = t
		r.tests = append(r.tests, t)
	}
	switch e.Action {
	case "run":
		v.ran = true
		// A repetition (-count) of a test that failed may itself not end.
		if t.result != "fail" {
			t.result = ""
		}
	case "output":
		t.output.WriteString(e.Output)
	case "pass", "skip", "fail":
		if t.result != "fail" {
			t.result = e.Action
		}
	}
}

// end judges a package and returns its output.
func (v *Verdict) end(e event) string {
	r := v.run(e.Package)
	delete(v.packages, e.Package)
	for _, t := range r.tests {
		switch t.result {
		case "pass":
			set(&v.passed, Test{e.Package, t.name})
		case "fail":
			set(&v.failed, Test{e.Package, t.name})
		}
	}
	if e.Action != "fail" {
		return r.summaryLines()
	}
	v.failedPackage = true
	if e.FailedBuild != "" {
		v.fault("%s: build failed", e.Package)
		return r.text()
	}
	v.judge(e.Package, r)
	return r.text()
}

// judge records what failed in a package that was built.
func (v *Verdict) judge(path string, r *packageRun) {
	faults := len(v.faults)
	for _, what := range r.crashes() {
		v.fault("%s: %s", path, what)
	}
	anyFailed := false
	for _, t := range r.tests {
		test := Test{path, t.name}
		switch {
		case t.result == "":
			v.fault("%s: did not end", test)
		case t.result != "fail":
			continue
		case v.Known[test] != nil:
			v.known = append(v.known, fmt.Sprintf("%s (%s)", test, issues(v.Known[test])))
		case !v.failedSubtestIsKnown(path, t.name, r):
			v.fault("%s: failed and is not listed", test)
		}
		anyFailed = true
	}
	if len(v.faults) > faults {
		return
	}
	// The testing package ends a run that failed by its tests with this line. Without
	// it the process ended early, by os.Exit for example.
	if !anyFailed || !slices.Contains(strings.Split(r.output.String(), "\n"), "FAIL") {
		v.fault("%s: the package failed by something else than a test", path)
	}
}

// failedSubtestIsKnown reports whether a listed subtest of the test failed, with which
// the test fails too.
func (v *Verdict) failedSubtestIsKnown(path, parent string, r *packageRun) bool {
	return slices.ContainsFunc(r.tests, func(t *testRun) bool {
		return t.result == "fail" && v.Known[Test{path, t.name}] != nil && strings.HasPrefix(t.name, parent+"/")
	})
}

// Summary returns the text to print after the run, and whether nothing but listed tests
// failed. A run without any test is not ok, so that a misspelled -run is not taken for a
// pass.
func (v *Verdict) Summary() (text string, ok bool) {
	for path := range v.packages {
		v.fault("%s: did not end", path)
	}
	switch {
	case v.status == nil:
		v.fault("go test: the exit status is missing")
	case *v.status > 1 || *v.status < 0 || (*v.status == 1) != v.failedPackage:
		v.fault("go test: exit status %d is not explained by failed packages", *v.status)
	}
	if !v.ran {
		v.fault("no test ran")
	}
	var b strings.Builder
	slices.Sort(v.known)
	for _, s := range v.known {
		fmt.Fprintf(&b, "known failure: %s\n", s)
	}
	for _, s := range v.nowPass() {
		fmt.Fprintf(&b, "listed, but passes now: %s\n", s)
	}
	slices.Sort(v.faults)
	for _, s := range slices.Compact(v.faults) {
		fmt.Fprintf(&b, "failure: %s\n", s)
	}
	switch {
	case len(v.faults) > 0:
		b.WriteString("result: failed\n")
	case len(v.known) > 0:
		b.WriteString("result: ok, only tests listed in KNOWN-RED.txt failed\n")
	default:
		b.WriteString("result: ok, no test failed\n")
	}
	return b.String(), len(v.faults) == 0
}

// nowPass returns the listed tests that passed and did not fail, sorted.
func (v *Verdict) nowPass() []string {
	var lines []string
	for t, numbers := range v.Known {
		if v.passed[t] && !v.failed[t] {
			lines = append(lines, fmt.Sprintf("%s (%s)", t, issues(numbers)))
		}
	}
	slices.Sort(lines)
	return lines
}

func (v *Verdict) run(path string) *packageRun {
	if v.packages == nil {
		v.packages = map[string]*packageRun{}
	}
	r := v.packages[path]
	if r == nil {
		r = &packageRun{byName: map[string]*testRun{}}
		v.packages[path] = r
	}
	return r
}

func (v *Verdict) fault(format string, args ...any) {
	v.faults = append(v.faults, fmt.Sprintf(format, args...))
}

func set(m *map[Test]bool, t Test) {
	if *m == nil {
		*m = map[Test]bool{}
	}
	(*m)[t] = true
}

func issues(numbers []string) string {
	if len(numbers) == 1 {
		return "issue " + numbers[0]
	}
	return "issues " + strings.Join(numbers, ", ")
}
