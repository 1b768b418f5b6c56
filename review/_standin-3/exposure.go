package main

import (
	"encoding/json"
	"maps"
	"slices"
	"sync"
	"time"
)

const (
	orderTime    = 12 * time.Second
	rollbackTime = 5 * time.Second
	exposeShare  = 0.1
	exposeSlack  = 50
	// badAnswers is the number of bad answers after which a version has rollbackTime left.
	badAnswers = 50
	// grace covers the way of the 50th bad answer to an entry and of the next request.
	grace = time.Second
)

const (
	checking  = "/cufi504/"
	cancelled = "/lohu930/"
)

// rollout is a case in which a bad version is rolled out.
type rollout struct {
	rec *record
	f   *fleet
	// faults are those of the new version, nil for none.
	faults *faults

	wg      sync.WaitGroup
	ordered time.Time
	old     []*replica
	fresh   []*replica

	// next counts the requests by the prefix of the path.
	next map[string]int

	mu     sync.Mutex
	sent   map[string]answer
	status string
}

func newRollout(rec *record, trouble bool, portions map[string]float64, routes map[string]string) *rollout {
	r := &rollout{rec: rec, next: map[string]int{}, sent: map[string]answer{}}
	if trouble {
		r.faults = &faults{portions: portions, answers: map[string]int{}}
	}
	r.f = newFleet(rec, 3, func(s *store) {
		for i, id := range []string{"i-7f3a91c2", "i-02d9e6b4", "i-40f425ee"} {
			p := newReplica(rec, id, "bookings", zones[i], "v1", "127.0.0.1", 15*time.Millisecond)
			r.old = append(r.old, p)
			s.put("servers/"+id, p.entry("ready"))
		}
		c := configuration(7, keyA).(map[string]any)
		var list []any
		for _, prefix := range slices.Sorted(maps.Keys(routes)) {
			list = append(list, route(routes[prefix], prefix))
		}
		c["Routes"] = list
		s.put("op/config", c)
	})
	return r
}

// send sends a request to the next entry in turn, on a new connection.
func (r *rollout) send(prefix string) {
	e := r.f.entries[r.next[prefix]%len(r.f.entries)]
	r.next[prefix]++
	r.wg.Go(func() {
		c := dial(e.callers)
		defer c.nc.Close()
		a := c.do(r.rec, e, "POST", host, prefix+"2f", keyA, time.Second, "seat")
		r.mu.Lock()
		defer r.mu.Unlock()
		r.sent[a.id] = a
	})
}

// traffic sends requests for some time, each prefix at a rate in requests a second.
func (r *rollout) traffic(d time.Duration, rates map[string]float64) {
	due := map[string]time.Time{}
	begin := time.Now()
	for prefix, rate := range rates {
		due[prefix] = begin.Add(time.Duration(0.5 * float64(time.Second) / rate))
	}
	for now := begin; now.Sub(begin) < d; now = time.Now() {
		for prefix, rate := range rates {
			if !now.Before(due[prefix]) {
				r.send(prefix)
				due[prefix] = due[prefix].Add(time.Duration(float64(time.Second) / rate))
			}
		}
		time.Sleep(2 * time.Millisecond)
	}
}

// order orders the roll-out to v2, whose replicas start beside the old ones, and acts on its status
// as the platform does.
func (r *rollout) order() {
	r.ordered = r.f.store.put("op/rollout/bookings", map[string]any{"Service": "bookings", "Target": "v2", "DurationS": orderTime.Seconds()})
	for i, id := range []string{"i-aa3a91c2", "i-aad9e6b4", "i-aaf425ee"} {
		p := newReplica(r.rec, id, "bookings", zones[i], "v2", "127.0.0.1", 15*time.Millisecond)
		p.faults = r.faults
		r.fresh = append(r.fresh, p)
		r.f.store.put("servers/"+id, p.entry("ready"))
	}
	go func() {
		for {
			time.Sleep(20 * time.Millisecond)
			var s struct{ State, Target string }
			if json.Unmarshal(r.f.store.value("status/rollout/bookings"), &s) != nil || s.State == "running" {
				continue
			}
			r.rec.line("platform: the roll-out to %s is %s", s.Target, s.State)
			r.mu.Lock()
			r.status = s.State
			r.mu.Unlock()
			r.end(s.State == "completed")
			return
		}
	}()
}

// end stops the old replicas at once if the roll-out was completed, else the new ones drain.
func (r *rollout) end(completed bool) {
	if completed {
		for _, p := range r.old {
			r.f.store.remove("servers/" + p.id)
			p.exit()
		}
		return
	}
	for _, p := range r.fresh {
		p.leaving.Store(true)
		r.f.store.put("servers/"+p.id, p.entry("draining"))
	}
	time.Sleep(drainTime + time.Second)
	for _, p := range r.fresh {
		r.f.store.remove("servers/" + p.id)
		p.exit()
	}
}

// judge reports whether EXPOSURE was broken.
func (r *rollout) judge() bool {
	r.wg.Wait()
	var atNew, bad []run
	all, early, late := 0, 0, 0
	deadline := r.ordered.Add(orderTime)
	for _, p := range append(slices.Clone(r.old), r.fresh...) {
		for _, n := range p.all() {
			inTime := n.arrived.After(r.ordered) && n.arrived.Before(deadline)
			if inTime {
				all++
			}
			if p.version != "v2" {
				continue
			}
			atNew = append(atNew, n)
			if inTime {
				early++
			}
			if n.ended == "500" {
				bad = append(bad, n)
			}
		}
	}
	slices.SortFunc(bad, func(a, b run) int { return a.arrived.Compare(b.arrived) })
	if len(bad) >= badAnswers {
		limit := bad[badAnswers-1].arrived.Add(rollbackTime + grace)
		r.rec.line("EXPOSURE: v2 gave its 50th bad answer at %.3f s", r.rec.since(bad[badAnswers-1].arrived))
		for _, n := range atNew {
			if a := r.sent[n.id]; a.sent.After(limit) {
				late++
				r.rec.line("EXPOSURE: %s, sent %.1f s after it, runs at %s, %s", n.id, a.sent.Sub(limit).Seconds()+(rollbackTime+grace).Seconds(), n.replica, n.ended)
			}
		}
	}
	for _, e := range r.f.entries {
		for _, l := range e.logLines("rollout-", "move-state", "move-evidence", "version-braked") {
			r.rec.line("log of %s: %s", e.name, l)
		}
	}
	allowed := exposeShare*float64(all) + exposeSlack
	r.mu.Lock()
	defer r.mu.Unlock()
	r.rec.line("status %q; until the deadline v2 got %d of %d requests, %.0f allowed; %d bad answers; %d requests sent later than RollbackMs after the 50th",
		r.status, early, all, allowed, len(bad), late)
	return r.faults != nil && float64(early) > allowed || late > 0
}

// badVersionFewRequests rolls a bad version out while few requests come; more come afterwards.
func badVersionFewRequests(rec *record, trouble bool) bool {
	r := newRollout(rec, trouble, map[string]float64{booking: 0.4}, map[string]string{booking: "r-book"})
	defer r.f.close()
	night, day := map[string]float64{booking: 4}, map[string]float64{booking: 22.5}
	r.traffic(8*time.Second, night)
	r.order()
	r.traffic(orderTime, night)
	r.traffic(20*time.Second, day)
	return r.judge()
}

// badVersionThinRoute rolls a version out that fails on one route with little of the service's traffic.
func badVersionThinRoute(rec *record, trouble bool) bool {
	r := newRollout(rec, trouble, map[string]float64{cancelled: 1}, map[string]string{booking: "r-book", checking: "r-check", cancelled: "r-cancel"})
	defer r.f.close()
	rates := map[string]float64{booking: 22.5, checking: 9, cancelled: 1.2}
	r.traffic(8*time.Second, rates)
	r.order()
	r.traffic(orderTime+8*time.Second, rates)
	return r.judge()
}
