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

// fake counts reads; upstream-0 says that it leaves.
type fake struct {
	ward.Backend
	mu      sync.Mutex
	reports map[string]int
	events  map[string]int
}

func (f *fake) Report(_ context.Context, u ward.Upstream) (ward.LoadReport, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.reports[u.Name]++
	return ward.LoadReport{Leaving: u.Name == "upstream-0"}, nil
}

func (f *fake) CacheEvents(_ context.Context, u ward.Upstream, _ uint64) ([]ward.CacheEvent, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.events[u.Name]++
	return nil, nil
}

// TestReadsHardlyGrowWithTheFleet lets one entry read for a minute what it feeds
// and what others feed.
func TestReadsHardlyGrowWithTheFleet(t *testing.T) {
	cases := []struct {
		entries, upstreams int
		// atMost bounds the reads of the minute of upstreams that others feed.
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
				f := &fake{reports: map[string]int{}, events: map[string]int{}}
				r := New(Deps{
					Backend: func(ward.UpstreamKind) ward.Backend { return f }, Config: func() *ward.Config { return cfg },
					Entries: func() int { return c.entries }, Own: func() []string { return []string{"upstream-0", "upstream-1"} },
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
					t.Errorf("an upstream that is fed was read %d times, its events %d times", f.reports["upstream-1"], f.events["upstream-1"])
				}
				if others > c.atMost {
					t.Errorf("upstreams of others were read %d times, want at most %d", others, c.atMost)
				}
				if len(f.events) != 2 {
					t.Errorf("cache events of %d upstreams were read, want those of 2", len(f.events))
				}
				if l := r.Leaving(); len(l) != 1 || l[0] != "upstream-0" {
					t.Errorf("leaving %v", l)
				}
			})
		})
	}
}
