package schedule

import (
	"maps"
	"math"
	"slices"
	"testing"
	"time"

	"agateward/ward"
)

// lend delivers a message between entries of different cells.
func (sim *simulation) lend(i int, a Action) {
	from, m := sim.entries[i].Name, *a.Lending
	m.Demand, m.Loans = slices.Clone(m.Demand), slices.Clone(m.Loans)
	for k, s := range sim.entries {
		if s.Name == a.LendTo {
			sim.message(i, k, func(now time.Time) {
				if !sim.dead[k] {
					sim.execute(k, sim.entries[k].ReceiveLending(from, m, now))
				}
			})
		}
	}
	sim.lendMessages++
}

// joinOtherCells tells an entry of the other cells, and turns lending on or off.
func (sim *simulation) joinOtherCells(i int, on bool) {
	s := sim.entries[i]
	s.Options.LendSlots = on
	var list []OtherCell
	for k, name := range sim.cells {
		if name == sim.cells[i] {
			continue
		}
		o := sim.entries[k]
		n := slices.IndexFunc(list, func(c OtherCell) bool { return c.DataCentre+"/"+c.Members[0] == o.DataCentre+"/"+sim.firstOf(name) })
		if n < 0 {
			list = append(list, OtherCell{DataCentre: o.DataCentre, Members: []string{o.Name}})
			continue
		}
		list[n].Members = append(list[n].Members, o.Name)
	}
	s.SetOtherCells(list)
	s.assignServices(sim.now)
}

// firstOf returns the name of the first entry of a cell.
func (sim *simulation) firstOf(cell string) string {
	return sim.entries[slices.Index(sim.cells, cell)].Name
}

// newLendingFleet returns a fleet in some data centres whose engines are equally fast.
func newLendingFleet(dataCentres, entries, engines int, seed uint64, on bool) *simulation {
	sim := newSimulation(entries, engines, 6, seed)
	for _, e := range sim.engines {
		e.slowdown = 1
	}
	for i, s := range sim.entries {
		s.DataCentre = string(rune('a' + i%dataCentres))
		list := sim.registered(s)
		for k := range list {
			list[k].DataCentre = string(rune('a' + k%dataCentres))
		}
		s.SetUpstreams(list, sim.now)
	}
	sim.divide()
	for i := range sim.entries {
		sim.joinOtherCells(i, on)
	}
	return sim
}

// engineRate is the number of requests of the mix that an engine of 6 slots ends a second.
const engineRate = 10.4

// loadAt generates requests for the entries of a data centre, at a rate that changes with
// time. Entry weights differ by the factor spread.
func (sim *simulation) loadAt(dataCentre string, rate func(t time.Duration) float64, most, spread float64, to time.Duration) {
	var list []int
	var weights []float64
	sum := 0.0
	for i, s := range sim.entries {
		if s.DataCentre == dataCentre {
			sum += math.Pow(spread, float64(len(list)%4)/3)
			list, weights = append(list, i), append(weights, sum)
		}
	}
	for at := time.Duration(0); at < to; {
		at += time.Duration(sim.r.ExpFloat64() / most * float64(time.Second))
		if sim.r.Float64()*most > rate(at) {
			continue
		}
		x := sim.r.Float64() * sum
		i := list[slices.IndexFunc(weights, func(w float64) bool { return x < w })]
		sim.after(at, func(time.Time) {
			for sim.dead[i] {
				i = (i + 3) % len(sim.entries)
			}
			sim.whenAwake(i, func(time.Time) { sim.arrive(i) })
		})
	}
}

// inTime returns the share of all requests that was served in time.
func (t *counts) inTime() float64 {
	n, ok := 0, 0
	for rank := range t.requests {
		n, ok = n+t.requests[rank], ok+t.onTime[rank]
	}
	return float64(ok) / float64(max(n, 1))
}

// logLoans logs the results of a run.
func (sim *simulation) logLoans(t *testing.T, run time.Duration) {
	t.Helper()
	var asked, used, unused, given, lapsed uint64
	for _, s := range sim.entries {
		for _, dc := range []string{"a", "b", "c"} {
			c := s.LoanCounts(dc)
			asked, used, unused, given, lapsed = asked+c.Asked, used+c.Used, unused+c.Unused, given+c.Given, lapsed+c.Lapsed
		}
	}
	c := &sim.counts
	t.Logf("in time %.3f (%.3f %.3f %.3f); late %v, refused %v of %v; %d of %d waited in an engine; asked %d given %d used %d unused %d lapsed %d, messages %.2f a second and entry",
		c.inTime(), c.onTimeShare(0), c.onTimeShare(1), c.onTimeShare(2), c.late, c.refused, c.requests, c.waited, c.sent,
		asked, given, used, unused, lapsed, float64(sim.lendMessages)/run.Seconds()/float64(len(sim.entries)))
}

// compare runs a fleet without and with lending. It returns the share of the requests that was
// served in time, and that of those sent that waited in an engine, over three seeds: with one
// of them the second differs by 0.01 by chance.
func compare(t *testing.T, run time.Duration, fleet func(seed uint64, on bool) *simulation) (inTime, waited [2]float64) {
	t.Helper()
	for n, on := range []bool{false, true} {
		var sum counts
		for seed := uint64(7); seed < 10; seed++ {
			sim := fleet(seed, on)
			sim.run(run)
			sim.logLoans(t, run)
			sum.waited += sim.counts.waited
			sum.sent += sim.counts.sent
			for rank := range sum.requests {
				sum.requests[rank] += sim.counts.requests[rank]
				sum.onTime[rank] += sim.counts.onTime[rank]
			}
		}
		inTime[n], waited[n] = sum.inTime(), float64(sum.waited)/float64(sum.sent)
	}
	t.Logf("in time %.3f without, %.3f with lending; waited in engines %.3f, %.3f", inTime[0], inTime[1], waited[0], waited[1])
	return inTime, waited
}

// TestLentSlots guards against data centres and cells whose callers are refused or late
// while slots elsewhere are idle.
func TestLentSlots(t *testing.T) {
	t.Parallel()
	const run = 10 * time.Second
	tests := []struct {
		name                 string
		dataCentres, entries int
		engines              int
		spread               float64
		// load returns the load of a data centre as a multiple of what its engines carry.
		load func(dataCentre int, t time.Duration) float64
		// evacuated is set if the first data centre is evacuated after 3 s.
		evacuated bool
		// least is the least share of all requests served in time with lending, gain the
		// least that it adds.
		least, gain float64
	}{
		{"three data centres, waves out of phase", 3, 48, 24, 1, wave, false, 0.98, 0.02},
		{"two data centres, waves out of phase, entries differ fourfold", 2, 48, 24, 4, wave, false, 0.98, 0.03},
		{"one with 1.5 times its capacity beside idle ones", 3, 48, 24, 1, func(dc int, _ time.Duration) float64 { return []float64{1.5, 0.3, 0.3}[dc] }, false, 0.97, 0.15},
		{"evacuated", 3, 48, 24, 1, func(int, time.Duration) float64 { return 0.55 }, true, 0.97, -0.01},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			inTime, waited := compare(t, run, func(seed uint64, on bool) *simulation {
				sim := newLendingFleet(tt.dataCentres, tt.entries, tt.engines, seed, on)
				share := engineRate * float64(tt.engines/tt.dataCentres)
				for dc := range tt.dataCentres {
					rate := func(t time.Duration) float64 { return share * tt.load(dc, t) }
					sim.loadAt(string(rune('a'+dc)), rate, 1.5*share, tt.spread, run)
				}
				if tt.evacuated {
					sim.after(3*time.Second, func(time.Time) { sim.evacuate("a") })
				}
				return sim
			})
			if inTime[1] < tt.least || inTime[1] < inTime[0]+tt.gain {
				t.Errorf("%.3f in time with lending, %.3f without; want %.3f, and %.3f more", inTime[1], inTime[0], tt.least, tt.gain)
			}
			if waited[1] > waited[0]+0.01 {
				t.Errorf("%.3f of the requests waited in engines with lending, %.3f without", waited[1], waited[0])
			}
		})
	}
}

// TestLentSlotsUnderFailures guards against loans that overload engines, or help nobody,
// when messages are lost, late and doubled, and entries freeze, end and restart.
func TestLentSlotsUnderFailures(t *testing.T) {
	t.Parallel()
	const run = 10 * time.Second
	tests := []struct {
		name    string
		disturb func(sim *simulation)
		gain    float64
	}{
		{"messages lost, late and doubled", func(sim *simulation) {
			sim.deliver = func(int, int) []time.Duration {
				var list []time.Duration
				for sim.r.Float64() > 0.2 && len(list) < 2 {
					list = append(list, time.Duration(1+sim.r.IntN(60))*time.Millisecond)
				}
				return list
			}
		}, 0.1},
		{"the data centre with the demand is cut off for 3 s", func(sim *simulation) {
			sim.deliver = func(from, to int) []time.Duration {
				t := sim.now.Sub(start)
				if t > 4*time.Second && t < 7*time.Second && (sim.entries[from].DataCentre == "a") != (sim.entries[to].DataCentre == "a") {
					return nil
				}
				return []time.Duration{hopDelay}
			}
		}, 0.08},
		{"lenders and borrowers end, freeze and restart", func(sim *simulation) {
			for n, i := range []int{1, 4, 7, 10, 13, 0, 3} {
				at := time.Duration(3+n) * time.Second
				sim.after(at, func(now time.Time) { sim.frozen[i] = now.Add(2 * time.Second) })
				sim.after(at+500*time.Millisecond, func(time.Time) { sim.dead[i+15] = true })
			}
		}, 0.05},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			inTime, waited := compare(t, run, func(seed uint64, on bool) *simulation {
				sim := newLendingFleet(3, 48, 24, seed, on)
				tt.disturb(sim)
				for dc, f := range []float64{1.4, 0.4, 0.4} {
					sim.loadAt(string(rune('a'+dc)), func(time.Duration) float64 { return f * engineRate * 8 }, 1.5*engineRate*8, 1, run)
				}
				return sim
			})
			if inTime[1] < inTime[0]+tt.gain {
				t.Errorf("%.3f in time with lending, %.3f without; want %.3f more", inTime[1], inTime[0], tt.gain)
			}
			if waited[1] > waited[0]+0.01 {
				t.Errorf("%.3f of the requests waited in engines with lending, %.3f without", waited[1], waited[0])
			}
		})
	}
}

// wave is a demand of 0.8 that swings by 0.27, out of phase by half a period between data
// centres.
func wave(dataCentre int, t time.Duration) float64 {
	return 0.8 + 0.27*math.Sin(2*math.Pi*t.Seconds()/7+math.Pi*float64(dataCentre))
}

// evacuate evacuates a data centre, or ends that.
func (sim *simulation) evacuate(dataCentre string) {
	for i, s := range sim.entries {
		list := sim.registered(s)
		for k := range list {
			if list[k].DataCentre == dataCentre {
				list[k].Draining, list[k].Evacuated = true, true
			}
		}
		sim.execute(i, s.SetUpstreams(list, sim.now))
	}
}

// registered returns the registrations of all engines that an entry knows.
func (sim *simulation) registered(s *Scheduler) []ward.Replica {
	var list []ward.Replica
	for _, id := range slices.Sorted(maps.Keys(s.byID)) {
		list = append(list, s.byID[id].Replica)
	}
	return list
}
