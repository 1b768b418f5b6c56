package gate_test

import (
	"fmt"
	"io"
	"net/http"
	"testing"
)

// Guards against streams that are cut because their ids, which only have to increase, do not
// grow by one: whole, resumed by the gate and by the caller. Where they grow by one, a
// resumed stream with a gap is never passed on.
func TestEventIDsOnlyHaveToIncrease(t *testing.T) {
	cases := []struct {
		name string
		// last is the event after which the caller resumes, "" for none.
		last string
		// first is the run without an end, if resumed, and rest what follows it.
		first, rest []int
		whole       bool
	}{
		{"whole, by ten", "", nil, []int{10, 20, 30}, true},
		{"whole, by one then more", "", nil, []int{1, 2, 4, 9}, true},
		{"resumed, by ten", "", []int{10, 20}, []int{30, 40}, true},
		{"resumed, unevenly", "", []int{1, 2, 5}, []int{9, 10}, true},
		{"resumed with an event twice", "", []int{10, 20}, []int{20, 30}, true},
		{"resumed by the caller", "20", nil, []int{30, 40}, true},
		{"resumed by the caller, then by the gate", "20", []int{30, 40}, []int{50}, true},
		{"by one, resumed with a gap", "", []int{1, 2}, []int{4, 5}, false},
		{"by one, resumed by the caller, then with a gap", "7", []int{8, 9}, []int{11}, false},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			write := func(w io.Writer, r *http.Request, ids []int) {
				fmt.Fprintf(w, "HTTP/1.1 200 OK\r\nAgateward-Request: %s\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n", r.Header.Get("Agateward-Request"))
				for _, id := range ids {
					e := pieces(id, id)
					fmt.Fprintf(w, "%x\r\n%s\r\n", len(e), e)
				}
			}
			serve := func(w io.Writer, r *http.Request, _ int64) bool {
				if c.first != nil && r.Header.Get("Last-Event-Id") == c.last {
					write(w, r, c.first)
					return false
				}
				write(w, r, c.rest)
				fmt.Fprint(w, "0\r\n\r\n")
				return true
			}
			got := do(t, newGate(t, newUpstream(t, serve), newUpstream(t, serve)), "POST", "/stream/x", func(r *http.Request) {
				if c.last != "" {
					r.Header.Set("Last-Event-Id", c.last)
				}
			})
			want, sent := "", 0
			for _, id := range append(append([]int{}, c.first...), c.rest...) {
				if id > sent && (c.whole || len(c.first) > 0 && id <= c.first[len(c.first)-1]) {
					want += pieces(id, id)
					sent = id
				}
			}
			if got.body != want || (got.err == nil) != c.whole {
				t.Errorf("status %d, body %q, %v, want %q", got.status, got.body, got.err, want)
			}
		})
	}
}
