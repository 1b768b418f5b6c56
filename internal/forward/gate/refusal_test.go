package gate_test

import (
	"io"
	"net/http"
	"sync"
	"testing"
)

// Guards against a request that runs being refused as not run: its caller sent it again
// under its id, and the upstream repeated the refusal of the first time on the kept
// connection.
func TestRefusalIsNotTakenTwice(t *testing.T) {
	for _, status := range []int{503, 429, 421} {
		var mu sync.Mutex
		refused := map[io.Writer]bool{}
		runs := 0
		u := newUpstream(t, func(w io.Writer, r *http.Request, n int64) bool {
			mu.Lock()
			defer mu.Unlock()
			refusal := statement{status: status, id: r.Header.Get("Agateward-Request"), notRun: true, retryAfter: "0.01"}
			if refused[w] {
				refusal.write(w) // once more, late
			}
			if n == 1 {
				refused[w] = true
				refusal.write(w)
				return true
			}
			runs++
			return ok(w, r, "fine")
		})
		s := newGate(t, u)
		first := do(t, s, "POST", "/unsafe/x", nil)
		second := do(t, s, "POST", "/unsafe/x", nil)
		for second.status == first.status && runs == 0 {
			second = do(t, s, "POST", "/unsafe/x", nil) // the pause that the upstream asked for
		}
		if second.status != http.StatusOK || runs != 1 {
			t.Errorf("%d: the first request got %d, the second %d after %d runs; want 200 after 1", status, first.status, second.status, runs)
		}
	}
}
