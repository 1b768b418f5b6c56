package header

import (
	"net/http"
	"strconv"

	"agateward/ward"
)

// Hop holds the names of the header fields that describe a request to an
// upstream.
type Hop struct {
	Replica, Team string
	// Remaining names the field for the remaining time in milliseconds, LastEvent
	// the one for the id of the last event that the caller has.
	Remaining, LastEvent string
}

// Set sets the fields of h that hop has values for, and leaves the others as
// they are.
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
