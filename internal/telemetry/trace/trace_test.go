package trace

import (
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
)

const parent = "00-0af7651916cd43dd8448eb211c80319c-b7ad6b7169203331-01"

func TestSendsSpansUnderTheCallersTrace(t *testing.T) {
	bodies := make(chan string, 8)
	srv := httptest.NewServer(http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
		b, _ := io.ReadAll(r.Body)
		bodies <- r.URL.Path + " " + string(b)
	}))
	defer srv.Close()
	ctx := context.Background()
	tr, err := New(ctx, Settings{Entry: "entry-1", Endpoint: strings.TrimPrefix(srv.URL, "http://"), Share: 0})
	if err != nil {
		t.Fatal(err)
	}
	in := http.Header{"Traceparent": {parent}}
	entry, outer := tr.Start(tr.Extract(ctx, in), "entry")
	queue, inner := tr.Start(entry, "queue")
	out := http.Header{}
	tr.Inject(queue, out)
	inner.End()
	outer.End()
	if err := tr.Close(ctx); err != nil {
		t.Fatal(err)
	}
	got := <-bodies
	if !strings.HasPrefix(got, "/v1/traces ") || !strings.Contains(got, "queue") || !strings.Contains(got, "entry-1") {
		t.Errorf("the collector got %q", got)
	}
	if p := out.Get("Traceparent"); !strings.HasPrefix(p, parent[:36]) || p == parent {
		t.Errorf("traceparent to the upstream is %q", p)
	}
}

func TestHonoursTraceparentWithoutACollector(t *testing.T) {
	ctx := context.Background()
	tr, err := New(ctx, Settings{})
	if err != nil {
		t.Fatal(err)
	}
	hop, span := tr.Start(tr.Extract(ctx, http.Header{"Traceparent": {parent}}), "entry")
	defer span.End()
	out := http.Header{}
	tr.Inject(hop, out)
	if out.Get("Traceparent") != parent {
		t.Errorf("traceparent is %q", out.Get("Traceparent"))
	}
}
