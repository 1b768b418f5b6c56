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
	resetStreams = 24
	// streamEvents and eventPause make a stream of 6 s. The pause is below the route's gap.
	streamEvents = 20
	eventPause   = 300 * time.Millisecond
	// freezeTime is how long the machine stands still: less than the 3.2 s after which the
	// callers of the streams leave, and than the 4 s of the site's day.
	freezeTime = 2400 * time.Millisecond
)

var lastEvent = regexp.MustCompile(`id: (\d+)\n`)

// playReset freezes the machine of the only entry. A replica crashes meanwhile: it resets its
// connections in the middle of answers that have no length and end with their connection.
func playReset(w *world) (int, error) {
	engine := func(r *replica, c net.Conn, q *http.Request) bool {
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
	var replicas []*replica
	for i := range 2 {
		r, err := newReplica(fmt.Sprintf("i-engine-%d", i), engine)
		if err != nil {
			return 0, err
		}
		replicas = append(replicas, r)
		if err := w.register(r.id, "kitchen-llm", r.address, "v1"); err != nil {
			return 0, err
		}
	}
	if err := w.configure(3, []map[string]any{
		{"Name": "draft", "Host": "ficu95.example", "Prefix": "/draft/", "Kind": "stream", "TimeoutMs": 8000, "TargetLatencyMs": 600, "Priority": 0, "Service": "kitchen-llm", "MaxAttempts": 2, "Sticky": true, "Resumable": true, "GapAimMs": 400},
	}, []string{"kitchen-llm"}); err != nil {
		return 0, err
	}
	if err := w.start(1); err != nil {
		return 0, err
	}
	time.Sleep(time.Second)
	e := w.entries[0]
	answers := make(chan answer, resetStreams)
	for i := range resetStreams {
		go func() {
			time.Sleep(time.Duration(i) * eventPause / resetStreams)
			answers <- send(http.MethodPost, e.front, "ficu95.example", "/draft/x", fmt.Sprintf("draft-%d", i), 8*time.Second, []byte("{}"))
		}()
	}
	time.Sleep(1500 * time.Millisecond)
	if w.trouble {
		w.signal(e, syscall.SIGSTOP)
		time.Sleep(100 * time.Millisecond)
		replicas[0].crash()
		w.note("replica %s resets its connections", replicas[0].id)
		time.Sleep(freezeTime)
		w.signal(e, syscall.SIGCONT)
	}
	broken := 0
	for range resetStreams {
		a := <-answers
		last := ""
		if m := lastEvent.FindAllStringSubmatch(string(a.body), -1); len(m) > 0 {
			last = m[len(m)-1][1]
		}
		whole := strings.HasSuffix(string(a.body), fmt.Sprintf("data: part %d\n\n", streamEvents))
		w.note("%s; last event %s of %d, runs %d and %d", a.text(), last, streamEvents, replicas[0].ranCount(a.id), replicas[1].ranCount(a.id))
		if a.status == http.StatusOK && a.complete && !whole {
			broken++
		}
	}
	w.note("%d of %d answers ended as complete before their last event", broken, resetStreams)
	for _, line := range w.log(e, "events=") {
		w.note("log of %s: %s", e.name, line)
	}
	return broken, nil
}
