package program_test

import (
	"context"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"agateward/internal/bench/fleet"
	"agateward/internal/config/settings"
	"agateward/internal/operator/surface"
	"agateward/internal/platform/memory"
	"agateward/internal/standin/batch"
	"agateward/internal/standin/engine"
	"agateward/internal/standin/service"
	"agateward/ward"

	"github.com/go-logr/logr"
	"github.com/sourcegraph/conc"
)

// start runs two entries, one engine and one service with one accepted ticket.
func start(t *testing.T, tune ...func(s *settings.Settings)) (*fleet.Fleet, *service.Server) {
	t.Helper()
	ctx := context.Background()
	f, err := fleet.Start(ctx, fleet.Plan{
		Name: "test", Entries: 2, DataCentres: []string{"east-1"}, Log: logr.Discard(),
		Tune: func(s *settings.Settings) {
			s.Stop.BalancerLag = 0
			for _, f := range tune {
				f(s)
			}
		},
	})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(f.Close)
	model, err := f.AddEngine("engine-1", &engine.Server{Model: "writer", Profile: batch.Profile{Version: "v1"}})
	if err != nil {
		t.Fatal(err)
	}
	booking := &service.Server{Version: "v1", Latency: 200 * time.Millisecond}
	orders, err := f.AddService("booking-1", booking)
	if err != nil {
		t.Fatal(err)
	}
	r, err := f.Submit(ctx, ward.Ticket{
		Number: 1, Operator: "test",
		Upstreams: []ward.Upstream{
			{Name: "engine-1", Kind: ward.KindEngine, Serves: "writer", Version: "v1", Address: model, DataCentre: "east-1"},
			{Name: "booking-1", Kind: ward.KindService, Serves: "booking", Version: "v1", Address: orders, DataCentre: "east-1"},
		},
		Routes: []ward.Route{
			{Name: "menus", Kind: ward.KindEngine, Serves: "writer", Version: "v1", Tier: 1, Deadline: ward.Duration(20 * time.Second)},
			{Name: "letters", Kind: ward.KindEngine, Serves: "writer", Version: "v1", Tier: 4, MaxTier: 3, Deadline: ward.Duration(20 * time.Second)},
			{Name: "deposits", Kind: ward.KindService, Serves: "booking", Version: "v1", Tier: 1, Deadline: ward.Duration(10 * time.Second), NonIdempotent: true},
		},
		Teams: []ward.Team{{Name: "guests"}},
	})
	if err != nil {
		t.Fatal(err)
	}
	if err := f.AwaitRevision(ctx, r.Revision); err != nil {
		t.Fatal(err)
	}
	return f, booking
}

// reply is the reply that a caller received.
type reply struct {
	status int
	run    string
	body   string
	err    error
}

func post(ctx context.Context, url, key, body string) reply {
	r, err := http.NewRequestWithContext(ctx, http.MethodPost, url, strings.NewReader(body))
	if err != nil {
		return reply{err: err}
	}
	r.Header.Set("Agateward-Team", "guests")
	if key != "" {
		r.Header.Set("Idempotency-Key", key)
	}
	res, err := http.DefaultClient.Do(r)
	if err != nil {
		return reply{err: err}
	}
	defer res.Body.Close()
	b, err := io.ReadAll(res.Body)
	return reply{res.StatusCode, res.Header.Get("Agateward-Run"), string(b), err}
}

// retryUntilSettled retries a key while its outcome is not available yet.
func retryUntilSettled(url, key, body string) reply {
	var r reply
	for range 200 {
		r = post(context.Background(), url, key, body)
		if r.status != http.StatusConflict && r.status != http.StatusServiceUnavailable {
			break
		}
		time.Sleep(20 * time.Millisecond)
	}
	return r
}

const deposits = "/services/booking/deposits"

func TestDepositRunsOnceThroughTwoEntries(t *testing.T) {
	f, booking := start(t)
	ctx := context.Background()
	first := post(ctx, f.Target(0)+deposits, "k", `{"reference": "a"}`)
	second := retryUntilSettled(f.Target(1)+deposits, "k", `{"reference": "a"}`)
	other := post(ctx, f.Target(1)+deposits, "k", `{"reference": "b"}`)
	if first.status != http.StatusOK || second.body != first.body {
		t.Errorf("first %+v, second %+v", first, second)
	}
	if other.status != http.StatusUnprocessableEntity {
		t.Errorf("the key with another body: %+v", other)
	}
	if n := booking.Runs()["k"]; n != 1 {
		t.Errorf("the deposit ran %d times", n)
	}
}

func TestDepositContinuesWithoutItsCaller(t *testing.T) {
	f, booking := start(t)
	ctx, cancel := context.WithCancel(context.Background())
	time.AfterFunc(100*time.Millisecond, cancel)
	if gone := post(ctx, f.Target(0)+deposits, "k", `{}`); gone.err == nil {
		t.Fatalf("the request of a caller that disconnected returned %+v", gone)
	}
	retry := retryUntilSettled(f.Target(1)+deposits, "k", `{}`)
	if retry.status != http.StatusOK || booking.Runs()["k"] != 1 {
		t.Errorf("retry %+v, ran %d times", retry, booking.Runs()["k"])
	}
}

// TestDepositOfBusyServiceIsNotRefused guards against a deposit that ran and whose
// caller, or that of a repeat, is told that it did not.
func TestDepositOfBusyServiceIsNotRefused(t *testing.T) {
	f, booking := start(t)
	booking.SetFaults(service.Fault{BusyShare: 1})
	first := post(context.Background(), f.Target(0)+deposits, "k", `{}`)
	booking.SetFaults()
	repeat := post(context.Background(), f.Target(1)+deposits, "k", `{}`)
	if first.status != http.StatusBadGateway || first.run != string(ward.Unknown) {
		t.Errorf("first %+v, want status 502 and run %s", first, ward.Unknown)
	}
	if repeat.status != http.StatusConflict || repeat.run != string(ward.Unknown) {
		t.Errorf("repeat %+v, want status 409 and run %s", repeat, ward.Unknown)
	}
	if n := booking.Runs()["k"]; n != 1 {
		t.Errorf("the deposit ran %d times", n)
	}
}

func TestDepositIsRefusedAsNotRunWhileTheStoreIsDown(t *testing.T) {
	f, booking := start(t)
	f.Platform.SetFaults(memory.Faults{Down: true})
	down := post(context.Background(), f.Target(0)+deposits, "k", `{}`)
	if down.run != string(ward.NotRun) || len(booking.Runs()) != 0 {
		t.Errorf("store down: %+v, runs %v", down, booking.Runs())
	}
	chat := post(context.Background(), f.Target(0)+"/v1/completions", "", `{"model": "writer", "prompt": "a", "max_tokens": 4}`)
	if chat.status != http.StatusOK {
		t.Errorf("an idempotent request while the store is down: %+v", chat)
	}
	f.Platform.SetFaults(memory.Faults{})
	up := retryUntilSettled(f.Target(0)+deposits, "k", `{}`)
	if up.status != http.StatusOK || booking.Runs()["k"] != 1 {
		t.Errorf("store up: %+v, ran %d times", up, booking.Runs()["k"])
	}
}

func TestPlannedStopInterruptsNothing(t *testing.T) {
	f, booking := start(t)
	ctx := context.Background()
	replies := make([]reply, 8)
	var wg conc.WaitGroup
	for i := range replies {
		wg.Go(func() {
			if i%2 == 0 {
				replies[i] = post(ctx, f.Target(0)+"/v1/completions", "", `{"model": "writer", "prompt": "a", "max_tokens": 40, "stream": true}`)
				return
			}
			replies[i] = post(ctx, f.Target(0)+deposits, string(rune('a'+i)), `{}`)
		})
	}
	for len(booking.Runs()) < 4 {
		time.Sleep(5 * time.Millisecond)
	}
	f.Stop(0)
	wg.Wait()
	for i, r := range replies {
		whole := r.err == nil && r.status == http.StatusOK && (i%2 != 0 || strings.HasSuffix(r.body, "data: [DONE]\n\n"))
		if !whole {
			t.Errorf("request %d was interrupted: %+v", i, r)
		}
	}
	for key, n := range booking.Runs() {
		if n != 1 {
			t.Errorf("deposit %s ran %d times", key, n)
		}
	}
}

func TestKeyOfKilledEntryIsNotRunAgain(t *testing.T) {
	f, booking := start(t)
	ctx := context.Background()
	var wg conc.WaitGroup
	wg.Go(func() { post(ctx, f.Target(0)+deposits, "k", `{}`) })
	for booking.Runs()["k"] == 0 {
		time.Sleep(5 * time.Millisecond)
	}
	f.Kill(0)
	wg.Wait()
	retry := post(ctx, f.Target(1)+deposits, "k", `{}`)
	if retry.status != http.StatusConflict || retry.run == string(ward.NotRun) {
		t.Errorf("retry of a key whose entry was killed: %+v", retry)
	}
	if err := f.Restart(ctx, 0); err != nil {
		t.Fatal(err)
	}
	if n := booking.Runs()["k"]; n != 1 {
		t.Errorf("the deposit ran %d times", n)
	}
}

func TestStreamOutlivesTheReadTimeout(t *testing.T) {
	f, _ := start(t, func(s *settings.Settings) { s.Callers.ReadTimeout = ward.Duration(200 * time.Millisecond) })
	r := post(context.Background(), f.Target(0)+"/v1/completions", "", `{"model": "writer", "prompt": "a", "max_tokens": 60, "ignore_eos": true, "stream": true}`)
	if r.err != nil || !strings.HasSuffix(r.body, "data: [DONE]\n\n") {
		t.Errorf("the stream was interrupted: %v, %q", r.err, r.body[max(len(r.body)-300, 0):])
	}
}

func TestRefusedRetryGetsItsRecordedAnswer(t *testing.T) {
	f, booking := start(t)
	ctx := context.Background()
	first := post(ctx, f.Target(0)+deposits, "k", `{}`)
	if first.status != http.StatusOK || retryUntilSettled(f.Target(1)+deposits, "k", `{}`).body != first.body {
		t.Fatalf("first %+v", first)
	}
	// The service leaves, so that no request is dispatched any more.
	f.Platform.PutInstances(ward.Instance{Name: "booking-1", Role: ward.RoleUpstream, State: ward.InstanceLeaving})
	for i := range 2 {
		awaitDrained(t, f, i, "booking-1")
	}
	for i := range 2 {
		if retry := post(ctx, f.Target(i)+deposits, "k", `{}`); retry.body != first.body {
			t.Errorf("retry through entry %d: %+v", i, retry)
		}
		if fresh := post(ctx, f.Target(i)+deposits, "other", `{}`); fresh.run != string(ward.NotRun) {
			t.Errorf("another key through entry %d: %+v", i, fresh)
		}
	}
	if n := len(booking.Runs()); n != 1 {
		t.Errorf("%d keys ran, want 1", n)
	}
}

// awaitDrained waits until an entry sends no new requests to an upstream.
func awaitDrained(t *testing.T, f *fleet.Fleet, i int, name string) {
	t.Helper()
	for range 500 {
		var st surface.Status
		if err := f.Operator(i).Get(context.Background(), "/status", &st); err != nil {
			t.Fatal(err)
		}
		for _, u := range st.Upstreams {
			if u.Name == name && !u.Usable {
				return
			}
		}
		time.Sleep(20 * time.Millisecond)
	}
	t.Fatalf("entry %d still sends to %s", i+1, name)
}
