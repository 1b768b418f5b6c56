package verdict

import (
	"bufio"
	"fmt"
	"io"
	"regexp"
	"strings"
)

// Test names a test or subtest of a package.
type Test struct {
	// Package is the import path.
	Package string
	// Name has its parents in front, such as "TestA/subtest".
	Name string
}

// String returns the package and the name.
func (t Test) String() string { return t.Package + " " + t.Name }

// Known holds the issue numbers of the tests that are listed as known failures, in
// the order of the list.
type Known map[Test][]string

// entryKeys are the keys of an entry of KNOWN-RED.txt, in their order.
var entryKeys = []string{"command", "seed", "seen", "issue"}

// testCommand matches the commands that list a test. Other commands, such as
// experiments and tests with further flags, list none.
var testCommand = regexp.MustCompile(`^go test \./([^ ]+) -run ([^ ]+)$`)

// ReadKnown reads KNOWN-RED.txt of a module: a heading, then entries of command, seed,
// seen and issue. It returns an error for the first line of another form.
func ReadKnown(r io.Reader, module string) (Known, error) {
	known := Known{}
	var test Test
	fields, number := 0, 0
	lines := bufio.NewScanner(r)
	for lines.Scan() {
		number++
		line := lines.Text()
		if number == 1 {
			if !strings.HasPrefix(line, "# ") {
				return nil, fmt.Errorf("line 1: %q is not a heading", line)
			}
			continue
		}
		if line == "" {
			continue
		}
		want := entryKeys[fields%len(entryKeys)]
		key, value, _ := strings.Cut(line, ": ")
		if key != want || value == "" {
			return nil, fmt.Errorf("line %d: %q does not start with %q and a value", number, line, want+": ")
		}
		fields++
		switch key {
		case "command":
			test = Test{}
			if m := testCommand.FindStringSubmatch(value); m != nil {
				test = Test{Package: module + "/" + m[1], Name: m[2]}
			}
		case "issue":
			known.add(test, value)
		}
	}
	if err := lines.Err(); err != nil {
		return nil, err
	}
	if number == 0 || fields%len(entryKeys) != 0 {
		return nil, fmt.Errorf("line %d: the file has no heading or its last entry is incomplete", number)
	}
	return known, nil
}

// add lists a test under an issue once; a test without a name is none.
func (k Known) add(t Test, issue string) {
	if t.Name == "" {
		return
	}
	for _, i := range k[t] {
		if i == issue {
			return
		}
	}
	k[t] = append(k[t], issue)
}
