// Package page replaces the generated section of a documentation page.
//
// # Usage
//
//	next, ok := page.Replace(old, tables)
package page

import "strings"

// Markers around the generated section.
const (
	Begin = "<!-- figures: begin -->"
	End   = "<!-- figures: end -->"
)

// Replace returns text with the section between the markers replaced by
// generated. Without both markers it returns text unchanged and false.
func Replace(text, generated string) (string, bool) {
	head, rest, ok := strings.Cut(text, Begin)
	if !ok {
		return text, false
	}
	_, tail, ok := strings.Cut(rest, End)
	if !ok {
		return text, false
	}
	return head + Begin + "\n\n" + strings.TrimSpace(generated) + "\n\n" + End + tail, true
}
