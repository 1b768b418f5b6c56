package surface

import (
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"agateward/internal/caller/intake"
	"agateward/internal/caller/refusal"
	"agateward/internal/result/code"
	"agateward/internal/telemetry/explain"
	"agateward/internal/telemetry/metric"
	"agateward/internal/telemetry/trace"
	"agateward/ward"

	"github.com/go-logr/logr"
)

// script is an answer that returns its chunks and then err.
type script struct {
	chunks []ward.Chunk
	err    error
	closed bool
}

func (s *script) Next(context.Context) (ward.Chunk, error) {
	if len(s.chunks) == 0 {
		return ward.Chunk{}, s.err
	}
	c := s.chunks[0]
	s.chunks = s.chunks[1:]
	return c, nil
}

func (s *script) Close() error {
	s.closed = true
	return nil
}

func handler(t *testing.T, open func(q *ward.Request) (ward.Answer, error)) *httptest.Server {
	t.Helper()
	tracer, err := trace.New(context.Background(), trace.Settings{})
	if err != nil {
		t.Fatal(err)
	}
	cfg := &ward.Config{
		Routes: []ward.Route{
			{Name: "menus", Kind: ward.KindEngine, Serves: "writer", Tier: 2},
			{Name: "lookups", Kind: ward.KindService, Serves: "booking", Tier: 2},
		},
		Teams: []ward.Team{{Name: "guests"}},
	}
	srv := httptest.NewServer(New(Deps{
		Intake: intake.Intake{Entry: "entry-1", DefaultDeadline: time.Minute}, MaxBody: 1024, WriteTimeout: time.Second,
		Config: func() *ward.Config { return cfg },
		Open:   func(_ context.Context, q *ward.Request) (ward.Answer, error) { return open(q) },
		Clock:  ward.SystemClock{}, Log: logr.Discard(), Metrics: metric.New(), Trace: tracer, Explain: explain.New(8),
	}))
	t.Cleanup(srv.Close)
	return srv
}

func head(contentType string) ward.Chunk {
	return ward.Chunk{Status: http.StatusOK, Header: http.Header{"Content-Type": {contentType}, "Agateward-Request": {"internal"}}}
}

const (
	plain  = `{"model": "writer", "prompt": "a"}`
	stream = `{"model": "writer", "prompt": "a", "stream": true}`
)

func TestAnswers(t *testing.T) {
	cut := code.AnswerCut.New("the stream ended early")
	cases := []struct {
		name, body string
		chunks     []ward.Chunk
		err        error
		status     int
		want       string
	}{
		{"whole", plain, []ward.Chunk{head("application/json"), {Data: []byte("{}")}, {Last: true}}, nil, 200, "{}"},
		{"truncated body", plain, []ward.Chunk{head("application/json"), {Data: []byte("{")}}, cut, 502, `"run":"unknown"`},
		{"whole stream", stream, []ward.Chunk{head("text/event-stream"), {Data: []byte("data: [DONE]\n\n"), Last: true}}, nil, 200, "data: [DONE]\n\n"},
		{"truncated stream", stream, []ward.Chunk{head("text/event-stream"), {Data: []byte("data: x\n\n")}}, cut, 200, "data: x\n\nevent: error\n"},
		{"refused", stream, nil, &refusal.RetryAfterError{Err: code.Shed.New("tier 4 waits"), RetryAfter: 1500 * time.Millisecond}, 503, `"run":"not-run"`},
		{"internal error hides its cause", plain, nil, io.ErrUnexpectedEOF, 500, `"message":"internal error"`},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			a := &script{chunks: c.chunks, err: c.err}
			srv := handler(t, func(*ward.Request) (ward.Answer, error) {
				if c.chunks == nil {
					return nil, c.err
				}
				return a, nil
			})
			res, body := post(t, srv.URL+"/v1/completions", c.body)
			if res.StatusCode != c.status || !strings.Contains(body, c.want) {
				t.Errorf("status %d, body %q; want %d and %q", res.StatusCode, body, c.status, c.want)
			}
			if res.Header.Get(HeaderRequest) == "" || res.Header.Get("Agateward-Request") != "" {
				t.Errorf("headers %v", res.Header)
			}
			if c.chunks != nil && !a.closed {
				t.Error("the answer was not closed")
			}
			if c.err != nil && strings.Contains(body, "[DONE]") {
				t.Error("a failed answer has the end mark of a complete one")
			}
			if c.status == http.StatusServiceUnavailable && res.Header.Get("Retry-After") != "2" {
				t.Errorf("Retry-After %q", res.Header.Get("Retry-After"))
			}
		})
	}
}

// TestRefusalHasNoFieldsOfTheUpstream guards against a refusal that carries what the
// upstream stated about its own answer.
func TestRefusalHasNoFieldsOfTheUpstream(t *testing.T) {
	h := head("application/json")
	h.Header.Set("Retry-After", "1")
	h.Header.Set("Content-Encoding", "br")
	srv := handler(t, func(*ward.Request) (ward.Answer, error) {
		return &script{chunks: []ward.Chunk{h, {Data: []byte("{")}}, err: code.AnswerCut.New("the body ended early")}, nil
	})
	res, _ := post(t, srv.URL+"/v1/completions", plain)
	for _, name := range []string{"Retry-After", "Content-Encoding"} {
		if v := res.Header.Get(name); v != "" {
			t.Errorf("status %d, run %s: %s is %q", res.StatusCode, res.Header.Get(refusal.HeaderRun), name, v)
		}
	}
}

// TestRequestIDIsTheEntrys guards against an answer that names the request by an id
// that the entry does not know.
func TestRequestIDIsTheEntrys(t *testing.T) {
	var id string
	h := head("application/json")
	h.Header.Set(HeaderRequest, "of-the-upstream")
	srv := handler(t, func(q *ward.Request) (ward.Answer, error) {
		id = q.ID
		return &script{chunks: []ward.Chunk{h, {Last: true}}}, nil
	})
	res, _ := post(t, srv.URL+"/v1/completions", plain)
	if got := res.Header.Get(HeaderRequest); got != id {
		t.Errorf("%s is %q, want %q", HeaderRequest, got, id)
	}
}

func TestInvalidRequestIsNotRun(t *testing.T) {
	srv := handler(t, func(*ward.Request) (ward.Answer, error) {
		t.Error("an invalid request was run")
		return nil, code.Internal.New("x")
	})
	cases := []struct {
		name, path, body string
		status           int
	}{
		{"too large", "/v1/completions", `{"prompt": "` + strings.Repeat("a", 2048) + `"}`, 413},
		{"no JSON", "/v1/completions", "{", 400},
		{"unknown path", "/v2/completions", plain, 404},
		{"trailing slash", "/v1/completions/", plain, 404},
		{"unknown service", "/services/x/y", "", 404},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			res, body := post(t, srv.URL+c.path, c.body)
			if res.StatusCode != c.status || !strings.Contains(body, `"run":"not-run"`) {
				t.Errorf("status %d, body %s; want %d", res.StatusCode, body, c.status)
			}
		})
	}
}

func TestModels(t *testing.T) {
	srv := handler(t, nil)
	res, err := http.Get(srv.URL + "/v1/models")
	if err != nil {
		t.Fatal(err)
	}
	defer res.Body.Close()
	b, _ := io.ReadAll(res.Body)
	if !strings.Contains(string(b), `"id":"writer"`) {
		t.Errorf("models: %s", b)
	}
}

func post(t *testing.T, url, body string) (*http.Response, string) {
	t.Helper()
	r, err := http.NewRequest(http.MethodPost, url, strings.NewReader(body))
	if err != nil {
		t.Fatal(err)
	}
	r.Header.Set(intake.HeaderTeam, "guests")
	res, err := http.DefaultClient.Do(r)
	if err != nil {
		t.Fatal(err)
	}
	defer res.Body.Close()
	b, err := io.ReadAll(res.Body)
	if err != nil {
		t.Fatal(err)
	}
	return res, string(b)
}
