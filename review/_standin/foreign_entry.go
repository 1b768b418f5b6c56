package main

import (
	"encoding/json"
	"fmt"
	"net/http"
	"strconv"
	"sync"
	"time"
)

func init() { cases["foreign-entry"] = playForeignEntry }

const (
	// checkTimeout is the TimeoutMs of the route.
	checkTimeout = 2 * time.Second
	// checkInterval is the time between two requests at one entry.
	checkInterval = 100 * time.Millisecond
	// calmTime is how long requests are sent before the foreign entry is written, watchTime
	// how long afterwards.
	calmTime, watchTime = 4 * time.Second, 20 * time.Second
	// contact is ContactMs.
	contact = 3 * time.Second
)

// playForeignEntry writes one entry of another writer below servers/.
func playForeignEntry(w *world, trouble bool) ([]string, error) {
	for i := range 3 {
		s, err := newService(w, "i-"+strconv.Itoa(i+1), 6, 15*time.Millisecond)
		if err != nil {
			return nil, err
		}
		w.beat(s.id, "bookings", s.addr, 6)
	}
	routes := []map[string]any{{
		"Name": "seat-check", "Host": host, "Prefix": "/check/", "Kind": "safe", "TimeoutMs": checkTimeout.Milliseconds(), "TargetLatencyMs": 100,
		"Priority": 0, "Service": "bookings", "MaxAttempts": 2, "Public": true,
	}}
	services := []map[string]any{{"Name": "bookings", "HealthPath": "/health", "MaxConnections": 96, "Protocol": "h1"}}
	if err := w.configure(7, routes, services); err != nil {
		return nil, err
	}
	if err := w.startEntries(3); err != nil {
		return nil, err
	}
	time.Sleep(contact)
	var ids counter
	var mu sync.Mutex
	var wg sync.WaitGroup
	atTimeout, late, served := 0, 0, 0
	begin := time.Now()
	foreign := begin.Add(calmTime)
	for time.Since(begin) < calmTime+watchTime {
		if trouble && !foreign.IsZero() && time.Now().After(foreign) {
			foreign = time.Time{}
			b, _ := json.Marshal(map[string]any{ // never fails
				"Service": "table-scanner", "Address": "127.0.0.1:9", "Zone": zone, "Version": "v1", "Slots": 2147483647, "State": "ready", "ColdRemainingMs": 0, "Seq": 1,
			})
			w.store.Put("servers/scanner-1", b)
			w.record("another writer: servers/scanner-1 = %s", b)
		}
		for _, e := range w.entries {
			id := ids.id()
			wg.Add(1)
			go func() {
				defer wg.Done()
				a := get(e.front, "/check/today", id, 2*checkTimeout)
				w.record("client %s at %s: %s", id, e.name, a)
				mu.Lock()
				defer mu.Unlock()
				if a.status == http.StatusOK {
					served++
				}
				if a.took > checkTimeout {
					atTimeout++
				}
				if a.took > checkTimeout+500*time.Millisecond {
					late++
				}
			}()
		}
		time.Sleep(checkInterval)
	}
	wg.Wait()
	w.record("sent %d, served %d, unanswered at TimeoutMs %d, of these without an answer half a second later %d", ids.Load(), served, atTimeout, late)
	if served == 0 {
		return nil, fmt.Errorf("no request was served")
	}
	if atTimeout > 0 && 2*late > atTimeout {
		return []string{fmt.Sprintf("CONFIG: of %d requests that were unanswered at their route's TimeoutMs, %d had no answer half a second later", atTimeout, late)}, nil
	}
	return nil, nil
}
