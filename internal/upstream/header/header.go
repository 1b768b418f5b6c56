// Package header removes, in both directions, the header fields that must not
// be forwarded: hop-by-hop fields, fields named in Connection, and the internal
// fields of this project.
//
// Otherwise a caller could forge an internal field, or name an end-to-end field
// in Connection so that only one side acts on it.
//
// # Usage
//
//	var f header.Filter
//	r.Header = f.Request(req.Header)  // caller to upstream
//	h := f.Answer(res.Header)         // upstream to caller
//
// Both return a copy. Only the adapters set internal fields, after filtering.
package header

import (
	"net/http"
	"net/textproto"
	"strings"
)

// Internal fields between an entry and an upstream.
const (
	// Prefix starts the name of every internal field.
	Prefix = "Agateward-"
	// RequestID is the request's id; the upstream echoes it.
	RequestID = "Agateward-Request"
	// Resume is the number of output tokens that the caller already has. An
	// engine that can continue from there echoes it.
	Resume = "Agateward-Resume"
	// Route and Version are the route of the request and the version of the
	// upstream that it is sent to.
	Route   = "Agateward-Route"
	Version = "Agateward-Version"
)

// IdempotencyKey is the customary field for a caller's idempotency key.
const IdempotencyKey = "Idempotency-Key"

// hopByHop lists the fields that apply to one connection (RFC 9110, 7.6.1), and
// customary ones that an upstream must not act on.
var hopByHop = []string{
	"Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization", "Proxy-Connection",
	"Te", "Trailer", "Transfer-Encoding", "Upgrade", "Http2-Settings", "Content-Length", "Expect", "Host",
}

// Filter removes the fields that must not be forwarded. Its zero value is ready
// to use.
type Filter struct {
	// KeepAuthorization forwards Authorization to the upstream. By default it is
	// removed, since it holds the team's key, which upstreams don't need.
	KeepAuthorization bool
}

// Request returns the fields of a caller's request that are forwarded to an
// upstream.
func (f Filter) Request(h http.Header) http.Header {
	out := strip(h)
	if !f.KeepAuthorization {
		out.Del("Authorization")
	}
	return out
}

// Answer returns the fields of an upstream's answer that are forwarded to a
// caller.
func (f Filter) Answer(h http.Header) http.Header { return strip(h) }

func strip(h http.Header) http.Header {
	drop := named(h)
	out := EndToEnd(h)
	for key := range out {
		if drop[key] || strings.HasPrefix(key, Prefix) {
			delete(out, key)
		}
	}
	return out
}

// EndToEnd returns the fields that do not apply to one connection by their own
// definition, whatever Connection names.
func EndToEnd(h http.Header) http.Header {
	out := make(http.Header, len(h))
	for name, values := range h {
		key := textproto.CanonicalMIMEHeaderKey(name)
		out[key] = append(out[key], values...)
	}
	for _, name := range hopByHop {
		delete(out, name)
	}
	return out
}

// named returns the fields that Connection names.
func named(h http.Header) map[string]bool {
	drop := map[string]bool{}
	for name, values := range h {
		if textproto.CanonicalMIMEHeaderKey(name) != "Connection" {
			continue
		}
		for _, field := range strings.Split(strings.Join(values, ","), ",") {
			drop[textproto.CanonicalMIMEHeaderKey(strings.TrimSpace(field))] = true
		}
	}
	return drop
}
