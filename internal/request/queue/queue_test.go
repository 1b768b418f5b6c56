package queue_test

import (
	"fmt"
	"slices"
	"testing"
	"time"

	_ "agateward/internal/bench/seed"
	"agateward/internal/request/queue"
	"agateward/ward"

	"pgregory.net/rapid"
)

var start = time.Unix(1_700_000_000, 0)

// model compares a queue with a plain list.
type model struct {
	q     queue.Queue
	items []*queue.Item
	n     int
}

func (m *model) push(t *rapid.T) {
	m.n++
	it := &queue.Item{
		ID:     fmt.Sprint(m.n),
		Team:   rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "team"),
		Weight: rapid.IntRange(0, 3).Draw(t, "weight"),
		Tier:   ward.Tier(rapid.IntRange(1, ward.TierCount).Draw(t, "tier")),
		Due:    start.Add(time.Duration(rapid.IntRange(0, 50).Draw(t, "due")) * time.Second),
		Cost:   float64(rapid.IntRange(1, 1000).Draw(t, "cost")),
	}
	it.Latest = it.Due
	m.q.Push(it)
	m.items = append(m.items, it)
}

func (m *model) drop(it *queue.Item) {
	m.items = slices.DeleteFunc(m.items, func(x *queue.Item) bool { return x == it })
}

func (m *model) pop(t *rapid.T) {
	it := m.q.Pop()
	if it == nil {
		if len(m.items) > 0 {
			t.Fatal("nothing popped from a queue that holds items")
		}
		return
	}
	for _, x := range m.items {
		if x.Tier < it.Tier {
			t.Fatalf("popped tier %d while tier %d waits", it.Tier, x.Tier)
		}
		if x.Tier == it.Tier && x.Team == it.Team && x.Due.Before(it.Due) {
			t.Fatalf("popped an item due at %v before its team's at %v", it.Due, x.Due)
		}
	}
	m.drop(it)
}

func (m *model) remove(t *rapid.T) {
	if len(m.items) == 0 {
		return
	}
	it := rapid.SampledFrom(m.items).Draw(t, "item")
	m.q.Remove(it)
	m.q.Remove(it) // a second time changes nothing
	m.drop(it)
}

func (m *model) displace(t *rapid.T) {
	above := ward.Tier(rapid.IntRange(1, ward.TierCount).Draw(t, "above"))
	it := m.q.Victim(above)
	lowest := above
	for _, x := range m.items {
		lowest = max(lowest, x.Tier)
	}
	if (it == nil) != (lowest == above) || it != nil && it.Tier != lowest {
		t.Fatalf("victim %+v above tier %d, lowest waiting is %d", it, above, lowest)
	}
	if it != nil {
		m.q.Remove(it)
		m.drop(it)
	}
}

func (m *model) expire(t *rapid.T) {
	now := start.Add(time.Duration(rapid.IntRange(0, 50).Draw(t, "now")) * time.Second)
	for it := m.q.Expired(now); it != nil; it = m.q.Expired(now) {
		m.q.Remove(it)
		m.drop(it)
	}
	for _, x := range m.items {
		if !x.Latest.After(now) {
			t.Fatalf("an item with latest time %v is left at %v", x.Latest, now)
		}
	}
}

func (m *model) check(t *rapid.T) {
	sum := 0.0
	var waiting [ward.TierCount]int
	for _, x := range m.items {
		sum += x.Cost
		waiting[x.Tier-1]++
	}
	if m.q.Len() != len(m.items) || m.q.Waiting() != waiting || m.q.Cost() != sum {
		t.Fatalf("len %d cost %g waiting %v, want %d %g %v", m.q.Len(), m.q.Cost(), m.q.Waiting(), len(m.items), sum, waiting)
	}
}

func TestQueueAgainstList(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := &model{}
		t.Repeat(map[string]func(*rapid.T){
			"push": m.push, "pop": m.pop, "remove": m.remove, "displace": m.displace, "expire": m.expire, "": m.check,
		})
	})
}

// TestFairByTokens checks that a team that sends ten times as many requests gets
// no more than its share by weight while others wait.
func TestFairByTokens(t *testing.T) {
	var q queue.Queue
	for i := range 1000 {
		q.Push(&queue.Item{ID: fmt.Sprint("big", i), Team: "big", Tier: 2, Cost: 100})
		if i < 100 {
			q.Push(&queue.Item{ID: fmt.Sprint("small", i), Team: "small", Weight: 2, Tier: 2, Cost: 400})
		}
	}
	served := map[string]float64{}
	for served["small"] < 40_000 {
		it := q.Pop()
		served[it.Team] += it.Cost
	}
	if ratio := served["small"] / served["big"]; ratio < 1.9 || ratio > 2.1 {
		t.Fatalf("the team of weight 2 got %.2f times the other's tokens, want 2", ratio)
	}
}

func BenchmarkPushPop(b *testing.B) {
	for _, teams := range []int{10, 300, 2900} {
		b.Run(fmt.Sprintf("teams-%d", teams), func(b *testing.B) {
			var q queue.Queue
			items := make([]queue.Item, 4*teams)
			for i := range items {
				items[i] = queue.Item{
					Team: fmt.Sprint("team-", i%teams), Tier: ward.Tier(i%ward.TierCount + 1),
					Due: start.Add(time.Duration(i*7919%1000) * time.Millisecond), Cost: float64(100 + i%900),
				}
				q.Push(&items[i])
			}
			b.ReportAllocs()
			for b.Loop() {
				q.Push(q.Pop())
			}
		})
	}
}
