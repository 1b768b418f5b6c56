package path

import (
	"context"
	"net/http"
	"testing"
	"time"

	"agateward/internal/entry/relay"
	"agateward/internal/entry/runs"
	"agateward/internal/platform/memory"
	"agateward/internal/result/code"
	"agateward/internal/telemetry/explain"
	"agateward/ward"

	"github.com/go-logr/logr"
)

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
