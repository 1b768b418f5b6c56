// Package record decides on requests that may run only once, by an idempotency
// record of each request in a document of records.
//
// A record is begun before the request is dispatched. After the answer it is
// settled as finished, as unknown, or as not run (then it is removed). A key that
// is in the document never runs a second time while its record is kept.
//
// # Usage
//
//	d, err := record.Decode(value)
//	v := d.Begin(now, record.Claim{Key: record.KeyOf(team, key), BodyHash: h, Attempt: id, Until: until})
//	switch v.Kind {
//	case record.Run: // once the document is written
//	case record.Replay: // v.Record holds the recorded answer
//	case record.Refuse: // v.Code is the reason
//	}
//	value, err = d.Encode()
//
// A decision to run is valid only once the document that holds it was written over
// the revision that it was read from.
package record

import (
	"bytes"
	"crypto/sha256"
	"errors"
	"fmt"
	"slices"
	"time"

	"agateward/internal/peer/unpack"
	"agateward/internal/result/code"

	"github.com/vmihailenco/msgpack/v5"
)

// State is the state of a record.
type State uint8

// States of a record.
const (
	// Begun means that the request may have been dispatched.
	Begun State = iota + 1
	// Finished means that its answer is known.
	Finished
	// Unknown means that its answer was lost.
	Unknown
	// NotRun settles a record that was begun and never dispatched. The record is
	// removed.
	NotRun
)

// Key identifies a record: a hash of team and idempotency key.
type Key string

// keyBytes is the length of a Key: 128 bits make collisions within a fleet
// negligible.
const keyBytes = 16

// KeyOf returns the key of a record.
func KeyOf(team, idempotencyKey string) Key {
	h := sha256.New()
	fmt.Fprintf(h, "%d:%s", len(team), team)
	h.Write([]byte(idempotencyKey))
	return Key(h.Sum(nil)[:keyBytes])
}

// Shard returns the shard, from 0 to n-1, of the key.
func (k Key) Shard(n int) int {
	if len(k) < 2 || n < 1 {
		return 0
	}
	return (int(k[0])<<8 | int(k[1])) % n
}

// Field is one header field of a recorded answer.
type Field struct {
	Name  string
	Value string
}

// Record is the record of one key. Times are Unix milliseconds.
type Record struct {
	Key      Key
	State    State
	BodyHash uint64
	// Attempt is the id of the request that began the record, Until when that
	// request can no longer be running; both are empty once the record is settled.
	Attempt string
	// Begun is when the record was begun.
	Begun int64
	Until int64
	// Status, Header and Body are the recorded answer; Kept reports whether Body
	// is complete.
	Status int
	Kept   bool
	Header []Field
	Body   []byte
}

// Claim asks for the right to run a request.
type Claim struct {
	Key      Key
	BodyHash uint64
	Attempt  string
	// Until is when the request can no longer be running.
	Until time.Time
}

// Outcome settles the record that Attempt began.
type Outcome struct {
	Claim  Claim
	State  State
	Status int
	Kept   bool
	Header []Field
	Body   []byte
}

// Kind is what to do with a claim.
type Kind uint8

// Kinds of verdict.
const (
	// Refuse means that the request must not run; Code is the reason.
	Refuse Kind = iota
	Run
	Replay
	// Absent is the result of a lookup of a key that is not in the document.
	Absent
)

// Verdict is the decision on a claim.
type Verdict struct {
	Kind   Kind
	Code   code.Code
	Record Record
	// New reports whether the claim was added to the document by this call.
	New bool
}

// Document is the set of records of one shard.
type Document struct {
	// Keep is how long a record is kept after its beginning.
	Keep time.Duration
	// Archives lists the documents that hold older records, oldest first.
	Archives []Archive
	records  map[Key]Record
	archived map[Key]Record
}

// ErrFormat means that a stored document can't be read.
var ErrFormat = errors.New("stored records have an unsupported format")

// format is the version of the stored form.
const format = 1

// bounds are those of a stored document or archive.
var bounds = unpack.Bounds{Depth: 8, Maps: true}

// stored is the stored form of a document.
type stored struct {
	Format   int
	Records  []Record
	Archives []Archive
}

// Decode reads a stored document; no bytes give an empty one.
func Decode(b []byte) (*Document, error) {
	doc := &Document{records: map[Key]Record{}, archived: map[Key]Record{}}
	if len(b) == 0 {
		return doc, nil
	}
	var s stored
	if err := bounds.Decode(b, &s); err != nil {
		return nil, errors.Join(ErrFormat, err)
	}
	if s.Format != format {
		return nil, fmt.Errorf("format %d: %w", s.Format, ErrFormat)
	}
	for _, r := range s.Records {
		doc.records[r.Key] = r
	}
	doc.Archives = s.Archives
	return doc, nil
}

// Encode returns the document in its stored form. Equal records give equal bytes.
func (d *Document) Encode() ([]byte, error) {
	s := stored{Format: format, Records: make([]Record, 0, len(d.records)), Archives: d.Archives}
	for _, r := range d.records {
		s.Records = append(s.Records, r)
	}
	slices.SortFunc(s.Records, compareAge)
	return encode(&s)
}

func encode(v any) ([]byte, error) {
	var out bytes.Buffer
	e := msgpack.NewEncoder(&out)
	e.UseArrayEncodedStructs(true)
	if err := e.Encode(v); err != nil {
		return nil, err
	}
	return out.Bytes(), nil
}

// compareAge orders records by age, the oldest first.
func compareAge(x, y Record) int {
	if x.Begun != y.Begun {
		return int(x.Begun - y.Begun)
	}
	return bytes.Compare([]byte(x.Key), []byte(y.Key))
}

// Len returns the number of records.
func (d *Document) Len() int { return len(d.records) }

// Begin decides on a claim, and adds its record when it may run.
func (d *Document) Begin(now time.Time, c Claim) Verdict {
	if v := d.Lookup(now, c); v.Kind != Absent {
		return v
	}
	r := Record{Key: c.Key, State: Begun, BodyHash: c.BodyHash, Attempt: c.Attempt, Begun: now.UnixMilli(), Until: c.Until.UnixMilli()}
	d.put(r)
	return Verdict{Kind: Run, Record: r, New: true}
}

// Lookup decides on a claim whose key is known, and changes nothing. It returns
// Absent for an unknown key.
func (d *Document) Lookup(now time.Time, c Claim) Verdict {
	if r, ok := d.records[c.Key]; ok && !d.expired(now, r) {
		return verdict(now, r, c)
	}
	if r, ok := d.archived[c.Key]; ok && !d.expired(now, r) {
		return verdict(now, r, c)
	}
	return Verdict{Kind: Absent}
}

// verdict decides on a claim whose key is known. A claim finds a record of its own
// attempt when the answer of the store to the first write was lost.
func verdict(now time.Time, r Record, c Claim) Verdict {
	v := Verdict{Kind: Refuse, Record: r}
	switch {
	case r.Attempt == c.Attempt && r.State == Begun:
		v.Kind = Run
	case r.BodyHash != c.BodyHash:
		v.Code = code.KeyReused
	case r.State == Finished && code.PromisesNotRun(r.Status):
		// The recorded status does not show whether the request ran.
		v.Code = code.OutcomeUnknown
	case r.State == Finished && r.Kept:
		v.Kind = Replay
	case r.State == Finished:
		v.Code = code.AnswerNotKept
	case r.State == Begun && now.UnixMilli() <= r.Until:
		v.Code = code.KeyInProgress
	default:
		v.Code = code.OutcomeUnknown
	}
	return v
}

// Settle applies an outcome, and reports whether that changed the document. Only
// the attempt that began a record may settle it. A request that ran without a
// record gets one.
func (d *Document) Settle(now time.Time, o Outcome) bool {
	r, ok := d.records[o.Claim.Key]
	if ok && (r.Attempt != o.Claim.Attempt || r.State != Begun) {
		return false
	}
	if o.State == NotRun {
		delete(d.records, o.Claim.Key)
		return ok
	}
	if !ok {
		r = Record{Key: o.Claim.Key, BodyHash: o.Claim.BodyHash, Attempt: o.Claim.Attempt, Begun: now.UnixMilli(), Until: o.Claim.Until.UnixMilli()}
	}
	// The attempt identifies a record only until it is settled.
	r.Attempt = ""
	r.Until = 0
	r.State = o.State
	r.Status = o.Status
	r.Kept = o.Kept
	r.Header = o.Header
	r.Body = o.Body
	d.put(r)
	return true
}

func (d *Document) put(r Record) {
	if d.records == nil {
		d.records = map[Key]Record{}
	}
	d.records[r.Key] = r
}

func (d *Document) expired(now time.Time, r Record) bool {
	return d.Keep > 0 && now.UnixMilli()-r.Begun > d.Keep.Milliseconds()
}
