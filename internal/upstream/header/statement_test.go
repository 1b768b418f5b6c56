package header

import (
	"net/http"
	"testing"
	"time"

	"agateward/ward"
)

// Guards against a pause that is missed, that has no bound, or that is read from an
// answer which asks for none.
func TestReadRetryAfter(t *testing.T) {
	cases := []struct {
		status int
		value  string
		want   ward.ForwardReply
	}{
		{503, "2", ward.ForwardReply{HasRetryAfter: true, RetryAfter: 2 * time.Second}},
		{503, " 0.25 ", ward.ForwardReply{HasRetryAfter: true, RetryAfter: 250 * time.Millisecond}},
		{503, "0", ward.ForwardReply{HasRetryAfter: true}},
		{503, "", ward.ForwardReply{}},
		{429, "2", ward.ForwardReply{}},
		{200, "2", ward.ForwardReply{}},
		{503, "-3", ward.ForwardReply{HasRetryAfter: true, RetryAfterFault: "-3"}},
		{503, "-Inf", ward.ForwardReply{HasRetryAfter: true, RetryAfterFault: "-Inf"}},
		{503, "601", ward.ForwardReply{HasRetryAfter: true, RetryAfter: maxRetryAfter, RetryAfterFault: "601"}},
		{503, "1e400", ward.ForwardReply{HasRetryAfter: true, RetryAfter: maxRetryAfter, RetryAfterFault: "1e400"}},
		{503, "soon", ward.ForwardReply{HasRetryAfter: true, RetryAfter: unreadableRetryAfter, RetryAfterFault: "soon"}},
		{503, "NaN", ward.ForwardReply{HasRetryAfter: true, RetryAfter: unreadableRetryAfter, RetryAfterFault: "NaN"}},
		{503, "Fri, 04 Dec 2026 07:48:00 GMT and further text", ward.ForwardReply{HasRetryAfter: true, RetryAfter: unreadableRetryAfter, RetryAfterFault: "Fri, 04 Dec 2026 07:48:00 GMT and furthe"}},
	}
	for _, c := range cases {
		var got ward.ForwardReply
		ReadRetryAfter(&got, c.status, http.Header{"Retry-After": {c.value}})
		if got != c.want {
			t.Errorf("%d, %q: %+v, want %+v", c.status, c.value, got, c.want)
		}
	}
}
