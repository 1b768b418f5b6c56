package main

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

func init() { cases["rollout"] = playRollout }

const (
	// orderTime is the DurationS of the order, as on the pages' example.
	orderTime = 12 * time.Second
	// confirmRate and checkRate are the requests a second of the sheet of tafel-prod.
	confirmRate, checkRate = 22.5, 9.0
	// badShare is the share of the answers of the new version that are failures, on the
	// route below badPath alone.
	badShare, badPath = 0.3, "/check/"
	// rolloutWatch is how long requests are sent after the order.
	rolloutWatch = 45 * time.Second
	// rollbackTime, exposeShare and exposeSlack are RollbackMs, ExposeShare and ExposeSlack.
	rollbackTime = 5 * time.Second
	exposeShare  = 0.1
	exposeSlack  = 50
	badAnswers   = 50
)

// oneRun is one run of a request at a replica.
type oneRun struct {
	id, version string
	at          time.Time
}

// fleet is the service with replicas of two versions.
type fleet struct {
	w *world
	// bad is set if the new version is a bad one.
	bad bool

	mu sync.Mutex
	// sent holds when clients sent their requests.
	sent map[string]time.Time
	runs []oneRun
	// badAt holds when bad answers were given.
	badAt []time.Time
}

// versioned is a replica of one version.
type versioned struct {
	f           *fleet
	id, version string
	slots       chan struct{}
	l           net.Listener
	srv         *http.Server
	end         chan struct{}
	draining    atomic.Bool
	beatNow     chan struct{}
}

func (f *fleet) add(id, version string) (*versioned, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	v := &versioned{f: f, id: id, version: version, slots: make(chan struct{}, 6), l: l, end: make(chan struct{}), beatNow: make(chan struct{}, 1)}
	v.srv = &http.Server{Handler: v}
	go func() { _ = v.srv.Serve(l) }() // ends with stop or the process
	put := func(seq int) {
		state := "ready"
		if v.draining.Load() {
			state = "draining"
		}
		b, _ := json.Marshal(map[string]any{ // never fails
			"Service": "bookings", "Address": l.Addr().String(), "Zone": zone, "Version": version, "Slots": 6, "State": state, "ColdRemainingMs": 0, "Seq": seq, "born": f.w.start.UnixMilli(),
		})
		f.w.store.Put("servers/"+id, b)
	}
	put(1)
	f.w.record("replica %s of version %s registered", id, version)
	go func() {
		for seq := 2; ; seq++ {
			select {
			case <-v.end:
				f.w.store.Delete("servers/" + id)
				return
			case <-v.beatNow:
			case <-time.After(beatTime):
			}
			put(seq)
		}
	}()
	return v, nil
}

// drain makes a replica say that it drains.
func (v *versioned) drain() {
	v.draining.Store(true)
	v.beatNow <- struct{}{}
	v.f.w.record("replica %s of version %s drains", v.id, v.version)
}

// stop ends a replica at once.
func (v *versioned) stop() {
	close(v.end)
	_ = v.srv.Close()
	v.f.w.record("replica %s of version %s stopped", v.id, v.version)
}

func (v *versioned) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	id := r.Header.Get("X-Agateward-Request-Id")
	w.Header().Set("X-Agateward-Request-Id", id)
	if r.Header.Get("X-Agateward-Expect-Instance") != v.id {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	select {
	case v.slots <- struct{}{}:
	case <-r.Context().Done():
		return
	}
	defer func() { <-v.slots }()
	bad := v.f.bad && v.version != "v1" && strings.HasPrefix(r.URL.Path, badPath) && rand.Float64() < badShare
	v.f.mu.Lock()
	v.f.runs = append(v.f.runs, oneRun{id: id, version: v.version, at: time.Now()})
	v.f.mu.Unlock()
	v.f.w.record("replica %s (%s) runs %s, fails: %v", v.id, v.version, id, bad)
	time.Sleep(15 * time.Millisecond)
	w.Header().Set("X-Agateward-Response-Signature", v.id+".1")
	if bad {
		w.WriteHeader(http.StatusInternalServerError)
	}
	fmt.Fprintf(w, "answer to %s", id)
	if bad {
		v.f.mu.Lock()
		v.f.badAt = append(v.f.badAt, time.Now())
		v.f.mu.Unlock()
	}
}

// load sends requests at a rate to the entries in turn until end.
func (f *fleet) load(path string, rate float64, ids *counter, end time.Time, wg *sync.WaitGroup) {
	defer wg.Done()
	for n := 0; time.Now().Before(end); n++ {
		e := f.w.entries[n%len(f.w.entries)]
		id := ids.id()
		f.mu.Lock()
		f.sent[id] = time.Now()
		f.mu.Unlock()
		wg.Add(1)
		go func() {
			defer wg.Done()
			a := get(e.front, path, id, time.Second)
			f.w.record("client %s at %s: %s", id, e.name, a)
		}()
		time.Sleep(time.Duration(rand.ExpFloat64() / rate * float64(time.Second)))
	}
}

// follow acts on the status of the roll-out as the platform does, until end.
func (f *fleet) follow(old, added []*versioned, end time.Time) {
	last := ""
	for time.Now().Before(end) {
		time.Sleep(50 * time.Millisecond)
		s := f.w.store.Status("bookings")
		if string(s.State) == last || s.Target != "v2" {
			continue
		}
		last = string(s.State)
		f.w.record("operator: status of the roll-out: %s", last)
		switch last {
		case "completed":
			for _, v := range old {
				v.stop()
			}
			return
		case "rolled-back", "rolled_back":
			time.Sleep(2 * time.Second)
			for _, v := range added {
				v.stop()
			}
			return
		}
	}
}

// playRollout orders a roll-out to a version of which a part of the answers are failures on
// one route. Without the disruption that version is a good one.
func playRollout(w *world, trouble bool) ([]string, error) {
	f := &fleet{w: w, bad: trouble, sent: map[string]time.Time{}}
	var old, added []*versioned
	for i := range 3 {
		v, err := f.add(fmt.Sprintf("i-old-%d", i+1), "v1")
		if err != nil {
			return nil, err
		}
		old = append(old, v)
	}
	route := func(name, prefix, kind string, attempts int) map[string]any {
		return map[string]any{
			"Name": name, "Host": host, "Prefix": prefix, "Kind": kind, "TimeoutMs": 1000, "TargetLatencyMs": 100,
			"Priority": 2, "Service": "bookings", "MaxAttempts": attempts, "Public": true,
		}
	}
	routes := []map[string]any{route("seat-confirm", "/confirm/", "unsafe", 1), route("seat-check", "/check/", "safe", 2)}
	services := []map[string]any{{"Name": "bookings", "HealthPath": "/health", "MaxConnections": 96, "Protocol": "h1"}}
	if err := w.configure(7, routes, services); err != nil {
		return nil, err
	}
	if err := w.startEntries(3); err != nil {
		return nil, err
	}
	var ids counter
	var wg sync.WaitGroup
	begin := time.Now().Add(5 * time.Second)
	end := begin.Add(rolloutWatch)
	wg.Add(2)
	go f.load("/confirm/table", confirmRate, &ids, end, &wg)
	go f.load("/check/today", checkRate, &ids, end, &wg)
	time.Sleep(time.Until(begin))
	for i := range 3 {
		v, err := f.add(fmt.Sprintf("i-new-%d", i+1), "v2")
		if err != nil {
			return nil, err
		}
		added = append(added, v)
	}
	b, _ := json.Marshal(map[string]any{"Service": "bookings", "Target": "v2", "DurationS": orderTime.Seconds()}) // never fails
	w.store.Put("op/rollout/bookings", b)
	order := time.Now()
	w.record("operator: op/rollout/bookings = %s", b)
	go f.follow(old, added, end)
	wg.Wait()
	return f.judge(order), nil
}

// judge applies the rule to the runs. All machines were in touch, and the store was stable.
func (f *fleet) judge(order time.Time) []string {
	f.mu.Lock()
	defer f.mu.Unlock()
	all, exposed, late := 0, 0, 0
	var fiftieth time.Time
	if len(f.badAt) >= badAnswers {
		fiftieth = f.badAt[badAnswers-1]
	}
	for _, r := range f.runs {
		if r.at.After(order) && r.at.Before(order.Add(orderTime)) {
			all++
			if r.version == "v2" {
				exposed++
			}
		}
		if r.version == "v2" && !fiftieth.IsZero() && f.sent[r.id].Sub(fiftieth) > rollbackTime {
			late++
		}
	}
	f.w.record("between the order and its deadline %d requests ran, %d of them on v2; %d bad answers of v2", all, exposed, len(f.badAt))
	if !f.bad {
		return nil // the rule is about bad versions
	}
	var breaks []string
	if limit := exposeShare*float64(all) + exposeSlack; float64(exposed) > limit {
		breaks = append(breaks, fmt.Sprintf("EXPOSURE: %d of %d requests between the order and its deadline ran on the bad version; allowed %.0f", exposed, all, limit))
	}
	if late > 0 {
		breaks = append(breaks, fmt.Sprintf("EXPOSURE: the bad version gave its 50th bad answer %.3f s after the order; %d requests that were sent more than %s later ran on it", fiftieth.Sub(order).Seconds(), late, rollbackTime))
	}
	return breaks
}
