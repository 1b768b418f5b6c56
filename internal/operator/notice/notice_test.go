package notice

import (
	"context"
	"net/http"
	"net/http/httptest"
	"testing"

	"agateward/ward"

	"github.com/go-logr/logr"
)

func TestNotifyPostsUntilAccepted(t *testing.T) {
	var ids []string
	fail := true
	srv := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		ids = append(ids, r.Header.Get("Idempotency-Key"))
		if fail {
			w.WriteHeader(http.StatusBadGateway)
		}
	}))
	defer srv.Close()
	b := New(Deps{Webhook: srv.URL, Log: logr.Discard()})
	e := ward.Event{ID: "move-a/done", Kind: ward.EventMoveDone}
	if err := b.Notify(context.Background(), e); err == nil {
		t.Fatal("Notify succeeded although the webhook failed")
	}
	fail = false
	if err := b.Notify(context.Background(), e); err != nil {
		t.Fatal(err)
	}
	if len(ids) != 2 || ids[0] != e.ID || ids[1] != e.ID {
		t.Errorf("posted ids %v, want %s twice", ids, e.ID)
	}
	if events, _ := b.After(0); len(events) != 1 {
		t.Errorf("%d events in the log, want 1", len(events))
	}
}

func TestAfter(t *testing.T) {
	b := New(Deps{Log: logr.Discard()})
	_, more := b.After(0)
	for _, id := range []string{"a", "b", "a", "c"} {
		b.Record(ward.Event{ID: id})
	}
	<-more
	events, _ := b.After(1)
	if len(events) != 2 || events[0].ID != "b" || events[1].Seq != 3 {
		t.Errorf("after 1: %v", events)
	}
}
