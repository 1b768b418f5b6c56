package main

import (
	"encoding/json"
	"fmt"
	"strconv"
	"sync"
	"time"
)

func init() { cases["foreign-entries"] = playForeignEntries }

const (
	// foreignWrites is how often the other writer writes its entry, foreignInterval the time
	// between two writes.
	foreignWrites, foreignInterval = 3, 4 * time.Second
	// routeRate is the requests a second of the sheet of tafel-prod for bookings.
	routeRate = 31
)

// playForeignEntries writes entries as another writer does: first one with fields missing,
// below the id of a replica of another service, and last one of a service that no
// configuration names.
func playForeignEntries(w *world, trouble bool) ([]string, error) {
	for i := range 3 {
		s, err := newService(w, "i-book-"+strconv.Itoa(i+1), 6, 60*time.Millisecond)
		if err != nil {
			return nil, err
		}
		w.beat(s.id, "bookings", s.addr, 6)
	}
	archive, err := newService(w, "i-archive-1", 6, 60*time.Millisecond)
	if err != nil {
		return nil, err
	}
	w.beat(archive.id, "archive", archive.addr, 6)
	route := func(name, prefix, service string) map[string]any {
		return map[string]any{
			"Name": name, "Host": host, "Prefix": prefix, "Kind": "safe", "TimeoutMs": checkTimeout.Milliseconds(), "TargetLatencyMs": 100,
			"Priority": 2, "Service": service, "MaxAttempts": 2, "Public": true,
		}
	}
	service := func(name string) map[string]any {
		return map[string]any{"Name": name, "HealthPath": "/health", "MaxConnections": 96, "Protocol": "h1"}
	}
	routes := []map[string]any{route("seat-check", "/check/", "bookings"), route("old-seats", "/archive/", "archive")}
	if err := w.configure(7, routes, []map[string]any{service("bookings"), service("archive")}); err != nil {
		return nil, err
	}
	if err := w.startEntries(3); err != nil {
		return nil, err
	}
	time.Sleep(contact)
	var ids counter
	var wg sync.WaitGroup
	begin := time.Now()
	end := begin.Add((foreignWrites + 1) * foreignInterval)
	if trouble {
		wg.Add(1)
		go func() {
			defer wg.Done()
			w.writeForeign(archive)
		}()
	}
	for n := 0; time.Now().Before(end); n++ {
		e := w.entries[n%len(w.entries)]
		id := ids.id()
		wg.Add(1)
		go func() {
			defer wg.Done()
			a := get(e.front, "/check/today", id, time.Second)
			w.record("client %s at %s: %s", id, e.name, a)
		}()
		time.Sleep(time.Second / routeRate)
	}
	wg.Wait()
	archive.mu.Lock()
	n := len(archive.runs)
	archive.mu.Unlock()
	w.record("%d requests for bookings, %d of them run by the replica of archive", ids.Load(), n)
	var breaks []string
	if n > 0 {
		breaks = append(breaks, fmt.Sprintf("ROUTE: %d of %d requests of a route to bookings were run by a replica of archive, to which no configuration sends them", n, ids.Load()))
	}
	more, err := w.watchUnnamed(trouble, &ids)
	return append(breaks, more...), err
}

// writeForeign writes the entry with fields missing below the id of a replica.
func (w *world) writeForeign(s *service) {
	b, _ := json.Marshal(map[string]any{ // never fails
		"Service": "bookings", "Address": s.addr, "Version": "v1", "Slots": 6, "State": "ready",
	})
	for range foreignWrites {
		time.Sleep(foreignInterval)
		w.store.Put("servers/"+s.id, b)
		w.record("another writer: servers/%s = %s", s.id, b)
	}
}
