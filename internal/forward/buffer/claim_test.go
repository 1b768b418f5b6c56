package buffer

import (
	"context"
	"errors"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"pgregory.net/rapid"
)

// model is what TestClaims knows of the answers.
type model struct {
	budget *Budget
	claims []*modelClaim
}

type modelClaim struct {
	*Claim
	owner string
	held  int
	whole bool
	cut   bool
}

// sum returns what the unfinished answers of an owner hold.
func (m *model) sum(owner string) int {
	n := 0
	for _, c := range m.claims {
		if c.owner == owner && !c.whole && !c.cut {
			n += c.held
		}
	}
	return n
}

func (m *model) held() int {
	n := 0
	for _, c := range m.claims {
		n += c.held
	}
	return n
}

// TestClaims guards against answers that exceed the bound in sum, against bytes that stay
// claimed, against a small answer that is cut while a larger one of an upstream that holds
// more is not, and against one that is cut after it is whole.
func TestClaims(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const total = 1000
		m := model{budget: &Budget{}}
		m.budget.SetTotal(0, total)
		for range rapid.IntRange(1, 150).Draw(t, "steps") {
			if len(m.claims) == 0 || rapid.IntRange(0, 4).Draw(t, "begin") == 0 {
				c := &modelClaim{owner: fmt.Sprint("u", rapid.IntRange(0, 3).Draw(t, "owner"))}
				c.Claim = m.budget.Claim(c.owner, func() {
					if c.whole || c.cut {
						t.Fatalf("a claim of %s is cut, whole %v, cut before %v", c.owner, c.whole, c.cut)
					}
					c.cut = true
				})
				m.claims = append(m.claims, c)
			}
			i := rapid.IntRange(0, len(m.claims)-1).Draw(t, "which")
			c := m.claims[i]
			switch n := rapid.IntRange(0, 200).Draw(t, "bytes"); {
			case c.cut || n < 20: // a cut answer is released before the next claim grows
				c.Release()
				m.claims = append(m.claims[:i], m.claims[i+1:]...)
			case n < 40:
				c.SetWhole(true)
				c.whole = true
			case !c.whole:
				m.grow(t, c, n, total)
			}
			for i := len(m.claims) - 1; i >= 0; i-- {
				if c := m.claims[i]; c.cut {
					c.Release()
					m.claims = append(m.claims[:i], m.claims[i+1:]...)
				}
			}
			if got := m.budget.Used(); got != int64(m.held()) || got > total {
				t.Fatalf("%d bytes are counted, %d are held, the bound is %d", got, m.held(), total)
			}
		}
		for _, c := range m.claims {
			c.Release()
		}
		if got := m.budget.Used(); got != 0 || len(m.budget.answers.unfinished) != 0 {
			t.Fatalf("%d bytes and %d claims stay", got, len(m.budget.answers.unfinished))
		}
	})
}

// grow lets a claim grow, and checks which ones were cut for it.
func (m *model) grow(t *rapid.T, c *modelClaim, n, total int) {
	c.held += n // counted for the choice of those that are cut
	before := make(map[*modelClaim]int)
	for _, o := range m.claims {
		before[o] = m.sum(o.owner)
	}
	err := c.Grow(n)
	if err != nil {
		c.held -= n
	}
	if (errors.Is(err, ErrCut) || errors.Is(err, ErrFull)) != c.cut {
		t.Fatalf("error %v, cut %v", err, c.cut)
	}
	for _, o := range m.claims {
		for _, kept := range m.claims {
			size := o.held
			if o == c && err != nil {
				size += n
			}
			if o.cut && !kept.cut && !kept.whole && m.sum(kept.owner) > before[o] && kept.held > size {
				t.Fatalf("%d bytes of %s with %d in all were cut, not %d of %s with %d", size, o.owner, before[o], kept.held, kept.owner, m.sum(kept.owner))
			}
		}
	}
}

// Guards against bytes beyond the bound and its overshoot while answers that were cut are not
// released yet, and against an answer that then waits for ever.
func TestGrowWaitsForRelease(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const total = 100
		var b Budget
		b.SetTotal(0, total)
		faulty := b.Claim("faulty", nil)
		if err := faulty.Grow(total); err != nil {
			t.Fatal(err)
		}
		sound := b.Claim("sound", nil)
		granted := 0
		go func() {
			for range 5 {
				if err := sound.Grow(10); err != nil {
					t.Errorf("the sound answer: %v", err)
				}
				granted += 10
			}
		}()
		synctest.Wait()
		if want := int(overshootFraction * total); faulty.Cut() == nil || granted > want || granted < want-10 {
			t.Errorf("cut: %v, %d bytes beyond the bound, want at most %d", faulty.Cut(), granted, want)
		}
		if err := faulty.Grow(1); !errors.Is(err, ErrCut) {
			t.Errorf("the answer that was cut grows: %v", err)
		}
		faulty.Release()
		synctest.Wait()
		if granted != 50 || b.Used() != 50 {
			t.Errorf("%d bytes granted, %d counted, want 50", granted, b.Used())
		}
	})
}

// Guards against an upstream that is blamed for answers which callers do not take.
func TestWholeAnswersFillTheBudget(t *testing.T) {
	for _, whole := range []int{40, 60} {
		var b Budget
		b.SetTotal(0, 100)
		taken, growing := b.Claim("u", nil), b.Claim("u", nil)
		if err := taken.Grow(whole); err != nil {
			t.Fatal(err)
		}
		taken.SetWhole(true)
		want := ErrCut
		if whole > 50 {
			want = ErrFull
		}
		if err := growing.Grow(100); !errors.Is(err, want) || taken.Cut() != nil {
			t.Errorf("beside %d whole bytes of 100: %v, want %v; the whole answer: %v", whole, err, want, taken.Cut())
		}
	}
}

// Guards against small answers that are cut, as callers take large ones too slowly and these use
// up the bound.
func TestLargeAnswersOfSlowCallersAreCutFirst(t *testing.T) {
	const total = 100
	tests := []struct {
		name string
		// taken holds the sizes of whole answers that callers take, grow the bytes of another one.
		taken []int
		grow  int
		// cut is the index of the taken one that is cut, -1 for the one that grows.
		cut int
	}{
		{"the largest is cut", []int{30, 50, 20}, 5, 1},
		{"the first of equal ones is cut", []int{50, 50}, 5, 0},
		{"no taken one is larger", []int{20, 20, 20, 20, 20}, 30, -1},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			var b Budget
			b.SetTotal(0, total)
			cuts := make([]bool, len(tt.taken))
			for i, n := range tt.taken {
				c := b.Claim("upstream-1", nil)
				if err := c.Grow(n); err != nil {
					t.Fatal(err)
				}
				c.SetTaken(func() { cuts[i] = true })
				defer c.Release()
			}
			c := b.Claim("upstream-2", nil)
			defer c.Release()
			if err := c.Grow(tt.grow); (err != nil) != (tt.cut < 0) || err != nil && !errors.Is(err, ErrFull) {
				t.Errorf("error %v of the answer that grows", err)
			}
			for i, cut := range cuts {
				if cut != (i == tt.cut) {
					t.Errorf("taken answer %d: cut %v", i, cut)
				}
			}
		})
	}
}

// Guards against sound answers of a stated length that are cut, or never read, as the bound is
// used up.
func TestReserveWaits(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const total = 4 * smallAnswer
		var b Budget
		b.SetTotal(0, total)
		first := b.Claim("upstream-1", func() { t.Error("an answer of a stated length is cut") })
		if err := first.Reserve(t.Context(), total); err != nil {
			t.Fatal(err)
		}
		small := b.Claim("upstream-2", nil)
		if err := small.Reserve(t.Context(), smallAnswer); err != nil {
			t.Errorf("small answer: %v", err)
		}
		small.Release()
		ctx, cancel := context.WithTimeout(t.Context(), time.Second)
		defer cancel()
		late := b.Claim("upstream-1", nil)
		if err := late.Reserve(ctx, smallAnswer+1); !errors.Is(err, context.DeadlineExceeded) {
			t.Errorf("error %v at the deadline", err)
		}
		late.Release()
		next := b.Claim("upstream-1", nil)
		done := make(chan error, 1)
		go func() { done <- next.Reserve(t.Context(), total) }()
		synctest.Wait()
		first.Release()
		if err := <-done; err != nil || b.Used() != total {
			t.Errorf("error %v after the release, %d bytes held", err, b.Used())
		}
		next.Release()
		endless := b.Claim("upstream-2", func() {})
		if err := endless.Grow(total); err != nil {
			t.Fatal(err)
		}
		sound := b.Claim("upstream-1", nil)
		go func() { done <- sound.Reserve(t.Context(), total/2) }()
		synctest.Wait()
		if !errors.Is(endless.Cut(), ErrCut) {
			t.Error("an upstream that sends without end keeps the bound")
		}
		endless.Release()
		if err := <-done; err != nil {
			t.Error(err)
		}
		sound.Release()
		if b.Used() != 0 {
			t.Errorf("%d bytes stay claimed", b.Used())
		}
	})
}
