package verdict

import "strings"

// crashMarks are the first words of lines that the runtime and the testing package write
// when a process crashes or a race is found. Events have no field for either.
var crashMarks = []struct{ start, what string }{
	{"panic: test timed out", "time-out"},
	{"panic: ", "panic"},
	{"fatal error: ", "fatal error"},
	{"WARNING: DATA RACE", "data race"},
	{"testing: race detected", "data race"},
}

// crashes returns what a line of the package or of one of its tests says of a crash.
func (r *packageRun) crashes() []string {
	found := crashesIn(r.output.String())
	for _, t := range r.tests {
		for _, what := range crashesIn(t.output.String()) {
			found = append(found, what+" during "+t.name)
		}
	}
	return found
}

func crashesIn(output string) []string {
	var found []string
	for line := range strings.Lines(output) {
		for _, m := range crashMarks {
			if strings.HasPrefix(line, m.start) {
				found = append(found, m.what)
				break
			}
		}
	}
	return found
}

// summaryLines returns the line with which go test reports a package that passed.
func (r *packageRun) summaryLines() string {
	var b strings.Builder
	for line := range strings.Lines(r.output.String()) {
		if strings.HasPrefix(line, "ok  \t") || strings.HasPrefix(line, "?   \t") || strings.HasPrefix(line, "\t") {
			b.WriteString(line)
		}
	}
	return b.String()
}

// text returns the output of a package that failed, as go test without -v has it:
// tests that passed are left out, unless a crash is reported in their output.
func (r *packageRun) text() string {
	var b strings.Builder
	for _, t := range r.tests {
		if t.result == "fail" || t.result == "" || len(crashesIn(t.output.String())) > 0 {
			t.write(&b)
		}
	}
	for line := range strings.Lines(r.output.String()) {
		if line != "PASS\n" {
			b.WriteString(line)
		}
	}
	return b.String()
}

// write prints the result of a test, indented under its parents, before its output.
func (t *testRun) write(b *strings.Builder) {
	var rest strings.Builder
	for line := range strings.Lines(t.output.String()) {
		switch {
		case strings.HasPrefix(line, "--- "):
			b.WriteString(strings.Repeat("    ", strings.Count(t.name, "/")) + line)
		case !strings.HasPrefix(line, "=== "):
			rest.WriteString(line)
		}
	}
	b.WriteString(rest.String())
}
