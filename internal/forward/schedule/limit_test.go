package schedule

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"agateward/ward"
)

// Bounds of the users for an upstream that names a limit.
const (
	limitWindow = 4 * time.Second
	// limitFactor and limitSlack bound the requests of one window, of entries that had
	// passed on an answer with the limit for limitKnown.
	limitFactor = 1.5
	limitSlack  = 5
	limitKnown  = 500 * time.Millisecond
	// limitContact is the time from the first naming until the bound holds.
	limitContact = 3 * time.Second
)

// limitBetween states a limit from one time to another.
func limitBetween(rate float64, from, to time.Duration) func(now time.Time) ward.RateLimit {
	return func(now time.Time) ward.RateLimit {
		d := now.Sub(start)
		return ward.RateLimit{Limited: d >= from && d < to, PerSecond: rate}
	}
}

// excess returns by how many requests an engine with a limit got too many in the worst
// window that ends between two times.
func (sim *simulation) excess(id string, rate float64, from, to time.Duration) int {
	worst, allowed := 0, int(limitFactor*rate*limitWindow.Seconds()+limitSlack)
	var window []arrival
	for _, a := range sim.engines[id].arrivals {
		told, ok := sim.told[id][a.entry]
		if !ok || a.at.Before(told.Add(limitKnown)) || a.at.After(start.Add(to)) {
			continue
		}
		window = append(window, a)
		for a.at.Sub(window[0].at) > limitWindow {
			window = window[1:]
		}
		if a.at.After(start.Add(from + limitContact)) {
			worst = max(worst, len(window)-allowed)
		}
	}
	return worst
}

// between counts the requests that reach an engine from one time to another.
func (sim *simulation) between(id string, from, to time.Duration) int {
	n := 0
	for _, a := range sim.engines[id].arrivals {
		if d := a.at.Sub(start); d >= from && d < to {
			n++
		}
	}
	return n
}

// Guards against an upstream that names a limit getting the requests that its slots take:
// the limit is one for all entries together, binds those that learned of it from others,
// and is used while it holds; after its end the upstream gets its part again, and the
// other upstreams serve what it does not take.
func TestLimitOfUpstream(t *testing.T) {
	const from, to, end = 2 * time.Second, 14 * time.Second, 20 * time.Second
	tests := []struct {
		name    string
		entries int
		rates   []float64
		load    float64
		// onTime is the least share of the highest rank that is served in time.
		onTime float64
	}{
		{"two of nine engines", 8, []float64{1.7, 2.1}, 0.75, 0.95},
		{"one entry", 1, []float64{1.7, 2.1}, 0.5, 0.95},
		{"a limit above the rate of an entry", 8, []float64{20}, 0.5, 0.95},
		{"a limit of none", 8, []float64{0}, 0.5, 0.95},
		{"every engine", 8, []float64{2, 2, 2, 2, 2, 2, 2, 2, 2}, 0.5, 0},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			sim := newSimulation(tt.entries, 9, 6, 7)
			for i, r := range tt.rates {
				sim.engines[fmt.Sprintf("engine-%02d", i)].limit = limitBetween(r, from, to)
			}
			sim.load(tt.load*capacity, 0, end)
			sim.run(end)
			for i, r := range tt.rates {
				id := fmt.Sprintf("engine-%02d", i)
				if n := sim.excess(id, r, from, to); n > 0 {
					t.Errorf("%s with a limit of %v a second got %d requests too many in %v", id, r, n, limitWindow)
				}
				if i%3 == 2 {
					continue // a slow engine gets few requests without a limit, too
				}
				if n, want := sim.between(id, from+limitContact, to), 0.5*r*(to-from-limitContact).Seconds(); float64(n) < min(want, 20) {
					t.Errorf("%s with a limit of %v a second got %d requests, want %.0f", id, r, n, want)
				}
				if n := sim.between(id, end-3*time.Second, end); n < 6 {
					t.Errorf("%s got %d requests in the last 3 s, after its limit had ended", id, n)
				}
			}
			if got := sim.counts.onTimeShare(0); got < tt.onTime {
				t.Errorf("%.3f of the highest rank in time, want %.3f", got, tt.onTime)
			}
		})
	}
}

// Guards against holders of limits that serve their own requests before those of a higher
// rank at other entries, and against permits of a limit that are lost on the way to a peer:
// each engine has a limit, and the sum of the limits would serve all of the highest rank.
func TestLimitsServeRanksInOrder(t *testing.T) {
	const rate, load, end = 3, 42, 30 * time.Second
	for seed := range uint64(12) {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			sim := newSimulation(8, 9, 6, seed)
			used := 0
			for i := range 9 {
				sim.engines[engineName(i)].limit = limitBetween(rate, 0, end)
			}
			sim.load(load, 0, end)
			sim.run(end)
			for i := range 9 {
				used += sim.between(engineName(i), 5*time.Second, end)
			}
			g := &sim.counts
			if served := float64(g.onTime[0]+g.late[0]) / float64(g.requests[0]); served < 0.95 {
				t.Errorf("%.3f of the highest rank served, %v refused", served, g.refused)
			}
			if all := 9 * rate * (end - 5*time.Second).Seconds(); float64(used) < 0.9*all {
				t.Errorf("%d of %.0f permits used", used, all)
			}
		})
	}
}

// cellSize is the number of entries of a cell in the simulation.
const cellSize = 12

// newFleetWithCells returns a fleet whose entries exchange their state in cells of their
// data centre, and know the names of all.
func newFleetWithCells(entries, engines int, seed uint64) *simulation {
	sim := newSimulation(entries, engines, 6, seed)
	sim.divide()
	return sim
}

// divide divides the entries into cells of their data centre.
func (sim *simulation) divide() {
	local := make(map[string][]*Scheduler)
	var names []string
	for _, s := range sim.entries {
		local[s.DataCentre] = append(local[s.DataCentre], s)
		names = append(names, s.Name)
	}
	slices.Sort(names)
	for i, s := range sim.entries {
		of := local[s.DataCentre]
		s.Fleet, s.Cells = names, (len(of)+cellSize-1)/cellSize
		s.Cell = slices.Index(of, s) % s.Cells
		sim.cells = append(sim.cells, fmt.Sprint(s.DataCentre, s.Cell))
		sim.entries[i].assignServices(sim.now)
	}
}

// Guards against a limit that each cell of a large fleet uses for itself, and against a
// limited upstream that nobody uses as its holders belong to other cells.
func TestLimitInFleetWithCells(t *testing.T) {
	const from, to = time.Second, 7 * time.Second
	tests := []struct {
		name             string
		entries, engines int
		// limited lists the engines with a limit.
		limited []int
		rate    float64
		// requests a second, at which the limited engines are needed
		load float64
	}{
		{"engines of single cells", 60, 30, []int{0, 1, 4}, 2, 300},
		{"engines that all cells use", 60, 3, []int{0, 1}, 2, 40},
		{"a limit far below the number of entries", 60, 30, []int{0}, 0.1, 300},
		{"400 entries", 400, 102, []int{0, 1, 4, 7, 9}, 1.7, 900},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			sim := newFleetWithCells(tt.entries, tt.engines, 11)
			for _, i := range tt.limited {
				sim.engines[engineName(i)].limit = limitBetween(tt.rate, from, to)
			}
			sim.load(tt.load, 0, to)
			sim.run(from + limitContact)
			for _, i := range tt.limited {
				unaware := 0
				for _, s := range sim.entries {
					if !s.byID[engineName(i)].limited() {
						unaware++
					}
				}
				if unaware > 0 {
					t.Errorf("%d of %d entries don't know the limit of %s after %v", unaware, tt.entries, engineName(i), limitContact)
				}
			}
			sim.run(to)
			for _, i := range tt.limited {
				id := engineName(i)
				if n := sim.excess(id, tt.rate, from, to); n > 0 {
					t.Errorf("%s with a limit of %v a second got %d requests too many in %v", id, tt.rate, n, limitWindow)
				}
				if n, want := sim.between(id, from+limitContact, to), 0.5*tt.rate*(to-from-limitContact).Seconds(); float64(n) < want {
					t.Errorf("%s with a limit of %v a second got %d requests, want %.0f", id, tt.rate, n, want)
				}
			}
		})
	}
}
