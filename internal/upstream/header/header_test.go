package header

import (
	"net/http"
	"testing"
)

func TestFilter(t *testing.T) {
	in := http.Header{
		"Connection":        {"close, X-Hop", "x-other"},
		"X-Hop":             {"1"},
		"X-Other":           {"1"},
		"Transfer-Encoding": {"chunked"},
		"Content-Length":    {"7"},
		"Agateward-Request": {"forged"},
		"agateward-resume":  {"9"},
		"Authorization":     {"Bearer key"},
		"Idempotency-Key":   {"k"},
		"content-type":      {"text/plain"},
	}
	cases := []struct {
		name string
		got  http.Header
		want []string
	}{
		{"request", Filter{}.Request(in), []string{"Idempotency-Key", "Content-Type"}},
		{"request that keeps Authorization", Filter{KeepAuthorization: true}.Request(in), []string{"Idempotency-Key", "Content-Type", "Authorization"}},
		{"answer", Filter{}.Answer(in), []string{"Idempotency-Key", "Content-Type", "Authorization"}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			if len(c.got) != len(c.want) {
				t.Errorf("got %v, want the fields %v", c.got, c.want)
			}
			for _, name := range c.want {
				if c.got.Get(name) == "" {
					t.Errorf("%s is missing", name)
				}
			}
		})
	}
	if len(in) != 10 {
		t.Error("the filter changed its input")
	}
}
