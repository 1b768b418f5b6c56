// Package caller provides a caller of the forwarding surface that keeps its
// connection to an entry until that ends, and checks each answer.
//
// # Usage
//
//	c := &caller.Caller{Dialect: d, Ledger: l, Next: next}
//	c.Run(ctx)
package caller

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"time"

	"agateward/internal/soak/ledger"
	"agateward/internal/soak/upstream"
	"agateward/ward"
)

const (
	// dialTimeout is how long callers wait for a connection.
	dialTimeout = time.Second
	// mostAfter bounds the pause that an answer asks for: callers have little time.
	mostAfter = 400 * time.Millisecond
	// think is the pause between two requests.
	think = 10 * time.Millisecond
	// patience is how much longer than its route's time-out a caller waits.
	patience = 2 * time.Second
)

// Ask is the next request of a caller.
type Ask struct {
	ledger.Request
	// Address is that of the entry.
	Address    string
	Host, Path string
	Key        string
	// LeaveAfter makes the caller leave early; 0 means that it stays.
	LeaveAfter time.Duration
}

// Caller sends one request after the other.
type Caller struct {
	Dialect ward.StandinDialect
	Ledger  *ledger.Ledger
	// Next returns the next request. Entry, Start and Address are those of the entry
	// to use; keep asks for the entry of the request before.
	Next func(keep bool) Ask
	// Done is told each answer.
	Done func(ledger.Answer)
}

// Run sends requests until ctx ends.
func (c *Caller) Run(ctx context.Context) {
	client := newClient()
	defer client.CloseIdleConnections()
	keep := false
	for ctx.Err() == nil {
		a, after := c.ask(client, c.Next(keep))
		c.Done(a)
		keep = a.Whole
		if !keep {
			client.CloseIdleConnections()
		}
		select {
		case <-ctx.Done():
		case <-time.After(min(think+after, mostAfter)):
		}
	}
}

// Once sends one request on a connection of its own.
func (c *Caller) Once(ask Ask) ledger.Answer {
	client := newClient()
	defer client.CloseIdleConnections()
	a, _ := c.ask(client, ask)
	return a
}

func newClient() *http.Client {
	return &http.Client{Transport: &http.Transport{
		DialContext:        (&net.Dialer{Timeout: dialTimeout}).DialContext,
		DisableCompression: true, MaxIdleConnsPerHost: 1,
	}}
}

// ask sends a request, and tells the ledger of it and of its answer.
func (c *Caller) ask(client *http.Client, ask Ask) (ledger.Answer, time.Duration) {
	ask.Sent = time.Now()
	c.Ledger.Sent(ask.Request)
	a, after := c.exchange(client, ask)
	c.Ledger.Answered(ask.ID, a, time.Now())
	return a, after
}

// exchange sends one request and returns its answer and the pause that it asks for.
func (c *Caller) exchange(client *http.Client, ask Ask) (ledger.Answer, time.Duration) {
	limit := ask.Timeout + patience
	if ask.LeaveAfter > 0 {
		limit = ask.LeaveAfter
	}
	// The caller's end is not that of the soak: open requests are answered.
	ctx, cancel := context.WithTimeout(context.Background(), limit)
	defer cancel()
	// A POST without a body is never sent twice by the transport.
	r, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+ask.Address+ask.Path, nil)
	if err != nil {
		return ledger.Answer{Fault: err.Error()}, 0
	}
	r.Host = ask.Host
	r.Header = c.Dialect.Caller(ward.ForwardHead{ID: ask.ID, Key: ask.Key, Timeout: limit, LastEvent: -1})
	res, err := client.Do(r)
	if err != nil {
		return ledger.Answer{}, 0
	}
	defer res.Body.Close()
	a := ledger.Answer{Status: res.StatusCode}
	if res.StatusCode != http.StatusOK {
		_, err := io.Copy(io.Discard, res.Body)
		a.Whole, a.NotRun = err == nil, notRun(a.Status)
		after, _ := strconv.ParseFloat(res.Header.Get("Retry-After"), 64) // none asks for no pause
		return a, time.Duration(after * float64(time.Second))
	}
	if id, _ := c.Dialect.Hop(res.Header); id != ask.ID {
		a.Fault = fmt.Sprintf("the answer is that of request %q", id)
	}
	if ask.Kind == ward.ForwardStream {
		return events(res.Body, ask.ID, a), 0
	}
	b, err := io.ReadAll(res.Body)
	a.Whole = err == nil
	if want := upstream.Body(ask.ID); a.Whole && string(b) != want {
		a.Fault = fmt.Sprintf("the answer is %q, not %q", b, want)
	}
	return a, 0
}

// notRun tells whether a status promises that the request has not run.
func notRun(status int) bool {
	switch status {
	case http.StatusRequestTimeout, http.StatusMisdirectedRequest, http.StatusTooManyRequests, http.StatusServiceUnavailable:
		return true
	}
	return false
}

// events checks a stream.
func events(body io.Reader, id string, a ledger.Answer) ledger.Answer {
	lines := bufio.NewScanner(body)
	var last, n int64
	var data string
	for lines.Scan() {
		field, value, _ := strings.Cut(lines.Text(), ": ")
		switch field {
		case "id":
			n, _ = strconv.ParseInt(value, 10, 64) // 0 follows no event
		case "data":
			data = value
		case "": // the end of an event
			if fault := upstream.CheckEvent(id, last, n, data); fault != "" && a.Fault == "" {
				a.Fault = fault
			}
			last = n
		}
	}
	a.Whole = lines.Err() == nil
	if want := upstream.Events(id); a.Whole && last != want && a.Fault == "" {
		a.Fault = fmt.Sprintf("the stream ends as complete after event %d of %d", last, want)
	}
	return a
}
