//nolint:forbidigo // the stand-ins run on the real clock
package main

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"strings"
	"sync"
	"time"

	"agateward/ward"
)

// Figures of the case exposure.
const (
	exposureService = "bookings"
	// firstTime and secondTime are DurationS of the two orders.
	firstTime, secondTime = 12 * time.Second, 15 * time.Second
	// lostAfter is the time from the first order until a replica of the version in use is lost.
	lostAfter = 500 * time.Millisecond
	// orderAfter and drainAfter are the times from the roll-back until the second order and
	// until the replicas of the first bad version drain.
	orderAfter, drainAfter = 500 * time.Millisecond, 2 * time.Second
	// Of the requests at the first bad version, slowPart take slowFactor times as long; of those at the next one, errorPart
	// fail.
	slowPart, slowFactor = 0.45, 8
	errorPart            = 0.45
	// exposeShare and exposeSlack are the bounds of the rule.
	exposeShare, exposeSlack = 0.1, 50
	// rollbackTime is RollbackMs, and badAnswers the number of bad answers from which it counts.
	// transit is what a request may take from its client to a replica.
	rollbackTime, badAnswers, transit = 5 * time.Second, 50, time.Second
	// laterTime is how long requests go on after the end of the second order's time.
	laterTime = 15 * time.Second
	// exposureRate is the number of requests a second.
	exposureRate = 40
)

// arrivals holds when requests arrived at each version.
type arrivals struct {
	mu sync.Mutex
	at map[string][]time.Time
	// bad holds the times of the bad answers of each version.
	bad map[string][]time.Time
}

func (a *arrivals) add(list map[string][]time.Time, version string) {
	a.mu.Lock()
	defer a.mu.Unlock()
	list[version] = append(list[version], time.Now())
}

// between returns the number of arrivals at a version from one time to another.
func (a *arrivals) between(version string, from, to time.Time) (n int) {
	a.mu.Lock()
	defer a.mu.Unlock()
	for _, at := range a.at[version] {
		if !at.Before(from) && at.Before(to) {
			n++
		}
	}
	return n
}

// later returns the number of arrivals at a version that its client sent later than rollbackTime
// after its 50th bad answer.
func (a *arrivals) later(version string) (n int) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if len(a.bad[version]) < badAnswers {
		return 0
	}
	limit := a.bad[version][badAnswers-1].Add(rollbackTime + transit)
	for _, at := range a.at[version] {
		if at.After(limit) {
			n++
		}
	}
	return n
}

// exposure is one play of the case exposure.
type exposure struct {
	*world
	arrivals
	replicas map[string][]*replica
	// old is the version in use, first and next are the bad ones.
	old, first, next string
	// second is when the second order was given, state what came of it.
	second time.Time
	state  ward.RolloutState
}

// playExposure orders a roll-out to a bad version, and after it was rolled back one to another
// bad version. A replica of the version in use is lost for good before that.
func playExposure(w *world) (int, error) {
	x := &exposure{world: w, arrivals: arrivals{at: make(map[string][]time.Time), bad: make(map[string][]time.Time)}, replicas: make(map[string][]*replica)}
	x.old, x.first, x.next = "v1", "v2", "v3"
	if list := strings.Split(os.Getenv("VERSIONS"), ","); len(list) == 3 {
		x.old, x.first, x.next = list[0], list[1], list[2]
	}
	if err := x.prepare(); err != nil {
		return 0, err
	}
	if err := w.start(3); err != nil {
		return 0, err
	}
	stop := w.callSteadily()
	defer stop()
	time.Sleep(4 * time.Second) // the machines find each other
	if err := x.rollOutFirst(); err != nil {
		return 0, err
	}
	if err := x.rollOutSecond(); err != nil {
		return 0, err
	}
	time.Sleep(time.Until(x.second.Add(secondTime + laterTime)))
	return x.breaks(), nil
}

// prepare starts the replicas and writes the first configuration.
func (x *exposure) prepare() error {
	for _, version := range []string{x.old, x.first, x.next} {
		for i := range 3 {
			r, err := newReplica(fmt.Sprintf("i-%s-%d", version, i), x.serve)
			if err != nil {
				return err
			}
			r.version = version
			x.replicas[version] = append(x.replicas[version], r)
		}
	}
	if err := x.registerAll(x.old); err != nil {
		return err
	}
	var routes []map[string]any
	for _, kind := range []string{"unsafe", "safe"} {
		routes = append(routes, map[string]any{
			"Name": kind, "Host": "ficu95.example", "Prefix": "/" + kind + "/", "Kind": kind, "TimeoutMs": 1000, "TargetLatencyMs": 100,
			"Priority": 2, "Service": exposureService, "MaxAttempts": 2,
		})
	}
	return x.configure(3, routes, []string{exposureService})
}

// registerAll registers the replicas of a version.
func (x *exposure) registerAll(version string) error {
	for _, r := range x.replicas[version] {
		if err := x.register(r.id, exposureService, r.address, version); err != nil {
			return err
		}
	}
	return nil
}

// serve answers one request: the first bad version is slow at times, the next one fails at times.
func (x *exposure) serve(r *replica, c net.Conn, q *http.Request) bool {
	x.add(x.at, r.version)
	work, status := time.Duration(10+rand.IntN(10))*time.Millisecond, "200 OK"
	switch bad := rand.Float64(); {
	case r.version == x.first && bad < slowPart:
		work *= slowFactor
		x.add(x.bad, r.version)
	case r.version == x.next && bad < errorPart:
		status = "500 Internal Server Error"
		x.add(x.bad, r.version)
	}
	time.Sleep(work)
	body := strings.Repeat("b", 800)
	_, err := fmt.Fprintf(c, signed(q, status)+"Content-Length: %d\r\n\r\n%s", len(body), body)
	return err == nil
}

// rollOutFirst orders the first bad version and waits until it was rolled back.
func (x *exposure) rollOutFirst() error {
	begin := time.Now()
	if err := x.order(x.first, firstTime, func() error { return x.registerAll(x.first) }); err != nil {
		return err
	}
	if x.trouble {
		lost := x.replicas[x.old][0]
		time.AfterFunc(lostAfter, func() {
			lost.crash()
			x.lose(lost.id)
			x.note("replica %s of %s is lost for good", lost.id, lost.version)
		})
	}
	if state := x.awaitOutcome(x.first, begin.Add(firstTime)); state != ward.RolloutRolledBack {
		return fmt.Errorf("the first bad version was not rolled back: %s", state)
	}
	time.AfterFunc(drainAfter, func() { x.leave(x.replicas[x.first]) })
	return nil
}

// rollOutSecond orders the second bad version and waits for what comes of it.
func (x *exposure) rollOutSecond() error {
	time.Sleep(orderAfter)
	x.second = time.Now()
	if err := x.order(x.next, secondTime, func() error { return x.registerAll(x.next) }); err != nil {
		return err
	}
	if x.state = x.awaitOutcome(x.next, x.second.Add(secondTime)); x.state != ward.RolloutCompleted {
		return nil
	}
	x.note("the old replicas stop")
	for _, r := range x.replicas[x.old] {
		r.crash()
		x.withdraw(r.id)
	}
	return nil
}

// breaks returns the number of requests at the next version beyond the bounds of the rule.
func (x *exposure) breaks() int {
	end := x.second.Add(secondTime)
	got, all := x.between(x.next, x.second, end), 0
	for version := range x.replicas {
		all += x.between(version, x.second, end)
	}
	allowed, late := int(exposeShare*float64(all))+exposeSlack, x.later(x.next)
	x.note("%s got %d of %d requests in the time of its roll-out, %d allowed; its state: %s", x.next, got, all, allowed, x.state)
	x.note("%s got %d requests that were sent later than %v after its %dth bad answer", x.next, late, rollbackTime, badAnswers)
	x.note("%s got %d requests after it was rolled back and the next version was ordered", x.first, x.between(x.first, x.second, end))
	for _, e := range x.entries {
		for _, text := range []string{"event=rollout-planned", "event=rollout-reported", "event=move-state"} {
			for _, line := range x.log(e, text) {
				x.note("log of %s: %s", e.name, line)
			}
		}
	}
	return max(got-allowed, 0) + late
}

// order orders a roll-out and starts the replicas of its target.
func (w *world) order(target string, within time.Duration, start func() error) error {
	b, err := json.Marshal(map[string]any{"Service": exposureService, "Target": target, "DurationS": within.Seconds()})
	if err != nil {
		return err
	}
	w.store.Put("op/rollout/"+exposureService, b)
	w.note("the operator orders %s", b)
	return start()
}

// awaitOutcome returns the outcome of a roll-out, or what its state is at a time.
func (w *world) awaitOutcome(target string, until time.Time) ward.RolloutState {
	for ; ; time.Sleep(50 * time.Millisecond) {
		s := w.store.Status(exposureService)
		if done := s.State == ward.RolloutCompleted || s.State == ward.RolloutRolledBack; s.Target == target && done || time.Now().After(until) {
			w.note("the status of %s is %s", s.Target, s.State)
			return s.State
		}
	}
}

// leave drains replicas, and ends them after DrainMs and a little more.
func (w *world) leave(list []*replica) {
	for _, r := range list {
		if err := w.drain(r.id); err != nil {
			w.note("%v", err)
		}
	}
	w.note("the replicas of %s drain", list[0].version)
	time.AfterFunc(2500*time.Millisecond, func() {
		for _, r := range list {
			w.withdraw(r.id)
		}
	})
}

// callSteadily sends requests to all machines until the returned function is called.
func (w *world) callSteadily() (stop func()) {
	done := make(chan struct{})
	var wg sync.WaitGroup
	wg.Add(1)
	go func() {
		defer wg.Done()
		t := time.NewTicker(time.Second / exposureRate)
		defer t.Stop()
		for n := 0; ; n++ {
			select {
			case <-done:
				return
			case <-t.C:
			}
			wg.Add(1)
			go func() {
				defer wg.Done()
				path := "/unsafe/x"
				if n%4 == 0 {
					path = "/safe/x"
				}
				e := w.entries[rand.IntN(len(w.entries))]
				send(http.MethodPost, e.front, "ficu95.example", path, fmt.Sprintf("c-%d", n), time.Second, []byte("{}"))
			}()
		}
	}()
	return func() {
		close(done)
		wg.Wait()
	}
}
