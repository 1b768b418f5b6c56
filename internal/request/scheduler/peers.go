package scheduler

import (
	"time"

	"agateward/internal/request/share"
	"agateward/internal/result/code"
	"agateward/ward"
)

// Weights of the entries on the line of a pool.
const (
	// evenly is what is divided evenly; the rest follows demand.
	evenly = 0.5
	// dividePause is the time between two divisions of all upstreams, for each
	// upstream beyond divideFreely: the more there are, the more one costs.
	dividePause  = 300 * time.Microsecond
	divideFreely = 64
	// guestShare is the part of an upstream that all entries which own nothing of
	// it may use together.
	guestShare = 1
)

// tierWeight is how much a waiting request of a tier adds to the demand.
var tierWeight = [ward.TierCount]float64{1, 1, 1, 1}

// SetPeers takes the newest states of the other live entries. Budget parts follow
// their demand, and floors follow what they ask for.
func (s *Scheduler) SetPeers(now time.Time, peers []ward.PeerState) []Action {
	s.peers = append(s.peers[:0], peers...)
	s.entries = 1
	for _, u := range s.upstreams {
		u.othersFlight = 0
		u.othersPrefill = 0
		u.othersRate = 0
		u.othersRates = 0
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
				if d.Rate > 0 {
					u.othersRate += float64(d.Rate)
					u.othersRates++
				}
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
	s.refresh(now)
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

// refresh brings the budgets up to date: now and then those of all upstreams, in
// between only those that this entry has a part of.
func (s *Scheduler) refresh(now time.Time) {
	pause := time.Duration(max(0, len(s.upstreams)-divideFreely)) * dividePause
	if s.entries != s.dividedFor || now.Sub(s.dividedAt) >= pause {
		s.divide(now)
		return
	}
	for _, p := range s.order {
		for _, u := range p.owned {
			u.refresh(now)
		}
	}
}

func (u *upstream) refresh(now time.Time) {
	u.budget.Backlog(now, u.prefill+u.othersPrefill)
	u.budget.Adapt(now, u.inFlight+u.othersFlight)
}

// divide sets this entry's part of every upstream's budget.
func (s *Scheduler) divide(now time.Time) {
	s.dividedAt = now
	s.dividedFor = s.entries
	for _, p := range s.order {
		if len(p.upstreams) > 0 {
			s.dividePool(now, p)
		}
	}
}

func (s *Scheduler) dividePool(now time.Time, p *pool) {
	s.layOut(now, p)
	p.owned = p.owned[:0]
	for i, part := range s.line.Parts(s.cfg.Self) {
		u := s.upstreams[s.line.Upstreams()[i].Name]
		if u.cfg.Kind == ward.KindService {
			part = 1 / float64(s.entries)
		}
		u.budget.Divide(now, part, guestShare/float64(s.entries))
		if part > 0 {
			p.owned = append(p.owned, u)
		}
		u.refresh(now)
	}
}

// layOut puts the live entries and the pool's upstreams on the line.
func (s *Scheduler) layOut(now time.Time, p *pool) {
	s.line.Reset()
	mine := demand(p.queue.Waiting())
	total := mine
	for i := range s.peers {
		total += s.peerDemand(i, p)
	}
	n := float64(len(s.peers) + 1)
	weight := func(d float64) float64 { return evenly/n + (1-evenly)*d/total }
	s.line.Entry(share.Entry{Name: s.cfg.Self, DataCentre: s.cfg.DataCentre, Weight: weight(mine)})
	for i := range s.peers {
		st := &s.peers[i]
		s.line.Entry(share.Entry{Name: st.Name, DataCentre: st.DataCentre, Weight: weight(s.peerDemand(i, p))})
	}
	for _, u := range p.upstreams {
		if u.usable() {
			s.line.Upstream(share.Upstream{Name: u.cfg.Name, DataCentre: u.cfg.DataCentre, Rate: u.rate(now)})
		}
	}
}

// rate returns the upstream's rate as far as anyone observed it.
func (u *upstream) rate(now time.Time) float64 {
	known := u.budget.Known(now)
	n := 0.0
	if known > 0 {
		n = 1
	}
	if sum := known + u.othersRate; n+u.othersRates > 0 {
		return sum / (n + u.othersRates)
	}
	return u.budget.PrefillRate()
}

// demand is how much the entry wants of the pool's upstreams. What waits in
// higher tiers weighs more, so that parts move to where they are short of time.
func demand(waiting [ward.TierCount]int) float64 {
	d := 1.0
	for i, n := range waiting {
		d += float64(n) * tierWeight[i]
	}
	return d
}

// peerDemand is the demand of a peer.
func (s *Scheduler) peerDemand(i int, p *pool) float64 {
	for _, f := range s.peers[i].Floors {
		if f.Serves == p.key.serves {
			return demand(f.Waiting)
		}
	}
	return 1
}

// Tick lets time pass: it ends what has expired, resumes delayed requests,
// settles held ones, and moves budgets and floors.
func (s *Scheduler) Tick(now time.Time) []Action {
	s.now = now
	for _, f := range s.floors {
		f.Decay(now)
	}
	s.refresh(now)
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
		allowed := f.Shed(now, e.item.Tier, s.waitingFor(e.pool.key.serves))
		if allowed || !now.Before(e.holdUntil) {
			f.Force(now, e.item.Tier)
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
