package client

import (
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"testing"

	"agateward/internal/caller/refusal"
	"agateward/internal/result/code"
)

// TestLostAnswerToTicketIsNoRefusal guards against a ticket that an entry has accepted
// and that the operator is told to be not run, since its answer was lost.
func TestLostAnswerToTicketIsNoRefusal(t *testing.T) {
	closed, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	closed.Close()
	abort := func(http.ResponseWriter) { panic(http.ErrAbortHandler) }
	cases := []struct {
		name   string
		answer func(w http.ResponseWriter) // nil: nobody listens
		submit code.Code
		check  code.Code
	}{
		{"nobody listens", nil, code.EntryDown, code.EntryDown},
		{"connection closed without an answer", abort, code.AcceptanceUnknown, code.EntryDown},
		{"answer truncated", func(w http.ResponseWriter) {
			w.Header().Set("Content-Length", "9")
			_, _ = io.WriteString(w, "{")
		}, code.AcceptanceUnknown, code.EntryDown},
		{"no JSON", func(w http.ResponseWriter) { _, _ = io.WriteString(w, "x") }, code.AcceptanceUnknown, code.EntryDown},
		{"status of another server", func(w http.ResponseWriter) { w.WriteHeader(http.StatusServiceUnavailable) }, code.AcceptanceUnknown, code.EntryDown},
		{"unknown code", func(w http.ResponseWriter) {
			w.WriteHeader(http.StatusServiceUnavailable)
			_, _ = io.WriteString(w, `{"error":{"code":"AW-9999"}}`)
		}, code.AcceptanceUnknown, code.EntryDown},
		{"refused by the entry", func(w http.ResponseWriter) { refusal.Of(code.TicketStoreDown.New("x"), "").Write(w) }, code.TicketStoreDown, code.TicketStoreDown},
		{"accepted", func(w http.ResponseWriter) { _, _ = io.WriteString(w, "{}") }, code.Code{}, code.Code{}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			address := closed.Addr().String()
			if c.answer != nil {
				srv := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { c.answer(w) }))
				defer srv.Close()
				address = srv.Listener.Addr().String()
			}
			var out struct{}
			cl := New(address, "k")
			check := func(what string, err error, want code.Code) {
				if want.Number == 0 && err != nil || want.Number != 0 && !want.Is(err) {
					t.Errorf("%s: got %v, want %s", what, err, want)
				}
			}
			check("submit", cl.Post(t.Context(), "/tickets", []byte("{}"), &out), c.submit)
			check("dry run", cl.Check(t.Context(), "/tickets?dry-run=true", []byte("{}"), &out), c.check)
			check("get", cl.Get(t.Context(), "/tickets", &out), c.check)
		})
	}
}
