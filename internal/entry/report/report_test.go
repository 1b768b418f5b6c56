package report

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"agateward/ward"

	"github.com/go-logr/logr"
)

// fakeBackend counts reads; upstream-0 reports that it is draining.
type fakeBackend struct {
	ward.Backend
	mu      sync.Mutex
	reports map[string]int
	events  map[string]int
}

func (f *fakeBackend) Report(_ context.Context, u ward.Upstream) (ward.LoadReport, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.reports[u.Name]++
	return ward.LoadReport{Leaving: u.Name == "upstream-0"}, nil
}

func (f *fakeBackend) CacheEvents(_ context.Context, u ward.Upstream, _ uint64) ([]ward.CacheEvent, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.events[u.Name]++
	return nil, nil
}

// TestReadsHardlyGrowWithTheFleet counts the reads of one entry in a minute, of the
// upstreams that it uses and of the others.
func TestReadsHardlyGrowWithTheFleet(t *testing.T) {
	cases := []struct {
		entries, upstreams int
		// atMost bounds the reads of upstreams that the entry doesn't use.
		atMost int
	}{
		{8, 12, 12 * 16},
		{410, 750, 750},
	}
	for _, c := range cases {
		t.Run(fmt.Sprintf("entries=%d", c.entries), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				cfg := &ward.Config{}
				for i := range c.upstreams {
					cfg.Upstreams = append(cfg.Upstreams, ward.Upstream{Name: fmt.Sprintf("upstream-%d", i), Kind: ward.KindEngine})
				}
				f := &fakeBackend{reports: map[string]int{}, events: map[string]int{}}
				r := New(Deps{
					Backend: func(ward.UpstreamKind) ward.Backend { return f }, Config: func() *ward.Config { return cfg },
					Entries: func() int { return c.entries }, InUse: func() []string { return []string{"upstream-0", "upstream-1"} },
					Report: func(ward.LoadReport) {}, Cache: func(string, []ward.CacheEvent) {},
					Interval: time.Second, Clock: ward.SystemClock{}, Log: logr.Discard(), Seed: 1,
				})
				ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
				defer cancel()
				_ = r.Run(ctx)
				others := 0
				for name, n := range f.reports {
					if name != "upstream-0" && name != "upstream-1" {
						others += n
					}
				}
				if f.reports["upstream-1"] < 50 || f.events["upstream-1"] < 50 {
					t.Errorf("an upstream in use was read %d times, its events %d times, want at least 50", f.reports["upstream-1"], f.events["upstream-1"])
				}
				if others > c.atMost {
					t.Errorf("upstreams not in use were read %d times, want at most %d", others, c.atMost)
				}
				if len(f.events) != 2 {
					t.Errorf("cache events of %d upstreams were read, want those of 2", len(f.events))
				}
				if l := r.Draining(); len(l) != 1 || l[0] != "upstream-0" {
					t.Errorf("leaving %v, want upstream-0", l)
				}
			})
		})
	}
}
