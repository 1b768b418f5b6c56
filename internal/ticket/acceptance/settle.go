package acceptance

import (
	"bytes"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"

	"agateward/internal/result/code"
	"agateward/ward"
)

// acceptedIn tells whether c holds t. Numbers are claimed once, so an object
// with the ticket's number says so when the index no longer reaches back.
func acceptedIn(c ward.Config, t ward.Ticket) (Result, bool) {
	r := Result{Number: t.Number, Revision: c.Revision, Accepted: c.Accepted}
	for _, x := range c.Recent {
		if x.Number == t.Number {
			r.Revision = x.Revision
			r.Accepted = x.Accepted
			return r, true
		}
	}
	for _, x := range c.Upstreams {
		if x.Ticket == t.Number {
			return r, true
		}
	}
	for _, x := range c.Routes {
		if x.Ticket == t.Number {
			return r, true
		}
	}
	for _, x := range c.Teams {
		if x.Ticket == t.Number {
			return r, true
		}
	}
	for _, x := range c.Moves {
		if x.Ticket == t.Number {
			return r, true
		}
	}
	for _, x := range c.Tombstones {
		if x.Ticket == t.Number {
			return r, true
		}
	}
	return r, false
}

// contentHash returns the hex SHA-256 of a ticket in one fixed form, so that
// comments and the order of keys do not matter.
func contentHash(t ward.Ticket) (string, error) {
	var b bytes.Buffer
	if err := json.NewEncoder(&b).Encode(t); err != nil {
		return "", code.Internal.Wrap(err, "encode ticket %d", t.Number)
	}
	sum := sha256.Sum256(b.Bytes())
	return hex.EncodeToString(sum[:]), nil
}
