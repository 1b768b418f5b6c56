// Package access checks the shared key on the operators' listener. Keys are
// compared in constant time.
//
// # Usage
//
//	k := access.New("a shared key of 16 bytes or more")
//	handler = k.Require(handler)
package access

import (
	"crypto/sha256"
	"crypto/subtle"
	"net/http"
	"strings"

	"agateward/internal/caller/refusal"
	"agateward/internal/result/code"
)

// Key is a shared key. Its zero value authorizes no request.
type Key struct {
	sum [sha256.Size]byte
	set bool
}

// New returns the key; an empty one authorizes no request.
func New(key string) Key { return Key{sum: sha256.Sum256([]byte(key)), set: key != ""} }

// Authorizes reports whether the request has the key as its bearer token.
func (k Key) Authorizes(r *http.Request) bool {
	token, ok := strings.CutPrefix(r.Header.Get("Authorization"), "Bearer ")
	sum := sha256.Sum256([]byte(token))
	return ok && k.set && subtle.ConstantTimeCompare(sum[:], k.sum[:]) == 1
}

// Require returns a handler that refuses requests without the key and passes the
// others to h.
func (k Key) Require(h http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if !k.Authorizes(r) {
			refusal.Of(code.Unauthorized.New("the operators' key is missing or wrong"), "").Write(w)
			return
		}
		h.ServeHTTP(w, r)
	})
}
