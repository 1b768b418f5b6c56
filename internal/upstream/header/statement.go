package header

import (
	"math"
	"net/http"
	"strconv"
	"strings"
	"time"

	"agateward/ward"
)

const (
	// maxRetryAfter bounds the pause that an upstream may ask for. One that wants no
	// requests for longer is expected to leave.
	maxRetryAfter = 10 * time.Minute
	// unreadableRetryAfter is the pause for a value that cannot be read: the upstream
	// asks for one, of unknown length.
	unreadableRetryAfter = time.Second
	// maxFault bounds the part of such a value that is kept, in bytes.
	maxFault = 40
)

const retryAfter = "Retry-After"

// Flag reports whether a field is set to 1.
func Flag(h http.Header, name string) bool { return strings.TrimSpace(h.Get(name)) == "1" }

// ReadRetryAfter sets the pause that an upstream's answer asks for: Retry-After of an
// answer with status 503, in seconds, which may have a fraction.
func ReadRetryAfter(r *ward.ForwardReply, status int, h http.Header) {
	v := strings.TrimSpace(h.Get(retryAfter))
	if status != http.StatusServiceUnavailable || v == "" {
		return
	}
	r.HasRetryAfter = true
	seconds, err := strconv.ParseFloat(v, 64)
	switch {
	case math.IsNaN(seconds) || err != nil && !math.IsInf(seconds, 0):
		r.RetryAfter = unreadableRetryAfter
	case seconds < 0:
		r.RetryAfter = 0
	case seconds > maxRetryAfter.Seconds():
		r.RetryAfter = maxRetryAfter
	default:
		r.RetryAfter = time.Duration(seconds * float64(time.Second))
		return
	}
	r.RetryAfterFault = v[:min(len(v), maxFault)]
}

// ReadBrittle reads the field in which an upstream states how many rejections in a second
// it bears. Any value, one that is no number too, means that it is brittle.
func ReadBrittle(reply *ward.ForwardReply, h http.Header, name string) {
	if values := h.Values(name); len(values) > 0 {
		v := strings.TrimSpace(values[0])
		reply.Brittle, reply.BrittleValue = true, v[:min(len(v), maxFault)]
	}
}
