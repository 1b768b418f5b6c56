package relay_test

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	"agateward/internal/entry/relay"
	"agateward/internal/entry/runs"
	"agateward/internal/platform/memory"
	"agateward/internal/result/code"
	standin "agateward/internal/standin/service"
	"agateward/internal/upstream/answer"
	"agateward/internal/upstream/service"
	"agateward/ward"
)

// fixture is a service that counts its runs, with the relay and the idempotency
// records in front of it.
type fixture struct {
	service *standin.Server
	server  *httptest.Server
	store   *memory.Platform
	runs    *runs.Runs
	relay   *relay.Relay
	adapter *service.Service
	request *ward.Request
	pause   time.Duration
}

func newFixture(t *testing.T) *fixture {
	s := &fixture{service: &standin.Server{Name: "booking", Version: "v1"}, store: &memory.Platform{}}
	s.server = httptest.NewServer(s.service)
	s.runs = &runs.Runs{Store: s.store}
	s.adapter = &service.Service{}
	s.relay = &relay.Relay{Service: s.adapter}
	s.request = &ward.Request{ID: "a", Team: "club", Kind: ward.KindService, Method: "POST", Path: "/book", Body: []byte(`{"reference":"r"}`),
		Header: http.Header{}, IdempotencyKey: "k", NonIdempotent: true, Arrived: time.Now(), Deadline: time.Now().Add(5 * time.Second)}
	t.Cleanup(s.server.Close)
	return s
}

// start starts the idempotency records after the fixture has been set up.
func (s *fixture) start(t *testing.T) {
	ctx, cancel := context.WithCancel(context.Background())
	var wg sync.WaitGroup
	wg.Go(func() { s.runs.Run(ctx) })
	t.Cleanup(func() { cancel(); wg.Wait() })
}

// call claims, dispatches and reads the request as an entry does.
func (s *fixture) call(ctx context.Context) error {
	u := ward.Upstream{Name: "booking-1", Kind: ward.KindService, Address: strings.TrimPrefix(s.server.URL, "http://")}
	d, err := s.runs.Begin(ctx, s.request, u)
	if err != nil || d.Answer != nil {
		return err
	}
	time.Sleep(s.pause)
	a, err := s.relay.Dispatch(ctx, d.Permit, u, s.request)
	if err != nil {
		return err
	}
	defer a.Close()
	for {
		if c, err := a.Next(ctx); err != nil || c.Last {
			return err
		}
	}
}

func refuseDial(context.Context, string, string) (net.Conn, error) { return nil, errors.New("refused") }

// closeAfter closes the connection after n bytes were written.
type closeAfter struct {
	net.Conn
	n int
}

func (c *closeAfter) Write(p []byte) (int, error) {
	if len(p) <= c.n {
		c.n -= len(p)
		return c.Conn.Write(p)
	}
	n, _ := c.Conn.Write(p[:c.n])
	c.Close()
	return n, io.ErrClosedPipe
}

// answerAfterRun makes the service run each call and then answer it with status.
func (s *fixture) answerAfterRun(status int) {
	s.server.Config.Handler = http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		s.service.ServeHTTP(httptest.NewRecorder(), r)
		w.Header().Set("Agateward-Request", r.Header.Get("Agateward-Request"))
		w.WriteHeader(status)
	})
}

// TestStatusOfRunRequestIsNoPromise guards against a run request whose caller, or a
// repeat of its key, gets a status or code that promises that it did not run.
func TestStatusOfRunRequestIsNoPromise(t *testing.T) {
	for _, status := range []int{http.StatusRequestTimeout, http.StatusMisdirectedRequest, http.StatusTooManyRequests, http.StatusServiceUnavailable} {
		for _, nonIdempotent := range []bool{true, false} {
			s := newFixture(t)
			s.answerAfterRun(status)
			s.request.NonIdempotent = nonIdempotent
			s.start(t)
			if err := s.call(t.Context()); !code.UnconfirmedRefusal.Is(err) || runs.IsRefusal(err) {
				t.Errorf("the service ran the request and answered %d, non-idempotent %v: got %v", status, nonIdempotent, err)
			}
			if n := len(s.service.Runs()); n != 1 {
				t.Errorf("the service ran %d keys", n)
			}
		}
	}
}

// TestRefusalsAreTrue refuses or fails a request at each stage from its record to
// its answer. A code that says "not run" must agree with the service's count of
// runs.
func TestRefusalsAreTrue(t *testing.T) {
	cases := []struct {
		name    string
		prepare func(s *fixture)
		want    code.Code
	}{
		{"answered", func(*fixture) {}, code.Code{}},
		{"no key", func(s *fixture) { s.request.IdempotencyKey = "" }, code.KeyRequired},
		{"store down", func(s *fixture) { s.store.SetFaults(memory.Faults{Down: true}) }, code.RecordsDown},
		{"every write of the store lost", func(s *fixture) { s.store.SetFaults(memory.Faults{LostAnswer: 1}) }, code.Code{}},
		{"no write of the store arrives", func(s *fixture) { s.store.SetFaults(memory.Faults{LostRequest: 1}) }, code.RecordsDown},
		{"paused longer than the permit holds", func(s *fixture) { s.runs.Limits.Commit = 20 * time.Millisecond; s.pause = 60 * time.Millisecond }, code.RecordsBusy},
		{"connection refused", func(s *fixture) { s.adapter.Transport.Dial = refuseDial }, code.UpstreamUnreachable},
		{"bad path", func(s *fixture) { s.request.Path = "book" }, code.UnknownRoute},
		{"connection lost in the request", func(s *fixture) {
			s.adapter.Transport.Dial = func(ctx context.Context, network, address string) (net.Conn, error) {
				c, err := (&net.Dialer{}).DialContext(ctx, network, address)
				return &closeAfter{c, 40}, err
			}
		}, code.UpstreamFailed},
		{"answer lost after the run", func(s *fixture) { s.service.SetFaults(standin.Fault{LoseShare: 1}) }, code.UpstreamFailed},
		{"answer late", func(s *fixture) {
			s.service.Latency = time.Minute
			s.adapter.Transport.Limits.Header = 30 * time.Millisecond
		}, code.AnswerLate},
		{"past the deadline", func(s *fixture) {
			s.service.Latency = time.Minute
			s.request.Deadline = time.Now().Add(30 * time.Millisecond)
			s.relay.Overrun = time.Millisecond
		}, code.AnswerLate},
		{"answer too large", func(s *fixture) { s.adapter.Limits = answer.Limits{Body: 4} }, code.AnswerTooLarge},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			s := newFixture(t)
			c.prepare(s)
			s.start(t)
			ctx, cancel := context.WithTimeout(t.Context(), 4*time.Second)
			defer cancel()
			err := s.call(ctx)
			if c.want.Number == 0 && err != nil || c.want.Number != 0 && !c.want.Is(err) {
				t.Fatalf("got %v, want %s", err, c.want)
			}
			ran := len(s.service.Runs())
			if err == nil && ran != 1 || code.Of(err).Run == ward.NotRun && err != nil && ran != 0 {
				t.Errorf("got code %s, but the service ran %d keys", code.Of(err), ran)
			}
			if errors.Is(err, ward.ErrNotConnected) && ran != 0 {
				t.Error("got ErrNotConnected, but the service ran the request")
			}
		})
	}
}
