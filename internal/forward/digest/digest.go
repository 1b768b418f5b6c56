// Package digest identifies requests by what an upstream gets of them, so that a request
// that comes again is recognised at every entry.
//
// # Usage
//
//	sum := digest.Request{Method: r.Method, Host: r.Host, Target: r.RequestURI, Team: team, Body: body}.Sum()
//
// Fields that differ with each attempt of a caller (ids, deadlines, traces) are no part of
// a digest, nor is the key: upstreams get the team instead.
package digest

import (
	"crypto/sha256"
	"encoding/binary"
	"hash"
)

// Request is the content of a request that identifies it.
type Request struct {
	// Method, Host and Target are those of the request line; Target includes the query.
	Method, Host, Target string
	// Team is the name of the caller's team, "" on a public route.
	Team string
	Body []byte
	// Prompt lists the parts of the prompt as the caller sent them, "" for none. It counts
	// only without a body: a body holds the prompt, and the list may have a part that is
	// new each time.
	Prompt string
}

// Sum returns the digest of a request.
func (r Request) Sum() uint64 {
	h := sha256.New()
	for _, s := range []string{r.Method, r.Host, r.Target, r.Team} {
		write(h, []byte(s))
	}
	write(h, r.Body)
	if len(r.Body) == 0 {
		write(h, []byte(r.Prompt))
	}
	var b [sha256.Size]byte
	return binary.BigEndian.Uint64(h.Sum(b[:0]))
}

// write adds a value with its length, so that values can't run into each other.
func write(h hash.Hash, b []byte) {
	var n [8]byte
	binary.BigEndian.PutUint64(n[:], uint64(len(b)))
	// Write of a hash returns no error.
	_, _ = h.Write(n[:])
	_, _ = h.Write(b)
}
