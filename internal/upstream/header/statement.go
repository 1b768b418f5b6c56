package header

import (
	"net/http"
	"strings"
)

// Flag reports whether a field is set to 1.
func Flag(h http.Header, name string) bool { return strings.TrimSpace(h.Get(name)) == "1" }
