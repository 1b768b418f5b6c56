package header

import (
	"errors"
	"math"
	"net/http"
	"strconv"
	"strings"

	"agateward/ward"
)

// maxLimit is the rate, in requests a second, from which a stated limit is none.
const maxLimit = 1e6

// ReadLimit reads the field in which an upstream states how many requests a second it
// takes. Of several values the lowest counts. A value that is not a number from 0 is left
// out; if there is no other one, the limit is unknown.
func ReadLimit(h http.Header, name string) ward.RateLimit {
	var l ward.RateLimit
	values := h.Values(name)
	if len(values) == 0 {
		return l
	}
	read := 0
	for v := range strings.SplitSeq(strings.Join(values, ","), ",") {
		v = strings.TrimSpace(v)
		rate, err := strconv.ParseFloat(v, 64)
		unreadable := err != nil && !errors.Is(err, strconv.ErrRange) || math.IsNaN(rate) || rate < 0
		switch {
		case unreadable:
			l.Fault = v[:min(len(v), maxFault)]
			continue
		case rate > maxLimit:
			l.Fault = v[:min(len(v), maxFault)]
		case !l.Limited || rate < l.PerSecond:
			l.Limited, l.PerSecond = true, rate
		}
		read++
	}
	if l.Unknown = read == 0; l.Unknown && l.Fault == "" {
		l.Fault = "empty"
	}
	return l
}
