package gate

import (
	"context"
	"errors"
	"fmt"
	"io"
	"math"
	"net/http"
	"os"
	"strconv"
	"strings"
	"time"

	"agateward/internal/forward/backend"
	"agateward/internal/forward/schedule"
	"agateward/internal/upstream/sse"
	"agateward/ward"
)

// minPacedEvents is the least number of events from which the time per token is
// derived.
const minPacedEvents = 4

func (c *call) recordPace(a schedule.Action, events int, d time.Duration) {
	if events < minPacedEvents {
		return
	}
	tokens := (events - 1) * c.table.Stride(c.service)
	c.gate.mu.Lock()
	defer c.gate.mu.Unlock()
	c.gate.sched.ObservePace(a.Job.ID, d/time.Duration(tokens))
}

// relayStream relays complete events as they arrive and reports whether the request is
// finished.
func (c *call) relayStream(ctx context.Context, a schedule.Action, x *backend.Exchange, stall *silence) bool {
	if err := checkResumed(c.begun, x); err != nil {
		return c.handleTruncated(ctx, a, err, stall)
	}
	events := c.readEvents(a.Upstream.ID, x)
	defer events.claim.Release()
	progress := streamProgress{last: math.MinInt64, forward: c.noteProgress}
	var streamStart, last time.Time
	var longest time.Duration
	for {
		e, err := events.Next()
		if errors.Is(err, io.EOF) {
			break
		}
		if err != nil {
			return c.handleTruncated(ctx, a, err, stall)
		}
		arrived := time.Now()
		if c.events > 0 {
			longest = max(longest, arrived.Sub(last))
		}
		last = arrived
		if c.events == 0 {
			c.recordFirst(a)
			streamStart = arrived
		} else if c.events%4 == 0 {
			c.gate.locked(func() { c.gate.sched.Progress(a.Job.ID, time.Now()) })
		}
		if c.events++; c.events == maxUnbegunEvents+1 {
			c.answerBegun(a)
		}
		if err := progress.note(e); err != nil {
			return c.handleTruncated(ctx, a, err, stall)
		}
		if !stall.pause() {
			return c.handleTruncated(ctx, a, errMoved, stall)
		}
		err = c.relayEvent(e, x)
		if errors.Is(err, os.ErrDeadlineExceeded) {
			c.cutSlowCaller(a)
		}
		if err != nil {
			return c.handleTruncated(ctx, a, err, stall)
		}
		stall.eventRelayed()
	}
	c.recordPace(a, c.events, time.Since(streamStart))
	c.finishAttempt(a, schedule.OutcomeOK)
	c.startAnswer(x)
	c.end("request-answered", "upstream", a.Upstream.ID, "status", x.Status, "ended-by", x.EndedBy(), "events", c.events, "last-event", c.lastEvent, "first", streamStart.Sub(c.arrived), "longest-gap", longest, "elapsed", time.Since(c.arrived), "sends", c.sends)
	c.gate.Metrics.answered(c.route, x.Status, time.Since(c.arrived))
	return true
}

// streamProgress bounds the bytes of one attempt that bring no further event: comments,
// events without data, and events that were sent before.
type streamProgress struct {
	// last is the highest id of an event.
	last int64
	// quiet is the number of bytes since the last event that brought the stream forward.
	quiet int
	// forward is called for each event that brings the stream forward.
	forward func()
}

// note adds an event. It fails with errNoFurtherEvent if the stream no longer goes
// forward.
func (p *streamProgress) note(e sse.Event) error {
	id, err := strconv.ParseInt(e.ID, 10, 64)
	switch {
	case err == nil && id > p.last:
		p.last = id
	case err == nil || len(e.Data) == 0:
		if p.quiet += len(e.Raw); p.quiet > maxQuiet {
			return errNoFurtherEvent
		}
		return nil
	}
	p.quiet = 0
	p.forward()
	return nil
}

// eventSteps notes how the ids of a stream's events grow. They only have to increase, so a
// step of more than one is a gap only where a resumed stream had steps of one before.
type eventSteps struct {
	// run is the answer that brought the last event, nil before the first.
	run *backend.Exchange
	// one and more are true once an id was the last one plus one, or higher.
	one, more bool
}

// note adds an event of run whose id follows last, the caller's last event or -1 for none.
// It fails with errEventMissing at a gap.
func (s *eventSteps) note(run *backend.Exchange, last, id int64) error {
	begun, resumed := s.run != nil, s.run != run
	s.run = run
	switch {
	case !begun:
	case id == last+1:
		s.one = true
	case resumed && s.one && !s.more:
		return errEventMissing
	default:
		s.more = true
	}
	return nil
}

// checkResumed reports whether an answer can be the rest of the stream whose head begun the
// caller has. Any answer can be the beginning.
func checkResumed(begun, x *backend.Exchange) error {
	if begun != nil && (x.Status != begun.Status || mediaType(x) != mediaType(begun)) {
		return fmt.Errorf("%w: status %d, %q after %d, %q", errOtherKind, x.Status, mediaType(x), begun.Status, mediaType(begun))
	}
	return nil
}

// mediaType returns the type of an answer's body without its parameters.
func mediaType(x *backend.Exchange) string {
	t, _, _ := strings.Cut(x.Header.Get("Content-Type"), ";")
	return strings.ToLower(strings.TrimSpace(t))
}

// startAnswer writes the head of the answer once.
func (c *call) startAnswer(x *backend.Exchange) {
	if c.started {
		return
	}
	c.started, c.begun = true, x
	c.copyHeader(x.Header)
	c.w.Header().Del("Content-Length")
	c.w.WriteHeader(x.Status)
	c.gate.Metrics.first(c.route, time.Since(c.arrived))
}

// relayEvent relays one event. Events that the caller already has are skipped.
func (c *call) relayEvent(e sse.Event, x *backend.Exchange) error {
	if e.ID == "" && c.begun != nil && c.begun != x && len(e.Data) > 0 {
		return errEventUnplaced
	}
	if e.ID != "" {
		id, err := strconv.ParseInt(e.ID, 10, 64)
		if err == nil {
			if id <= c.lastEvent {
				return nil
			}
			if err := c.steps.note(x, c.lastEvent, id); err != nil {
				return err
			}
			c.lastEvent = id
		}
	}
	c.startAnswer(x)
	c.boundWrite()
	if _, err := c.w.Write(e.Raw); err != nil {
		return err
	}
	if f, ok := c.w.(http.Flusher); ok {
		f.Flush()
	}
	return nil
}

// partsText returns the ids of parts of a prompt as callers write them.
func partsText(parts []ward.PromptPart) string {
	ids := make([]string, len(parts))
	for i, p := range parts {
		ids[i] = strconv.FormatUint(p.ID, 16)
	}
	return strings.Join(ids, ",")
}
