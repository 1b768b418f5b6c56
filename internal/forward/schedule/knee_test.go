package schedule

import (
	"math"
	"testing"
	"time"
)

// knee makes an engine share its speed between the requests that run there: above at
// requests, the time of each grows with the square of their number.
type knee struct {
	at      int
	phases  []*phase
	updated time.Time
	// number is that of the last event that was scheduled for the end of a phase.
	number int
}

// phase is a part of a request's work, in nominal seconds.
type phase struct {
	left float64
	done func(now time.Time)
}

// rate is the nominal work in a second of each running request.
func (e *engine) rate() float64 {
	over := max(float64(e.running)/float64(e.knee.at), 1)
	return 1 / (e.slowdown * over * over)
}

// process calls done once an engine has done some work for one request.
func (sim *simulation) process(e *engine, seconds float64, done func(now time.Time)) {
	if e.knee == nil {
		sim.after(time.Duration(e.slowdown*seconds*float64(time.Second)), done)
		return
	}
	sim.advance(e)
	e.knee.phases = append(e.knee.phases, &phase{seconds, done})
	sim.schedulePhase(e)
}

// streamInterval is the time between two parts of an answer that an entry hears.
const streamInterval = 150 * time.Millisecond

// stream lets entry i hear the parts of an answer until it ends.
func (sim *simulation) stream(i int, id uint64, e *engine) {
	if e.knee == nil {
		return
	}
	sim.after(streamInterval, func(time.Time) {
		if sim.entries[i].jobs[id] == nil {
			return
		}
		sim.whenAwake(i, func(now time.Time) { sim.entries[i].Progress(id, now) })
		sim.stream(i, id, e)
	})
}

// advance does the work of the time since the last change. It has to be called before the
// number of running requests changes.
func (sim *simulation) advance(e *engine) {
	if e.knee == nil {
		return
	}
	d := sim.now.Sub(e.knee.updated).Seconds() * e.rate()
	e.knee.updated = sim.now
	for _, p := range e.knee.phases {
		p.left -= d
	}
}

// schedulePhase schedules the end of the phase that ends next.
func (sim *simulation) schedulePhase(e *engine) {
	k := e.knee
	if k == nil || len(k.phases) == 0 {
		return
	}
	k.number++
	number, next := k.number, 0
	for i, p := range k.phases {
		if p.left < k.phases[next].left {
			next = i
		}
	}
	p := k.phases[next]
	d := time.Duration(math.Ceil(max(p.left, 0) / e.rate() * float64(time.Second)))
	sim.after(d, func(now time.Time) {
		if number != k.number {
			return
		}
		sim.advance(e)
		for i := range k.phases {
			if k.phases[i] == p {
				k.phases = append(k.phases[:i], k.phases[i+1:]...)
				break
			}
		}
		p.done(now)
		sim.schedulePhase(e)
	})
}

// setKnee changes the knee of an engine.
func (sim *simulation) setKnee(e *engine, at int) {
	sim.advance(e)
	e.knee.at = at
	sim.schedulePhase(e)
}

// meanWork is the nominal time of the mean request of the mix in seconds.
const meanWork = 0.577

// kneeFleet returns a fleet whose engines have the given knees and slowdowns, and the
// requests a second that they carry below their knees.
func kneeFleet(entries, slots int, knees []int, slowdowns []float64, learn bool, seed uint64) (*simulation, float64) {
	sim := newSimulationWith(entries, len(knees), slots, seed, Options{LearnConcurrency: learn})
	carries := 0.0
	for i, at := range knees {
		e := sim.engines[engineName(i)]
		e.knee, e.slowdown = &knee{at: at, updated: start}, slowdowns[i]
		carries += float64(at) / slowdowns[i] / meanWork
	}
	return sim, carries
}

func (c *counts) allOnTime() float64 {
	requests, onTime := 0, 0
	for rank := range c.requests {
		requests += c.requests[rank]
		onTime += c.onTime[rank]
	}
	return float64(onTime) / float64(max(requests, 1))
}

// Guards against requests that are late at upstreams which slow down long before their
// slots are full, and against a limit that costs room where there is no knee.
func TestKnees(t *testing.T) {
	t.Parallel()
	const slots, low = 8, 2
	same := []float64{1, 1, 1, 1, 1, 1, 1, 1, 1, 1}
	speeds := []float64{1, 3, 1.2, 2.5, 1.4, 2, 1.6, 1.8, 1, 3}
	some := []int{low, slots, low, slots, low, slots, low, slots, slots, slots}
	none := []int{slots, slots, slots, slots, slots, slots, slots, slots, slots, slots}
	tests := []struct {
		name      string
		knees     []int
		slowdowns []float64
		moves     time.Duration
		load      float64
		want      float64
	}{
		{"no knees", none, same, 0, 0.8, 0.95},
		{"knees", some, same, 0, 0.8, 0.95},
		{"speeds", none, speeds, 0, 0.8, 0.95},
		{"knees and speeds", some, speeds, 0, 0.8, 0.95},
		{"moving knees", some, same, 10 * time.Second, 0.8, 0.95},
		{"knees near the capacity", some, same, 0, 0.95, 0.9},
		{"speeds near the capacity", none, speeds, 0, 0.95, 0.9},
		{"moving knees near the capacity", some, same, 10 * time.Second, 0.95, 0.9},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			for _, learn := range []bool{false, true} {
				if !learn && !testing.Verbose() {
					continue // for comparison alone
				}
				total := 0.0
				for seed := uint64(1); seed <= 3; seed++ {
					sim, carries := kneeFleet(8, slots, tt.knees, tt.slowdowns, learn, seed)
					const length = 40 * time.Second
					sim.load(tt.load*carries, 0, length)
					for at := tt.moves; tt.moves > 0 && at < length; at += tt.moves {
						sim.after(at, func(time.Time) {
							p := sim.r.Perm(len(tt.knees))
							for i := range tt.knees {
								sim.setKnee(sim.engines[engineName(i)], tt.knees[p[i]])
							}
						})
					}
					sim.run(length + 5*time.Second)
					total += sim.counts.allOnTime() / 3
					limits := make([]int, len(tt.knees))
					for i := range limits {
						limits[i] = sim.entries[0].byID[engineName(i)].slots()
					}
					t.Logf("learn %v seed %d: %.3f in time; late %v refused %v of %v; limits %v", learn, seed, sim.counts.allOnTime(), sim.counts.late, sim.counts.refused, sim.counts.requests, limits)
				}
				t.Logf("learn %v: %.3f in time", learn, total)
				if learn && total < tt.want {
					t.Errorf("%.3f in time, want %.3f", total, tt.want)
				}
			}
		})
	}
}
