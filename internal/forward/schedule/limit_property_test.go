package schedule

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"agateward/ward"

	"pgregory.net/rapid"
)

// disturbance is what happens to an entry, or to the messages between entries, for a time.
type disturbance struct {
	kind     string
	entry    int
	at, span time.Duration
}

const (
	freeze    = "freeze"
	restart   = "restart"
	partition = "partition" // the entries up to entry do not hear the others
)

// limitPlan is a generated run of entries and engines with limits.
type limitPlan struct {
	entries      int
	seed         uint64
	rate         float64
	limits       []float64
	again        bool // the limits end for a while and are named again
	loss, double float64
	delay        time.Duration
	disturbances []disturbance
}

const (
	limitFrom, limitTo = 2 * time.Second, 14 * time.Second
	limitRun           = 24 * time.Second
	// limitGap is when limits that end in between do not hold.
	limitGapFrom, limitGapTo = 6 * time.Second, 8 * time.Second
)

func drawLimitPlan(t *rapid.T) limitPlan {
	p := limitPlan{
		entries: rapid.IntRange(1, 12).Draw(t, "entries"), seed: rapid.Uint64().Draw(t, "seed"),
		rate: rapid.Float64Range(10, 70).Draw(t, "rate"), again: rapid.Bool().Draw(t, "again"),
		loss: rapid.Float64Range(0, 0.4).Draw(t, "loss"), double: rapid.Float64Range(0, 0.3).Draw(t, "double"),
		delay: time.Duration(rapid.IntRange(1, 300).Draw(t, "delay-ms")) * time.Millisecond,
	}
	for range rapid.IntRange(1, 6).Draw(t, "limits") {
		p.limits = append(p.limits, rapid.SampledFrom([]float64{0, 0.1, 0.7, 1.7, 2.1, 4, 9, 25}).Draw(t, "limit"))
	}
	for range rapid.IntRange(0, 4).Draw(t, "disturbances") {
		p.disturbances = append(p.disturbances, disturbance{
			kind: rapid.SampledFrom([]string{freeze, restart, partition}).Draw(t, "kind"), entry: rapid.IntRange(0, p.entries-1).Draw(t, "entry"),
			at:   time.Duration(rapid.IntRange(0, 13000).Draw(t, "at-ms")) * time.Millisecond,
			span: time.Duration(rapid.IntRange(100, 6000).Draw(t, "span-ms")) * time.Millisecond,
		})
	}
	return p
}

// limit returns the limit that engine i states.
func (p limitPlan) limit(i int) func(now time.Time) ward.RateLimit {
	named := limitBetween(p.limits[i], limitFrom, limitTo)
	return func(now time.Time) ward.RateLimit {
		if d := now.Sub(start); p.again && d >= limitGapFrom && d < limitGapTo {
			return ward.RateLimit{}
		}
		return named(now)
	}
}

// calmFrom returns the end of the last disturbance.
func (p limitPlan) calmFrom() time.Duration {
	end := time.Duration(0)
	for _, d := range p.disturbances {
		end = max(end, d.at+d.span)
	}
	return end
}

// limitsEndWithin is the time in which all entries know the end of a limit once an engine
// has answered a request after it.
const limitsEndWithin = 2 * time.Second

// checkLimitsEnded checks that all entries know that the limits of n engines have ended. A
// slow engine may be too slow for every request, so that none of its answers show it.
func (sim *simulation) checkLimitsEnded(t *rapid.T, n int) {
	for i := range n {
		id := engineName(i)
		asked := sim.between(id, limitTo, limitRun-limitsEndWithin) > 0
		for k, s := range sim.entries {
			if s.byID[id].limited() && (asked || i%3 != 2) {
				t.Errorf("entry %d still believes that %s has a limit; it was asked: %t", k, id, asked)
			}
		}
	}
}

// excused reports whether an entry was frozen or started again shortly before a time.
func (p limitPlan) excused(entry int, at time.Time) bool {
	for _, d := range p.disturbances {
		from := start.Add(d.at)
		if d.kind != partition && d.entry == entry && !at.Before(from) && at.Before(from.Add(d.span+limitContact)) {
			return true
		}
	}
	return false
}

func (p limitPlan) run(entries int) *simulation {
	sim := newSimulation(entries, 9, 6, p.seed)
	r := rand.New(rand.NewPCG(p.seed, 9))
	for i := range p.limits {
		sim.engines[engineName(i)].limit = p.limit(i)
	}
	sim.deliver = p.deliver(sim, r)
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
	sim.load(p.rate, 0, limitRun)
	return sim
}

// deliver returns how messages between entries are lost, late, doubled, or stopped by a
// partition.
func (p limitPlan) deliver(sim *simulation, r *rand.Rand) func(from, to int) []time.Duration {
	return func(from, to int) []time.Duration {
		for _, d := range p.disturbances {
			at := sim.now.Sub(start)
			if d.kind == partition && at >= d.at && at < d.at+d.span && (from <= d.entry) != (to <= d.entry) {
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
}

func engineName(i int) string { return fmt.Sprintf("engine-%02d", i) }

// restart replaces an entry by a new process that knows nothing.
func (sim *simulation) restart(i int, seed uint64) {
	old := sim.entries[i]
	s := &Scheduler{Name: old.Name, DataCentre: old.DataCentre, Start: seed, Rand: rand.New(rand.NewPCG(seed, 1)), Options: old.Options}
	var list []ward.Replica
	for _, u := range old.byID {
		list = append(list, u.Replica)
	}
	s.SetUpstreams(list, sim.now)
	sim.entries[i] = s
	for _, told := range sim.told {
		delete(told, i)
	}
}

// Guards against more requests than an upstream's limit allows, in fleets with lost, late
// and doubled messages, partitions, frozen entries and restarts, with limits that end and
// are named again; and against a limit that outlives its end.
func TestLimitProperties(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		p := drawLimitPlan(rt)
		sim := p.run(p.entries)
		sim.run(limitRun)
		if p.calmFrom() < limitTo {
			sim.checkLimitsEnded(rt, len(p.limits))
		}
		for i, rate := range p.limits {
			id := engineName(i)
			var kept []arrival
			for _, a := range sim.engines[id].arrivals {
				if !p.excused(a.entry, a.at) {
					kept = append(kept, a)
				}
			}
			sim.engines[id].arrivals = kept
			if n := sim.excess(id, rate, limitFrom, limitGapFrom); n > 0 {
				rt.Errorf("%s with a limit of %v a second got %d requests too many before the gap", id, rate, n)
			}
			from := limitFrom
			if p.again {
				from = limitGapTo
				kept = kept[:0:0]
				for _, a := range sim.engines[id].arrivals {
					if !a.at.Before(start.Add(limitGapTo + limitKnown)) {
						kept = append(kept, a)
					}
				}
				sim.engines[id].arrivals = kept
			}
			if n := sim.excess(id, rate, from, limitTo); n > 0 {
				rt.Errorf("%s with a limit of %v a second got %d requests too many", id, rate, n)
			}
		}
	})
}
