package refusal

import (
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"agateward/internal/result/code"
	"agateward/ward"
)

// TestEveryCode writes a refusal of each code and checks that status, header
// and body agree.
func TestEveryCode(t *testing.T) {
	for _, c := range code.Table() {
		t.Run(c.Name, func(t *testing.T) {
			w := httptest.NewRecorder()
			Of(c.New("text"), "id").Write(w)
			if code.PromisesNotRun(c.Status) && c.Run != ward.NotRun {
				t.Errorf("status %d promises that a request did not run, its code has run %s", c.Status, c.Run)
			}
			if w.Code != c.Status || w.Header().Get(HeaderRun) != string(c.Run) {
				t.Errorf("status %d, run %s", w.Code, w.Header().Get(HeaderRun))
			}
			if !strings.Contains(w.Body.String(), `"run":"`+string(c.Run)+`"`) || !strings.Contains(w.Body.String(), `"type":"`+c.Name+`"`) {
				t.Errorf("body %s", w.Body)
			}
		})
	}
}

func TestRetryAfterIsRoundedUp(t *testing.T) {
	cases := []struct {
		wait        time.Duration
		seconds, ms string
	}{
		{300 * time.Millisecond, "1", "300"},
		{2 * time.Second, "2", "2000"},
		{2001 * time.Millisecond, "3", "2001"},
		{0, "1", "1000"},
	}
	for _, c := range cases {
		w := httptest.NewRecorder()
		Of(&RetryAfterError{Err: code.Shed.New("x"), RetryAfter: c.wait}, "").Write(w)
		if s, ms := w.Header().Get("Retry-After"), w.Header().Get(HeaderRetryMillis); s != c.seconds || ms != c.ms {
			t.Errorf("%s: Retry-After %s, %s ms", c.wait, s, ms)
		}
	}
}
