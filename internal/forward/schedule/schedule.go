// Package schedule decides which upstream gets a request of the forwarding
// surface, which requests wait and which are refused.
//
// Engines admit requests in the order of arrival. Requests therefore wait here,
// ordered by rank and deadline, and an upstream is sent no more requests than it has
// slots, counted over all entries. Peers report how many requests they have running.
// Their state is a fraction of a second old, so an upstream may briefly get a few
// requests more than it has slots.
//
// # Usage
//
//	s := schedule.Scheduler{Name: "entry-1", DataCentre: "mid-a", Rand: rand.New(rand.NewPCG(1, 2))}
//	s.SetUpstreams(replicas, now)
//	actions := s.Arrive(job, now)
//	actions = s.Done(job.ID, outcome, now)
//	actions = s.Tick(now)
//
// Each call returns the resulting actions. The scheduler reads no clock and does no
// I/O.
package schedule

import (
	"math/rand/v2"
	"slices"
	"sort"
	"time"

	"agateward/internal/forward/fairshare"
	"agateward/internal/forward/returns"
	"agateward/ward"
)

// Options turn on parts of the scheduler; all are off by default.
type Options struct {
	// FairTeams divides the upstreams of a service between the teams of a rank.
	FairTeams bool
	// PreferReturns serves callers that come back at the time that a refusal named before
	// others of their rank.
	PreferReturns bool
	// LendSlots lends slots to entries of other cells, and borrows theirs.
	LendSlots bool
	// LearnConcurrency learns how many requests each upstream takes well.
	LearnConcurrency bool
	// ProtectStreams keeps long prompts from engines where they would interrupt streams for
	// longer than callers accept.
	ProtectStreams bool
	// FixedConcurrency lists the services whose upstreams get as many requests as they have
	// slots.
	FixedConcurrency []string
	// Regions holds the region of each data centre. One that is not listed is a region of
	// its own.
	Regions map[string]string
}

// Scheduler assigns jobs to upstreams. The zero value is ready to use once Rand is
// set.
type Scheduler struct {
	Name       string
	DataCentre string
	Rand       *rand.Rand
	// Start is higher than in earlier processes of this name, by more than the number
	// of slots that they granted.
	Start uint64
	// Cell is the index of this entry's cell, of Cells in the data centre. The entries
	// of a cell exchange state and share one part of the upstreams. With Cells 0 every
	// entry uses all upstreams.
	Cell, Cells int
	// Fleet holds the sorted names of all entries that the store lists, nil while that is
	// not known.
	Fleet []string
	// Members holds the names of the entries of this entry's cell, nil while they are not
	// known.
	Members []string

	Options Options

	// stopEnd is when this entry exits; zero means that it does not stop. From stopLate on
	// it dispatches only jobs that must have ended by then.
	stopLate, stopEnd time.Time

	services map[string]*service
	byID     map[string]*upstream
	jobs     map[uint64]*running
	peers    map[string]*peer
	// statements holds what upstreams said of themselves; lastStatement is the number
	// of the newest.
	statements    map[Identity]*statement
	lastStatement uint64
	limits        limits
	cold          coldStarts
	// promises holds what callers that were refused have been promised.
	promises returns.Book
	loans    loans
	// teams holds what the teams of each rank asked for and were given. It is used with
	// FairTeams alone.
	teams fairshare.Ledger
	// teamsSent is when these sums were last sent to the peers.
	teamsSent time.Time
	learning  learning
	// lent is the slot that a peer lends while ReceiveGrant fills it.
	lent Loan
	// entries holds the sorted names of the live peers and this entry; assignedTo
	// holds the joined names of the last slot assignment.
	entries    []string
	assignedTo string
}

// service is a group of upstreams and the queue of jobs for them.
type service struct {
	name      string
	upstreams []*upstream
	// all holds all registered upstreams, upstreams those that this entry uses.
	all   []*upstream
	queue []*Job
	// departureInterval is the smoothed time between departures from the queue, in
	// seconds.
	departureInterval float64
	lastDeparture     time.Time
	// ranks counts the jobs by rank.
	ranks map[[2]int]*rankCount
	// brittleAt is when an upstream last said that it is brittle, zero for never.
	brittleAt time.Time
	elsewhere elsewhere
}

// running is a dispatched job.
type running struct {
	job      *Job
	upstream *upstream
	sent     time.Time
	// started is true after the first event.
	started bool
	// exceeded is true once its answer exceeded a bound.
	exceeded bool
	// pause is the pause after which the upstream was returning, nil if it was not.
	pause *pause
	// loan is the slot of a brittle upstream that a peer lent for it, nil for an own one.
	loan *Loan
	// borrowed is the slot of another cell that it uses, nil for one of this cell.
	borrowed *borrowedSlot
	// paced is when the request was counted against a limit, zero if it was not.
	paced time.Time
	// nominal is the nominal time to the first event in seconds.
	nominal float64
	sample  sample
}

// Limits of the scheduler.
const (
	// peerTimeout is the age of a peer's state after which its requests count as
	// ended: the peer was disconnected or killed.
	peerTimeout = 1500 * time.Millisecond
	// maxQueue bounds the queue of one service.
	maxQueue = 2000
)

func (s *Scheduler) init() {
	if s.services == nil {
		s.services, s.byID = make(map[string]*service), make(map[string]*upstream)
		s.jobs, s.peers = make(map[uint64]*running), make(map[string]*peer)
	}
}

func (s *Scheduler) service(name string) *service {
	v := s.services[name]
	if v == nil {
		v = &service{name: name}
		s.services[name] = v
	}
	return v
}

// SetUpstreams replaces the registered upstreams. Statistics of unchanged ones are
// kept.
func (s *Scheduler) SetUpstreams(list []ward.Replica, now time.Time) []Action {
	s.init()
	s.noteCall(now)
	known, fresh := make(map[string]*upstream, len(list)), make(map[string]bool)
	for _, r := range list {
		u := s.byID[r.ID]
		if u == nil || u.Born != r.Born || u.Address != r.Address {
			u = &upstream{}
			fresh[r.ID] = true
		}
		u.Replica = r
		u.Draining = r.Draining || s.leaving(IdentityOf(&r))
		u.said = s.statements[IdentityOf(&r)]
		u.local = r.DataCentre == s.DataCentre
		s.setLearned(u, now)
		known[r.ID] = u
	}
	s.byID = known
	s.keepLimits(now)
	s.assignServices(now)
	s.setCold(fresh, now)
	return s.dispatchWaiting(now)
}

// Arrive adds a new job, which is dispatched, refused or queued.
func (s *Scheduler) Arrive(j *Job, now time.Time) []Action {
	s.init()
	s.noteCall(now)
	v := s.service(j.Service)
	j.effective, j.raised = j.Rank, false
	c := v.rank(j.Rank)
	c.decay(now)
	c.arrived++
	s.askTeam(v, j, now)
	var displaced *Job
	if len(v.queue) >= maxQueue && !j.Returned {
		if displaced = s.displaceable(v, j, now); displaced == nil {
			return []Action{s.refuse(v, j, ReasonQueueLong, now)}
		}
	}
	if reason := s.rejectReason(v, j, now); reason != "" {
		return []Action{s.refuse(v, j, reason, now)}
	}
	out := s.displace(v, displaced, now)
	v.insert(j)
	out = append(out, s.dispatchService(v, now)...)
	return append(out, s.askLoansFor(v, now)...)
}

// Cancel removes a waiting job whose caller has left.
func (s *Scheduler) Cancel(j *Job) {
	v := s.services[j.Service]
	if v == nil {
		return
	}
	for i, q := range v.queue {
		if q == j {
			v.queue = append(v.queue[:i], v.queue[i+1:]...)
			return
		}
	}
}

// Versions returns the sorted versions of the upstreams of a service that do not drain.
func (s *Scheduler) Versions(name string) []string {
	v := s.services[name]
	if v == nil {
		return nil
	}
	var list []string
	for _, u := range v.upstreams {
		if !u.Draining && !slices.Contains(list, u.Version) {
			list = append(list, u.Version)
		}
	}
	sort.Strings(list)
	return list
}

// Tick refuses the jobs that have expired and dispatches those for which there is
// capacity now.
func (s *Scheduler) Tick(now time.Time) []Action {
	s.init()
	s.noteCall(now)
	s.aggregatePeers(now)
	s.sampleEarly(now)
	return append(s.dispatchWaiting(now), s.Lending(now)...)
}

// Waiting returns the number of waiting jobs.
func (s *Scheduler) Waiting() int {
	n := 0
	for _, v := range s.services {
		n += len(v.queue)
	}
	return n
}

func (s *Scheduler) dispatchWaiting(now time.Time) []Action {
	var out []Action
	names := make([]string, 0, len(s.services))
	for name, v := range s.services {
		if len(v.queue) > 0 {
			names = append(names, name)
		}
	}
	sort.Strings(names)
	for _, name := range names {
		out = append(out, s.dispatchService(s.services[name], now)...)
	}
	return out
}

// dispatchService dispatches waiting jobs in order. A job that has to wait does not
// block those behind it.
func (s *Scheduler) dispatchService(v *service, now time.Time) []Action {
	kept := v.queue[:0]
	full := false
	s.sortQueue(v, now)
	out := s.grantLimits(v, now)
	for i, j := range v.queue {
		if s.outlastsStop(v, j, now) {
			out = append(out, s.refuse(v, j, ReasonStopping, now))
			continue
		}
		if !j.Resumed && s.allExceed(s.upstreamsFor(v, j), j, now) {
			out = append(out, s.refuse(v, j, ReasonPaused, now))
			continue
		}
		if !j.Resumed && now.After(j.Expires.Add(-s.minTimeToFirst(v, j, now))) || now.After(j.Expires) {
			out = append(out, s.refuse(v, j, s.expiryReason(v, now), now))
			continue
		}
		if !j.Resumed && !j.Returned && s.late(v, j, now) {
			// Jobs in time precede it, also those that arrive later, so its wait is
			// estimated anew.
			s.lackTeam(v, j, now)
			j.turnedLate = true
			if s.waitsTooLong(v, j, len(kept), now) {
				out = append(out, s.refuse(v, j, v.longWaitReason(now), now))
				continue
			}
		}
		if full && j.Homes == nil {
			kept = append(kept, j)
			continue
		}
		u := s.choose(v, j, now)
		if u == nil {
			kept = append(kept, j)
			full = !v.hasFreeSlot(now)
			continue
		}
		a := s.dispatch(v, u, j, now)
		a.Queued = len(v.queue) - i - 1
		out = append(out, a)
	}
	clear(v.queue[len(kept):])
	v.queue = kept
	return out
}

func (s *Scheduler) dispatch(v *service, u *upstream, j *Job, now time.Time) Action {
	to := u.Replica // a copy, as the registration may change during the request
	a := Action{Job: j, Upstream: &to, Predicted: u.timeToFirst(j), Waited: now.Sub(j.Arrived), Running: u.load()}
	u.ownLoad++
	u.markSent(now)
	r := &running{job: j, upstream: u, sent: now, nominal: nominalFirst(j)}
	if u.paced(now) {
		r.paced = now
	}
	u.takeLimit(now)
	if u.reserved && u.brittle(now) {
		u.borrow(r, s.lent)
	}
	u.said.begin(r)
	u.noteTrial(now)
	r.beginSample()
	s.jobs[j.ID] = r
	s.giveTeam(v, j, now)
	v.recordDeparture(j, s.late(v, j, now), now)
	return a
}

// Stop begins a planned stop that ends at the given time. From late on no job is
// dispatched that might last longer, whatever is expected of it.
func (s *Scheduler) Stop(late, end time.Time) {
	s.stopLate, s.stopEnd = late, end
	for _, v := range s.services {
		for _, j := range v.queue {
			j.EndBy = end
		}
	}
}
