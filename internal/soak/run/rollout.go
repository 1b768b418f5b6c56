package run

import (
	"context"
	"fmt"
	"strings"
	"time"

	"agateward/ward"
)

const (
	// rolloutTime is the time that the operator gives for a roll-out, rolloutSlack
	// how much later its outcome may be seen: the soak looks at it now and then.
	rolloutTime  = 9 * time.Second
	rolloutSlack = time.Second
	statusEvery  = 50 * time.Millisecond
	// exposeShare and exposeSlack bound the requests that a bad version gets, as a
	// part of those of its service and as a number.
	exposeShare = 0.1
	exposeSlack = 50
)

// rollout starts upstreams of another version of the orders' service, orders the
// roll-out and checks its outcome.
func (s *Soak) rollout(ctx context.Context, bad bool) {
	s.mu.Lock()
	s.rollouts++
	target := fmt.Sprintf("v%d", s.rollouts+1)
	s.mu.Unlock()
	start := time.Now()
	s.failed(s.Store.Order(ward.Rollout{Service: orders, Target: target, Within: rolloutTime}))
	var old, fresh []*replica
	for _, r := range s.replicas {
		if r.service != orders {
			continue
		}
		old = append(old, r)
		n := &replica{service: orders, version: target, bad: bad}
		s.failed(s.place(n, ""))
		fresh = append(fresh, n)
	}
	newBefore, allBefore := s.runsOf(target)
	state := s.outcome(ctx, target, start.Add(rolloutTime+rolloutSlack))
	took, calm := time.Since(start), s.ledger.Calm(start, time.Now())
	n, all := s.runsOf(target)
	n, all = n-newBefore, all-allBefore
	s.Log.Info("rollout", "target", target, "bad", bad, "state", state, "took", took, "calm", calm, "requests", all, "new", n)
	switch {
	case ctx.Err() != nil:
	case bad && state == ward.RolloutCompleted:
		s.ledger.Report("bad-version", target, time.Now(), "a bad version was completed")
	case calm && !bad && state != ward.RolloutCompleted:
		s.ledger.Report("good-version", target, time.Now(), "%q %s after its order, with nothing disturbed", state, took)
	case calm && bad && state != ward.RolloutRolledBack:
		s.ledger.Report("bad-version", target, time.Now(), "%q %s after its order, with nothing disturbed", state, took)
	}
	if bad && float64(n) > exposeShare*float64(all)+exposeSlack {
		s.ledger.Report("exposure", target, time.Now(), "the bad version got %d of %d requests", n, all)
	}
	if state == ward.RolloutCompleted {
		s.replace(old, fresh)
		return
	}
	for _, r := range fresh {
		s.remove(r)
	}
}

// outcome waits for the end of a roll-out and returns its last status.
func (s *Soak) outcome(ctx context.Context, target string, end time.Time) ward.RolloutState {
	for {
		status := s.Store.Status(orders)
		if status.Target != target {
			status.State = ""
		}
		if status.State == ward.RolloutCompleted || status.State == ward.RolloutRolledBack || ctx.Err() != nil || time.Now().After(end) {
			return status.State
		}
		wait(ctx, statusEvery)
	}
}

// replace stops the old upstreams at once, as the platform does, and puts the new
// ones in their places.
func (s *Soak) replace(old, fresh []*replica) {
	for i, r := range old {
		for !s.take(&r.busy) {
			time.Sleep(statusEvery)
		}
		s.remove(&replica{up: r.up, link: r.link, reg: r.reg})
		r.up, r.link, r.reg, r.version, r.bad = fresh[i].up, fresh[i].link, fresh[i].reg, fresh[i].version, fresh[i].bad
		s.free(&r.busy)
	}
}

// remove ends an upstream that is not needed any more.
func (s *Soak) remove(r *replica) {
	end := s.ledger.Harm(r.reg.ID, false, time.Now())
	s.Store.Withdraw(r.reg.ID)
	r.up.Crash()
	r.link.Close()
	end(time.Now())
}

// runsOf returns the requests that ran on a version of the orders' service, and on
// all of it.
func (s *Soak) runsOf(version string) (n, all int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for key, runs := range s.runs {
		if strings.HasPrefix(key, orders+"/") {
			all += runs
		}
	}
	return s.runs[orders+"/"+version], all
}
