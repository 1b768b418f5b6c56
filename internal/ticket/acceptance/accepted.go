package acceptance

import (
	"bytes"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"slices"

	"agateward/internal/result/code"
	"agateward/ward"
)

// acceptedIn reports whether c holds t. Each number is claimed only once, so an
// object with the ticket's number proves the acceptance when the index no longer
// goes back far enough.
func acceptedIn(c ward.Config, t ward.Ticket) (Result, bool) {
	r := Result{Number: t.Number, Revision: c.Revision, Accepted: c.Accepted}
	for _, x := range c.Recent {
		if x.Number == t.Number {
			r.Revision = x.Revision
			r.Accepted = x.Accepted
			return r, true
		}
	}
	set := slices.ContainsFunc(c.Upstreams, func(x ward.Upstream) bool { return x.Ticket == t.Number }) ||
		slices.ContainsFunc(c.Routes, func(x ward.Route) bool { return x.Ticket == t.Number }) ||
		slices.ContainsFunc(c.Teams, func(x ward.Team) bool { return x.Ticket == t.Number }) ||
		slices.ContainsFunc(c.Moves, func(x ward.Move) bool { return x.Ticket == t.Number }) ||
		slices.ContainsFunc(c.Tombstones, func(x ward.Tombstone) bool { return x.Ticket == t.Number })
	return r, set
}

// contentHash returns the hex SHA-256 of a ticket in a canonical form, in which
// comments and the order of keys do not matter.
func contentHash(t ward.Ticket) (string, error) {
	var b bytes.Buffer
	if err := json.NewEncoder(&b).Encode(t); err != nil {
		return "", code.Internal.Wrap(err, "encode ticket %d", t.Number)
	}
	sum := sha256.Sum256(b.Bytes())
	return hex.EncodeToString(sum[:]), nil
}
