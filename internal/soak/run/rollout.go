package run

import (
	"context"
	"fmt"
	"strings"
	"time"

	"agateward/ward"
)

const (
	// rolloutTime is the time limit that the operator sets for a roll-out.
	// rolloutSlack is how much later its outcome may be observed, because the soak
	// polls it.
	rolloutTime    = 9 * time.Second
	rolloutSlack   = time.Second
	statusInterval = 50 * time.Millisecond
	// maxExposureShare and exposureSlack bound the requests that a faulty version may
	// receive, as a share of the requests of its service and as a number of requests.
	maxExposureShare = 0.1
	exposureSlack    = 50
)

// rollout starts upstreams of a new version of the orders service, orders the
// roll-out and checks its outcome.
func (s *Soak) rollout(ctx context.Context, bad bool) {
	s.mu.Lock()
	s.rolloutCount++
	target := fmt.Sprintf("v%d", s.rolloutCount+1)
	s.mu.Unlock()
	start := time.Now()
	s.logError(s.Store.Order(ward.Rollout{Service: orders, Target: target, Within: rolloutTime}))
	var old, added []*replica
	for _, r := range s.replicas {
		if r.service != orders {
			continue
		}
		old = append(old, r)
		n := &replica{service: orders, version: target, bad: bad}
		s.logError(s.startUpstream(n, ""))
		added = append(added, n)
	}
	newBefore, allBefore := s.runCounts(target)
	state := s.awaitOutcome(ctx, target, start.Add(rolloutTime+rolloutSlack))
	took, calm := time.Since(start), s.ledger.Undisturbed(start, time.Now())
	n, all := s.runCounts(target)
	n, all = n-newBefore, all-allBefore
	s.Log.Info("rollout", "target", target, "bad", bad, "state", state, "took", took, "calm", calm, "requests", all, "new", n)
	switch {
	case ctx.Err() != nil:
	case bad && state == ward.RolloutCompleted:
		s.ledger.Report("bad-version", target, time.Now(), "the roll-out to a faulty version completed")
	case calm && !bad && state != ward.RolloutCompleted:
		s.ledger.Report("good-version", target, time.Now(), "state %q %s after the order, with nothing disturbed", state, took)
	case calm && bad && state != ward.RolloutRolledBack:
		s.ledger.Report("bad-version", target, time.Now(), "state %q %s after the order, with nothing disturbed", state, took)
	}
	if bad && float64(n) > maxExposureShare*float64(all)+exposureSlack {
		s.ledger.Report("exposure", target, time.Now(), "the faulty version received %d of %d requests", n, all)
	}
	if state == ward.RolloutCompleted {
		s.replace(old, added)
		return
	}
	for _, r := range added {
		s.remove(r)
	}
}

// awaitOutcome waits until a roll-out has ended, or until the time end, and returns
// its last state.
func (s *Soak) awaitOutcome(ctx context.Context, target string, end time.Time) ward.RolloutState {
	for {
		status := s.Store.Status(orders)
		if status.Target != target {
			status.State = ""
		}
		if status.State == ward.RolloutCompleted || status.State == ward.RolloutRolledBack || ctx.Err() != nil || time.Now().After(end) {
			return status.State
		}
		sleep(ctx, statusInterval)
	}
}

// replace stops the old upstreams at once, as the platform does, and puts the new
// ones in their place.
func (s *Soak) replace(old, added []*replica) {
	for i, r := range old {
		for !s.tryAcquire(&r.busy) {
			time.Sleep(statusInterval)
		}
		s.remove(&replica{server: r.server, link: r.link, reg: r.reg})
		r.server, r.link, r.reg, r.version, r.bad = added[i].server, added[i].link, added[i].reg, added[i].version, added[i].bad
		s.mu.Lock()
		r.answers = added[i].answers
		s.mu.Unlock()
		s.release(&r.busy)
	}
}

// remove stops and unregisters an upstream.
func (s *Soak) remove(r *replica) {
	end := s.ledger.Disturb(r.reg.ID, false, time.Now())
	s.Store.Withdraw(r.reg.ID)
	r.server.Crash()
	r.link.Close()
	end(time.Now())
}

// runCounts returns the number of requests that ran on a version of the orders
// service, and on all its versions.
func (s *Soak) runCounts(version string) (n, all int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for key, runs := range s.runs {
		if strings.HasPrefix(key, orders+"/") {
			all += runs
		}
	}
	return s.runs[orders+"/"+version], all
}
