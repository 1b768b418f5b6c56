package meter

import (
	"errors"
	"testing"
	"testing/synctest"
	"time"

	"agateward/internal/platform/family"
	"agateward/internal/platform/memory"
	"agateward/ward"
)

// TestFleetKeepsBudget has every entry of a fleet call as often as possible and
// counts the calls that reach the store.
func TestFleetKeepsBudget(t *testing.T) {
	const seconds = 60
	for _, n := range []int{8, 100, 410} {
		synctest.Test(t, func(t *testing.T) {
			var p memory.Platform
			budget := DefaultBudget()
			for range n {
				m := New(&p, nil, budget)
				m.SetEntries(n)
				go func() {
					for range seconds * 4 {
						_, _ = m.CompareAndSwap(t.Context(), "runs/1", 9, []byte("x"))
						time.Sleep(250 * time.Millisecond)
					}
				}()
			}
			time.Sleep(seconds * time.Second)
			row := budget.Rows[4]
			bound := row.Write.Fleet*seconds + float64(n*row.Write.Burst)
			if sent := sent(p.Calls(), family.Run, family.Write); float64(sent) > bound {
				t.Errorf("%d entries: %d writes in %d s, want at most %g", n, sent, seconds, bound)
			}
		})
	}
}

func TestOverBudgetIsNotSent(t *testing.T) {
	var p memory.Platform
	m := New(&p, nil, Budget{Rows: []Row{{Family: family.Config, Write: Rate{Fleet: 1, Burst: 1}}}})
	if _, err := m.CompareAndSwap(t.Context(), "config", 0, []byte("x")); err != nil {
		t.Fatal(err)
	}
	for _, key := range []string{"config", "tickets/1"} {
		if _, err := m.CompareAndSwap(t.Context(), key, 0, []byte("x")); !errors.Is(err, ward.ErrOverBudget) {
			t.Errorf("write of %q: %v, want over budget", key, err)
		}
	}
	if n := sent(p.Calls(), family.Config, family.Write); n != 1 {
		t.Errorf("%d writes reached the store, want 1", n)
	}
}

func TestLeaseAddsBudget(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var p memory.Platform
		m := New(&p, nil, Budget{Rows: []Row{
			{Family: family.Lease, Write: Rate{Fleet: 10, Burst: 10}},
			{Family: family.Move, Write: Rate{PerLease: 1, Burst: 1}},
		}})
		spend := func() error {
			time.Sleep(2 * time.Second)
			_, err := m.CompareAndSwap(t.Context(), "moves/a", 9, nil)
			return err
		}
		_ = spend() // the burst
		if err := spend(); !errors.Is(err, ward.ErrOverBudget) {
			t.Errorf("without a lease: %v, want over budget", err)
		}
		if _, err := m.Acquire(t.Context(), "duties/moves", "a", 10*time.Second); err != nil {
			t.Fatal(err)
		}
		_ = spend()
		if err := spend(); !errors.Is(err, ward.ErrConflict) {
			t.Errorf("with a lease: %v, want the store's answer", err)
		}
		time.Sleep(10 * time.Second)
		_ = spend()
		if err := spend(); !errors.Is(err, ward.ErrOverBudget) {
			t.Errorf("after the lease lapsed: %v, want over budget", err)
		}
	})
}

func sent(counts []family.Count, f family.Family, k family.Kind) uint64 {
	for _, c := range counts {
		if c.Family == f && c.Kind == k {
			return c.Sent
		}
	}
	return 0
}

// TestBurstOfLargeFleet checks that the burst of 410 entries that start together
// isn't larger than that of 8, except that each entry may make one call.
func TestBurstOfLargeFleet(t *testing.T) {
	const entries = 410
	sent := 0
	for range entries {
		var p memory.Platform
		m := New(&p, nil, Budget{Rows: []Row{{Family: family.Run, Read: Rate{Fleet: 1, Burst: 1}, Write: Rate{Fleet: 1, Burst: 40}}}})
		m.SetEntries(entries)
		for range 100 {
			if _, err := m.CompareAndSwap(t.Context(), "runs/0", 0, nil); !errors.Is(err, ward.ErrOverBudget) {
				sent++
			}
		}
	}
	if sent > entries {
		t.Errorf("%d calls at once", sent)
	}
}

// TestTicketsInLargeFleet checks that an operator can submit several tickets
// through one entry of 410, although its share of the fleet's rate is small.
func TestTicketsInLargeFleet(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var p memory.Platform
		m := New(&p, nil, DefaultBudget())
		m.SetEntries(410)
		for i := range 10 {
			if _, err := m.Get(t.Context(), "config"); err != nil {
				t.Fatalf("ticket %d: %v", i, err)
			}
			for _, key := range []string{"tickets/a", "config", "tickets/a"} {
				if _, err := m.CompareAndSwap(t.Context(), key, 9, []byte("x")); errors.Is(err, ward.ErrOverBudget) {
					t.Fatalf("ticket %d: %s: %v", i, key, err)
				}
			}
			time.Sleep(2 * time.Second)
		}
	})
}
