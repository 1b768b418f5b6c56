package document_test

import (
	"os"
	"strings"
	"testing"
	"time"

	"agateward/internal/result/code"
	"agateward/internal/ticket/document"
	"agateward/internal/ticket/fold"
	"agateward/ward"

	"github.com/sebdah/goldie/v2"
)

var now = time.Date(2026, 12, 3, 22, 0, 0, 0, time.UTC)

func good(t testing.TB) []byte {
	b, err := os.ReadFile("testdata/good.jsonc")
	if err != nil {
		t.Fatal(err)
	}
	return b
}

func TestGoodTicket(t *testing.T) {
	ticket, faults := document.Parse(good(t))
	if len(faults) > 0 {
		t.Fatal(faults)
	}
	if faults := document.Check(ticket, &ward.Config{}, now); len(faults) > 0 {
		t.Fatal(faults)
	}
}

// TestFaults compares all faults of invalid tickets with the golden files.
func TestFaults(t *testing.T) {
	inForce := ward.Config{}
	first, _ := document.Parse(good(t))
	inForce, err := fold.Fold(inForce, first, "a", now)
	if err != nil {
		t.Fatal(err)
	}
	tests := []struct{ name, ticket string }{
		{"syntax", "{\n  \"number\": 1,\n  \"operator\" \"x\"\n}"},
		{"kinds", `{
  "number": "1", "operater": "x", "operator": 3,
  "routes": [{"name": "a", "tier": "top", "deadline": 30, "methods": "GET"}],
  "moves": [{"deadline": "tomorrow", "deadline": "x", "routes": [1]}],
  "upstreams": {}, "teams": [[]]
}`},
		{"values", `{
  "operator": " ",
  "upstreams": [
    {"name": "a b", "kind": "gpu", "address": "menus.example:80", "generation": -1, "ticket": 4},
    {"name": "c", "kind": "engine", "serves": "m", "version": "v", "data-centre": "d", "address": "10.0.0.1:0"},
    {"name": "c", "kind": "engine", "serves": "m", "version": "v", "data-centre": "d", "address": "10.0.0.1:1"},
  ],
  "routes": [
    {"name": "r", "kind": "engine", "serves": "m", "version": "v", "tier": 5, "max-tier": 9, "path-prefix": "x", "first-token": "1s"},
    {"name": "s", "kind": "service", "serves": "m", "version": "v", "tier": 1, "max-tier": 2, "deadline": "1s", "methods": ["get"]},
  ],
  "teams": [{"name": "t", "weight": -1, "in-flight": -1, "key-hash": "abc"}],
  "moves": [{"name": "m", "serves": "m", "from": "v", "to": "v", "deadline": "2026-12-03T21:00:00Z"}],
}`},
		{"references", `{
  "number": 2, "operator": "naledi",
  "upstreams": [{"name": "menu-a", "removed": true}, {"name": "menu-z", "removed": true}],
  "routes": [{"name": "letters", "kind": "engine", "serves": "menus", "version": "v9", "tier": 3, "deadline": "9s"}],
  "moves": [
    {"name": "menus-v2", "serves": "menus", "from": "v1", "to": "v3", "deadline": "2026-12-04T22:00:00Z"},
    {"name": "again", "serves": "menus", "from": "v1", "to": "v2", "deadline": "2026-12-04T22:00:00Z", "load": ["menu-a"], "routes": ["none"]},
    {"name": "gone", "removed": true},
    {"name": "never", "serves": "menus", "from": "v1", "to": "v2", "cancelled": true},
  ],
}`},
		{"route-in-a-move", `{
  "number": 2, "operator": "naledi",
  "routes": [{"name": "menus", "kind": "engine", "serves": "menus", "version": "v1", "tier": 3, "deadline": "9s"}],
}`},
		{"empty", `{"number": 3, "operator": "x"}`},
	}
	g := goldie.New(t)
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			ticket, faults := document.Parse([]byte(tt.ticket))
			c := code.TicketSyntax
			if len(faults) == 0 {
				c = code.TicketInvalid
				faults = document.Locate([]byte(tt.ticket), document.Check(ticket, &inForce, now))
			}
			err := document.Error(c, faults)
			if err == nil {
				t.Fatal("no fault found")
			}
			g.Assert(t, "faults/"+tt.name, []byte(c.String()+"\n"+code.Text(err)+"\n"))
		})
	}
}

func FuzzParse(f *testing.F) {
	f.Add(good(f))
	f.Add([]byte(`{"number": 1, "moves": [{"deadline": "x"}], /* c */}`))
	f.Add([]byte(`{"routes": [{"deadline": "1h"}, null]}`))
	f.Fuzz(func(t *testing.T, b []byte) {
		ticket, faults := document.Parse(b)
		for _, fault := range faults {
			if fault.Text == "" || fault.Line > 1+strings.Count(string(b), "\n") {
				t.Fatalf("fault %+v", fault)
			}
		}
		document.Locate(b, document.Check(ticket, &ward.Config{}, now))
	})
}
