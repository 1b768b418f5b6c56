// Package notice notifies operators of events: through a bounded event log that
// can be streamed, and through a webhook that gets each event at least once.
//
// # Usage
//
//	l := notice.New(notice.Deps{Webhook: "http://10.0.0.9:9000/hook", Clock: clock, Log: log})
//	err := l.Notify(ctx, event) // returns nil once the webhook has accepted it
//	events, more := l.After(0)
//	<-more // closed when there is a new event
//
// An event is posted again under the same ID, so that a receiver can discard
// duplicates.
package notice

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"sync"
	"time"

	"agateward/ward"

	"github.com/go-logr/logr"
)

const (
	// maxEvents is the maximum number of events in the log.
	maxEvents = 1024
	// webhookTimeout bounds one post.
	webhookTimeout = 5 * time.Second
	// maxReply is the maximum number of bytes read of a webhook's answer.
	maxReply = 4 << 10
)

// Deps holds the dependencies of an EventLog.
type Deps struct {
	// Webhook is the URL that events are posted to; empty means none.
	Webhook string
	Clock   ward.Clock
	Log     logr.Logger
	// Count is called with the kind of each new event; it may be nil.
	Count func(kind string)
}

// Numbered is an event with its sequence number in this log, from 1.
type Numbered struct {
	Seq int `json:"place"`
	ward.Event
}

// EventLog is a bounded log of events. It implements ward.Notifier.
type EventLog struct {
	Deps
	client *http.Client

	mu     sync.Mutex
	events []Numbered
	known  map[string]bool // ids of events
	last   int             // sequence number of the last event
	more   chan struct{}   // closed at the next event
}

// New returns an empty log.
func New(d Deps) *EventLog {
	return &EventLog{
		Deps: d, client: &http.Client{Timeout: webhookTimeout},
		known: make(map[string]bool), more: make(chan struct{}),
	}
}

// Record adds an event to the log, unless it is in the log already, without
// posting it.
func (l *EventLog) Record(e ward.Event) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.known[e.ID] {
		return
	}
	l.known[e.ID] = true
	l.last++
	l.events = append(l.events, Numbered{l.last, e})
	if len(l.events) > maxEvents {
		delete(l.known, l.events[0].ID)
		l.events = l.events[1:]
	}
	close(l.more)
	l.more = make(chan struct{})
	if l.Count != nil {
		l.Count(string(e.Kind))
	}
	l.Log.Info(string(e.Kind), "id", e.ID, "ticket", e.Ticket, "move", e.Move, "share", e.Share, "text", e.Text)
}

// Notify records the event and posts it. It fails if the webhook has not
// accepted it; the caller must then call it again later.
func (l *EventLog) Notify(ctx context.Context, e ward.Event) error {
	l.Record(e)
	if l.Webhook == "" {
		return nil
	}
	body, err := json.Marshal(e)
	if err != nil {
		return fmt.Errorf("encode event %s: %w", e.ID, err)
	}
	r, err := http.NewRequestWithContext(ctx, http.MethodPost, l.Webhook, bytes.NewReader(body))
	if err != nil {
		return fmt.Errorf("post event %s: %w", e.ID, err)
	}
	r.Header.Set("Content-Type", "application/json")
	r.Header.Set("Idempotency-Key", e.ID)
	res, err := l.client.Do(r)
	if err != nil {
		return fmt.Errorf("post event %s: %w", e.ID, err)
	}
	defer res.Body.Close()
	_, _ = io.Copy(io.Discard, io.LimitReader(res.Body, maxReply))
	if res.StatusCode/100 != 2 {
		return fmt.Errorf("post event %s: status %d", e.ID, res.StatusCode)
	}
	return nil
}

// After returns the events after a sequence number, and a channel that is closed
// when there is another one.
func (l *EventLog) After(seq int) ([]Numbered, <-chan struct{}) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for i, e := range l.events {
		if e.Seq > seq {
			return append([]Numbered(nil), l.events[i:]...), l.more
		}
	}
	return nil, l.more
}
