package main

import (
	"encoding/json"
	"fmt"
	"net/http"
	"sync"
	"time"
)

func init() { cases["recover"] = playRecover }

const (
	// recoverTime is RecoverS. recoverWatch is how long requests are counted afterwards.
	recoverTime, recoverWatch = 12 * time.Second, 8 * time.Second
	// downTime is how long the machines are down in the final fault.
	downTime = time.Second
	// drainTime is how long a replica goes on serving after it said that it drains.
	drainTime = 3 * time.Second
	// firstRelease is the number of replicas that the first of two releases replaces: 0.51 of
	// three, rounded up. releasePause is the time between the two.
	firstRelease, releasePause = 2, 4 * time.Second
	// releaseGap is the time between the replacement of two replicas.
	releaseGap = time.Second
)

// playRecover moves a service to version v2 by an order, replaces its replicas by ones of
// v3 in two releases, and ends with the final fault: all processes are killed at once.
func playRecover(w *world, trouble bool) ([]string, error) {
	f := &fleet{w: w, sent: map[string]time.Time{}}
	add := func(name, version string) ([]*versioned, error) {
		var list []*versioned
		for i := range 3 {
			v, err := f.add(fmt.Sprintf("i-%s-%d", name, i+1), version)
			if err != nil {
				return nil, err
			}
			list = append(list, v)
		}
		return list, nil
	}
	old, err := add("a", "v1")
	if err != nil {
		return nil, err
	}
	if err := w.configure(7, bookingRoutes(), bookingServices()); err != nil {
		return nil, err
	}
	if err := w.startEntries(6); err != nil {
		return nil, err
	}
	c := f.clients()
	defer c.stop()
	time.Sleep(contact)
	second, err := add("b", "v2")
	if err != nil {
		return nil, err
	}
	b, _ := json.Marshal(map[string]any{"Service": "bookings", "Target": "v2", "DurationS": orderTime.Seconds()}) // never fails
	w.store.Put("op/rollout/bookings", b)
	w.record("operator: op/rollout/bookings = %s", b)
	f.follow(old, second, time.Now().Add(orderTime))
	if s := w.store.Status("bookings").State; s != "completed" {
		return nil, fmt.Errorf("the roll-out to a good version ended with status %q", s)
	}
	time.Sleep(contact)
	for i, v := range second {
		if i == firstRelease {
			w.record("second release")
			time.Sleep(releasePause)
		}
		if _, err := f.add(fmt.Sprintf("i-c-%d", i+1), "v3"); err != nil {
			return nil, err
		}
		time.Sleep(releaseGap)
		v.drain()
		time.AfterFunc(drainTime, v.stop)
	}
	time.Sleep(drainTime + contact)
	return c.judgeRecovery(w, trouble)
}

// judgeRecovery brings the final fault about, right after a configuration is acknowledged,
// and compares what is served before and after it.
func (c *clients) judgeRecovery(w *world, trouble bool) ([]string, error) {
	before := c.count(time.Now().Add(-contact), time.Now())
	if err := w.configure(8, bookingRoutes(), bookingServices()); err != nil {
		return nil, err
	}
	if trouble {
		w.record("final fault: all processes are killed")
		for _, e := range w.entries {
			e.kill()
		}
		time.Sleep(downTime)
		for _, e := range w.entries {
			if err := w.launch(e); err != nil {
				return nil, err
			}
		}
	}
	back := time.Now()
	time.Sleep(recoverTime + recoverWatch)
	after := c.count(back.Add(recoverTime), time.Now())
	w.record("before the final fault %s; later than %s after the machines were back %s", before, recoverTime, after)
	if before.sent == 0 || 4*before.served < before.sent {
		return nil, fmt.Errorf("less than a quarter was served before the final fault: %s", before)
	}
	if 4*after.served < after.sent {
		return []string{fmt.Sprintf("RECOVER: of the requests sent later than %s after the machines were back %s; before the final fault %s", recoverTime, after, before)}, nil
	}
	return nil, nil
}

// bookingRoutes and bookingServices are the route and the service of plain requests.
func bookingRoutes() []map[string]any {
	return []map[string]any{{
		"Name": "seat-check", "Host": host, "Prefix": "/check/", "Kind": "safe", "TimeoutMs": 1000, "TargetLatencyMs": 100,
		"Priority": 2, "Service": "bookings", "MaxAttempts": 2, "Public": true,
	}}
}

func bookingServices() []map[string]any {
	return []map[string]any{{"Name": "bookings", "HealthPath": "/health", "MaxConnections": 96, "Protocol": "h1"}}
}

// clients sends requests at a steady rate.
type clients struct {
	end  chan struct{}
	wg   sync.WaitGroup
	mu   sync.Mutex
	list []outcome
}

type outcome struct {
	sent time.Time
	ok   bool
}

// share is the number of requests that were sent and served.
type share struct{ sent, served int }

func (s share) String() string { return fmt.Sprintf("%d of %d were served", s.served, s.sent) }

func (f *fleet) clients() *clients {
	c := &clients{end: make(chan struct{})}
	var ids counter
	c.wg.Add(1)
	go func() {
		defer c.wg.Done()
		for n := 0; ; n++ {
			select {
			case <-c.end:
				return
			case <-time.After(time.Second / routeRate):
			}
			e, id, sent := f.w.entries[n%len(f.w.entries)], ids.id(), time.Now()
			c.wg.Add(1)
			go func() {
				defer c.wg.Done()
				a := get(e.front, "/check/today", id, time.Second)
				f.w.record("client %s at %s: %s", id, e.name, a)
				c.mu.Lock()
				defer c.mu.Unlock()
				c.list = append(c.list, outcome{sent, a.complete && a.status == http.StatusOK})
			}()
		}
	}()
	return c
}

func (c *clients) stop() {
	close(c.end)
	c.wg.Wait()
}

// count counts the requests that were sent from one time to another.
func (c *clients) count(from, to time.Time) share {
	c.mu.Lock()
	defer c.mu.Unlock()
	var s share
	for _, o := range c.list {
		if o.sent.Before(from) || o.sent.After(to) {
			continue
		}
		s.sent++
		if o.ok {
			s.served++
		}
	}
	return s
}
