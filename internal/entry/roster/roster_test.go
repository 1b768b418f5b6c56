package roster

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"agateward/internal/platform/memory"
	"agateward/ward"

	"github.com/go-logr/logr"
)

func TestOnlyWatchersReadOften(t *testing.T) {
	cases := []struct {
		name     string
		watches  bool
		down     bool
		draining int
		first    string
	}{
		{"watches", true, false, 1, "e"},
		{"does not watch", false, false, 0, "e"},
		{"list down from the start", true, true, 0, "seed-127.0.0.1:1"},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				p := &memory.Platform{}
				p.SetFaults(memory.Faults{ListDown: c.down})
				p.PutInstances(ward.Instance{Name: "e", Role: ward.RoleUpstream, State: ward.InstanceLive})
				r := New(Deps{
					Roster: p, Seeds: []string{"127.0.0.1:1"}, Clock: ward.SystemClock{}, Log: logr.Discard(),
					Watches: func() bool { return c.watches },
				})
				ctx, cancel := context.WithCancel(context.Background())
				go func() { _ = r.Run(ctx) }()
				time.Sleep(time.Second)
				p.PutInstances(ward.Instance{Name: "e", Role: ward.RoleUpstream, State: ward.InstanceLeaving})
				time.Sleep(3 * time.Second)
				if n := len(r.Draining()); n != c.draining {
					t.Errorf("%d leaving, want %d", n, c.draining)
				}
				list, err := r.Instances(ctx)
				if err != nil || len(list) != 1 || list[0].Name != c.first {
					t.Errorf("list %v, error %v", list, err)
				}
				cancel()
			})
		})
	}
}
