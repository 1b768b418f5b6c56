package engine

import (
	"errors"
	"net/http"
	"net/http/httptest"
	"testing"

	"agateward/internal/upstream/header"
	"agateward/ward"
)

// TestOrderIsRefusedOnlyByItsConflict guards against an order that the engine may have
// accepted and that is taken as refused.
func TestOrderIsRefusedOnlyByItsConflict(t *testing.T) {
	cases := []struct {
		name   string
		status int
		id     string // the id that the answer names
		want   error
	}{
		{"accepted", http.StatusOK, "order-1", nil},
		{"old fencing number", http.StatusConflict, "order-1", ward.ErrConflict},
		{"conflict of another order", http.StatusConflict, "order-0", ward.ErrOutcomeUnknown},
		{"unavailable", http.StatusServiceUnavailable, "order-1", ward.ErrOutcomeUnknown},
		{"failed", http.StatusInternalServerError, "order-1", ward.ErrOutcomeUnknown},
		{"not found", http.StatusNotFound, "order-1", ward.ErrOutcomeUnknown},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			srv := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
				w.Header().Set(header.RequestID, c.id)
				w.WriteHeader(c.status)
			}))
			defer srv.Close()
			var e Engine
			err := e.Order(t.Context(), ward.Upstream{Name: "engine-1", Address: srv.Listener.Addr().String()}, ward.Order{ID: "order-1"})
			refused := errors.Is(c.want, ward.ErrConflict)
			if !errors.Is(err, c.want) || refused != errors.Is(err, ward.ErrConflict) || errors.Is(err, ward.ErrNotConnected) {
				t.Errorf("got %v, want %v", err, c.want)
			}
		})
	}
}
