package engine

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"agateward/internal/standin/batch"
	"agateward/internal/standin/text"
	adapter "agateward/internal/upstream/engine"
	"agateward/ward"
)

const chatBody = `{"model":"m","stream":%v,"ignore_eos":true,"max_tokens":20,"messages":[{"role":"user","content":"a menu"}]}`

var chatAnswer = text.Answer{Prompt: "user: a menu\n"}

// post runs one call on virtual time.
func post(s *Server, path, body string, header ...string) *httptest.ResponseRecorder {
	r := httptest.NewRequest(http.MethodPost, path, strings.NewReader(body))
	for i := 0; i < len(header); i += 2 {
		r.Header.Set(header[i], header[i+1])
	}
	w := httptest.NewRecorder()
	s.ServeHTTP(w, r)
	return w
}

// streamed returns the tokens of a stream and whether it had the end mark.
func streamed(t *testing.T, r io.Reader) (string, bool) {
	t.Helper()
	var b strings.Builder
	for sc := bufio.NewScanner(r); sc.Scan(); {
		data, ok := strings.CutPrefix(sc.Text(), "data: ")
		if !ok {
			continue
		}
		if data == "[DONE]" {
			return b.String(), true
		}
		var c completion
		if err := json.Unmarshal([]byte(data), &c); err != nil {
			t.Fatal(err)
		}
		for _, x := range c.Choices {
			b.WriteString(x.Delta.Content)
		}
	}
	return b.String(), false
}

func TestAnswers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := &Server{}
		w := post(s, "/v1/chat/completions", fmt.Sprintf(chatBody, false), HeaderRequest, "id1")
		var c completion
		if err := json.Unmarshal(w.Body.Bytes(), &c); err != nil {
			t.Fatal(err)
		}
		if err := chatAnswer.Check(c.Choices[0].Message.Content, 20); err != nil || c.Usage.Completion != 20 {
			t.Errorf("%v, usage %+v", err, c.Usage)
		}
		if w.Header().Get(HeaderRequest) != "id1" || c.ID != "id1" {
			t.Errorf("id %q, header %v", c.ID, w.Header())
		}
		w = post(s, "/v1/chat/completions", fmt.Sprintf(chatBody, true))
		got, whole := streamed(t, w.Body)
		if err := chatAnswer.Check(got, 20); err != nil || !whole {
			t.Errorf("stream %q: %v, whole %v", got, err, whole)
		}
		w = post(s, "/v1/chat/completions", fmt.Sprintf(chatBody, true), HeaderResume, "8")
		if w.Header().Get(HeaderResume) != "8" {
			t.Errorf("resume echoed as %q", w.Header().Get(HeaderResume))
		}
		if got, _ := streamed(t, w.Body); got != chatAnswer.Tokens(8, 20) {
			t.Errorf("resumed stream %q", got)
		}
		if n := s.Runs()[chatAnswer.Hash()]; n != 2 {
			t.Errorf("%d runs from the start, want 2", n)
		}
	})
}

func TestRefusals(t *testing.T) {
	tests := []struct {
		name, path, body, header, value string
		status                          int
	}{
		{"no JSON", "/v1/completions", "{", "", "", http.StatusBadRequest},
		{"no messages", "/v1/chat/completions", "{}", "", "", http.StatusBadRequest},
		{"bad content", "/v1/completions", `{"prompt":7}`, "", "", http.StatusBadRequest},
		{"bad resume", "/v1/completions", `{"prompt":"a"}`, HeaderResume, "x", http.StatusBadRequest},
		{"version not loaded", "/v1/completions", `{"prompt":"a"}`, HeaderVersion, "v9", http.StatusNotFound},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			s := &Server{}
			if w := post(s, tt.path, tt.body, tt.header, tt.value); w.Code != tt.status || len(s.Runs()) != 0 {
				t.Errorf("status %d, runs %v", w.Code, s.Runs())
			}
		})
	}
}

func TestDisconnectCancels(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := &Server{Profile: batch.Profile{PrefillRate: 10}}
		ctx, cancel := context.WithTimeout(t.Context(), time.Second)
		defer cancel()
		r := httptest.NewRequest(http.MethodPost, "/v1/completions", strings.NewReader(`{"prompt":"`+strings.Repeat("a", 400)+`"}`))
		s.ServeHTTP(httptest.NewRecorder(), r.WithContext(ctx))
		if st := s.Stats(); st.Cancelled != 1 || st.Wasted < 9 || st.Wasted > 11 {
			t.Errorf("stats %+v, want one cancelled with 10 wasted tokens", st)
		}
	})
}

// TestAdapterReads checks that the entries' engine adapter can read the answers
// to its control calls.
func TestAdapterReads(t *testing.T) {
	srv := httptest.NewServer(&Server{Profile: batch.Profile{Version: "v1"}})
	defer srv.Close()
	var e adapter.Engine
	u := ward.Upstream{Name: "e1", Address: strings.TrimPrefix(srv.URL, "http://")}
	if r, err := e.Report(t.Context(), u); err != nil || r.Version != "v1" {
		t.Errorf("report %+v, %v", r, err)
	}
	if _, err := e.CacheEvents(t.Context(), u, 0); err != nil {
		t.Error(err)
	}
	if err := e.Order(t.Context(), u, ward.Order{ID: "o1", Kind: ward.OrderLoadVersion, Version: "v2"}); err != nil {
		t.Error(err)
	}
}

func TestOrders(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := &Server{Profile: batch.Profile{Version: "v1"}, LoadTime: time.Minute, ChecksFence: true}
		send := func(o ward.Order) int {
			b, _ := json.Marshal(o)
			return post(s, "/agateward/orders", string(b)).Code
		}
		o := ward.Order{ID: "o1", Kind: ward.OrderLoadVersion, Version: "v2", Fence: 5}
		if got := send(o); got != http.StatusOK {
			t.Fatalf("order: status %d", got)
		}
		if v, _ := s.version(""); v != "v1" {
			t.Errorf("serves %s before the load", v)
		}
		if got := send(ward.Order{ID: "o2", Kind: ward.OrderLoadVersion, Version: "v0", Fence: 4}); got != http.StatusConflict {
			t.Errorf("old fence: status %d", got)
		}
		time.Sleep(2 * time.Minute)
		if v, _ := s.version(""); v != "v2" {
			t.Errorf("serves %s after the load", v)
		}
		if got := send(o); got != http.StatusOK || s.orders.loading != "" {
			t.Errorf("repeated order: status %d, loading %q", got, s.orders.loading)
		}
	})
}

func TestFaults(t *testing.T) {
	srv := httptest.NewServer(&Server{CutShare: 1, CrossShare: 1})
	defer srv.Close()
	r, _ := http.NewRequest(http.MethodPost, srv.URL+"/v1/chat/completions", strings.NewReader(fmt.Sprintf(chatBody, true)))
	r.Header.Set(HeaderRequest, "id1")
	resp, err := http.DefaultClient.Do(r)
	if err != nil {
		t.Fatal(err)
	}
	defer resp.Body.Close()
	if _, whole := streamed(t, resp.Body); whole || resp.Header.Get(HeaderRequest) == "id1" {
		t.Errorf("whole %v, id %q", whole, resp.Header.Get(HeaderRequest))
	}
}

// Guards against a stand-in that does not crash under its part, or before it begins to
// answer, or under the part of a prompt that no other request shares.
func TestCrashPart(t *testing.T) {
	cases := []struct {
		parts, body string
		crash       bool
	}{
		{"a1:60,bad0:100,c1:5", fmt.Sprintf(chatBody, true), true},
		{"bad0:100,c1:5", fmt.Sprintf(chatBody, false), true},
		{"a1:60,bad0:100", fmt.Sprintf(chatBody, true), false},
		{"a1:60,c1:5", fmt.Sprintf(chatBody, true), false},
		{"", fmt.Sprintf(chatBody, false), false},
	}
	for _, c := range cases {
		crashes := 0
		srv := httptest.NewServer(&Server{CrashPart: 0xbad0, OnCrash: func() { crashes++ }})
		r, _ := http.NewRequest(http.MethodPost, srv.URL+"/v1/chat/completions", strings.NewReader(c.body))
		r.Header.Set(HeaderParts, c.parts)
		resp, err := http.DefaultClient.Do(r)
		if err != nil {
			t.Fatal(err)
		}
		b, err := io.ReadAll(resp.Body)
		resp.Body.Close()
		srv.Close()
		if resp.StatusCode != http.StatusOK || (err != nil) != c.crash || (crashes == 1) != c.crash || (len(b) == 0) != c.crash {
			t.Errorf("%q: status %d, %d bytes, %v, %d crashes; want a crash: %v", c.parts, resp.StatusCode, len(b), err, crashes, c.crash)
		}
	}
}

func FuzzParse(f *testing.F) {
	f.Add([]byte(fmt.Sprintf(chatBody, true)), true)
	f.Add([]byte(`{"prompt":["a","b"],"max_tokens":-1}`), false)
	f.Add([]byte(`{"messages":[{"content":[{"text":"a"}]}]}`), true)
	f.Fuzz(func(t *testing.T, body []byte, isChat bool) {
		c, prompt, err := parse(body, api{chat: isChat})
		if err != nil {
			return
		}
		if n, _ := c.output(text.Answer{Prompt: prompt}); n <= 0 {
			t.Errorf("output of %d tokens", n)
		}
	})
}
