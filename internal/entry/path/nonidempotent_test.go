package path

import (
	"context"
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"agateward/internal/entry/relay"
	"agateward/internal/entry/runs"
	"agateward/internal/platform/memory"
	"agateward/internal/request/scheduler"
	"agateward/internal/result/code"
	"agateward/internal/telemetry/explain"
	"agateward/internal/telemetry/trace"
	"agateward/ward"

	"github.com/go-logr/logr"
)

// fakeService is a service to which the first refuse dispatches make no connection.
type fakeService struct {
	ward.Backend
	refuse  int
	reached []string // the upstreams that got a request
}

func (f *fakeService) Dispatch(_ context.Context, u ward.Upstream, _ *ward.Request, _ int) (ward.Answer, error) {
	if f.refuse > 0 {
		f.refuse--
		return nil, code.UpstreamUnreachable.Wrap(ward.ErrNotConnected, "connect to %s", u.Name)
	}
	f.reached = append(f.reached, u.Name)
	return &completeAnswer{runs.Answer{Status: http.StatusOK, Body: []byte("seat 4")}}, nil
}

// deposit returns a non-idempotent request with the key k.
func deposit(id string, timeout time.Duration) *ward.Request {
	return &ward.Request{
		ID: id, Team: "guests", Tier: ward.TierTop, Route: "deposits", Kind: ward.KindService, Serves: "booking", Header: http.Header{},
		IdempotencyKey: "k", NonIdempotent: true, Arrived: time.Now(), Deadline: time.Now().Add(timeout),
	}
}

// newPath starts a path with a configuration.
func newPath(t *testing.T, store *memory.Platform, l *relay.Relay, cfg *ward.Config) *Path {
	t.Helper()
	ctx, cancel := context.WithCancel(t.Context())
	tracer, err := trace.New(ctx, trace.Settings{})
	if err != nil {
		t.Fatal(err)
	}
	p := New(Deps{
		Scheduler: scheduler.New(scheduler.Settings{Self: "entry-1"}, 1), Relay: l,
		Runs: &runs.Runs{Store: store, Log: logr.Discard()}, Base: ctx, Clock: ward.SystemClock{}, Trace: tracer, Explain: explain.New(8),
	})
	p.Do(func(s *scheduler.Scheduler, now time.Time) []scheduler.Action {
		s.Configure(now, cfg)
		return nil
	})
	done := make(chan struct{})
	go func() {
		defer close(done)
		p.Runs.Run(ctx)
	}()
	go func() { _ = p.Run(ctx) }()
	t.Cleanup(func() {
		p.Wait()
		cancel()
		<-done
	})
	return p
}

// newServicePath starts a path in front of a service with these upstreams.
func newServicePath(t *testing.T, store *memory.Platform, service ward.Backend, upstreams ...ward.Upstream) *Path {
	t.Helper()
	return newPath(t, store, &relay.Relay{Service: service}, &ward.Config{Revision: 1, Upstreams: upstreams, Routes: []ward.Route{
		{Name: "deposits", Kind: ward.KindService, Serves: "booking", Version: "v1", NonIdempotent: true},
	}})
}

func booking(name string, checks bool) ward.Upstream {
	return ward.Upstream{Name: name, Kind: ward.KindService, Serves: "booking", Version: "v1", ChecksIdempotency: checks}
}

// TestClaimCutByItsDeadline guards against a repeat of a key that has run and that is
// refused as not run because its deadline passes during its claim.
func TestClaimCutByItsDeadline(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := &memory.Platform{}
		p := newServicePath(t, store, &fakeService{}, booking("booking-1", false))
		if _, err := p.Open(t.Context(), deposit("a", time.Minute)); err != nil {
			t.Fatal(err)
		}
		p.Runs.Flush(t.Context())
		store.SetFaults(memory.Faults{Slow: ward.Duration(50 * time.Millisecond)})
		a, err := p.Open(t.Context(), deposit("b", 20*time.Millisecond))
		if err != nil {
			t.Fatalf("got error %v, run %s; want the recorded answer", err, code.Of(err).Run)
		}
		if c, err := a.Next(t.Context()); err != nil || string(c.Data) != "seat 4" {
			t.Errorf("answer %q, error %v", c.Data, err)
		}
	})
}

// TestUnrecordedRequestNeedsUpstreamThatChecksKeys guards against a request that is
// sent without a record to an upstream that doesn't check its key.
func TestUnrecordedRequestNeedsUpstreamThatChecksKeys(t *testing.T) {
	cases := []struct {
		name   string
		second bool // whether the second upstream checks keys
	}{
		{"the second upstream checks keys", true},
		{"the second upstream checks none", false},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				store := &memory.Platform{}
				service := &fakeService{refuse: 1}
				p := newServicePath(t, store, service, booking("booking-1", true), booking("booking-2", c.second))
				time.Sleep(time.Second)
				store.SetFaults(memory.Faults{Down: true})
				_, err := p.Open(t.Context(), deposit("a", time.Minute))
				if c.second && (err != nil || len(service.reached) != 1) {
					t.Errorf("error %v, reached %v", err, service.reached)
				}
				if !c.second && (!code.RecordsDown.Is(err) || len(service.reached) != 0) {
					t.Errorf("error %v, reached %v; want %s and none", err, service.reached, code.RecordsDown)
				}
				if n := p.State().Running; n != 0 {
					t.Errorf("%d requests hold capacity", n)
				}
			})
		})
	}
}

// TestRefusedAfterItsDeadline checks that a retry whose deadline passes in the queue
// of another entry gets the recorded answer of its key instead of a refusal.
func TestRefusedAfterItsDeadline(t *testing.T) {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	store := &memory.Platform{}
	first := &runs.Runs{Store: store, Log: logr.Discard()}
	second := &runs.Runs{Store: store, Log: logr.Discard()}
	go first.Run(ctx)
	go second.Run(ctx)
	q := &ward.Request{ID: "a", Team: "guests", IdempotencyKey: "k", NonIdempotent: true, Arrived: time.Now(), Deadline: time.Now().Add(time.Minute)}
	if _, err := first.Begin(ctx, q, ward.Upstream{}); err != nil {
		t.Fatal(err)
	}
	first.Finish(q, runs.Answer{Status: http.StatusOK, Body: []byte("seat 4")})
	if left := first.Flush(ctx); left != 0 {
		t.Fatalf("%d outcomes not written, want 0", left)
	}
	p := New(Deps{Relay: &relay.Relay{}, Runs: second, Clock: ward.SystemClock{}, Explain: explain.New(0)})
	over, end := context.WithDeadline(ctx, time.Now().Add(-time.Second))
	defer end()
	retry := *q
	retry.ID = "b"
	a, err := p.replayOrRefuse(over, &retry, code.DeadlinePassed.New("waited too long"))
	if err != nil {
		t.Fatalf("retry of a key that has run: got error %v, want the recorded answer", err)
	}
	if c, err := a.Next(ctx); err != nil || string(c.Data) != "seat 4" {
		t.Errorf("answer %q, error %v", c.Data, err)
	}
}
