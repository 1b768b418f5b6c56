// Package schedule decides which upstream gets a request of the forwarding
// surface, which requests wait and which are refused.
//
// Engines admit requests in the order of their arrival. So work waits here, by
// rank and deadline, and an upstream is sent no more requests than it has slots,
// counted over all entries. Peers tell how many requests they have running; the
// news is a fraction of a second old, and an upstream may be given a few requests
// more than it has slots in that time.
//
// # Usage
//
//	s := schedule.Scheduler{Name: "entry-1", DataCentre: "mid-a", Rand: rand.New(rand.NewPCG(1, 2))}
//	s.SetUpstreams(replicas, now)
//	actions := s.Arrive(job, now)
//	actions = s.Done(job.ID, outcome, now)
//	actions = s.Tick(now)
//
// Each call returns the decisions that it led to. The scheduler has no clock and
// makes no calls.
package schedule

import (
	"math/rand/v2"
	"sort"
	"time"

	"agateward/ward"
)

// Job is one request that wants an upstream.
type Job struct {
	// ID is unique among the jobs of an entry.
	ID      uint64
	Request string
	Service string
	Route   string
	// Rank orders waiting jobs, the lower first: the team's rank, then the route's.
	Rank [2]int
	// Arrived is when the caller's request came in.
	Arrived time.Time
	// OnTime is when the first event (or the answer) must reach the caller to be
	// in time, Latest when it is of no more use.
	OnTime time.Time
	Latest time.Time
	// End is when the last byte must have reached the caller, zero for no bound.
	End time.Time
	// Prompt and Output are the sizes in tokens, 0 for plain requests.
	Prompt int
	Output int
	// Repeatable jobs may be used to test an upstream that failed.
	Repeatable bool
	// Avoid lists the upstreams that the request was sent to before.
	Avoid []string
	// Resumed says that a part of the answer has reached the caller: the job is
	// not refused before Latest.
	Resumed bool
}

// Action is a decision on one job: a dispatch when Upstream is set, else a
// refusal. Without a job it gives a free slot of Upstream to the peer Yield.
type Action struct {
	Job      *Job
	Upstream *ward.Replica
	GrantTo  string
	// Sequence numbers the slots given to Yield. Used says that a request of this
	// entry had the slot until now.
	Sequence uint64
	Used     bool
	// Predicted is the expected time to the first event.
	Predicted time.Duration
	// RetryAfter goes with a refusal, Reason says why.
	RetryAfter time.Duration
	Reason     string
	// Waited is the time that the job spent in the queue; Running and Queued are
	// the load that the decision saw.
	Waited  time.Duration
	Running int
	Queued  int
}

// Reasons of a refusal.
const (
	ReasonNoUpstream = "no-upstream"
	ReasonTooLate    = "too-late"
	ReasonQueueLong  = "queue-long"
)

// Scheduler is the state of the decisions. Its zero value is ready to use once
// Rand is set.
type Scheduler struct {
	Name       string
	DataCentre string
	Rand       *rand.Rand
	// Start is a number that is higher than in earlier processes of this name, by
	// more than the slots that they gave away.
	Start uint64
	// Cell is the part of the data centre's upstreams that this entry and those
	// that it hears use, of Cells parts. Cells 0 means that all use all.
	Cell, Cells int

	services map[string]*service
	byID     map[string]*upstream
	jobs     map[uint64]*running
	peers    map[string]*peer
	// entries are the names of the entries that are heard and this one, sorted;
	// homes is what they were when the slots were last dealt out.
	entries []string
	homes   string
}

// service is one group of upstreams and the jobs that wait for one of them.
type service struct {
	name      string
	upstreams []*upstream
	queue     []*Job
	// freed is the smoothed time between two jobs that leave the queue or an
	// upstream at this entry, in seconds.
	freed    float64
	lastFree time.Time
}

// running is a dispatched job.
type running struct {
	job     *Job
	up      *upstream
	sent    time.Time
	heard   bool
	nominal float64
}

// Limits of the scheduler.
const (
	// peerSilence is the age of news after which a peer's requests are taken to
	// have ended: it was cut off or killed.
	peerSilence = 1500 * time.Millisecond
	// minRetryAfter and maxRetryAfter bound the advice that goes with a refusal.
	minRetryAfter = 300 * time.Millisecond
	maxRetryAfter = 3 * time.Second
	// maxQueue bounds the jobs that wait for one service.
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

// SetUpstreams takes the registered upstreams. What was learned of one that
// stays is kept.
func (s *Scheduler) SetUpstreams(list []ward.Replica, now time.Time) []Action {
	s.init()
	for _, v := range s.services {
		v.upstreams = v.upstreams[:0]
	}
	known := make(map[string]*upstream, len(list))
	for _, r := range list {
		u := s.byID[r.ID]
		if u == nil || u.Born != r.Born || u.Address != r.Address {
			u = &upstream{}
		}
		u.Replica = r
		u.near = r.DataCentre == s.DataCentre
		known[r.ID] = u
		v := s.service(r.Service)
		v.upstreams = append(v.upstreams, u)
	}
	for _, v := range s.services {
		v.upstreams = s.ofCell(v.upstreams)
	}
	s.byID = known
	s.homes = ""
	s.countPeers(now)
	return s.drain(now)
}

// Arrive takes a new job, which is dispatched, refused or waits.
func (s *Scheduler) Arrive(j *Job, now time.Time) []Action {
	s.init()
	v := s.service(j.Service)
	if len(v.queue) >= maxQueue {
		return []Action{s.refuse(v, j, ReasonQueueLong, now)}
	}
	if reason := s.hopeless(v, j, now); reason != "" {
		return []Action{s.refuse(v, j, reason, now)}
	}
	v.insert(j)
	return s.drainService(v, now)
}

// Cancel takes a waiting job out; the caller has left.
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

// Tick refuses the jobs that have waited too long and dispatches those for which
// there is room by now.
func (s *Scheduler) Tick(now time.Time) []Action {
	s.init()
	s.countPeers(now)
	return s.drain(now)
}

// Waiting returns the number of waiting jobs.
func (s *Scheduler) Waiting() int {
	n := 0
	for _, v := range s.services {
		n += len(v.queue)
	}
	return n
}

func (s *Scheduler) drain(now time.Time) []Action {
	var out []Action
	names := make([]string, 0, len(s.services))
	for name, v := range s.services {
		if len(v.queue) > 0 {
			names = append(names, name)
		}
	}
	sort.Strings(names)
	for _, name := range names {
		out = append(out, s.drainService(s.services[name], now)...)
	}
	return out
}

// drainService dispatches waiting jobs in order. A job for which only waiting
// helps does not hold up those behind it.
func (s *Scheduler) drainService(v *service, now time.Time) []Action {
	var out []Action
	kept := v.queue[:0]
	full := false
	s.order(v, now)
	for i, j := range v.queue {
		if !j.Resumed && now.After(j.Latest.Add(-s.fastest(v, j))) || now.After(j.Latest) {
			out = append(out, s.refuse(v, j, ReasonTooLate, now))
			continue
		}
		if full {
			kept = append(kept, j)
			continue
		}
		u := s.choose(v, j, now)
		if u == nil {
			kept = append(kept, j)
			full = !v.room(now)
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
	to := u.Replica // a registration may change while the request is sent
	a := Action{Job: j, Upstream: &to, Predicted: u.first(j), Waited: now.Sub(j.Arrived), Running: u.load()}
	u.own++
	u.sent(now)
	s.jobs[j.ID] = &running{job: j, up: u, sent: now, nominal: nominalFirst(j)}
	v.leave(now)
	return a
}

func (s *Scheduler) refuse(v *service, j *Job, reason string, now time.Time) Action {
	wait := time.Duration(float64(len(v.queue)) * v.freed * float64(time.Second))
	wait = min(max(wait, minRetryAfter), maxRetryAfter)
	// Returns are spread over as much time again, so that they do not come back
	// as another burst.
	wait += time.Duration(s.Rand.Float64() * float64(wait))
	return Action{Job: j, Reason: reason, RetryAfter: min(wait, maxRetryAfter), Waited: now.Sub(j.Arrived), Queued: len(v.queue)}
}
