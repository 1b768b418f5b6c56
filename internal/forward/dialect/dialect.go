// Package dialect provides the native header fields of the forwarding surface, for
// fleets that run without the users' platform.
//
// # Usage
//
//	var d dialect.Native
//	head, err := d.Head(r.Header)
//
// A caller sends Agateward-Request, the request's id, and Authorization with its
// team's key, and may send Agateward-Timeout (milliseconds), Agateward-Tokens
// (prompt,output), Agateward-Prompt-Parts (the parts of the prompt as ID:TOKENS, the
// last one its own) and Last-Event-ID. An upstream gets Agateward-Replica,
// Agateward-Team, Agateward-Timeout and Last-Event-ID; it echoes
// Agateward-Request, sets Agateward-Not-Run when it did not run a request, and sets
// Agateward-Leaving to 1 on its answers when it wants no new requests; a process that
// has said so does not return under its id. With status 503 it may ask for a pause by
// Retry-After (seconds). Agateward-Limit on its answers is the number of requests a second
// that it takes from all entries together; the first answer without it ends the limit.
// Agateward-Brittle on the answers of a service's upstreams is the number of requests that
// one may reject in a second for want of room without falling over.
package dialect

import (
	"errors"
	"fmt"
	"net/http"
	"strconv"
	"strings"
	"time"

	"agateward/internal/upstream/header"
	"agateward/ward"
)

// Fields of the forwarding surface.
const (
	fieldTimeout   = "Agateward-Timeout"
	fieldTokens    = "Agateward-Tokens"
	fieldParts     = "Agateward-Prompt-Parts"
	fieldReplica   = "Agateward-Replica"
	fieldTeam      = "Agateward-Team"
	fieldNotRun    = "Agateward-Not-Run"
	fieldLeaving   = "Agateward-Leaving"
	fieldLimit     = "Agateward-Limit"
	fieldBrittle   = "Agateward-Brittle"
	fieldLastEvent = "Last-Event-Id"
	scheme         = "Bearer "
)

var hopFields = header.Hop{Replica: fieldReplica, Team: fieldTeam, Remaining: fieldTimeout, LastEvent: fieldLastEvent}

var errField = errors.New("header field")

// Native is the ward.Dialect of the product's own header fields. Its zero value is
// ready to use.
type Native struct{}

// RequestID returns the field that carries a request's id.
func (Native) RequestID() string { return header.RequestID }

// RetryAfter returns whole seconds, rounded up: HTTP knows no fractions there.
func (Native) RetryAfter(d time.Duration) string {
	return strconv.FormatInt(int64((d+time.Second-1)/time.Second), 10)
}

// Head reads the head of a caller's request. An error names the faulty field.
func (Native) Head(h http.Header) (ward.ForwardHead, error) {
	head := ward.ForwardHead{ID: h.Get(header.RequestID), LastEvent: -1}
	if a := h.Get("Authorization"); len(a) > len(scheme) && strings.EqualFold(a[:len(scheme)], scheme) {
		head.Key = strings.TrimSpace(a[len(scheme):])
	}
	if v := h.Get(fieldTimeout); v != "" {
		ms, err := strconv.ParseUint(v, 10, 31)
		if err != nil || ms == 0 {
			return head, fmt.Errorf("%w %s: %.40q is not a number of milliseconds", errField, fieldTimeout, v)
		}
		head.Timeout = time.Duration(ms) * time.Millisecond
	}
	if v := h.Get(fieldLastEvent); v != "" {
		id, err := strconv.ParseUint(v, 10, 62)
		if err != nil {
			return head, fmt.Errorf("%w %s: %.40q is not an event", errField, fieldLastEvent, v)
		}
		head.LastEvent = int64(id)
	}
	if v := h.Get(fieldTokens); v != "" {
		if head.PromptTokens, head.MaxOutput, head.HasTokens = header.Tokens(v); !head.HasTokens {
			return head, fmt.Errorf("%w %s: %.40q is not two numbers below 2^31", errField, fieldTokens, v)
		}
	}
	head.Parts, head.Prompt = header.SharedParts(h.Values(fieldParts)), strings.Join(h.Values(fieldParts), ",")
	return head, nil
}

// Outgoing returns the fields that an upstream gets. Internal fields that the
// caller sent are left out.
func (Native) Outgoing(h http.Header, hop ward.ForwardHop) http.Header {
	out := (header.Filter{}).Request(h)
	out.Set(header.RequestID, h.Get(header.RequestID))
	hopFields.Set(out, hop)
	return out
}

// Reply reads the head of an upstream's answer. An answer counts as signed if it
// echoes a request's id.
func (Native) Reply(status int, h http.Header) ward.ForwardReply {
	id := h.Get(header.RequestID)
	reply := ward.ForwardReply{
		ID: id, Signed: id != "", NotRun: h.Get(fieldNotRun) != "" || status == http.StatusMisdirectedRequest,
		Leaving: header.Flag(h, fieldLeaving), Limit: header.ReadLimit(h, fieldLimit),
	}
	header.ReadRetryAfter(&reply, status, h)
	header.ReadBrittle(&reply, h, fieldBrittle)
	return reply
}
