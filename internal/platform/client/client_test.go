package client

import (
	"context"
	"errors"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	"agateward/internal/platform/memory"
	"agateward/internal/platform/server"
	"agateward/internal/soak/proxy"
	"agateward/ward"
)

// platform starts a stand-in on the loopback address and returns it with a
// client.
func platform(t *testing.T) (*memory.Platform, *Client, *httptest.Server) {
	t.Helper()
	p := &memory.Platform{Seed: 1}
	srv := httptest.NewServer(server.New(p))
	t.Cleanup(srv.Close)
	c := New(Settings{Address: strings.TrimPrefix(srv.URL, "http://"), Timeout: time.Second})
	t.Cleanup(c.Close)
	return p, c, srv
}

func TestStore(t *testing.T) {
	p, c, _ := platform(t)
	ctx, s := context.Background(), c.Store()
	if rec, err := s.Get(ctx, "config"); err != nil || rec.Revision != 0 {
		t.Fatalf("Get() of an absent key = %v, %v", rec, err)
	}
	rec, err := s.CompareAndSwap(ctx, "config", 0, []byte("a"))
	if err != nil || string(rec.Value) != "a" {
		t.Fatalf("CompareAndSwap() = %v, %v", rec, err)
	}
	old, err := s.CompareAndSwap(ctx, "config", 0, []byte("b"))
	if !errors.Is(err, ward.ErrConflict) || string(old.Value) != "a" {
		t.Errorf("a second create = %v, %v, want the record in force and ErrConflict", old, err)
	}
	if got, err := s.Watch(ctx, "config", 0, time.Second); err != nil || got.Revision != rec.Revision {
		t.Errorf("Watch() = %v, %v", got, err)
	}
	if _, err := s.CompareAndSwap(ctx, "config", rec.Revision, nil); err != nil {
		t.Errorf("delete: %v", err)
	}
	if got := p.Calls()[0]; got.Sent != 2 {
		t.Errorf("reads of config = %d, want 2", got.Sent)
	}
}

func TestLease(t *testing.T) {
	p, c, _ := platform(t)
	ctx, s := context.Background(), c.Store()
	a, err := s.Acquire(ctx, "duties/moves", "a", time.Minute)
	if err != nil {
		t.Fatal(err)
	}
	if held, err := s.Acquire(ctx, "duties/moves", "b", time.Minute); !errors.Is(err, ward.ErrConflict) || held.Holder != "a" {
		t.Errorf("Acquire() of a held lease = %v, %v", held, err)
	}
	p.Lapse("duties/moves")
	if _, err := s.Renew(ctx, a, time.Minute); !errors.Is(err, ward.ErrLeaseLost) {
		t.Errorf("Renew() of a lapsed lease: %v", err)
	}
	b, err := s.Acquire(ctx, "duties/moves", "b", time.Minute)
	if err != nil || b.Fence <= a.Fence {
		t.Errorf("fence %d follows %d, %v", b.Fence, a.Fence, err)
	}
	if err := s.Release(ctx, a); err != nil || p.Lease("duties/moves").Holder != "b" {
		t.Errorf("Release() of a lost lease: %v, holder %q", err, p.Lease("duties/moves").Holder)
	}
}

// TestErrorsMatchEffects compares the error of a failed write with whether the
// platform stored the value.
func TestErrorsMatchEffects(t *testing.T) {
	cases := []struct {
		name   string
		faults memory.Faults
		stop   bool
		want   error
		wrote  bool
	}{
		{"down", memory.Faults{Down: true}, false, ward.ErrUnavailable, false},
		{"refused connection", memory.Faults{}, true, ward.ErrUnavailable, false},
		{"lost answer", memory.Faults{LostAnswer: 1}, false, ward.ErrOutcomeUnknown, true},
		{"lost request", memory.Faults{LostRequest: 1}, false, ward.ErrOutcomeUnknown, false},
		{"hanging", memory.Faults{Hang: true}, false, ward.ErrOutcomeUnknown, false},
		{"slow", memory.Faults{Slow: ward.Duration(1200 * time.Millisecond)}, false, ward.ErrOutcomeUnknown, true},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			p, cl, srv := platform(t)
			p.SetFaults(c.faults)
			if c.stop {
				srv.Close()
			}
			_, err := cl.Store().CompareAndSwap(context.Background(), "runs/1", 0, []byte("x"))
			if !errors.Is(err, c.want) {
				t.Errorf("error = %v, want %v", err, c.want)
			}
			p.SetFaults(memory.Faults{})
			rec, err := p.Get(context.Background(), "runs/1")
			if err != nil || (rec.Revision > 0) != c.wrote {
				t.Errorf("written = %v, %v, want %v", rec.Revision > 0, err, c.wrote)
			}
			_, err = cl.Store().Get(context.Background(), "runs/1")
			if c.stop && !errors.Is(err, ward.ErrUnavailable) {
				t.Errorf("read error = %v, want unavailable", err)
			}
		})
	}
}

func TestInstances(t *testing.T) {
	p, c, _ := platform(t)
	p.PutInstances(ward.Instance{Name: "b"}, ward.Instance{Name: "a", Role: ward.RoleEntry})
	list, err := c.Instances(context.Background())
	if err != nil || len(list) != 2 || list[0].Name != "a" {
		t.Errorf("Instances() = %v, %v", list, err)
	}
}

// TestSilentConnectionsCostOneCall lets the open connections fall silent. Once a call has
// run into its time limit, none of the others may be used again.
func TestSilentConnectionsCostOneCall(t *testing.T) {
	_, direct, _ := platform(t)
	p := &proxy.Proxy{Target: direct.raw.address}
	if err := p.Listen(); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(p.Close)
	c := New(Settings{Address: p.Address(), Timeout: 300 * time.Millisecond})
	t.Cleanup(c.Close)
	ctx, s := t.Context(), c.Store()
	var wg sync.WaitGroup
	for range 3 {
		wg.Go(func() {
			if _, err := s.Watch(ctx, "config", 0, 100*time.Millisecond); err != nil {
				t.Error(err)
			}
		})
	}
	wg.Wait()
	if n := p.SilenceOpen(); n < 2 {
		t.Fatalf("%d open connections, want several", n)
	}
	if _, err := s.Get(ctx, "config"); err == nil {
		t.Error("a call on a silent connection was answered")
	}
	for range 3 {
		if _, err := s.Get(ctx, "config"); err != nil {
			t.Errorf("call after it: %v", err)
		}
	}
}
