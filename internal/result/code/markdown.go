package code

import (
	"fmt"
	"strings"
)

// Markdown returns the page docs/CODES.md.
func Markdown() string {
	var b strings.Builder
	b.WriteString("# Result codes\n\n")
	b.WriteString("Every refusal and every failed answer carries one of these numbers, in the JSON body's `error.code`,\n")
	b.WriteString("in the header `Agateward-Code` and on the command line. `run` says what is known about the request:\n")
	b.WriteString("`not-run` is said only where the request certainly did not run. `agateward codes` prints the table.\n\n")
	b.WriteString("| code | name | run | HTTP status | what to do |\n| --- | --- | --- | --- | --- |\n")
	for _, c := range Table() {
		fmt.Fprintf(&b, "| AW-%d | %s | %s | %d | %s |\n", c.Number, c.Name, c.Run, c.Status, c.Advice)
	}
	return b.String()
}
