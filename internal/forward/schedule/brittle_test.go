package schedule

import (
	"fmt"
	"slices"
	"testing"
	"time"
)

// brittle is the state of a simulated engine that lets nobody wait and falls over when it
// has to turn too many requests away.
type brittle struct {
	// perSecond is the number of rejections in a second that it bears.
	perSecond int
	rejected  []time.Time
	down      time.Time
	falls     int
}

const (
	// brittleStated is when the engines begin to state that they are brittle, brittleFrom
	// when they let nobody wait: the users' ContactMs later.
	brittleStated = 2 * time.Second
	brittleFrom   = brittleStated + 3*time.Second
	fallTime      = 3 * time.Second
)

// reject turns a request away that finds no free slot, and reports whether it did.
func (e *engine) reject(now time.Time) bool {
	b := e.brittle
	if b == nil || now.Sub(start) < brittleFrom {
		return false
	}
	if now.Before(b.down) {
		return true
	}
	b.rejected = slices.DeleteFunc(append(b.rejected, now), func(at time.Time) bool { return now.Sub(at) >= time.Second })
	if len(b.rejected) > b.perSecond {
		b.falls++
		b.down, b.rejected = now.Add(fallTime), nil
	}
	return true
}

// rejected hands a rejection to the entry, which offers the request to the others.
func (sim *simulation) rejected(i int, a Action, o Outcome) {
	sim.whenAwake(i, func(now time.Time) {
		s, j := sim.entries[i], *a.Job
		if sim.engines[a.Upstream.ID].brittle != nil && o == OutcomeFull {
			s.ObserveBrittle(a.Job.ID, now)
		}
		sim.execute(i, s.Done(a.Job.ID, o, now))
		if len(j.Avoid) >= 1 {
			return
		}
		sim.ids++
		j.ID, j.Avoid = sim.ids, []string{a.Upstream.ID}
		sim.execute(i, s.Arrive(&j, now))
	})
}

// Guards against engines that fall over one after the other: they let no request wait and
// bear few rejections a second from all entries together, and the entries send more than
// there are slots, as each knows the others' requests late.
func TestBrittleEnginesStayUp(t *testing.T) {
	const bears = 2
	cases := []struct {
		name             string
		entries, engines int
		load             float64
		// loss is the share of lost messages between entries, delay the longest time of one.
		loss  float64
		delay time.Duration
	}{
		{"steady", 8, 9, 0.7, 0, hopDelay},
		{"overload", 8, 9, 1.5, 0, hopDelay},
		{"overload, messages lost and late", 8, 9, 1.5, 0.1, 200 * time.Millisecond},
		{"many entries", 24, 9, 1.2, 0, hopDelay},
		{"small service", 8, 3, 0.5, 0, hopDelay},
	}
	for _, c := range cases {
		for seed := range uint64(3) {
			t.Run(fmt.Sprint(c.name, " seed ", seed), func(t *testing.T) {
				t.Parallel()
				sim := newSimulation(c.entries, c.engines, 6, seed)
				for _, e := range sim.engines {
					e.brittle = &brittle{perSecond: bears}
				}
				sim.deliver = func(int, int) []time.Duration {
					if sim.r.Float64() < c.loss {
						return nil
					}
					return []time.Duration{hopDelay + time.Duration(sim.r.Float64()*float64(c.delay-hopDelay))}
				}
				sim.load(c.load*capacity, 0, 20*time.Second)
				sim.run(20 * time.Second)
				falls := 0
				for _, e := range sim.engines {
					falls += e.brittle.falls
				}
				g := &sim.counts
				t.Logf("%d falls; in time %.3f %.3f %.3f; refused %v of %v", falls, g.onTimeShare(0), g.onTimeShare(1), g.onTimeShare(2), g.refused, g.requests)
				if most := 2 + c.engines/10; falls > most {
					t.Errorf("%d falls of %d engines, at most %d may", falls, c.engines, most)
				}
			})
		}
	}
}

// write runs send when the request of a dispatch reaches its engine. An entry that has to
// wait before it writes checks whether it still may.
func (sim *simulation) write(i int, a Action, send func(now time.Time)) {
	if sim.writeDelay == nil {
		sim.after(hopDelay, send)
		return
	}
	s := sim.entries[i]
	sim.after(sim.writeDelay(), func(time.Time) {
		sim.whenAwake(i, func(now time.Time) {
			switch {
			case sim.entries[i] != s: // the process has ended
			case s.MaySend(a.Job.ID, now):
				sim.after(hopDelay, send)
			default:
				sim.execute(i, s.Done(a.Job.ID, OutcomeNeutral, now))
				j := *a.Job
				sim.ids++
				j.ID = sim.ids
				sim.execute(i, s.Arrive(&j, now))
			}
		})
	})
}
