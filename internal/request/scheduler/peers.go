package scheduler

import (
	"time"

	"agateward/internal/request/share"
	"agateward/internal/result/code"
	"agateward/ward"
)

// Division of upstreams over the entries.
const (
	// evenFraction of the capacity is divided evenly; the rest follows demand.
	evenFraction = 0.5
	// divideInterval is the time between two divisions of all upstreams for each
	// upstream beyond divideAlwaysUpTo, since the cost grows with their number.
	divideInterval   = 300 * time.Microsecond
	divideAlwaysUpTo = 64
	// spilloverShare is the share of an upstream that all entries which own none
	// of it may use together.
	spilloverShare = 1
)

// tierWeight is the demand of one waiting request of a tier.
var tierWeight = [ward.TierCount]float64{1, 1, 1, 1}

// SetPeers sets the latest states of the other live entries. Budget shares
// follow their demand, and floors follow the floors that they ask for.
func (s *Scheduler) SetPeers(now time.Time, peers []ward.PeerState) []Action {
	s.peers = append(s.peers[:0], peers...)
	s.liveEntries = 1
	for _, u := range s.upstreams {
		u.peerInFlight = 0
		u.peerPrefill = 0
		u.peerRateSum = 0
		u.peerRateCount = 0
	}
	for i := range s.peers {
		p := &s.peers[i]
		if p.Leaving && len(p.Demand) == 0 {
			continue
		}
		s.liveEntries++
		for _, d := range p.Demand {
			if u := s.upstreams[d.Upstream]; u != nil {
				u.peerInFlight += d.InFlight
				u.peerPrefill += d.Prefill
				if d.Rate > 0 {
					u.peerRateSum += float64(d.Rate)
					u.peerRateCount++
				}
			}
		}
	}
	for serves := range s.floors {
		s.updateFloor(serves)
	}
	for i := range s.peers {
		for _, f := range s.peers[i].Floors {
			if s.floors[f.Serves] == nil {
				s.updateFloor(f.Serves)
			}
		}
	}
	s.shedBelowFloors(now)
	s.refresh(now)
	s.dispatchAll(now)
	return s.takeActions()
}

// updateFloor updates the floor of a model or service from the peer states. A
// peer that does not mention it asks for no floor.
func (s *Scheduler) updateFloor(serves string) {
	states := make([]ward.ServesFloor, 0, len(s.peers))
	for i := range s.peers {
		state := ward.ServesFloor{Serves: serves, Need: ward.TierBottom, Floor: ward.TierBottom}
		for _, f := range s.peers[i].Floors {
			if f.Serves == serves {
				state = f
			}
		}
		states = append(states, state)
	}
	s.floor(serves).UpdatePeers(states)
}

// shedBelowFloors refuses waiting requests below the floor in force.
func (s *Scheduler) shedBelowFloors(time.Time) {
	for _, p := range s.orderedPools {
		level := s.floor(p.key.serves).Level()
		for it := p.queue.Victim(level); it != nil; it = p.queue.Victim(level) {
			s.refuse(s.requests[it.ID], code.Shed, maxRetryAfter/10, "the tier is below the floor")
		}
	}
}

// refresh updates the budgets: at intervals those of all upstreams, in between
// only those of which this entry has a share.
func (s *Scheduler) refresh(now time.Time) {
	pause := time.Duration(max(0, len(s.upstreams)-divideAlwaysUpTo)) * divideInterval
	if s.liveEntries != s.dividedEntries || now.Sub(s.dividedAt) >= pause {
		s.divide(now)
		return
	}
	for _, p := range s.orderedPools {
		for _, u := range p.owned {
			u.refresh(now)
		}
	}
}

func (u *upstream) refresh(now time.Time) {
	u.budget.SetBacklog(now, u.prefill+u.peerPrefill)
	u.budget.Adapt(now, u.inFlight+u.peerInFlight)
}

// divide sets this entry's share of every upstream's budget.
func (s *Scheduler) divide(now time.Time) {
	s.dividedAt = now
	s.dividedEntries = s.liveEntries
	for _, p := range s.orderedPools {
		if len(p.upstreams) > 0 {
			s.dividePool(now, p)
		}
	}
}

func (s *Scheduler) dividePool(now time.Time, p *pool) {
	s.buildPartition(now, p)
	p.owned = p.owned[:0]
	for i, fraction := range s.partition.Shares(s.cfg.Self) {
		u := s.upstreams[s.partition.Upstreams()[i].Name]
		if u.cfg.Kind == ward.KindService {
			fraction = 1 / float64(s.liveEntries)
		}
		u.budget.SetShare(now, fraction, spilloverShare/float64(s.liveEntries))
		if fraction > 0 {
			p.owned = append(p.owned, u)
		}
		u.refresh(now)
	}
}

// buildPartition fills the partition with the live entries, weighted by demand,
// and the pool's usable upstreams.
func (s *Scheduler) buildPartition(now time.Time, p *pool) {
	s.partition.Reset()
	own := demand(p.queue.Waiting())
	total := own
	for i := range s.peers {
		total += s.peerDemand(i, p)
	}
	n := float64(len(s.peers) + 1)
	weight := func(d float64) float64 { return evenFraction/n + (1-evenFraction)*d/total }
	s.partition.AddEntry(share.Entry{Name: s.cfg.Self, DataCentre: s.cfg.DataCentre, Weight: weight(own)})
	for i := range s.peers {
		st := &s.peers[i]
		s.partition.AddEntry(share.Entry{Name: st.Name, DataCentre: st.DataCentre, Weight: weight(s.peerDemand(i, p))})
	}
	for _, u := range p.upstreams {
		if u.usable() {
			s.partition.AddUpstream(share.Upstream{Name: u.cfg.Name, DataCentre: u.cfg.DataCentre, Rate: u.rate(now)})
		}
	}
}

// rate returns the mean of the prefill rates that this entry and its peers
// observed, or the default rate if there are none.
func (u *upstream) rate(now time.Time) float64 {
	known := u.budget.ObservedRate(now)
	n := 0.0
	if known > 0 {
		n = 1
	}
	if sum := known + u.peerRateSum; n+u.peerRateCount > 0 {
		return sum / (n + u.peerRateCount)
	}
	return u.budget.PrefillRate()
}

// demand returns an entry's demand for the pool's upstreams, from its waiting
// requests weighted by tier.
func demand(waiting [ward.TierCount]int) float64 {
	d := 1.0
	for i, n := range waiting {
		d += float64(n) * tierWeight[i]
	}
	return d
}

// peerDemand returns the demand of a peer.
func (s *Scheduler) peerDemand(i int, p *pool) float64 {
	for _, f := range s.peers[i].Floors {
		if f.Serves == p.key.serves {
			return demand(f.Waiting)
		}
	}
	return 1
}

// Tick does the periodic work: it refuses expired requests, resumes delayed
// ones, sheds or keeps held ones, and updates budgets and floors.
func (s *Scheduler) Tick(now time.Time) []Action {
	s.now = now
	for _, f := range s.floors {
		f.Decay(now)
	}
	s.refresh(now)
	s.resumeDelayed(now)
	s.shedHeld(now)
	s.dispatchAll(now)
	return s.takeActions()
}

// shedHeld sheds the held requests that still can't be served in time once the
// floor allows it or their hold time is over.
func (s *Scheduler) shedHeld(now time.Time) {
	kept := s.held[:0]
	for _, rs := range s.held {
		if s.requests[rs.item.ID] != rs || !rs.item.Waiting() {
			continue
		}
		if now.Add(s.remainingWait(now, rs)).Before(rs.item.Latest) {
			continue
		}
		f := s.floor(rs.pool.key.serves)
		allowed := f.Shed(now, rs.item.Tier, s.waitingFor(rs.pool.key.serves))
		if allowed || !now.Before(rs.holdUntil) {
			f.Force(now, rs.item.Tier)
			s.refuse(rs, code.Shed, minRetryAfter, "no capacity in time for the tier")
			continue
		}
		kept = append(kept, rs)
	}
	clear(s.held[len(kept):])
	s.held = kept
}

// remainingWait returns the expected remaining wait of a waiting request.
func (s *Scheduler) remainingWait(now time.Time, rs *requestState) time.Duration {
	return s.expectedWait(now, rs) - now.Sub(rs.item.Since)
}
