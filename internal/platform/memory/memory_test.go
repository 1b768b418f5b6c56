package memory

import (
	"context"
	"errors"
	"testing"
	"testing/synctest"
	"time"

	"agateward/ward"
)

func TestWatchOnVirtualTime(t *testing.T) {
	cases := []struct {
		name  string
		lag   time.Duration
		write time.Duration
		wait  time.Duration
		took  time.Duration
		want  string
	}{
		{"wakes on a write", 0, time.Second, time.Minute, time.Second, "b"},
		{"returns the old record at the end", 0, time.Hour, 20 * time.Second, 20 * time.Second, "a"},
		{"lags", 4 * time.Second, time.Second, time.Minute, 5 * time.Second, "b"},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				var p Platform
				ctx := t.Context()
				a, err := p.CompareAndSwap(ctx, "config", 0, []byte("a"))
				if err != nil {
					t.Fatal(err)
				}
				p.SetFaults(Faults{WatchLag: ward.Duration(c.lag)})
				go func() {
					time.Sleep(c.write)
					_, _ = p.CompareAndSwap(ctx, "config", a.Revision, []byte("b"))
				}()
				start := time.Now()
				rec, err := p.Watch(ctx, "config", a.Revision, c.wait)
				if err != nil || string(rec.Value) != c.want || time.Since(start) != c.took {
					t.Errorf("Watch() = %q, %v after %v, want %q after %v", rec.Value, err, time.Since(start), c.want, c.took)
				}
				time.Sleep(time.Hour)
			})
		})
	}
}

func TestHangEndsWithContext(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var p Platform
		p.SetFaults(Faults{Hang: true})
		ctx, cancel := context.WithTimeout(t.Context(), time.Second)
		defer cancel()
		if _, err := p.CompareAndSwap(ctx, "config", 0, []byte("a")); !errors.Is(err, ward.ErrOutcomeUnknown) {
			t.Errorf("error = %v, want outcome unknown", err)
		}
	})
}

func TestListLags(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var p Platform
		p.SetFaults(Faults{ListLag: ward.Duration(10 * time.Second)})
		p.SetInstances(ward.Instance{Name: "a"})
		time.Sleep(time.Minute)
		p.PutInstances(ward.Instance{Name: "b"})
		for _, want := range []int{1, 2} {
			list, err := p.Instances(t.Context())
			if err != nil || len(list) != want {
				t.Errorf("list = %v, %v, want %d instances", list, err, want)
			}
			time.Sleep(10 * time.Second)
		}
	})
}

// TestRestore restores a platform from a copy: revisions and fencing numbers that are
// given out again must not equal the earlier ones.
func TestRestore(t *testing.T) {
	var p Platform
	ctx := t.Context()
	kept, err := p.CompareAndSwap(ctx, "config", 0, []byte("a"))
	if err != nil {
		t.Fatal(err)
	}
	copied := p.Copy()
	old, err := p.CompareAndSwap(ctx, "config", kept.Revision, []byte("b"))
	if err != nil {
		t.Fatal(err)
	}
	lease, err := p.Acquire(ctx, "duty", "e1", time.Minute)
	if err != nil {
		t.Fatal(err)
	}
	p.Restore(copied)
	rec, err := p.Get(ctx, "config")
	if err != nil || string(rec.Value) != "a" || rec.Revision <= old.Revision {
		t.Errorf("record %q at %s: %v", rec.Value, ward.RevisionText(rec.Revision), err)
	}
	if _, err := p.CompareAndSwap(ctx, "config", old.Revision, []byte("c")); !errors.Is(err, ward.ErrConflict) {
		t.Errorf("a write under a revision of the earlier era: %v", err)
	}
	if _, err := p.Renew(ctx, lease, time.Minute); !errors.Is(err, ward.ErrLeaseLost) {
		t.Errorf("renewal of a lease of the earlier era: %v", err)
	}
	if again, err := p.Acquire(ctx, "duty", "e2", time.Minute); err != nil || again.Fence <= lease.Fence {
		t.Errorf("fence %s follows %s: %v", ward.RevisionText(again.Fence), ward.RevisionText(lease.Fence), err)
	}
	if rec, err := p.CompareAndSwap(ctx, "config", rec.Revision, []byte("d")); err != nil || rec.Revision <= old.Revision {
		t.Errorf("the next write is at %s: %v", ward.RevisionText(rec.Revision), err)
	}
}
