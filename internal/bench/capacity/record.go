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

// recordSizes are the measured numbers of records in one shard.
var recordSizes = []int{100, 1000, 5000}

// runWrites is the share of the store's writes that run records may use, per second.
const runWrites = 150.0

// finishedRecords returns a document of n finished records without their answers.
func finishedRecords(n int) *record.Document {
	b := &record.Document{Keep: shard.DefaultKeep}
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

// archiveSizes are the measured numbers of archives that a shard references.
var archiveSizes = []int{10, 100, 1000}

// documentWithArchives returns a document that references n archives and holds the average
// number of recent records.
func documentWithArchives(n int) *record.Document {
	b := finishedRecords(recentRecords())
	for i := range n {
		b.Archives = append(b.Archives, record.Archive{ID: fmt.Sprintf("0a1b2c3d-%d", i), Revision: uint64(i + 1_000_000), Last: 1_767_225_600_000})
	}
	return b
}

// recentRecords returns the average number of records that a shard's document holds:
// it varies between a quarter and the whole of the archive threshold.
func recentRecords() int {
	one := finishedRecords(1).RecordBytes()
	return shard.DefaultArchiveThreshold * 5 / 8 / one
}

// recordsPerArchive returns the number of records that are archived at once, from a
// document midway between once and twice the archive threshold.
func recordsPerArchive() int {
	full := finishedRecords(shard.DefaultArchiveThreshold * 3 / 2 / finishedRecords(1).RecordBytes())
	later := time.Date(2026, 1, 1, 1, 0, 0, 0, time.UTC)
	return len(full.Oldest(later, shard.DefaultArchiveThreshold/4))
}

// records measures the idempotency records.
func (c *Capacity) records(context.Context) error {
	const role = "run records"
	const axis = "archives that a shard names"
	encoded := func(b *record.Document) []byte {
		v, err := b.Encode()
		if err != nil {
			panic(err)
		}
		return v
	}
	c.figure(Figure{Role: role, Name: "records in the store", Unit: "B", Axis: "records", Size: 1}, recordSizes, func(n int) float64 {
		return float64(len(encoded(finishedRecords(n))))
	})
	perRecord := c.Figures[len(c.Figures)-1].Line().Slope
	kept := Requests * OrderShare * settings.Default().Records.Keep.Std().Seconds()
	shards := float64(settings.Default().Records.Shards)
	wanted := kept / float64(recordsPerArchive()) / shards
	sized := Figure{Role: role, Name: "document of a shard", Unit: "KB", Axis: axis, Size: wanted}
	document := c.figure(sized, archiveSizes, func(n int) float64 {
		return float64(len(encoded(documentWithArchives(n)))) / 1024
	})
	// A document can't exceed its size limit. At the limit, keys are kept for a
	// shorter time.
	limit := float64(shard.DefaultBytes) / 1024
	l := c.Figures[len(c.Figures)-1].Line()
	archives := min(wanted, (limit-l.Intercept)/l.Slope)
	hours := settings.Default().Records.Keep.Std().Hours() * archives / wanted
	kept *= archives / wanted
	commit := c.figure(Figure{Role: role, Name: "reading and writing a shard's document", Unit: "ms", Axis: axis, Size: archives}, archiveSizes, func(n int) float64 {
		b := encoded(documentWithArchives(n))
		return float64(probe.Time(func() {
			if d, err := record.Decode(b); err == nil {
				_, _ = d.Encode()
			}
		})) / float64(time.Millisecond)
	})
	c.Notes = append(c.Notes, fmt.Sprintf(
		"A record takes %.0f bytes, an archive holds %d. At %.0f non-idempotent requests a second (%.0f %% of %d) kept for %.0f h, a shard would name %.0f archives in a document of %.0f KB, of the %.0f KB that it may have: keys can be kept for %.1f h. The line of run records is worked out for that; each entry reads every archive once and holds %.1f million key prefixes.",
		perRecord, recordsPerArchive(), Requests*OrderShare, 100*OrderShare, Requests, settings.Default().Records.Keep.Std().Hours(), wanted, document, limit, hours, kept/1e6))
	document = min(document, limit)
	c.Roles = append(c.Roles, Role{
		Name:      role,
		State:     fmt.Sprintf("%.0f shard(s) in the store with %.0f archives each; a key prefix of each record in every entry", shards, archives),
		Messages:  fmt.Sprintf("%.0f writes a second of documents of %.0f KB, for all entries", runWrites, document),
		Mechanism: "claims and outcomes go in groups into shards that any entry writes by compare-and-swap; older records go into archives",
		Control:   true,
		CPU:       commit / 1000 * runWrites / Nodes,
		Bytes:     runWrites/Nodes*2*document*1024 + Requests*OrderShare*perRecord,
		Memory:    kept * indexBytes,
		Reads:     runWrites + Requests*OrderShare/float64(recordsPerArchive())*Nodes,
		Writes:    runWrites,
	})
	return nil
}

// indexBytes is the memory of the index per record.
const indexBytes = 8

// noticeSizes are the measured numbers of events.
var noticeSizes = []int{50, 100, 200}

// notification measures the notification of operators.
func (c *Capacity) notification(ctx context.Context) error {
	const role = "notification"
	event := func(i int) ward.Event {
		return ward.Event{ID: fmt.Sprintf("event-%d", i), Kind: ward.EventMoveStep, Move: "move-1", Text: "a step was made", At: time.Unix(int64(i), 0)}
	}
	fill := func(n int) *notice.EventLog {
		l := notice.New(notice.Deps{Clock: ward.SystemClock{}, Log: logr.Discard()})
		for i := range n {
			_ = l.Notify(ctx, event(i))
		}
		return l
	}
	memory := c.figure(Figure{Role: role, Name: "log of events", Unit: "KB", Axis: "events", Size: noticeEvents}, noticeSizes, func(n int) float64 {
		return float64(probe.Heap(func() any { return fill(n) })) / 1024
	})
	c.figure(Figure{Role: role, Name: "taking in all events", Unit: "µs", Axis: "events", Size: noticeEvents}, noticeSizes, func(n int) float64 {
		return float64(probe.Time(func() { fill(n) })) / float64(time.Microsecond)
	})
	cpu := c.Figures[len(c.Figures)-1].Line().Slope
	c.Roles = append(c.Roles, Role{
		Name:      role,
		State:     "the last events, in memory",
		Messages:  fmt.Sprintf("one post to the webhook an event, %.2f events a second", Changes/secondsPerDay*eventsPerChange),
		Mechanism: "an event stays in the move's record in the store until it was told",
		Control:   true,
		CPU:       cpu / float64(time.Second/time.Microsecond) * Changes / secondsPerDay * eventsPerChange,
		Memory:    memory * 1024,
	})
	return nil
}

const (
	// noticeEvents is the number of events at which the size of the log is evaluated.
	noticeEvents = 1000
	// eventsPerChange is the maximum number of events of one change: a move with all
	// its steps.
	eventsPerChange = 9
)
