package capacity

import (
	"context"
	"fmt"
	"time"

	"agateward/internal/bench/probe"
	"agateward/internal/config/settings"
	"agateward/internal/operator/notice"
	"agateward/internal/run/record"
	"agateward/internal/run/shard"
	"agateward/ward"

	"github.com/go-logr/logr"
)

// recordSizes are numbers of records in one shard.
var recordSizes = []int{100, 1000, 5000}

// runWrites is the number of writes a second that run records are given.
const runWrites = 150.0

// book returns a book of n finished records without their answers.
func book(n int) *record.Book {
	b := &record.Book{Keep: shard.DefaultKeep}
	now := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	for i := range n {
		claim := record.Claim{
			Key: record.KeyOf("team-0001", fmt.Sprintf("key-%d", i)), BodyHash: uint64(i),
			Attempt: fmt.Sprintf("entry-000.00000000-0000-0000-0000-%012d", i), Until: now.Add(time.Minute),
		}
		b.Begin(now, claim)
		b.Settle(now, record.Outcome{Claim: claim, State: record.Finished, Status: 200})
	}
	return b
}

// records measures the idempotency records.
func (c *Capacity) records(context.Context) error {
	const role = "run records"
	const axis = "records in a shard"
	sized := Figure{Role: role, Name: "shard in the store, without answers", Unit: "B", Axis: axis, Size: 1}
	c.figure(sized, recordSizes, func(n int) float64 {
		b, err := book(n).Encode()
		if err != nil {
			panic(err)
		}
		return float64(len(b))
	})
	perRecord := c.Figures[len(c.Figures)-1].Line().Slope
	encode := c.figure(Figure{Role: role, Name: "reading and writing a shard", Unit: "ms", Axis: axis, Size: shard.DefaultBytes / perRecord}, recordSizes, func(n int) float64 {
		b, err := book(n).Encode()
		if err != nil {
			panic(err)
		}
		return float64(probe.Time(func() {
			d, err := record.Decode(b)
			if err == nil {
				_, _ = d.Encode()
			}
		})) / float64(time.Millisecond)
	})
	shards := float64(settings.Default().Records.Shards)
	keep := settings.Default().Records.Keep.Std().Seconds()
	held := shards * shard.DefaultBytes / perRecord
	orders := Requests * OrderShare
	writes := min(runWrites, 2*orders)
	c.Roles = append(c.Roles, Role{
		Name:      role,
		State:     fmt.Sprintf("%.0f shards of %d KB in the store, %.0f records", shards, shard.DefaultBytes>>10, held),
		Messages:  fmt.Sprintf("%.0f writes a second of whole shards, for all entries", writes),
		Mechanism: "claims and outcomes go in groups into shards that any entry writes by compare-and-swap",
		Control:   true,
		CPU:       encode / 1000 * writes / Nodes,
		Bytes:     writes / Nodes * 2 * shard.DefaultBytes,
		Memory:    shard.DefaultBytes,
		Reads:     writes,
		Writes:    writes,
	})
	c.Notes = append(c.Notes,
		fmt.Sprintf("A record takes %.0f bytes, so that %.0f shards of %d KB hold %.0f records: at the %.0f s that a key is kept by default, %.1f non-idempotent requests a second. At %.0f a second (%.0f %% of %d) keys could be kept for %.0f s.",
			perRecord, shards, shard.DefaultBytes>>10, held, keep, held/keep, orders, 100*OrderShare, Requests, held/orders))
	return nil
}

// noticeSizes are numbers of events.
var noticeSizes = []int{50, 100, 200}

// notification measures what operators are told.
func (c *Capacity) notification(ctx context.Context) error {
	const role = "notification"
	event := func(i int) ward.Event {
		return ward.Event{ID: fmt.Sprintf("event-%d", i), Kind: ward.EventMoveStep, Move: "move-1", Text: "a step was made", At: time.Unix(int64(i), 0)}
	}
	tell := func(n int) *notice.Board {
		b := notice.New(notice.Deps{Clock: ward.SystemClock{}, Log: logr.Discard()})
		for i := range n {
			_ = b.Notify(ctx, event(i))
		}
		return b
	}
	memory := c.figure(Figure{Role: role, Name: "log of events", Unit: "KB", Axis: "events", Size: noticeEvents}, noticeSizes, func(n int) float64 {
		return float64(probe.Heap(func() any { return tell(n) })) / 1024
	})
	c.figure(Figure{Role: role, Name: "taking in all events", Unit: "µs", Axis: "events", Size: noticeEvents}, noticeSizes, func(n int) float64 {
		return float64(probe.Time(func() { tell(n) })) / float64(time.Microsecond)
	})
	cpu := c.Figures[len(c.Figures)-1].Line().Slope
	c.Roles = append(c.Roles, Role{
		Name:      role,
		State:     "the last events, in memory",
		Messages:  fmt.Sprintf("one post to the webhook an event, %.2f events a second", Changes/day*eventsPerChange),
		Mechanism: "an event stays in the move's record in the store until it was told",
		Control:   true,
		CPU:       cpu / float64(time.Second/time.Microsecond) * Changes / day * eventsPerChange,
		Memory:    memory * 1024,
	})
	return nil
}

const (
	// noticeEvents is the number of events that the log is read at.
	noticeEvents = 1000
	// eventsPerChange is the number of events that one change makes at most: a
	// move with all its steps.
	eventsPerChange = 9
)
