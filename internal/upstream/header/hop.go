package header

import (
	"net/http"
	"strconv"

	"agateward/ward"
)

// Hop names the fields in which an entry tells an upstream about a request.
type Hop struct {
	Replica, Team string
	// Remaining is in milliseconds, LastEvent the id of an event.
	Remaining, LastEvent string
}

// Set writes what hop says into h; what it does not say is left as it is.
func (f Hop) Set(h http.Header, hop ward.ForwardHop) {
	h.Set(f.Replica, hop.Replica)
	if hop.Team != "" {
		h.Set(f.Team, hop.Team)
	}
	if hop.Remaining > 0 {
		h.Set(f.Remaining, strconv.FormatInt(max(hop.Remaining.Milliseconds(), 1), 10))
	}
	if hop.LastEvent >= 0 {
		h.Set(f.LastEvent, strconv.FormatInt(hop.LastEvent, 10))
	}
}
