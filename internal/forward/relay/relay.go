// Package relay provides what one entry tells another about a request that it passes on,
// as it has lost its links to upstreams.
//
// # Usage
//
//	e := relay.Envelope{From: "entry-1", Remaining: left, LastEvent: -1}
//	h := e.Wrap(r.Header)           // at the entry that passes the request on
//	e, err := relay.Open(r.Header)  // at the other one: r.Header is the caller's again
package relay

import (
	"errors"
	"fmt"
	"net/http"
	"strconv"
	"time"

	"agateward/internal/upstream/header"
)

// Fields of a relayed request.
const (
	fieldFrom       = header.Prefix + "Relay-From"
	fieldRemaining  = header.Prefix + "Relay-Remaining"
	fieldSends      = header.Prefix + "Relay-Sends"
	fieldLastEvent  = header.Prefix + "Relay-Last-Event"
	fieldConnection = header.Prefix + "Relay-Connection"
	// FieldRefused is the field of an answer that holds the number of the result code with
	// which the other entry refused the request.
	FieldRefused = header.Prefix + "Relay-Refused"
)

var errEnvelope = errors.New("invalid field of a relayed request")

// Envelope is what an entry tells another about a relayed request.
type Envelope struct {
	// From is the name of the entry that relays.
	From string
	// Remaining is the time left until the deadline, in whole milliseconds; 0 means no
	// limit.
	Remaining time.Duration
	// Sends counts the upstreams that the request was sent to.
	Sends int
	// LastEvent is the id of the last event that the caller has, -1 for none.
	LastEvent int64
}

// Wrap returns the fields of the relayed request: those of the caller, and the envelope.
func (e Envelope) Wrap(h http.Header) http.Header {
	out := header.EndToEnd(h)
	for _, name := range []string{fieldFrom, fieldRemaining, fieldSends, fieldLastEvent, fieldConnection} {
		out.Del(name)
	}
	out.Set(fieldFrom, e.From)
	if e.Remaining > 0 {
		out.Set(fieldRemaining, strconv.FormatInt(max(e.Remaining.Milliseconds(), 1), 10))
	}
	out.Set(fieldSends, strconv.Itoa(e.Sends))
	out.Set(fieldLastEvent, strconv.FormatInt(e.LastEvent, 10))
	if v := h.Values("Connection"); len(v) > 0 {
		out[fieldConnection] = v
	}
	return out
}

// Open reads the envelope of a relayed request and removes it from the fields.
func Open(h http.Header) (Envelope, error) {
	e := Envelope{From: h.Get(fieldFrom)}
	var err error
	if e.From == "" {
		return e, fmt.Errorf("%w: %s is missing", errEnvelope, fieldFrom)
	}
	if v := h.Get(fieldRemaining); v != "" {
		ms, err := strconv.ParseUint(v, 10, 31)
		if err != nil || ms == 0 {
			return e, fmt.Errorf("%w: %s %q is not a number of milliseconds", errEnvelope, fieldRemaining, v)
		}
		e.Remaining = time.Duration(ms) * time.Millisecond
	}
	if e.Sends, err = strconv.Atoi(h.Get(fieldSends)); err != nil || e.Sends < 0 {
		return e, fmt.Errorf("%w: %s %q is not a number of sends", errEnvelope, fieldSends, h.Get(fieldSends))
	}
	if e.LastEvent, err = strconv.ParseInt(h.Get(fieldLastEvent), 10, 64); err != nil || e.LastEvent < -1 {
		return e, fmt.Errorf("%w: %s %q is not an event", errEnvelope, fieldLastEvent, h.Get(fieldLastEvent))
	}
	// What the caller listed there is no part of the request to an upstream.
	h["Connection"] = h[fieldConnection]
	for _, name := range []string{fieldFrom, fieldRemaining, fieldSends, fieldLastEvent, fieldConnection} {
		h.Del(name)
	}
	return e, nil
}
