package access

import (
	"net/http"
	"net/http/httptest"
	"testing"
)

func TestRequire(t *testing.T) {
	cases := []struct {
		name, key, header string
		want              int
	}{
		{"right", "0123456789abcdef", "Bearer 0123456789abcdef", http.StatusOK},
		{"wrong", "0123456789abcdef", "Bearer 0123456789abcdeg", http.StatusUnauthorized},
		{"none", "0123456789abcdef", "", http.StatusUnauthorized},
		{"no scheme", "0123456789abcdef", "0123456789abcdef", http.StatusUnauthorized},
		{"empty key authorizes no request", "", "Bearer ", http.StatusUnauthorized},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			h := New(c.key).Require(http.HandlerFunc(func(http.ResponseWriter, *http.Request) {}))
			r := httptest.NewRequest(http.MethodGet, "/", nil)
			r.Header.Set("Authorization", c.header)
			w := httptest.NewRecorder()
			h.ServeHTTP(w, r)
			if w.Code != c.want {
				t.Errorf("status %d, want %d", w.Code, c.want)
			}
		})
	}
}
