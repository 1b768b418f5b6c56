package relay

import (
	"net/http"
	"testing"
	"time"
)

// Guards against a relayed request that differs from the caller's, and against a caller
// that poses as an entry.
func TestEnvelope(t *testing.T) {
	h := http.Header{
		"X-Agateward-Request-Id": {"r1"}, "Authorization": {"Bearer k"}, "Connection": {"keep-alive, X-Hop"}, "X-Hop": {"1"},
		"Agateward-Request": {"r1"}, "Agateward-Relay-Sends": {"-5"}, "Transfer-Encoding": {"chunked"},
	}
	want := Envelope{From: "entry-1", Remaining: 1500 * time.Millisecond, Sends: 1, LastEvent: 7}
	out := want.Wrap(h)
	if out.Get("Connection") != "" || out.Get("Transfer-Encoding") != "" {
		t.Errorf("fields of one connection are relayed: %v", out)
	}
	got, err := Open(out)
	if err != nil || got != want {
		t.Fatalf("%+v, %v, want %+v", got, err, want)
	}
	for _, name := range []string{"X-Agateward-Request-Id", "Authorization", "Connection", "X-Hop", "Agateward-Request"} {
		if out.Get(name) != h.Get(name) {
			t.Errorf("%s is %q, want %q", name, out.Get(name), h.Get(name))
		}
	}
	if v := out.Get("Agateward-Relay-Sends"); v != "" {
		t.Errorf("the envelope is left in the fields: %q", v)
	}
}

// Guards against a malformed envelope that is taken for a valid one.
func TestMalformedEnvelope(t *testing.T) {
	cases := []struct{ name, field, value string }{
		{"no sender", fieldFrom, ""},
		{"negative time", fieldRemaining, "-1"},
		{"no time left", fieldRemaining, "0"},
		{"endless time", fieldRemaining, "99999999999999999999"},
		{"negative sends", fieldSends, "-1"},
		{"no sends", fieldSends, ""},
		{"no event", fieldLastEvent, "x"},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			h := Envelope{From: "entry-1", LastEvent: -1}.Wrap(nil)
			h.Set(c.field, c.value)
			if e, err := Open(h); err == nil {
				t.Errorf("%+v without an error", e)
			}
		})
	}
}
