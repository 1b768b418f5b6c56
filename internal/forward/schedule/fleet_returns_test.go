package schedule

import (
	"fmt"
	"testing"
	"time"

	"agateward/internal/forward/returns"
	"agateward/ward"
)

// caller is a caller of the simulation that comes back once after a refusal.
type caller struct {
	first    *Job
	attempts int
}

// callers counts callers by rank, from their first requests on.
type callers struct {
	// atOnce is the part of them that repeat at once, whatever Retry-After says.
	atOnce float64
	// brief has them ask for short answers, whole before their requests expire.
	brief bool
	byJob map[uint64]*caller
	// all counts the callers, onTime and late those that were answered; refusedOnce those
	// that came back, refusedAgain those of them that were refused again.
	all, onTime, late, refusedOnce, refusedAgain [3]int
	promised, taken                              int
}

// preferReturns has refused callers come back, and turns the option on or off.
func (sim *simulation) preferReturns(on bool) *callers {
	sim.callers = &callers{byJob: make(map[uint64]*caller)}
	for _, s := range sim.entries {
		s.Options.PreferReturns = on
	}
	return sim.callers
}

func (c *callers) arrived(sim *simulation, j *Job) {
	if c == nil {
		return
	}
	if c.brief {
		j.Deadline, j.Output = j.Expires, 1+j.Output/10
	}
	c.all[j.Rank[1]]++
	c.byJob[j.ID] = &caller{first: j, attempts: 1}
}

func (c *callers) answered(j *Job, now time.Time) {
	if c == nil {
		return
	}
	if who := c.byJob[j.ID]; now.After(who.first.Arrived.Add(600 * time.Millisecond)) {
		c.late[j.Rank[1]]++
	} else {
		c.onTime[j.Rank[1]]++
	}
}

// refused has the caller of a refused job come back at another entry. It honours
// Retry-After up to a third of its time.
func (c *callers) refused(sim *simulation, i int, a Action) {
	if c == nil {
		return
	}
	who, rank := c.byJob[a.Job.ID], a.Job.Rank[1]
	if who.attempts++; who.attempts > 2 {
		c.refusedAgain[rank]++
		return
	}
	c.refusedOnce[rank]++
	wait := a.RetryAfter
	if a.Offer != nil {
		var ok bool
		if wait, ok = sim.entries[i].Promise(a, who.first.ID, sim.now); ok {
			c.promised++
			sim.tellReturns(i)
		}
	}
	wait = min(wait, who.first.Deadline.Sub(sim.now)/3)
	if sim.r.Float64() < c.atOnce {
		wait = 0
	}
	k := sim.r.IntN(len(sim.entries))
	sim.after(wait+hopDelay, func(time.Time) {
		for sim.dead[k] || k == i && len(sim.entries) > 1 {
			k = (k + 1) % len(sim.entries)
		}
		sim.whenAwake(k, func(now time.Time) { c.comeBack(sim, who, k, now) })
	})
}

func (c *callers) comeBack(sim *simulation, who *caller, k int, now time.Time) {
	sim.ids++
	s, j := sim.entries[k], job(sim.ids, who.first.Rank[1], now)
	j.Prompt, j.Output, j.Deadline = who.first.Prompt, who.first.Output, who.first.Deadline
	if c.brief {
		j.Expires = j.Deadline
	}
	if s.ReturnsDue(now) {
		if p, ok := s.TakeReturn(who.first.ID, now); ok {
			c.taken++
			j.Returned, j.Due, j.Arrived = true, p.Arrived.Add(j.Due.Sub(j.Arrived)), p.Arrived
			sim.tellReturns(k)
		}
	}
	c.byJob[j.ID] = who
	sim.counts.requests[j.Rank[1]]++
	sim.execute(k, s.Arrive(j, now))
}

// tellReturns sends what is new about promises to all other entries, as the node does.
func (sim *simulation) tellReturns(i int) {
	sim.after(time.Duration(sim.r.Float64()*float64(broadcastInterval)), func(now time.Time) {
		n := sim.entries[i].ReturnNews(now)
		if n.Empty() || sim.dead[i] {
			return
		}
		for k := range sim.entries {
			if k != i && !sim.dead[k] {
				sim.message(i, k, func(now time.Time) { sim.entries[k].LearnReturns(n, now) })
			}
		}
	})
}

// again is the share of callers that were refused again, of those that came back.
func (c *callers) again() float64 {
	return float64(sum(c.refusedAgain)) / float64(max(sum(c.refusedOnce), 1))
}

// served is the share of the callers of a rank that got an answer.
func (c *callers) served(rank int) float64 {
	return float64(c.onTime[rank]+c.late[rank]) / float64(max(c.all[rank], 1))
}

func (c *callers) inTime(rank int) float64 {
	return float64(c.onTime[rank]) / float64(max(c.all[rank], 1))
}

func sum(n [3]int) int { return n[0] + n[1] + n[2] }

func (c *callers) log(t *testing.T, name string) {
	t.Helper()
	t.Logf("%s: again %.3f (%d of %d), promised %d, used %d; in time %.3f %.3f %.3f; served %.3f %.3f %.3f",
		name, c.again(), sum(c.refusedAgain), sum(c.refusedOnce), c.promised, c.taken,
		c.inTime(0), c.inTime(1), c.inTime(2), c.served(0), c.served(1), c.served(2))
}

// TestReturns checks that refused callers which come back as told are refused again less
// often than without promises, and that no rank pays for it.
func TestReturns(t *testing.T) {
	t.Parallel()
	cases := []struct {
		name  string
		seeds uint64
		// most is the greatest part of the refused returns that remains.
		most float64
		load func(sim *simulation)
	}{
		{"overload of 1.5 that lasts", 8, 0.8, func(sim *simulation) { sim.load(1.5*capacity, 0, 12*time.Second) }},
		{"bursts of 2 for 3 s", 8, 0.65, func(sim *simulation) {
			sim.load(0.6*capacity, 0, 18*time.Second)
			sim.load(1.4*capacity, 3*time.Second, 6*time.Second)
			sim.load(1.4*capacity, 11*time.Second, 14*time.Second)
		}},
		// The engines answer about four times as many short requests.
		{"bursts of callers with little time", 3, 0.9, func(sim *simulation) {
			sim.callers.brief = true
			sim.load(2.4*capacity, 0, 12*time.Second)
			sim.load(5.6*capacity, 3*time.Second, 6*time.Second)
		}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			var total [2]callers
			for seed := uint64(1); seed <= c.seeds; seed++ {
				for on := range 2 {
					sim := newSimulation(8, 9, 6, seed)
					got := sim.preferReturns(on == 1)
					c.load(sim)
					sim.run(24 * time.Second)
					total[on].add(got)
				}
			}
			total[0].log(t, "off")
			total[1].log(t, "on")
			if off, on := total[0].again(), total[1].again(); on > c.most*off {
				t.Errorf("%.3f of the returns are refused again, %.3f without promises", on, off)
			}
			for rank := range 3 {
				if off, on := total[0].served(rank), total[1].served(rank); on < off-0.01 {
					t.Errorf("rank %d: %.3f answered, %.3f without promises", rank, on, off)
				}
				// A return that is answered is late for its caller, so some answers in time
				// are exchanged for more late ones.
				if off, on := total[0].inTime(rank), total[1].inTime(rank); on < off-0.04 {
					t.Errorf("rank %d: %.3f in time, %.3f without promises", rank, on, off)
				}
			}
		})
	}
}

func (c *callers) add(o *callers) {
	for r := range c.all {
		c.all[r] += o.all[r]
		c.onTime[r] += o.onTime[r]
		c.late[r] += o.late[r]
		c.refusedOnce[r] += o.refusedOnce[r]
		c.refusedAgain[r] += o.refusedAgain[r]
	}
	c.promised += o.promised
	c.taken += o.taken
}

// TestReturnsUnderFaults checks that what befalls promises costs no more than what it would
// without them.
func TestReturnsUnderFaults(t *testing.T) {
	t.Parallel()
	cases := []struct {
		name  string
		fault func(sim *simulation)
		// slack is the share of the returns that may be refused again beyond that without
		// promises; below 0 it has to be less.
		slack float64
	}{
		{"half of the messages lost", func(sim *simulation) { sim.deliver = sim.lossy(0.5, 0) }, 0},
		{"messages late and doubled", func(sim *simulation) { sim.deliver = sim.lossy(0, 250*time.Millisecond) }, 0},
		{"entries cut off from each other", func(sim *simulation) {
			sim.deliver = func(from, to int) []time.Duration {
				if at := sim.now.Sub(start); at > 4*time.Second && at < 8*time.Second && from%2 != to%2 {
					return nil
				}
				return []time.Duration{hopDelay}
			}
		}, 0},
		{"an entry that restarts", func(sim *simulation) {
			sim.after(5*time.Second, func(time.Time) { sim.entries[1].promises = returns.Book{Seed: 1} })
		}, -0.03},
		{"upstreams that end while promises are open", func(sim *simulation) {
			sim.after(5*time.Second, func(now time.Time) { sim.keepEngines(6, now) })
		}, 0},
		{"callers that repeat at once", func(sim *simulation) { sim.callers.atOnce = 1 }, 0.02},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			var total [2]callers
			for seed := uint64(1); seed <= 4; seed++ {
				for on := range 2 {
					sim := newSimulation(8, 9, 6, seed)
					got := sim.preferReturns(on == 1)
					c.fault(sim)
					sim.load(1.5*capacity, 0, 12*time.Second)
					sim.run(24 * time.Second)
					total[on].add(got)
				}
			}
			total[0].log(t, "off")
			total[1].log(t, "on")
			if off, on := total[0].again(), total[1].again(); on > off+c.slack {
				t.Errorf("%.3f of the returns are refused again, %.3f without promises", on, off)
			}
			for rank := range 3 {
				if off, on := total[0].served(rank), total[1].served(rank); on < off-0.02 {
					t.Errorf("rank %d: %.3f answered, %.3f without promises", rank, on, off)
				}
			}
		})
	}
}

// lossy delivers messages with losses, or late and doubled.
func (sim *simulation) lossy(loss float64, late time.Duration) func(from, to int) []time.Duration {
	return func(int, int) []time.Duration {
		switch x := sim.r.Float64(); {
		case x < loss:
			return nil
		case late > 0 && x < 0.5:
			return []time.Duration{hopDelay, late}
		case late > 0:
			return []time.Duration{late}
		}
		return []time.Duration{hopDelay}
	}
}

// keepEngines has all entries learn that only the first n engines are left. Requests that run
// at the others end normally.
func (sim *simulation) keepEngines(n int, now time.Time) {
	var list []ward.Replica
	for i := range n {
		id := fmt.Sprintf("engine-%02d", i)
		list = append(list, ward.Replica{ID: id, Service: "menus", DataCentre: string(rune('a' + i%3)), Address: id, Slots: sim.slots, Version: "v1"})
	}
	for i, s := range sim.entries {
		sim.execute(i, s.SetUpstreams(list, now))
	}
}
