package service

import (
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
)

func TestRuns(t *testing.T) {
	tests := []struct {
		name   string
		server *Server
		calls  int
		want   int
		status int
	}{
		{name: "runs each time", server: &Server{}, calls: 2, want: 2, status: http.StatusOK},
		{name: "checks keys", server: &Server{ChecksIdempotency: true}, calls: 2, want: 1, status: http.StatusOK},
		{name: "fails", server: &Server{Faults: []Fault{{FailShare: 1}}}, calls: 1, status: http.StatusInternalServerError},
		{name: "other route fails", server: &Server{Faults: []Fault{{FailShare: 1, Route: "x"}}}, calls: 1, want: 1, status: http.StatusOK},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			s := tt.server
			for range tt.calls {
				r := httptest.NewRequest(http.MethodPost, "/deposits", strings.NewReader(`{"reference":"r7"}`))
				r.Header.Set(HeaderKey, "k1")
				r.Header.Set(HeaderRequest, "id9")
				w := httptest.NewRecorder()
				s.ServeHTTP(w, r)
				if w.Code != tt.status || w.Header().Get(HeaderRequest) != "id9" {
					t.Errorf("status %d, headers %v", w.Code, w.Header())
				}
				if w.Code == http.StatusOK && !strings.Contains(w.Body.String(), `"reference":"r7"`) {
					t.Errorf("body %s", w.Body)
				}
			}
			if got := s.Runs()["k1"]; got != tt.want {
				t.Errorf("ran %d times, want %d", got, tt.want)
			}
		})
	}
}

func TestLostAnswerRan(t *testing.T) {
	s := &Server{Faults: []Fault{{LoseShare: 1}}}
	srv := httptest.NewServer(s)
	defer srv.Close()
	resp, err := http.Post(srv.URL+"/deposits", "application/json", strings.NewReader(`{"reference":"r7"}`))
	if err == nil {
		resp.Body.Close()
		t.Fatal("the answer was not lost")
	}
	if got := s.Runs()["r7"]; got != 1 {
		t.Errorf("ran %d times, want 1", got)
	}
}
