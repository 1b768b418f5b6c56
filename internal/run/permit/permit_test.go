package permit

import (
	"errors"
	"sync"
	"sync/atomic"
	"testing"
	"time"
)

func TestSpend(t *testing.T) {
	now := time.Unix(100, 0)
	cases := []struct {
		name   string
		permit *Permit
		id     string
		want   error
	}{
		{"own request", New("a", now), "a", nil},
		{"no expiry", New("a", time.Time{}), "a", nil},
		{"another request", New("a", now), "b", ErrForeign},
		{"zero value", &Permit{}, "", ErrForeign},
		{"expired", New("a", now.Add(-1)), "a", ErrExpired},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			if err := c.permit.Spend(c.id, now); !errors.Is(err, c.want) {
				t.Errorf("got %v, want %v", err, c.want)
			}
			if err := c.permit.Spend(c.id, now); err == nil {
				t.Error("spent twice")
			}
		})
	}
}

func TestSpentOnceByMany(t *testing.T) {
	p := New("a", time.Time{})
	var n atomic.Int32
	var wg sync.WaitGroup
	for range 32 {
		wg.Go(func() {
			if p.Spend("a", time.Time{}) == nil {
				n.Add(1)
			}
		})
	}
	wg.Wait()
	if n.Load() != 1 {
		t.Errorf("spent %d times", n.Load())
	}
}
