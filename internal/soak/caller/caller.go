// Package caller provides a caller of the forwarding surface that reuses its
// connection to an entry until that fails, and checks each answer.
//
// # Usage
//
//	c := &caller.Caller{Dialect: d, Ledger: l, Next: next}
//	c.Run(ctx)
package caller

import (
	"bufio"
	"context"
	"errors"
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
	// dialTimeout bounds opening a connection.
	dialTimeout = time.Second
	// maxRetryAfter bounds the pause that Retry-After requests, because the soak is
	// short.
	maxRetryAfter = 400 * time.Millisecond
	// requestInterval is the pause between two requests.
	requestInterval = 10 * time.Millisecond
	// extraWait is how long a caller waits beyond the time-out of the route.
	extraWait = 2 * time.Second
)

// Request is a request to send.
type Request struct {
	ledger.Request
	// Address is the address of the entry.
	Address    string
	Host, Path string
	Key        string
	// Parts lists the shared parts of the prompt, none without a prompt.
	Parts []ward.PromptPart
	// Pauses come before the parts of its body, none for a request without a body.
	Pauses []time.Duration
	// LeaveAfter is when the caller closes the connection, 0 for never.
	LeaveAfter time.Duration
}

// Caller sends requests one after the other.
type Caller struct {
	Dialect ward.StandinDialect
	Ledger  *ledger.Ledger
	// Next returns the next request, with Entry, Start and Address of the entry to
	// use. When keep is set, that is the entry of the previous request.
	Next func(keep bool) Request
	// OnAnswer is called with each answer. Run requires it.
	OnAnswer func(ledger.Answer)
}

// Run sends requests until ctx ends.
func (c *Caller) Run(ctx context.Context) {
	client := newClient()
	defer client.CloseIdleConnections()
	keep := false
	for ctx.Err() == nil {
		a, after := c.send(client, c.Next(keep))
		c.OnAnswer(a)
		keep = a.Complete
		if !keep {
			client.CloseIdleConnections()
		}
		select {
		case <-ctx.Done():
		case <-time.After(min(requestInterval+after, maxRetryAfter)):
		}
	}
}

// SendOnce sends one request on a connection of its own.
func (c *Caller) SendOnce(req Request) ledger.Answer {
	client := newClient()
	defer client.CloseIdleConnections()
	a, _ := c.send(client, req)
	return a
}

// SendTwice sends two requests on one connection, unless the first answer closes it. between is
// called after the first one.
func (c *Caller) SendTwice(first, second Request, between func()) {
	client := newClient()
	defer client.CloseIdleConnections()
	c.send(client, first)
	between()
	c.send(client, second)
}

// SendLater opens a connection, calls wait, and sends one request on it. It sends nothing if
// there is no connection.
func (c *Caller) SendLater(req Request, wait func()) {
	conn, err := net.DialTimeout("tcp", req.Address, dialTimeout)
	if err != nil {
		return // the entry has exited
	}
	wait()
	client := newClient()
	defer client.CloseIdleConnections()
	opened := false
	client.Transport.(*http.Transport).DialContext = func(context.Context, string, string) (net.Conn, error) {
		if opened {
			return nil, errOneConnection
		}
		opened = true
		return conn, nil
	}
	c.send(client, req)
}

var errOneConnection = errors.New("the request has one connection")

func newClient() *http.Client {
	return &http.Client{Transport: &http.Transport{
		DialContext:        (&net.Dialer{Timeout: dialTimeout}).DialContext,
		DisableCompression: true, MaxIdleConnsPerHost: 1,
	}}
}

// partedBody is a body that is read in parts, each after a pause.
type partedBody struct{ pauses []time.Duration }

func (b *partedBody) Read(p []byte) (int, error) {
	if len(b.pauses) == 0 {
		return 0, io.EOF
	}
	time.Sleep(b.pauses[0])
	b.pauses = b.pauses[1:]
	return copy(p, "part"), nil
}

// send sends a request, and records it and its answer in the ledger.
func (c *Caller) send(client *http.Client, req Request) (ledger.Answer, time.Duration) {
	req.Sent = time.Now()
	for _, d := range req.Pauses {
		req.BodyTime += d
	}
	c.Ledger.Sent(req.Request)
	a, after := c.exchange(client, req)
	c.Ledger.Answered(req.ID, a, time.Now())
	return a, after
}

// exchange sends one request and returns its answer and the pause of Retry-After.
func (c *Caller) exchange(client *http.Client, req Request) (ledger.Answer, time.Duration) {
	limit := req.Timeout + extraWait
	if req.LeaveAfter > 0 {
		limit = req.LeaveAfter
	}
	// The request does not use the context of the soak, so that open requests are
	// still answered when the soak ends.
	ctx, cancel := context.WithTimeout(context.Background(), limit)
	defer cancel()
	// The transport never retries a POST without a body.
	var body io.Reader
	if req.Pauses != nil {
		body = &partedBody{req.Pauses}
	}
	r, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+req.Address+req.Path, body)
	if err != nil {
		return ledger.Answer{Fault: err.Error()}, 0
	}
	r.Host = req.Host
	r.Header = c.Dialect.Caller(ward.ForwardHead{ID: req.ID, Key: req.Key, Timeout: limit, Parts: req.Parts, LastEvent: -1})
	res, err := client.Do(r)
	if err != nil {
		return ledger.Answer{}, 0
	}
	defer res.Body.Close()
	a := ledger.Answer{Status: res.StatusCode}
	if res.StatusCode != http.StatusOK {
		_, err := io.Copy(io.Discard, res.Body)
		a.Complete = err == nil
		after, _ := strconv.ParseFloat(res.Header.Get("Retry-After"), 64) // without the header there is no pause
		return a, time.Duration(after * float64(time.Second))
	}
	if id, _ := c.Dialect.Hop(res.Header); id != req.ID {
		a.Fault = fmt.Sprintf("the answer belongs to request %q", id)
	}
	if req.Kind == ward.ForwardStream {
		return checkStream(res.Body, req.ID, a), 0
	}
	b, err := io.ReadAll(res.Body)
	a.Complete = err == nil
	if want := upstream.Body(req.ID); a.Complete && string(b) != want {
		a.Fault = fmt.Sprintf("the answer is %q, want %q", b, want)
	}
	return a, 0
}

// checkStream reads a stream and returns the answer with its faults.
func checkStream(body io.Reader, id string, a ledger.Answer) ledger.Answer {
	lines := bufio.NewScanner(body)
	var last, n int64
	var data string
	for lines.Scan() {
		field, value, _ := strings.Cut(lines.Text(), ": ")
		switch field {
		case "id":
			n, _ = strconv.ParseInt(value, 10, 64) // an invalid id becomes 0, which is never the next one
		case "data":
			data = value
		case "": // the end of an event
			if fault := upstream.CheckEvent(id, last, n, data); fault != "" && a.Fault == "" {
				a.Fault = fault
			}
			last = n
		}
	}
	a.Complete = lines.Err() == nil
	if want := upstream.Events(id); a.Complete && last != want && a.Fault == "" {
		a.Fault = fmt.Sprintf("the stream ends without an error after event %d of %d", last, want)
	}
	return a
}
