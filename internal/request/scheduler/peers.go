package scheduler

import (
	"time"

	"agateward/internal/result/code"
	"agateward/ward"
)

// Peers takes the newest states of the other live entries. Budget parts follow
// their demand, and floors follow what they ask for.
func (s *Scheduler) Peers(now time.Time, peers []ward.PeerState) []Action {
	s.peers = append(s.peers[:0], peers...)
	s.entries = 1
	for _, u := range s.upstreams {
		u.othersFlight = 0
		u.othersPrefill = 0
		u.othersDemand = 0
	}
	for i := range s.peers {
		p := &s.peers[i]
		if p.Leaving && len(p.Demand) == 0 {
			continue
		}
		s.entries++
		for _, d := range p.Demand {
			if u := s.upstreams[d.Upstream]; u != nil {
				u.othersFlight += d.InFlight
				u.othersPrefill += d.Prefill
				u.othersDemand += demand(d)
			}
		}
	}
	for serves := range s.floors {
		s.hearFloors(serves)
	}
	for i := range s.peers {
		for _, f := range s.peers[i].Floors {
			if s.floors[f.Serves] == nil {
				s.hearFloors(f.Serves)
			}
		}
	}
	s.shedBelowFloors(now)
	s.divide(now)
	s.pumpAll(now)
	return s.take()
}

// hearFloors tells the floor of a model or service what the peers said; a peer
// that says nothing of it is at rest.
func (s *Scheduler) hearFloors(serves string) {
	heard := make([]ward.ServesFloor, 0, len(s.peers))
	for i := range s.peers {
		said := ward.ServesFloor{Serves: serves, Need: ward.TierBottom, Floor: ward.TierBottom}
		for _, f := range s.peers[i].Floors {
			if f.Serves == serves {
				said = f
			}
		}
		heard = append(heard, said)
	}
	s.floor(serves).Hear(heard)
}

// shedBelowFloors refuses waiting requests below the floor in force.
func (s *Scheduler) shedBelowFloors(time.Time) {
	for _, p := range s.order {
		level := s.floor(p.key.serves).Level()
		for it := p.queue.Victim(level); it != nil; it = p.queue.Victim(level) {
			s.refuse(s.requests[it.ID], code.Shed, mostRetryAfter/10, "the tier is below the floor")
		}
	}
}

// divide sets this entry's part of every upstream's budget.
func (s *Scheduler) divide(now time.Time) {
	for _, p := range s.order {
		if len(p.upstreams) == 0 {
			continue
		}
		waiting := p.queue.Len() / len(p.upstreams)
		for _, u := range p.upstreams {
			mine := float64(u.inFlight + waiting + 1)
			u.budget.Divide(now, mine, mine+u.othersDemand, s.entries)
			u.budget.Adapt(now, u.inFlight+u.othersFlight)
		}
	}
}

// demand weighs what an entry uses and wants of an upstream, in requests.
func demand(d ward.Demand) float64 {
	const typicalPrompt = 1000 // tokens
	return float64(d.InFlight) + float64(d.Waiting)/typicalPrompt + 1
}

// Tick lets time pass: it ends what has expired, resumes delayed requests,
// settles held ones, and moves budgets and floors.
func (s *Scheduler) Tick(now time.Time) []Action {
	for _, f := range s.floors {
		f.Decay(now)
	}
	s.divide(now)
	s.resume(now)
	s.settleHeld(now)
	s.pumpAll(now)
	return s.take()
}

// settleHeld sheds the held requests that still can't be served in time, once
// the floor allows it or the hold is over.
func (s *Scheduler) settleHeld(now time.Time) {
	kept := s.held[:0]
	for _, e := range s.held {
		if s.requests[e.item.ID] != e || !e.item.Waiting() {
			continue
		}
		if now.Add(s.expectedWaitOf(now, e)).Before(e.item.Latest) {
			continue
		}
		f := s.floor(e.pool.key.serves)
		if f.Shed(now, e.item.Tier, s.waitingFor(e.pool.key.serves)) || !now.Before(e.holdUntil) {
			s.refuse(e, code.Shed, leastRetryAfter, "no capacity in time for the tier")
			continue
		}
		kept = append(kept, e)
	}
	clear(s.held[len(kept):])
	s.held = kept
}

// expectedWaitOf returns the expected wait of a request that waits already.
func (s *Scheduler) expectedWaitOf(now time.Time, e *entry) time.Duration {
	return s.expectedWait(now, e) - now.Sub(e.item.Since)
}
