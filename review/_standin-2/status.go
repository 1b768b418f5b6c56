//nolint:forbidigo // the stand-ins run on the real clock
package main

import (
	"encoding/json"
	"fmt"
	"hash/fnv"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"agateward/ward"
)

// Figures of the case status.
const (
	// orderTime is DurationS of the order. turnedAway bounds the time in which the store turns
	// the machine away, which the site has for 9 s.
	orderTime  = 12 * time.Second
	turnedAway = 8900 * time.Millisecond
	// rounds is the number of roll-outs.
	rounds = 4
	// badPart is the part of its requests that the bad version fails.
	badPart = 0.8
	// callers is the number of clients, each of which sends callRate requests a second.
	callers  = 100
	callRate = 8
	// fleet is the number of machines, of which three are alone in their zones. candidates
	// is the number of those that may lead a roll-out.
	fleet      = 13
	candidates = 3
)

// playStatus orders roll-outs to bad versions, one after the other, each of a service of its own.
// Just after the machine that leads one has written to the store under a condition, the store
// turns that machine away: there is no response. Another machine takes over and rolls back in
// time. The store serves the first one again before the order's time is up.
func playStatus(w *world) (int, error) {
	services := servicesLedByLast(rounds)
	for i := range fleet {
		w.zones = append(w.zones, []string{"cpt-a", "cpt-b", "cpt-c", "cpt-d", "cpt-e"}[max(i/5, i-8)])
	}
	if err := w.startServices(services); err != nil {
		return 0, err
	}
	if err := w.start(fleet); err != nil {
		return 0, err
	}
	stop := w.callAll(services)
	defer stop()
	time.Sleep(4 * time.Second) // the machines find each other
	broken := 0
	for _, service := range services {
		r := round{world: w, service: service}
		if err := r.play(); err != nil {
			return 0, err
		}
		if r.atEnd != ward.RolloutRolledBack {
			broken++
		}
	}
	for _, e := range w.entries {
		for _, text := range []string{"event=move-lease", "event=rollout-reported"} {
			for _, line := range w.log(e, text) {
				w.note("log of %s: %s", e.name, line)
			}
		}
	}
	w.note("of %d bad versions, %d were not rolled_back by the status at the end of the order's time", rounds, broken)
	return broken, nil
}

// round is one roll-out.
type round struct {
	*world
	service string

	mu     sync.Mutex
	leader *entry
	// rolledBack is true once another machine has reported the outcome.
	rolledBack bool
	// atEnd is the status at the end of the order's time.
	atEnd ward.RolloutState
}

func (r *round) play() error {
	r.setWritten(r.wrote)
	defer r.setWritten(nil)
	order, err := json.Marshal(map[string]any{"Service": r.service, "Target": "v2", "DurationS": orderTime.Seconds()})
	if err != nil {
		return err
	}
	r.store.Put("op/rollout/"+r.service, order)
	end := time.Now().Add(orderTime)
	r.note("the operator orders %s", order)
	time.Sleep(time.Until(end))
	r.atEnd = r.store.Status(r.service).State
	r.mu.Lock()
	defer r.mu.Unlock()
	r.note("%s: rolled back in time: %v; status at the end of the order's time: %s", r.service, r.rolledBack, r.atEnd)
	if !r.rolledBack {
		return fmt.Errorf("%s was not rolled back in time", r.service)
	}
	return nil
}

// wrote notes what an entry has written to the store under a condition.
func (r *round) wrote(e *entry, body []byte) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if state := writtenTo(body, "status/rollout/"+r.service); state != "" {
		r.note("%s writes the status of %s: %s", e.name, r.service, state)
		r.rolledBack = r.rolledBack || state == "rolled_back"
	}
	if !r.trouble || r.leader != nil || !strings.Contains(string(body), "agateward/records/") || !strings.Contains(string(body), r.service) {
		return
	}
	r.leader = e
	e.path.cut.Store(true)
	r.note("%s has written to the store under a condition; the store does not respond to it any more", e.name)
	time.AfterFunc(turnedAway, func() {
		e.path.cut.Store(false)
		r.note("the store responds to %s again", e.name)
	})
}

// writtenTo returns the state that a call writes under key, "" if it writes none.
func writtenTo(body []byte, key string) string {
	var in struct {
		Writes []struct {
			Key   string
			Value []byte
		}
	}
	if json.Unmarshal(body, &in) != nil {
		return ""
	}
	for _, write := range in.Writes {
		var doc struct{ State string }
		if write.Key == key && json.Unmarshal(write.Value, &doc) == nil {
			return doc.State
		}
	}
	return ""
}

// servicesLedByLast returns the names of n services whose roll-outs are led by one of the last
// machines by name. Which machines may lead follows from the name alone.
func servicesLedByLast(n int) []string {
	var list []string
	for i := 0; len(list) < n; i++ {
		name := fmt.Sprintf("bookings%d", i)
		h := fnv.New32a()
		_, _ = h.Write([]byte(name))
		if h.Sum32()%fleet == candidates {
			list = append(list, name)
		}
	}
	return list
}

// startServices starts three replicas of each of two versions of the services. The second
// version is bad.
func (w *world) startServices(services []string) error {
	serve := func(r *replica, c net.Conn, q *http.Request) bool {
		status := "200 OK"
		if r.version == "v2" && rand.Float64() < badPart {
			status = "500 Internal Server Error"
		}
		time.Sleep(time.Duration(10+rand.IntN(10)) * time.Millisecond)
		body := strings.Repeat("b", 800)
		_, err := fmt.Fprintf(c, signed(q, status)+"Content-Length: %d\r\n\r\n%s", len(body), body)
		return err == nil
	}
	var routes []map[string]any
	for _, service := range services {
		routes = append(routes, map[string]any{
			"Name": "confirm-" + service, "Host": "ficu95.example", "Prefix": "/" + service + "/", "Kind": "unsafe", "TimeoutMs": 1000,
			"TargetLatencyMs": 100, "Priority": 2, "Service": service, "MaxAttempts": 2,
		})
		for i := range 6 {
			r, err := newReplica(fmt.Sprintf("i-%s-%d", service, i), serve)
			if err != nil {
				return err
			}
			r.version = []string{"v1", "v2"}[i/3]
			if err := w.register(r.id, service, r.address, r.version); err != nil {
				return err
			}
		}
	}
	return w.configure(3, routes, services)
}

// callAll sends requests to all machines until the returned function is called.
func (w *world) callAll(services []string) (stop func()) {
	done := make(chan struct{})
	var wg sync.WaitGroup
	var sent, served atomic.Int64
	for i := range callers {
		wg.Add(1)
		go func() {
			defer wg.Done()
			for n := 0; ; n++ {
				select {
				case <-done:
					return
				case <-time.After(time.Second / callRate):
				}
				e := w.entries[rand.IntN(len(w.entries))]
				a := send(http.MethodPost, e.front, "ficu95.example", "/"+services[rand.IntN(len(services))]+"/x", fmt.Sprintf("c-%d-%d", i, n), time.Second, []byte("{}"))
				sent.Add(1)
				if a.status == http.StatusOK && a.complete {
					served.Add(1)
				}
			}
		}()
	}
	return func() {
		close(done)
		wg.Wait()
		w.note("%d requests were sent, %d served", sent.Load(), served.Load())
	}
}
