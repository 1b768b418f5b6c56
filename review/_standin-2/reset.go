//nolint:forbidigo // the stand-ins run on the real clock
package main

import (
	"fmt"
	"net"
	"net/http"
	"regexp"
	"strconv"
	"strings"
	"syscall"
	"time"
)

// Figures of the case reset.
const (
	resetStreams  = 48
	resetReplicas = 12
	// crashing is the number of replicas that crash: the share of 0.17 that the site has.
	crashing    = 2
	resetRounds = 3
	// resetEntries is the number of machines, of which one freezes.
	resetEntries = 3
	// streamEvents and eventPause make a stream of 6 s. The pause is below the route's gap.
	streamEvents = 20
	eventPause   = 300 * time.Millisecond
	// freezeTime is how long the machine stands still: less than the 3.2 s after which the
	// callers of the streams leave, and than the 4 s of the site's day.
	freezeTime = 2400 * time.Millisecond
)

var lastEvent = regexp.MustCompile(`id: (\d+)\n`)

// playReset freezes one machine. Some replicas crash meanwhile: they reset
// their connections in the middle of answers that have no length and end with their connection.
func playReset(w *world) (int, error) {
	if err := w.configure(3, []map[string]any{
		{"Name": "draft", "Host": "ficu95.example", "Prefix": "/draft/", "Kind": "stream", "TimeoutMs": 8000, "TargetLatencyMs": 600, "Priority": 0, "Service": "kitchen-llm", "MaxAttempts": 2, "Sticky": true, "Resumable": true, "GapAimMs": 400},
	}, []string{"kitchen-llm"}); err != nil {
		return 0, err
	}
	var replicas []*replica
	broken := 0
	for round := range resetRounds {
		for len(replicas) < resetReplicas {
			r, err := newReplica(fmt.Sprintf("i-engine-%d-%d", round, len(replicas)), serveUnframed)
			if err != nil {
				return 0, err
			}
			replicas = append(replicas, r)
			if err := w.register(r.id, "kitchen-llm", r.address, "v1"); err != nil {
				return 0, err
			}
		}
		if round == 0 {
			if err := w.start(resetEntries); err != nil {
				return 0, err
			}
		}
		time.Sleep(time.Second)
		broken += w.freezeBeside(replicas[:crashing], round)
		for _, r := range replicas[:crashing] {
			w.withdraw(r.id)
		}
		replicas = replicas[crashing:]
	}
	w.note("%d of %d answers ended as complete before their last event", broken, resetRounds*resetStreams)
	for _, line := range w.log(w.entries[0], "events=") {
		w.note("log of %s: %s", w.entries[0].name, line)
	}
	return broken, nil
}

// freezeBeside sends streams, freezes the entry, and lets replicas crash meanwhile. It returns
// the number of answers that ended as complete before their last event.
func (w *world) freezeBeside(crash []*replica, round int) int {
	e := w.entries[0]
	answers := make(chan answer, resetStreams)
	for i := range resetStreams {
		go func() {
			time.Sleep(time.Duration(i) * eventPause / resetStreams)
			answers <- send(http.MethodPost, e.front, "ficu95.example", "/draft/x", fmt.Sprintf("draft-%d-%d", round, i), 8*time.Second, []byte("{}"))
		}()
	}
	time.Sleep(1500 * time.Millisecond)
	if w.trouble {
		w.signal(e, syscall.SIGSTOP)
		time.Sleep(100 * time.Millisecond)
		for _, r := range crash {
			r.crash()
			w.lose(r.id)
			w.note("replica %s resets its connections", r.id)
		}
		time.Sleep(freezeTime)
		w.signal(e, syscall.SIGCONT)
	}
	broken := 0
	for range resetStreams {
		a := <-answers
		whole := strings.HasSuffix(string(a.body), fmt.Sprintf("data: part %d\n\n", streamEvents))
		early := a.status == http.StatusOK && a.complete && !whole
		if early {
			broken++
		}
		w.note("%s; last event %s of %d, ended early as complete: %v", a.text(), lastEventOf(a), streamEvents, early)
	}
	return broken
}

// serveUnframed answers with a stream that has no length and ends with its connection.
func serveUnframed(r *replica, c net.Conn, q *http.Request) bool {
	fmt.Fprint(c, signed(q, "200 OK")+"Content-Type: text/event-stream\r\nConnection: close\r\n\r\n")
	begin := 0
	if n, err := strconv.Atoi(q.Header.Get("Last-Event-Id")); err == nil {
		begin = n
	}
	for i := begin + 1; i <= streamEvents; i++ {
		if !r.sleepUnlessClosed(eventPause) {
			return false
		}
		if _, err := fmt.Fprintf(c, "id: %d\ndata: part %d\n\n", i, i); err != nil {
			return false
		}
	}
	return false
}

// lastEventOf returns the id of the last event that a client got, "" for none.
func lastEventOf(a answer) string {
	m := lastEvent.FindAllStringSubmatch(string(a.body), -1)
	if len(m) == 0 {
		return ""
	}
	return m[len(m)-1][1]
}
