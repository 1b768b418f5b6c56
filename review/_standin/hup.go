package main

import (
	"fmt"
	"net/http"
	"sync"
	"syscall"
	"time"
)

func init() { cases["planned-stop"] = playPlannedStop }

// playPlannedStop plays the two ways in which a planned stop loses requests.
func playPlannedStop(w *world, trouble bool) ([]string, error) {
	breaks, err := playHup(w, trouble)
	if err != nil {
		return nil, err
	}
	second, err := w.again()
	if err != nil {
		return nil, err
	}
	defer func() {
		second.stop()
		for _, e := range second.entries {
			e.kill()
		}
	}()
	more, err := playStop(second, trouble)
	return append(breaks, more...), err
}

const (
	// hupAfter is the time from the SIGTERM to the SIGHUP.
	hupAfter = time.Second
	// hupStreams is the number of streams that the entry serves when it is stopped, each of
	// hupTokens.
	hupStreams, hupTokens = 5, 1000
)

// playHup stops one of two entries as planned. Its settings file changes meanwhile, which
// SIGHUP tells.
func playHup(w *world, trouble bool) ([]string, error) {
	var engines []*engine
	for i := range 2 {
		e, err := newEngine(w, fmt.Sprintf("i-%d", i+1), 6, fastFactor)
		if err != nil {
			return nil, err
		}
		engines = append(engines, e)
		w.beat(e.id, "kitchen-llm", e.addr, 6)
	}
	if err := w.configure(7, streamRoutes(), streamServices()); err != nil {
		return nil, err
	}
	if err := w.startEntries(2); err != nil {
		return nil, err
	}
	time.Sleep(contact)
	stopped := w.entries[0]
	var ids counter
	var mu sync.Mutex
	var wg sync.WaitGroup
	var breaks []string
	served := 0
	begin := time.Now()
	for range hupStreams {
		id := ids.id()
		wg.Add(1)
		go func() {
			defer wg.Done()
			sent := time.Since(begin)
			a := w.ask(stopped.front, id, hupTokens)
			mu.Lock()
			defer mu.Unlock()
			run := engines[0].runOf(id) + engines[1].runOf(id)
			switch {
			case a.complete && a.status == http.StatusOK:
				served++
			case !a.complete && run != "" && a.took < streamDeadline:
				breaks = append(breaks, fmt.Sprintf("LOST: request %s was sent %.3f s after the begin and passed on to a replica; the connection ended after %.3f s with status %d and no end of the answer. The replica: %s",
					id, sent.Seconds(), a.took.Seconds(), a.status, run))
			}
		}()
		time.Sleep(100 * time.Millisecond)
	}
	if trouble {
		w.record("platform: SIGTERM to %s", stopped.name)
		if err := stopped.cmd.Process.Signal(syscall.SIGTERM); err != nil {
			return nil, err
		}
		time.Sleep(hupAfter)
		w.record("platform: the settings file of %s has changed: SIGHUP", stopped.name)
		if err := stopped.cmd.Process.Signal(syscall.SIGHUP); err != nil {
			return nil, err
		}
	}
	wg.Wait()
	w.record("streams: served %d, cut %d", served, len(breaks))
	if served == 0 && len(breaks) == 0 {
		return nil, fmt.Errorf("no stream was served")
	}
	return breaks, nil
}

// streamRoutes and streamServices are the route and the service of model replicas.
func streamRoutes() []map[string]any {
	return []map[string]any{{
		"Name": "welcome-letter", "Host": host, "Prefix": "/letters/", "Kind": "stream", "TimeoutMs": streamDeadline.Milliseconds(), "TargetLatencyMs": 600,
		"Priority": 0, "Service": "kitchen-llm", "MaxAttempts": 1, "Public": true, "Sticky": true, "Resumable": false, "GapAimMs": 400,
	}}
}

func streamServices() []map[string]any {
	return []map[string]any{{
		"Name": "kitchen-llm", "HealthPath": "/health", "MaxConnections": 610, "Protocol": "h1",
		"Engine": map[string]any{"Slots": 6, "KvCapacity": 834298, "Stride": stride},
	}}
}
