package client

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"agateward/internal/platform/era"
	"agateward/internal/platform/memory"
	"agateward/internal/platform/server"
	"agateward/ward"
)

// TestRevisionsGivenOutTwice lets two entries act under the same revision and fence of
// different eras, after the store has returned from an older copy: only the entry of
// the present era may write or hold the lease.
func TestRevisionsGivenOutTwice(t *testing.T) {
	p := &memory.Platform{Seed: 1}
	srv := httptest.NewServer(server.New(p))
	defer srv.Close()
	ctx := context.Background()
	client := func() *Client {
		c := New(Settings{Address: strings.TrimPrefix(srv.URL, "http://"), Timeout: time.Second})
		t.Cleanup(c.Close)
		return c
	}
	command := func(path string) {
		t.Helper()
		res, err := http.Post(srv.URL+path, "", nil)
		if err != nil || res.StatusCode != http.StatusOK {
			t.Fatalf("%s: %v", path, err)
		}
		res.Body.Close()
	}
	first, second := client(), client()
	command("/copy")
	old, err := first.Store().CompareAndSwap(ctx, "config", 0, []byte("first"))
	if err != nil {
		t.Fatal(err)
	}
	held, err := first.Store().Acquire(ctx, "duty", "first", time.Minute)
	if err != nil {
		t.Fatal(err)
	}
	command("/restore")
	now, err := second.Store().CompareAndSwap(ctx, "config", 0, []byte("second"))
	if err != nil {
		t.Fatal(err)
	}
	if taken, err := second.Store().Acquire(ctx, "duty", "second", time.Minute); err != nil || taken.Fence <= held.Fence {
		t.Errorf("fence %s follows %s: %v", ward.RevisionText(taken.Fence), ward.RevisionText(held.Fence), err)
	}
	_, was := ward.SplitRevision(old.Revision)
	if _, again := ward.SplitRevision(now.Revision); again != was {
		t.Fatalf("revisions %s and %s: the test needs the same one twice", ward.RevisionText(old.Revision), ward.RevisionText(now.Revision))
	}
	if _, err := first.Instances(ctx); err != nil {
		t.Fatal(err) // the answer that tells the first entry of the era
	}
	if rec, err := first.Store().CompareAndSwap(ctx, "config", old.Revision, []byte("late")); !errors.Is(err, ward.ErrConflict) || string(rec.Value) != "second" {
		t.Errorf("a write under a revision of the earlier era: %q, %v", rec.Value, err)
	}
	if _, err := first.Store().Renew(ctx, held, time.Minute); !errors.Is(err, ward.ErrLeaseLost) {
		t.Errorf("renewal of a lease of the earlier era: %v", err)
	}
	if rec, err := first.Store().Watch(ctx, "config", old.Revision, time.Minute); err != nil || string(rec.Value) != "second" {
		t.Errorf("watch from a revision of the earlier era: %q, %v", rec.Value, err)
	}
	if rec, err := second.Store().Get(ctx, "config"); err != nil || string(rec.Value) != "second" {
		t.Errorf("record %q: %v", rec.Value, err)
	}
}

// TestAnswersOfEarlierEras answers with eras that are lower than one seen, missing or no
// number: the answers must not be acted on.
func TestAnswersOfEarlierEras(t *testing.T) {
	tests := []struct {
		name, first, second string
		ok                  bool
	}{
		{"the same", "7", "7", true},
		{"later", "7", "8", true},
		{"earlier", "7", "6", false},
		{"missing", "7", "", false},
		{"no number", "7", "x", false},
		{"never stated", "", "", true},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			stated := tt.first
			srv := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
				w.Header().Set(era.Field, stated)
				fmt.Fprint(w, `{"key":"k","value":"eA==","revision":5}`)
			}))
			defer srv.Close()
			c := New(Settings{Address: strings.TrimPrefix(srv.URL, "http://"), Timeout: time.Second})
			defer c.Close()
			if _, err := c.Store().Get(t.Context(), "k"); err != nil {
				t.Fatal(err)
			}
			stated = tt.second
			if _, err := c.Store().Get(t.Context(), "k"); (err == nil) != tt.ok {
				t.Errorf("read: %v, want an answer: %v", err, tt.ok)
			}
			if _, err := c.Store().CompareAndSwap(t.Context(), "k", 0, []byte("y")); !tt.ok && !errors.Is(err, ward.ErrOutcomeUnknown) {
				t.Errorf("write: %v, want an unknown outcome", err)
			}
		})
	}
}
