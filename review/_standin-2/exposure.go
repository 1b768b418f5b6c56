package main

import (
	"encoding/json"
	"fmt"
	"math/rand"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"

	"agateward/platform"
	"agateward/ward"
)

// Figures of the case exposure.
const (
	exposureService = "bookings"
	// firstTime and secondTime are DurationS of the two orders.
	firstTime, secondTime = 12 * time.Second, 15 * time.Second
	// lostAfter is the time from the first order until a replica of the version in use is lost;
	// its registration lapses after three heartbeats of 1.2 s.
	lostAfter  = 500 * time.Millisecond
	lapseAfter = 3600 * time.Millisecond
	// orderAfter and drainAfter are the times from the roll-back until the second order and
	// until the replicas of the first bad version drain.
	orderAfter, drainAfter = 500 * time.Millisecond, time.Second
	// Of the requests at v2, slowPart take slowFactor times as long; of those at v3, errorPart
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

// playExposure orders a roll-out to a bad version, and after it was rolled back one to another
// bad version. A replica of the version in use is lost for good before that.
func playExposure(w *world) (int, error) {
	a := &arrivals{at: make(map[string][]time.Time), bad: make(map[string][]time.Time)}
	serve := func(r *replica, c net.Conn, q *http.Request) bool {
		a.add(a.at, r.version)
		work, status := time.Duration(10+rand.Intn(10))*time.Millisecond, "200 OK"
		switch bad := rand.Float64(); {
		case r.version == "v2" && bad < slowPart:
			work *= slowFactor
			a.add(a.bad, r.version)
		case r.version == "v3" && bad < errorPart:
			status = "500 Internal Server Error"
			a.add(a.bad, r.version)
		}
		time.Sleep(work)
		body := strings.Repeat("b", 800)
		_, err := fmt.Fprintf(c, signed(q, status)+"Content-Length: %d\r\n\r\n%s", len(body), body)
		return err == nil
	}
	replicas := make(map[string][]*replica)
	for _, version := range []string{"v1", "v2", "v3"} {
		for i := range 3 {
			r, err := newReplica(fmt.Sprintf("i-%s-%d", version, i), serve)
			if err != nil {
				return 0, err
			}
			r.version = version
			replicas[version] = append(replicas[version], r)
		}
	}
	register := func(version string) error {
		for _, r := range replicas[version] {
			if err := w.register(r.id, exposureService, r.address, version); err != nil {
				return err
			}
		}
		return nil
	}
	if err := register("v1"); err != nil {
		return 0, err
	}
	var routes []map[string]any
	for _, kind := range []string{"unsafe", "safe"} {
		routes = append(routes, map[string]any{
			"Name": kind, "Host": "ficu95.example", "Prefix": "/" + kind + "/", "Kind": kind, "TimeoutMs": 1000, "TargetLatencyMs": 100,
			"Priority": 2, "Service": exposureService, "MaxAttempts": 2,
		})
	}
	if err := w.configure(3, routes, []string{exposureService}); err != nil {
		return 0, err
	}
	if err := w.start(3); err != nil {
		return 0, err
	}
	stop := w.callSteadily()
	defer stop()
	time.Sleep(4 * time.Second)

	if err := w.order("v2", firstTime, func() error { return register("v2") }); err != nil {
		return 0, err
	}
	begin := time.Now()
	if w.trouble {
		lost := replicas["v1"][0]
		time.AfterFunc(lostAfter, func() {
			lost.crash()
			w.note("replica %s (v1) is lost for good", lost.id)
		})
		time.AfterFunc(lostAfter+lapseAfter, func() { w.store.Delete(platform.ReplicaPrefix + lost.id) })
	}
	if state := w.awaitOutcome("v2", begin.Add(firstTime)); state != ward.RolloutRolledBack {
		return 0, fmt.Errorf("the first bad version was not rolled back: %s", state)
	}
	time.AfterFunc(drainAfter, func() { w.drain(replicas["v2"]) })
	time.Sleep(orderAfter)
	second := time.Now()
	if err := w.order("v3", secondTime, func() error { return register("v3") }); err != nil {
		return 0, err
	}
	state := w.awaitOutcome("v3", second.Add(secondTime))
	if state == ward.RolloutCompleted {
		w.note("the old replicas stop")
		for _, r := range replicas["v1"] {
			r.crash()
			w.store.Delete(platform.ReplicaPrefix + r.id)
		}
	}
	time.Sleep(time.Until(second.Add(secondTime + laterTime)))

	end := second.Add(secondTime)
	bad, all := a.between("v3", second, end), 0
	for version := range replicas {
		all += a.between(version, second, end)
	}
	allowed := int(exposeShare*float64(all)) + exposeSlack
	w.note("v3 got %d of %d requests in the time of its roll-out, %d allowed; its state: %s; %d of its answers were bad", bad, all, allowed, state, len(a.bad["v3"]))
	late := a.later("v3")
	w.note("v3 got %d requests that were sent later than %v after its %dth bad answer", late, rollbackTime, badAnswers)
	w.note("v2 got %d requests after it was rolled back and the next version was ordered", a.between("v2", second, end))
	for _, e := range w.entries {
		for _, text := range []string{"event=rollout-planned", "event=rollout-reported", "event=move-state"} {
			for _, line := range w.log(e, text) {
				w.note("log of %s: %s", e.name, line)
			}
		}
	}
	return max(bad-allowed, 0) + late, nil
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

// drain lets replicas say that they are draining, and ends them after DrainMs and a little more.
func (w *world) drain(list []*replica) {
	for _, r := range list {
		b, err := json.Marshal(map[string]any{
			"Service": exposureService, "Address": r.address, "Zone": "cpt-a", "Version": r.version, "Slots": 6, "State": "draining",
			"ColdRemainingMs": 0, "Seq": 2, "born": time.Now().UnixMilli(),
		})
		if err != nil {
			return
		}
		w.store.Put(platform.ReplicaPrefix+r.id, b)
	}
	w.note("the replicas of %s drain", list[0].version)
	time.AfterFunc(2500*time.Millisecond, func() {
		for _, r := range list {
			w.store.Delete(platform.ReplicaPrefix + r.id)
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
				e := w.entries[rand.Intn(len(w.entries))]
				send(http.MethodPost, e.front, "ficu95.example", path, fmt.Sprintf("c-%d", n), time.Second, []byte("{}"))
			}()
		}
	}()
	return func() {
		close(done)
		wg.Wait()
	}
}
