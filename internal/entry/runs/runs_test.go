package runs

import (
	"context"
	"fmt"
	"net/http"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"agateward/internal/platform/memory"
	"agateward/internal/result/code"
	"agateward/ward"

	"github.com/google/uuid"
)

func request(id, key string) *ward.Request {
	return &ward.Request{ID: id, Team: "club", Route: "book", IdempotencyKey: key, BodyHash: 7, NonIdempotent: true, Arrived: time.Now(), Deadline: time.Now().Add(10 * time.Second)}
}

// entries starts the records of n entries on one platform.
func entries(t *testing.T, p *memory.Platform, n int, tune ...func(*Runs)) []*Runs {
	t.Helper()
	ctx, cancel := context.WithCancel(context.Background())
	var wg sync.WaitGroup
	var out []*Runs
	for range n {
		r := &Runs{Store: p}
		for _, f := range tune {
			f(r)
		}
		out = append(out, r)
		wg.Go(func() { r.Run(ctx) })
	}
	t.Cleanup(func() { cancel(); wg.Wait() })
	return out
}

func TestRepeatAtAnotherEntry(t *testing.T) {
	cases := []struct {
		name string
		end  func(*Runs, *ward.Request)
		want code.Code
	}{
		{"in progress", func(*Runs, *ward.Request) {}, code.KeyInProgress},
		{"lost", (*Runs).Lost, code.OutcomeUnknown},
		{"large answer", func(r *Runs, req *ward.Request) { r.Finish(req, Answer{Status: 200, Body: make([]byte, 1<<20)}) }, code.AnswerNotKept},
		{"not run", (*Runs).NotRun, code.Code{}},
		{"finished", func(r *Runs, req *ward.Request) {
			r.Finish(req, Answer{Status: 201, Header: http.Header{"Location": {"/seat/7"}, "Set-Cookie": {"x"}}, Body: []byte("seat 7")})
		}, code.Code{}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				p := &memory.Platform{}
				p.SetFaults(memory.Faults{Slow: ward.Duration(3 * time.Millisecond), LostAnswer: 0.3})
				e := entries(t, p, 2)
				first := request("a", "k")
				d, err := e[0].Begin(t.Context(), first, ward.Upstream{})
				if err != nil || d.Permit == nil {
					t.Fatalf("first: %+v, %v", d, err)
				}
				c.end(e[0], first)
				e[0].Flush(t.Context())
				checkLookup(t, e[1], c.want, c.name == "finished")
				d, err = e[1].Begin(t.Context(), request("b", "k"), ward.Upstream{})
				if c.want.Number != 0 {
					if !c.want.Is(err) {
						t.Errorf("got %+v, %v, want %s", d, err, c.want)
					}
					return
				}
				if err != nil {
					t.Fatal(err)
				}
				if c.name == "not run" != (d.Permit != nil) {
					t.Errorf("got %+v", d)
				}
				if a := d.Answer; a != nil && (a.Status != 201 || string(a.Body) != "seat 7" || a.Header.Get("Location") == "" || a.Header.Get("Set-Cookie") != "") {
					t.Errorf("recorded answer %+v", a)
				}
			})
		})
	}
}

// checkLookup looks up the key, which must not change its state.
func checkLookup(t *testing.T, r *Runs, want code.Code, answered bool) {
	t.Helper()
	d, err := r.Lookup(t.Context(), request("look", "k"))
	if want.Number != 0 && !want.Is(err) || want.Number == 0 && err != nil || answered != (d.Answer != nil) || d.Permit != nil {
		t.Errorf("lookup: %+v, %v, want %s", d, err, want)
	}
}

// TestAnotherNumberOfShards checks that an entry with another number of shards, which
// would look for keys in the wrong shard, refuses all of them.
func TestAnotherNumberOfShards(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := &memory.Platform{}
		if _, err := entries(t, p, 1)[0].Begin(t.Context(), request("a", "k"), ward.Upstream{}); err != nil {
			t.Fatal(err)
		}
		other := entries(t, p, 1, func(r *Runs) { r.Shards = 3 })[0]
		if _, err := other.Begin(t.Context(), request("b", "k2"), ward.Upstream{}); !code.RecordsDown.Is(err) || !IsRefusal(err) {
			t.Errorf("got %v", err)
		}
	})
}

// TestNewEntryKnowsOldKeys checks that an entry that has just started finds keys whose
// records have been archived.
func TestNewEntryKnowsOldKeys(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const keys = 400
		p := &memory.Platform{}
		old := entries(t, p, 1, func(r *Runs) { r.Limits.ArchiveThreshold = 1 << 10 })[0]
		for i := range keys {
			req := request(fmt.Sprint("first-", i), fmt.Sprint(i))
			if d, err := old.Begin(t.Context(), req, ward.Upstream{}); err != nil || d.Permit == nil {
				t.Fatalf("%+v, %v", d, err)
			}
			old.Finish(req, Answer{Status: 201, Body: []byte(req.IdempotencyKey)})
			old.Flush(t.Context())
		}
		if n := old.Stats().Archived; n < 10 {
			t.Fatalf("%d archives, want at least 10", n)
		}
		young := entries(t, p, 1)[0]
		for i := range keys {
			d, err := young.Begin(t.Context(), request(fmt.Sprint("second-", i), fmt.Sprint(i)), ward.Upstream{})
			if err != nil || d.Answer == nil || string(d.Answer.Body) != fmt.Sprint(i) {
				t.Fatalf("key %d: %+v, %v", i, d, err)
			}
		}
	})
}

// TestRepeatWaitsForOutcome checks that a retry that arrives before the outcome is
// written gets the answer.
func TestRepeatWaitsForOutcome(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		e := entries(t, &memory.Platform{}, 2)
		first := request("a", "k")
		if _, err := e[0].Begin(t.Context(), first, ward.Upstream{}); err != nil {
			t.Fatal(err)
		}
		go func() {
			time.Sleep(300 * time.Millisecond)
			e[0].Finish(first, Answer{Status: 201, Body: []byte("seat 7")})
		}()
		d, err := e[1].Begin(t.Context(), request("b", "k"), ward.Upstream{})
		if err != nil || d.Answer == nil || string(d.Answer.Body) != "seat 7" {
			t.Errorf("got %+v, %v", d, err)
		}
	})
}

// TestKeyInProgressStaysKnown guards against a repeat that is refused as not run, or
// dispatched, after its key was seen to be in progress.
func TestKeyInProgressStaysKnown(t *testing.T) {
	slow := memory.Faults{Slow: ward.Duration(50 * time.Millisecond)}
	cases := []struct {
		name    string
		later   memory.Faults
		timeout time.Duration
		checks  bool
	}{
		{"the store goes down", memory.Faults{Down: true}, time.Minute, false},
		{"the store goes down, upstream checks keys", memory.Faults{Down: true}, time.Minute, true},
		{"the store hangs", memory.Faults{Hang: true}, time.Minute, false},
		{"the deadline passes during a read", slow, 275 * time.Millisecond, false},
		{"the deadline passes between two reads", slow, 100 * time.Millisecond, false},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				p := &memory.Platform{}
				p.SetFaults(slow)
				e := entries(t, p, 2)
				if _, err := e[0].Begin(t.Context(), request("a", "k"), ward.Upstream{}); err != nil {
					t.Fatal(err)
				}
				// The lookup loads what the second entry reads once at its start.
				checkLookup(t, e[1], code.KeyInProgress, false)
				time.AfterFunc(100*time.Millisecond, func() { p.SetFaults(c.later) })
				ctx, cancel := context.WithTimeout(t.Context(), c.timeout)
				defer cancel()
				d, err := e[1].Begin(ctx, request("b", "k"), ward.Upstream{ChecksIdempotency: c.checks})
				if !code.KeyInProgress.Is(err) || IsRefusal(err) {
					t.Errorf("got %+v, %v, want %s", d, err, code.KeyInProgress)
				}
			})
		})
	}
}

func TestRefusals(t *testing.T) {
	old := uuid.Must(uuid.NewV7())
	cases := []struct {
		name   string
		faults memory.Faults
		req    func() *ward.Request
		checks bool
		want   code.Code
	}{
		{"no key", memory.Faults{}, func() *ward.Request { return request("a", "") }, false, code.KeyRequired},
		{"key made long ago", memory.Faults{}, func() *ward.Request { return request("a", oldKey(old)) }, false, code.KeyTooOld},
		{"store down", memory.Faults{Down: true}, func() *ward.Request { return request("a", "k") }, false, code.RecordsDown},
		{"store hangs", memory.Faults{Hang: true}, func() *ward.Request { return request("a", "k") }, false, code.RecordsDown},
		{"store slower than its limit", memory.Faults{Slow: ward.Duration(5 * time.Second)}, func() *ward.Request { return request("a", "k") }, false, code.RecordsDown},
		{"every answer lost", memory.Faults{LostRequest: 1}, func() *ward.Request { return request("a", "k") }, false, code.RecordsDown},
		{"store down, upstream checks keys", memory.Faults{Down: true}, func() *ward.Request { return request("a", "k") }, true, code.Code{}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				time.Sleep(20 * 365 * 24 * time.Hour) // synctest begins in the year 2000
				p := &memory.Platform{}
				p.SetFaults(c.faults)
				e := entries(t, p, 1)[0]
				d, err := e.Begin(t.Context(), c.req(), ward.Upstream{ChecksIdempotency: c.checks})
				if c.want.Number == 0 && (err != nil || d.Permit == nil) || c.want.Number != 0 && !c.want.Is(err) {
					t.Fatalf("got %+v, %v, want %s", d, err, c.want)
				}
				if err != nil && !IsRefusal(err) {
					t.Errorf("%v does not guarantee that the request did not run", err)
				}
			})
		})
	}
}

// oldKey returns the key as if it had been made in 2010.
func oldKey(id uuid.UUID) string {
	ms := time.Date(2010, 1, 1, 0, 0, 0, 0, time.UTC).UnixMilli()
	for i := range 6 {
		id[i] = byte(ms >> (8 * (5 - i)))
	}
	return id.String()
}

// TestSlowCallBlocksNothing lets many callers wait for a store that hangs. Each must
// be refused in time, and one whose deadline passes must return at once.
func TestSlowCallBlocksNothing(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := &memory.Platform{}
		p.SetFaults(memory.Faults{Hang: true})
		e := entries(t, p, 1)[0]
		start := time.Now()
		var wg sync.WaitGroup
		for i := range 100 {
			wg.Go(func() {
				if _, err := e.Begin(t.Context(), request(fmt.Sprint(i), fmt.Sprint(i)), ward.Upstream{}); !IsRefusal(err) {
					t.Errorf("got %v", err)
				}
			})
		}
		ctx, cancel := context.WithTimeout(t.Context(), 10*time.Millisecond)
		defer cancel()
		if _, err := e.Begin(ctx, request("gone", "gone"), ward.Upstream{}); !code.DeadlinePassed.Is(err) || time.Since(start) > 20*time.Millisecond {
			t.Errorf("got %v after %v", err, time.Since(start))
		}
		wg.Wait()
		if took := time.Since(start); took > 3*time.Second {
			t.Errorf("refusals took %v", took)
		}
	})
}
