package main

import (
	"fmt"
	"net/http"
	"sync"
	"syscall"
	"time"
)

const (
	// fastFactor and slowFactor are the speeds of the replicas of the site tafel-prod, as
	// multiples of a time.
	fastFactor, slowFactor = 0.68, 3.0
	streamDeadline         = 8 * time.Second
	// background is the number of clients that use the other entry all the time, with
	// streams of backgroundTokens.
	background, backgroundTokens = 7, 300
	// longTokens is the output of the streams that the entry serves when it is stopped.
	longTokens = 2400
	// lateTokens is the output of the streams that clients ask for on connections that they
	// kept, from lateFrom to lateTo after the SIGTERM.
	lateTokens       = 250
	lateFrom, lateTo = 4200 * time.Millisecond, 6 * time.Second
	lateInterval     = 300 * time.Millisecond
	warmTime         = 5 * time.Second
)

// playStop stops one of two entries as planned, while clients go on using the connections
// that they keep to it.
func playStop(w *world, trouble bool) ([]string, error) {
	var engines []*engine
	for i, slow := range []float64{fastFactor, slowFactor} {
		e, err := newEngine(w, fmt.Sprintf("i-%d", i+1), 6, slow)
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
	stopped, other := w.entries[0], w.entries[1]
	var ids counter
	var wg sync.WaitGroup
	end := make(chan struct{})
	for range background {
		wg.Add(1)
		go func() {
			defer wg.Done()
			for {
				select {
				case <-end:
					return
				default:
				}
				id := ids.id()
				a := w.ask(other.front, id, backgroundTokens)
				if a.status != http.StatusOK {
					time.Sleep(100 * time.Millisecond)
				}
			}
		}()
	}
	conns, err := w.warmUp(stopped, &ids)
	if err != nil {
		return nil, err
	}
	for range 1 {
		id := ids.id()
		wg.Add(1)
		go func() {
			defer wg.Done()
			w.ask(stopped.front, id, longTokens)
		}()
	}
	time.Sleep(200 * time.Millisecond)
	term := time.Now()
	if trouble {
		w.record("platform: SIGTERM to %s", stopped.name)
		if err := stopped.cmd.Process.Signal(syscall.SIGTERM); err != nil {
			return nil, err
		}
		go func() {
			time.Sleep(time.Until(term.Add(grace)))
			w.record("platform: SIGKILL to %s", stopped.name)
			stopped.kill()
		}()
	}
	breaks := w.askLate(engines, conns, &ids, term, end, trouble)
	wg.Wait()
	return breaks, nil
}

// countsAsLost applies the bounds and excuses of the rule to a request that a replica was at
// work on when its connection ended without a complete answer. sent and ended count from
// the SIGTERM; took is the time that the client waited.
func countsAsLost(sent, ended, took time.Duration) bool {
	switch {
	case took >= streamDeadline: // the deadline or the route's time-out was reached
		return false
	case ended < 0 || ended > grace+time.Second: // not around the planned stop
		return false
	case sent <= 3*time.Second && ended >= grace*5/6: // at work in the last sixth of the grace
		return false
	}
	return true
}

// ask sends a request for a stream on a new connection.
func (w *world) ask(front, id string, output int) reply {
	k, err := keep(front)
	if err != nil {
		return reply{err: err}
	}
	defer k.Close()
	a := k.stream("/letters/x", id, 500, output, streamDeadline)
	w.record("client %s at %s: %s", id, front, a)
	return a
}

// warmUp uses the entry for a while and returns connections that were kept open.
func (w *world) warmUp(e *entry, ids *counter) ([]*kept, error) {
	var conns []*kept
	for range int((lateTo-lateFrom)/lateInterval) + 1 {
		k, err := keep(e.front)
		if err != nil {
			return nil, err
		}
		conns = append(conns, k)
	}
	var wg sync.WaitGroup
	for i, k := range conns {
		wg.Add(1)
		go func() {
			defer wg.Done()
			time.Sleep(time.Duration(i) * warmTime / time.Duration(len(conns)))
			id := ids.id()
			a := k.stream("/letters/x", id, 500, 50, streamDeadline)
			w.record("client %s at %s on a kept connection: %s", id, e.front, a)
		}()
	}
	wg.Wait()
	return conns, nil
}

// askLate uses the kept connections after the SIGTERM and judges the answers.
func (w *world) askLate(engines []*engine, conns []*kept, ids *counter, term time.Time, end chan struct{}, trouble bool) []string {
	var mu sync.Mutex
	var wg sync.WaitGroup
	var breaks []string
	served, refused, closed := 0, 0, 0
	for i, k := range conns {
		wg.Add(1)
		go func() {
			defer wg.Done()
			time.Sleep(time.Until(term.Add(lateFrom + time.Duration(i)*lateInterval)))
			id, sent := ids.id(), time.Since(term)
			a := k.stream("/letters/x", id, 500, lateTokens, streamDeadline)
			w.record("client %s on a kept connection, sent %.3f s after the SIGTERM: %s", id, sent.Seconds(), a)
			run := engines[0].runOf(id) + engines[1].runOf(id)
			mu.Lock()
			defer mu.Unlock()
			switch {
			case a.complete && a.status == http.StatusOK:
				served++
			case a.complete:
				refused++
			case run == "":
				closed++ // crossed the close, or was not passed on
			case trouble && countsAsLost(sent, sent+a.took, a.took):
				breaks = append(breaks, fmt.Sprintf("LOST: request %s was sent %.3f s after the SIGTERM and passed on to a replica; the connection ended after %.3f s with status %d and no end of the answer. The replica: %s",
					id, sent.Seconds(), a.took.Seconds(), a.status, run))
			}
		}()
	}
	wg.Wait()
	close(end)
	w.record("on kept connections: served %d, refused %d, closed without being passed on %d, cut %d", served, refused, closed, len(breaks))
	return breaks
}
