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

// TestRefusedAfterItsDeadline: a repeat whose time ran out while it waited at
// another entry is told what its key did.
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
		t.Fatalf("%d outcomes are not written", left)
	}
	p := New(Deps{Relay: &relay.Relay{}, Runs: second, Clock: ward.SystemClock{}, Explain: explain.New(0)})
	over, end := context.WithDeadline(ctx, time.Now().Add(-time.Second))
	defer end()
	repeat := *q
	repeat.ID = "b"
	a, err := p.refused(over, &repeat, code.DeadlinePassed.New("waited too long"))
	if err != nil {
		t.Fatalf("the repeat of a key that ran is told %v", err)
	}
	if c, err := a.Next(ctx); err != nil || string(c.Data) != "seat 4" {
		t.Errorf("answer %q, %v", c.Data, err)
	}
}
