// Package page replaces the generated part of a page of the docs.
//
// # Usage
//
//	next, ok := page.Replace(old, tables)
package page

import "strings"

// Marks of the generated part.
const (
	Begin = "<!-- figures: begin -->"
	End   = "<!-- figures: end -->"
)

// Replace returns the text with what stands between the marks replaced, and
// whether both marks are there.
func Replace(text, made string) (string, bool) {
	head, rest, ok := strings.Cut(text, Begin)
	if !ok {
		return text, false
	}
	_, tail, ok := strings.Cut(rest, End)
	if !ok {
		return text, false
	}
	return head + Begin + "\n\n" + strings.TrimSpace(made) + "\n\n" + End + tail, true
}
