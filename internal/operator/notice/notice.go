// Package notice tells operators of events: a bounded log that streams are read
// from, and a webhook that each event is posted to at least once.
//
// # Usage
//
//	b := notice.New(notice.Deps{Webhook: "http://10.0.0.9:9000/hook", Clock: clock, Log: l})
//	err := b.Notify(ctx, event) // returns nil once the webhook has taken it
//	events, more := b.After(0)
//	<-more // closed when there is a new event
//
// An event keeps its ID when it is told again, so that a receiver can drop
// what it has.
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
	// keptEvents bounds the log.
	keptEvents = 1024
	// webhookTimeout bounds one post.
	webhookTimeout = 5 * time.Second
	// maxReply bounds what is read of a webhook's answer, in bytes.
	maxReply = 4 << 10
)

// Deps are what a Board stands on.
type Deps struct {
	// Webhook is a URL; empty posts nothing.
	Webhook string
	Clock   ward.Clock
	Log     logr.Logger
	// Count counts an event by its kind; nil counts nothing.
	Count func(kind string)
}

// Numbered is an event with its place in this entry's log, from 1.
type Numbered struct {
	Seq int `json:"place"`
	ward.Event
}

// EventLog is the log of events. It implements ward.Notifier.
type EventLog struct {
	Deps
	client *http.Client

	mu     sync.Mutex
	events []Numbered
	known  map[string]bool
	last   int
	more   chan struct{}
}

// New returns an empty board.
func New(d Deps) *EventLog {
	return &EventLog{
		Deps: d, client: &http.Client{Timeout: webhookTimeout},
		known: make(map[string]bool), more: make(chan struct{}),
	}
}

// Record adds an event to the log unless it is there already. It posts nothing.
func (b *EventLog) Record(e ward.Event) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.known[e.ID] {
		return
	}
	b.known[e.ID] = true
	b.last++
	b.events = append(b.events, Numbered{b.last, e})
	if len(b.events) > keptEvents {
		delete(b.known, b.events[0].ID)
		b.events = b.events[1:]
	}
	close(b.more)
	b.more = make(chan struct{})
	if b.Count != nil {
		b.Count(string(e.Kind))
	}
	b.Log.Info(string(e.Kind), "id", e.ID, "ticket", e.Ticket, "move", e.Move, "share", e.Share, "text", e.Text)
}

// Notify records the event and posts it. An error says that the webhook has
// not taken it; the caller tells the event again later.
func (b *EventLog) Notify(ctx context.Context, e ward.Event) error {
	b.Record(e)
	if b.Webhook == "" {
		return nil
	}
	body, err := json.Marshal(e)
	if err != nil {
		return fmt.Errorf("encode event %s: %w", e.ID, err)
	}
	r, err := http.NewRequestWithContext(ctx, http.MethodPost, b.Webhook, bytes.NewReader(body))
	if err != nil {
		return fmt.Errorf("post event %s: %w", e.ID, err)
	}
	r.Header.Set("Content-Type", "application/json")
	r.Header.Set("Idempotency-Key", e.ID)
	res, err := b.client.Do(r)
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

// After returns the events after a place, and a channel that is closed when
// there is another one.
func (b *EventLog) After(place int) ([]Numbered, <-chan struct{}) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for i, e := range b.events {
		if e.Seq > place {
			return append([]Numbered(nil), b.events[i:]...), b.more
		}
	}
	return nil, b.more
}
