//nolint:forbidigo // the stand-ins run on the real clock
package main

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net/http"
	"time"
)

// answer is what a client saw of one request.
type answer struct {
	id     string
	sentAt time.Time
	endAt  time.Time
	status int
	signed bool
	// body is what was read of the body; complete is true if it ended as HTTP says.
	body     []byte
	complete bool
	err      error
}

// text describes an answer for the record.
func (a answer) text() string {
	return fmt.Sprintf("request %s: status %d, signed %v, %d bytes, complete %v, error %v, after %v", a.id, a.status, a.signed, len(a.body), a.complete, a.err, a.endAt.Sub(a.sentAt).Round(time.Millisecond))
}

// send sends one request on a connection of its own and reads its answer.
func send(method, address, host, path, id string, deadline time.Duration, body []byte) answer {
	a := answer{id: id, sentAt: time.Now()}
	defer func() { a.endAt = time.Now() }()
	ctx, cancel := context.WithTimeout(context.Background(), deadline)
	defer cancel()
	q, err := http.NewRequestWithContext(ctx, method, "http://"+address+path, bytes.NewReader(body))
	if err != nil {
		a.err = err
		return a
	}
	q.Host = host
	q.Header.Set("X-Agateward-Request-Id", id)
	q.Header.Set("X-Agateward-Deadline-Ms", fmt.Sprint(deadline.Milliseconds()))
	t := &http.Transport{DisableCompression: true}
	defer t.CloseIdleConnections()
	res, err := t.RoundTrip(q)
	if err != nil {
		a.err, a.endAt = err, time.Now()
		return a
	}
	defer res.Body.Close()
	a.status, a.signed = res.StatusCode, res.Header.Get("X-Agateward-Response-Signature") != ""
	a.body, a.err = io.ReadAll(res.Body)
	a.complete = a.err == nil
	a.endAt = time.Now()
	return a
}
