package main

import (
	"encoding/json"
	"fmt"
	"net/http"
	"sync"
	"time"
)

const (
	// checkTimeout is the TimeoutMs of the route.
	checkTimeout = time.Second
	// checkInterval is the time between two requests at one entry.
	checkInterval = 100 * time.Millisecond
	// calmTime is how long requests are sent before the entry is written, watchTime how long
	// afterwards.
	calmTime, watchTime = 4 * time.Second, 12 * time.Second
	// contact is ContactMs.
	contact = 3 * time.Second
)

// watchUnnamed sends requests while another writer writes an entry of a service that no
// configuration names, without a bound on its requests.
func (w *world) watchUnnamed(trouble bool, ids *counter) ([]string, error) {
	var mu sync.Mutex
	var wg sync.WaitGroup
	atTimeout, late, served := 0, 0, 0
	begin := time.Now()
	foreign := begin.Add(calmTime)
	for time.Since(begin) < calmTime+watchTime {
		if trouble && !foreign.IsZero() && time.Now().After(foreign) {
			foreign = time.Time{}
			b, _ := json.Marshal(map[string]any{ // never fails
				"Service": "table-scanner", "Address": "127.0.0.1:9", "Version": "v1", "Slots": 2147483647, "State": "ready",
			})
			w.store.Put("servers/scanner-1", b)
			w.record("another writer: servers/scanner-1 = %s", b)
		}
		for _, e := range w.entries {
			id := ids.id()
			wg.Add(1)
			go func() {
				defer wg.Done()
				a := get(e.front, "/check/today", id, 3*checkTimeout)
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
	w.record("served %d, unanswered at TimeoutMs %d, of these without an answer half a second later %d", served, atTimeout, late)
	if served == 0 {
		return nil, fmt.Errorf("no request was served")
	}
	if atTimeout > 0 && 2*late > atTimeout {
		return []string{fmt.Sprintf("CONFIG: of %d requests that were unanswered at their route's TimeoutMs, %d had no answer half a second later", atTimeout, late)}, nil
	}
	return nil, nil
}
