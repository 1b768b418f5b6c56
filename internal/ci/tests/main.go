// Command tests reads the event stream of go test -json from its standard input and
// prints it as text. It exits 0 if no tests but those of KNOWN-RED.txt failed.
//
// # Usage
//
// It is run from the root of the repository by .ci/tests, which appends the exit
// status of go test to the stream:
//
//	.ci/tests ./...
package main

import (
	"bufio"
	"bytes"
	"errors"
	"fmt"
	"io"
	"os"
	"runtime/debug"

	"agateward/internal/ci/verdict"
)

// knownFile lists the known failures. Its path is relative to the root of the repository.
const knownFile = "KNOWN-RED.txt"

func main() {
	ok, err := run(os.Stdin, os.Stdout)
	if err != nil {
		fmt.Fprintln(os.Stderr, "tests:", err)
	}
	if !ok || err != nil {
		os.Exit(1)
	}
}

func run(in io.Reader, out io.Writer) (ok bool, err error) {
	// The rest of the stream is read after an error too, so that go test is not ended
	// by a closed pipe while its tests run.
	defer io.Copy(io.Discard, in) //nolint:errcheck // the run has failed already
	known, err := readKnown()
	if err != nil {
		return false, err
	}
	v := verdict.Verdict{Known: known}
	lines := bufio.NewReader(in)
	for {
		line, err := lines.ReadBytes('\n')
		if line = bytes.TrimSuffix(line, []byte("\n")); len(line) > 0 {
			if _, err := io.WriteString(out, v.Add(line)); err != nil {
				return false, err
			}
		}
		if errors.Is(err, io.EOF) {
			break
		}
		if err != nil {
			return false, err
		}
	}
	summary, ok := v.Summary()
	_, err = io.WriteString(out, summary)
	return ok, err
}

func readKnown() (verdict.Known, error) {
	info, ok := debug.ReadBuildInfo()
	if !ok {
		return nil, errors.New("the program has no build information, which names the module")
	}
	f, err := os.Open(knownFile)
	if err != nil {
		return nil, err
	}
	defer f.Close() //nolint:errcheck // the file is only read
	known, err := verdict.ReadKnown(f, info.Main.Path)
	if err != nil {
		return nil, fmt.Errorf("%s: %w", knownFile, err)
	}
	return known, nil
}
