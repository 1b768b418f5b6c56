package schedule

import (
	"math/rand/v2"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// The knees of the engines hold from the start until kneesGone. They have to be known by
// kneesKnown at the latest, so that few requests more run there, and no limit may be left at kneesForgotten.
const (
	kneesKnown, kneesGone = 18 * time.Second, 20 * time.Second
	kneesForgotten        = 45 * time.Second
)

// kneePlans is the number of plans of each size: one takes about a second.
const kneePlans = 6

// kneePlan is a generated run of the entries of one cell and of engines with knees.
type kneePlan struct {
	entries      int
	seed         uint64
	loss, double float64
	delay        time.Duration
	disturbances []disturbance
}

func drawKneePlan(t *rapid.T, entries int) kneePlan {
	p := kneePlan{
		entries: entries, seed: rapid.Uint64().Draw(t, "seed"),
		loss: rapid.Float64Range(0, 0.3).Draw(t, "loss"), double: rapid.Float64Range(0, 0.3).Draw(t, "double"),
		delay: time.Duration(rapid.IntRange(1, 200).Draw(t, "delay-ms")) * time.Millisecond,
	}
	for range rapid.IntRange(0, 3).Draw(t, "disturbances") {
		p.disturbances = append(p.disturbances, disturbance{
			kind: rapid.SampledFrom([]string{freeze, restart, partition}).Draw(t, "kind"), entry: rapid.IntRange(0, entries-1).Draw(t, "entry"),
			at:   time.Duration(rapid.IntRange(0, 30000).Draw(t, "at-ms")) * time.Millisecond,
			span: time.Duration(rapid.IntRange(100, 4000).Draw(t, "span-ms")) * time.Millisecond,
		})
	}
	return p
}

// calm reports whether nothing was disturbed in the time before a moment.
func (p kneePlan) calm(before time.Duration, at time.Duration) bool {
	for _, d := range p.disturbances {
		if d.at < at && d.at+d.span > at-before {
			return false
		}
	}
	return true
}

func (p kneePlan) run(t *testing.T) {
	const slots, low = 8, 2
	knees := []int{low, slots, slots, low, slots, slots}
	sim, carries := kneeFleet(p.entries, slots, knees, []float64{1, 1, 1.5, 1, 2, 1}, true, p.seed)
	r := rand.New(rand.NewPCG(p.seed, 9))
	sim.deliver = func(from, to int) []time.Duration {
		for _, d := range p.disturbances {
			if at := sim.now.Sub(start); d.kind == partition && at >= d.at && at < d.at+d.span && (from <= d.entry) != (to <= d.entry) {
				return nil
			}
		}
		if r.Float64() < p.loss {
			return nil
		}
		list := []time.Duration{hopDelay + time.Duration(r.Float64()*float64(p.delay))}
		if r.Float64() < p.double {
			list = append(list, list[0]+time.Duration(r.Float64()*float64(p.delay)))
		}
		return list
	}
	for _, d := range p.disturbances {
		sim.after(d.at, func(now time.Time) {
			switch d.kind {
			case freeze:
				sim.frozen[d.entry] = now.Add(d.span)
			case restart:
				sim.restart(d.entry, p.seed+uint64(d.at))
			}
		})
	}
	mean := func(id string) float64 {
		sum := 0
		for _, s := range sim.entries {
			sum += s.byID[id].slots()
		}
		return float64(sum) / float64(len(sim.entries))
	}
	running, looks := make([]int, len(knees)), 0
	for at := 100 * time.Millisecond; at < kneesForgotten; at += 100 * time.Millisecond {
		sim.after(at, func(time.Time) {
			if at > kneesKnown && at <= kneesGone {
				looks++
				for i := range knees {
					running[i] += sim.engines[engineName(i)].running
				}
			}
			for _, s := range sim.entries {
				for id, u := range s.byID {
					if n := u.slots(); n < 1 || n > slots {
						t.Fatalf("%s: limit %d with %d slots", id, n, slots)
					}
				}
			}
		})
	}
	sim.after(kneesGone, func(time.Time) {
		for i, at := range knees {
			if n := float64(running[i]) / float64(looks); at == low && n > 2*low && p.calm(kneesGone, kneesGone) {
				t.Errorf("%s with a knee of %d runs %.1f requests after %v, limit %.1f", engineName(i), at, n, kneesKnown, mean(engineName(i)))
			}
			sim.setKnee(sim.engines[engineName(i)], slots)
		}
	})
	sim.load(0.95*carries, 0, kneesGone)
	sim.load(1.6*carries, kneesGone, kneesForgotten)
	sim.run(kneesForgotten)
	for i := range knees {
		if n := mean(engineName(i)); n < 6.5 && p.calm(10*time.Second, kneesForgotten) {
			t.Errorf("%s still has a limit of %.1f of %d slots %v after its knee went", engineName(i), n, slots, kneesForgotten-kneesGone)
		}
	}
}

// Guards against a limit that is out of its bounds, that is not learned, or that stays low
// after its cause is gone, with lost, late and doubled messages, partitions, frozen entries
// and restarts. Cells exchange no samples, so one cell of a fleet is simulated: fleets of 80
// and 400 entries in three data centres have cells of 9 and 12.
func TestKneeProperties(t *testing.T) {
	t.Parallel()
	tests := []struct {
		name string
		cell int
	}{
		{"1 entry", 1}, {"8 entries", 8}, {"cell of 80 entries", 9}, {"cell of 400 entries", 12},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			plans := rapid.Custom(func(rt *rapid.T) kneePlan { return drawKneePlan(rt, tt.cell) })
			for seed := range kneePlans {
				p := plans.Example(seed)
				t.Logf("seed %d: %+v", seed, p)
				p.run(t)
			}
		})
	}
}
