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
	var all []asked
	for range hupStreams {
		id := ids.id()
		wg.Add(1)
		go func() {
			defer wg.Done()
			sent := time.Now()
			a := w.ask(stopped.front, id, hupTokens)
			mu.Lock()
			defer mu.Unlock()
			all = append(all, asked{id, sent, time.Now(), a})
		}()
		time.Sleep(100 * time.Millisecond)
	}
	term := time.Now()
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
	return w.judgeHup(engines, all, term, trouble)
}

// asked is a stream that a client asked for.
type asked struct {
	id          string
	sent, ended time.Time
	answer      reply
}

// judgeHup judges the streams that the stopped entry served.
func (w *world) judgeHup(engines []*engine, all []asked, term time.Time, trouble bool) ([]string, error) {
	var breaks []string
	served := 0
	for _, r := range all {
		run := engines[0].runOf(r.id) + engines[1].runOf(r.id)
		switch {
		case r.answer.complete && r.answer.status == http.StatusOK:
			served++
		case trouble && !r.answer.complete && run != "" && countsAsLost(r.sent.Sub(term), r.ended.Sub(term), r.answer.took):
			breaks = append(breaks, fmt.Sprintf("LOST: request %s was sent %.3f s before the SIGTERM and passed on to a replica; the connection ended %.3f s after it with status %d and no end of the answer. The replica: %s",
				r.id, term.Sub(r.sent).Seconds(), r.ended.Sub(term).Seconds(), r.answer.status, run))
		}
	}
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
