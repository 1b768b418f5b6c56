package schedule

import (
	"slices"
	"time"

	"agateward/ward"
)

// The first estimate of an engine that was not used yet; what it does corrects it.
const (
	// firstBase and firstPerToken give the time to the first event of an engine at
	// speed 1: a fixed part, and one for each token of the prompt, in seconds.
	firstBase     = 0.045
	firstPerToken = 1.0 / 100_000
	// perToken is the time for each token of the output at speed 1, in seconds.
	perToken = 0.004
	// outputMargin is applied to an expected output where it has to fit the
	// caller's time.
	outputMargin = 1.3
	// plainTime is the time of a plain request that was not measured yet.
	plainTime = 0.03
	// speedWeight is the weight of one observation in the smoothed speed.
	speedWeight = 0.2
)

// Evidence against an upstream.
const (
	// failWeight is the weight of one answer in the smoothed part of failures.
	failWeight = 0.08
	// greyExcess is the part of failures above that of the other upstreams from
	// which an upstream is used only when nothing else has room.
	greyExcess = 0.12
	// greyAnswers is the number of answers before the part of failures counts.
	greyAnswers = 8
	// retryBase and retryMost are the first and the longest pause before an
	// upstream that could not be reached is tried again.
	retryBase = 250 * time.Millisecond
	retryMost = 2 * time.Second
	// silenceFactor and silenceLeast say how long after the expected first event
	// an upstream that says nothing at all is taken to be unreachable.
	silenceFactor = 4
	silenceLeast  = 600 * time.Millisecond
	// doubtTime is how long the word of a peer counts, against an upstream that has
	// not answered here in that time.
	doubtTime = 500 * time.Millisecond
	// testPause is the time between two requests that test an upstream.
	testPause = 700 * time.Millisecond
)

// upstream is what is known of one replica.
type upstream struct {
	ward.Replica
	near bool
	// home is the number of this entry's home slots, granted says that a peer gives
	// a slot away at this moment.
	home    int
	granted bool
	// own and others count the requests of this entry and of its peers.
	own, others int
	// lent counts the slots on their way from one entry to another.
	lent int
	// speed is the time that work takes as a multiple of the first estimate; 0
	// means not measured.
	speed float64
	// pace is the time between tokens as a multiple of the first estimate; 0 means
	// not measured.
	pace float64
	// fails is the smoothed part of failures among answers.
	fails   float64
	answers int
	// unreached counts attempts that found nobody, since the last answer. Until
	// closedUntil no request is sent.
	unreached   int
	closedUntil time.Time
	// heard is when the last byte came, asked when the oldest request was sent to
	// which nothing came since.
	heard, asked time.Time
	lastSent     time.Time
	// doubted is when a peer last told that the upstream does not answer it.
	doubted time.Time
}

func (u *upstream) load() int { return u.own + u.others + u.lent }

func (u *upstream) rate() float64 {
	if u.speed == 0 {
		return 1
	}
	return u.speed
}

// tokenRate is the multiple for the time between tokens: that of the first event
// as long as nothing else is known.
func (u *upstream) tokenRate() float64 {
	if u.pace == 0 {
		return u.rate()
	}
	return u.pace
}

// whole is the expected time to the last event of j. Callers' estimates of the
// output are right at the median only, so a part is added.
func (u *upstream) whole(j *Job) time.Duration {
	return u.first(j) + time.Duration(outputMargin*u.tokenRate()*nominalRest(j)*float64(time.Second))
}

// nominalFirst is the time to the first event at speed 1, in seconds.
func nominalFirst(j *Job) float64 {
	if j.Output == 0 {
		return plainTime
	}
	return firstBase + firstPerToken*float64(j.Prompt)
}

// nominalRest is the time from the first event to the last at speed 1.
func nominalRest(j *Job) float64 { return perToken * float64(j.Output) }

// first is the expected time to the first event of j, with the requests that
// run beside it.
func (u *upstream) first(j *Job) time.Duration {
	return time.Duration(u.rate() * nominalFirst(j) * float64(time.Second))
}

func (u *upstream) sent(now time.Time) {
	u.lastSent = now
	if u.asked.IsZero() {
		u.asked = now
	}
}

func (u *upstream) hear(now time.Time) {
	u.heard, u.asked = now, time.Time{}
	u.unreached, u.closedUntil = 0, time.Time{}
}

// silent tells that requests were sent and nothing at all came back for long.
func (u *upstream) silent(now time.Time) bool {
	limit := max(time.Duration(silenceFactor*u.rate()*firstBase*float64(time.Second)), silenceLeast)
	return u.own > 0 && !u.asked.IsZero() && now.Sub(u.asked) > limit
}

// silent returns the upstreams that do not answer, for the peers.
func (s *Scheduler) silent(now time.Time) []string {
	var list []string
	for id, u := range s.byID {
		if u.unreached > 1 || u.silent(now) {
			list = append(list, id)
		}
	}
	return list
}

// room tells whether any upstream of the service has a free slot.
func (v *service) room(now time.Time) bool {
	for _, u := range v.upstreams {
		if u.free() && now.After(u.closedUntil) {
			return true
		}
	}
	return false
}

// fastest is the shortest expected time to the first event of j.
func (s *Scheduler) fastest(v *service, j *Job) time.Duration {
	best := time.Duration(0)
	for _, u := range v.upstreams {
		if u.Draining {
			continue
		}
		if d := u.first(j); best == 0 || d < best {
			best = d
		}
	}
	return best
}

// fails is the part of failures of the service's other upstreams.
func (v *service) fails(not *upstream) float64 {
	sum, n := 0.0, 0
	for _, u := range v.upstreams {
		if u != not && u.answers >= greyAnswers && !u.Draining {
			sum += u.fails
			n++
		}
	}
	if n == 0 {
		return 0
	}
	return sum / float64(n)
}

func (v *service) grey(u *upstream) bool {
	return u.answers >= greyAnswers && u.fails > v.fails(u)+greyExcess
}

// Costs of a choice, as parts of the expected time of the request.
const (
	// farCost is added for an upstream in another data centre.
	farCost = 0.35
	// loadCost is added in proportion to the slots in use.
	loadCost = 0.6
	// lateCost, cutCost and greyCost set the choices apart that are taken only
	// when there is no other.
	lateCost = 20
	cutCost  = 40
	greyCost = 100
)

// choose returns the upstream for j, or nil when it is better to wait.
func (s *Scheduler) choose(v *service, j *Job, now time.Time) *upstream {
	var best *upstream
	bestCost := 0.0
	for _, u := range v.upstreams {
		if !u.free() || slices.Contains(j.Avoid, u.ID) || !u.open(j, now) {
			continue
		}
		cost := s.cost(v, u, j, now)
		if best == nil || cost < bestCost {
			best, bestCost = u, cost
		}
	}
	if best == nil {
		return nil
	}
	// A slow upstream that would be late is worse than a short wait for a fast
	// one, as long as a fast one can still be in time.
	late := now.Add(best.first(j)).After(j.OnTime)
	if late && !now.Add(s.fastest(v, j)).After(j.OnTime) {
		return nil
	}
	if s.cut(best, j, now) && s.mayEnd(v, j, now) {
		return nil
	}
	return best
}

// cut tells whether j is not expected to end in time at u.
func (s *Scheduler) cut(u *upstream, j *Job, now time.Time) bool {
	return !j.End.IsZero() && now.Add(u.whole(j)).After(j.End)
}

// mayEnd tells whether an upstream of the service would end j in time.
func (s *Scheduler) mayEnd(v *service, j *Job, now time.Time) bool {
	for _, u := range v.upstreams {
		if !u.Draining && now.After(u.closedUntil) && !s.cut(u, j, now) {
			return true
		}
	}
	return false
}

// open tells whether u may get j. One that failed to answer gets a single
// repeatable request at times, to test it.
func (u *upstream) open(j *Job, now time.Time) bool {
	if now.Before(u.closedUntil) {
		return false
	}
	doubted := now.Sub(u.doubted) < doubtTime && now.Sub(u.heard) > doubtTime
	if u.unreached == 0 && !u.silent(now) && !doubted {
		return true
	}
	return j.Repeatable && now.Sub(u.lastSent) > testPause
}

func (s *Scheduler) cost(v *service, u *upstream, j *Job, now time.Time) float64 {
	work := nominalFirst(j) + nominalRest(j)
	rate := (u.rate()*nominalFirst(j) + u.tokenRate()*nominalRest(j)) / work
	cost := rate * (1 + loadCost*float64(u.load())/float64(u.Slots))
	if !u.near {
		cost += farCost
	}
	if now.Add(u.first(j)).After(j.OnTime) {
		cost += lateCost
	}
	if !j.End.IsZero() && now.Add(u.whole(j)).After(j.End) {
		cost += cutCost
	}
	if v.grey(u) && (!j.Repeatable || now.Sub(u.lastSent) <= testPause) {
		cost += greyCost
	}
	return cost*work + s.Rand.Float64()*0.02*work
}
