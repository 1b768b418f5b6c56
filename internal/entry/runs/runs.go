// Package runs ensures that a non-idempotent request runs at most once. It keeps
// idempotency records in the platform's store, in a few shards.
//
// # Usage
//
//	runs := &runs.Runs{Store: store}
//	go runs.Run(ctx)
//	d, err := runs.Begin(ctx, r, upstream) // right before the dispatch
//	switch {
//	case err != nil: // refused; the code states whether the request ran
//	case d.Answer != nil: // the recorded answer of the first run
//	default: // dispatch once with d.Permit, then report how it ended:
//		runs.Finish(r, runs.Answer{...}) // or runs.Lost(r), runs.NotRun(r)
//	}
//
// Exactly one of Finish, Lost and NotRun must be called for each permit. They don't
// wait for the store. Flush writes the remaining outcomes before the entry stops.
//
// Before a request is refused without a verdict of Begin, because it was not called or
// its deadline passed, Lookup must be called, so that a retry with a key that has run
// is not refused as not run.
//
// Idempotent requests get a permit without a record.
package runs

import (
	"context"
	"net/http"
	"slices"
	"strconv"
	"sync"
	"time"

	"agateward/internal/result/code"
	"agateward/internal/run/permit"
	"agateward/internal/run/record"
	"agateward/internal/run/shard"
	"agateward/ward"

	"github.com/go-logr/logr"
	"github.com/google/uuid"
	"github.com/sourcegraph/conc"
)

// Defaults of Runs.
const (
	// DefaultShards is the number of documents that hold the records.
	DefaultShards = 1
	// DefaultCallTimeout bounds one call to the store.
	DefaultCallTimeout = time.Second
	// DefaultMaxBody is the maximum size of a recorded body in bytes.
	DefaultMaxBody = 4 << 10
	// DefaultTimeout is the maximum running time of a request without a deadline.
	DefaultTimeout = 10 * time.Minute
	// SettleTimeout bounds the time that Begin waits for the outcome of a key in
	// progress, settlePollInterval is the time between two reads of it.
	SettleTimeout      = time.Second
	settlePollInterval = 200 * time.Millisecond
	// lookupTimeout bounds a Lookup.
	lookupTimeout = 500 * time.Millisecond
	// archiveNameLength is the length of the random name that distinguishes the
	// archives of this entry from those of others.
	archiveNameLength = 8
	// clockSkew is the maximum difference between the clocks of two entries.
	clockSkew = 5 * time.Second
)

// recordedHeaders lists the header fields of an answer that are recorded.
var recordedHeaders = []string{"Content-Type", "Content-Encoding", "Content-Language", "Location", "Etag"}

// Answer is the answer of a request as it is recorded and replayed.
type Answer struct {
	Status int
	Header http.Header
	Body   []byte
}

// Decision is what to do with a request: dispatch it with Permit, or return Answer.
type Decision struct {
	Permit *permit.Permit
	Answer *Answer
	// unrecorded reports that the permit has no record, as the store is down.
	unrecorded bool
}

// Allows returns an error if the request may not be dispatched to u with Permit: one
// without a record may go only to an upstream that checks idempotency keys.
func (d Decision) Allows(u ward.Upstream) error {
	if d.unrecorded && !u.ChecksIdempotency {
		return code.RecordsDown.New("upstream %s does not check idempotency keys", u.Name)
	}
	return nil
}

// Runs keeps the idempotency records. Its fields are set before Run.
type Runs struct {
	Store ward.Store
	// Clock is ward.SystemClock when nil.
	Clock ward.Clock
	Log   logr.Logger
	// Shards is the number of shards, DefaultShards when 0. It must be the same at all
	// entries of the fleet, and must not change while records are kept.
	Shards int
	// Limits are the limits of each shard.
	Limits shard.Limits
	// CallTimeout is DefaultCallTimeout when 0, MaxBody DefaultMaxBody.
	CallTimeout time.Duration
	MaxBody     int

	once   sync.Once
	shards []*worker
	// layoutLoaded is closed when the layout has been read. layoutDiffers is set before
	// that.
	layoutLoaded  chan struct{}
	layoutDiffers bool
}

// Begin decides whether req may be dispatched to u. The code of its error states
// whether the request ran.
func (r *Runs) Begin(ctx context.Context, req *ward.Request, u ward.Upstream) (Decision, error) {
	if !req.NonIdempotent {
		return Decision{Permit: permit.New(req.ID, time.Time{})}, nil
	}
	if req.IdempotencyKey == "" {
		return Decision{}, code.KeyRequired.New("route %s", req.Route)
	}
	r.init()
	now := r.now()
	keep := orDefault(r.Limits.Keep, shard.DefaultKeep)
	if made, ok := keyTime(req.IdempotencyKey); ok && now.Sub(made) > keep-clockSkew {
		return Decision{}, code.KeyTooOld.New("the key was made %v ago, records are kept for %v", now.Sub(made).Round(time.Second), keep)
	}
	v, err := r.claimKey(ctx, req)
	if code.RecordsDown.Is(err) {
		v = record.Verdict{Code: code.RecordsDown}
	} else if err != nil {
		return Decision{}, err
	}
	return r.decide(req, u, v)
}

// Finish records the complete answer of a request. A body larger than MaxBody is not
// kept.
func (r *Runs) Finish(req *ward.Request, a Answer) {
	o := record.Outcome{State: record.Finished, Status: a.Status}
	if len(a.Body) <= orDefault(r.MaxBody, DefaultMaxBody) {
		o.Kept = true
		o.Body = slices.Clone(a.Body)
		for _, name := range recordedHeaders {
			if v := a.Header.Get(name); v != "" {
				o.Header = append(o.Header, record.Field{Name: name, Value: v})
			}
		}
	}
	r.settle(req, o)
}

// Lost records that a request was dispatched and its answer was lost.
func (r *Runs) Lost(req *ward.Request) { r.settle(req, record.Outcome{State: record.Unknown}) }

// NotRun removes the record of a request that was not dispatched, so that its key can
// be used again.
func (r *Runs) NotRun(req *ward.Request) { r.settle(req, record.Outcome{State: record.NotRun}) }

// settle passes an outcome to the shard of the request's key.
func (r *Runs) settle(req *ward.Request, o record.Outcome) {
	if !req.NonIdempotent {
		return
	}
	r.init()
	o.Claim = r.claimOf(req)
	r.worker(req).settle(o)
}

// Run makes the shards' calls to the store until ctx ends. Begin works only while it
// runs. It reads the index of archived records at the start, so that the first claim
// doesn't have to wait for it.
func (r *Runs) Run(ctx context.Context) {
	r.init()
	var wg conc.WaitGroup
	wg.Go(func() { r.loadLayout(ctx) })
	for _, w := range r.shards {
		wg.Go(func() { w.run(ctx) })
		wg.Go(func() { w.preload(ctx) })
	}
	wg.Wait()
}

// Flush writes the remaining outcomes until all are written or ctx ends. It returns
// the number of outcomes that are not written.
func (r *Runs) Flush(ctx context.Context) int {
	r.init()
	for {
		left := 0
		for _, w := range r.shards {
			left += w.flush()
		}
		if left == 0 || r.clock().Sleep(ctx, shard.DefaultBackoff) != nil {
			return left
		}
	}
}

// Stats returns the sum of the shards' statistics.
func (r *Runs) Stats() shard.Stats {
	r.init()
	var sum shard.Stats
	for _, w := range r.shards {
		sum.Add(w.stats())
	}
	return sum
}

func (r *Runs) init() {
	r.once.Do(func() {
		r.layoutLoaded = make(chan struct{})
		name := uuid.NewString()[:archiveNameLength]
		for i := range orDefault(r.Shards, DefaultShards) {
			w := &worker{runs: r, key: "runs/" + strconv.Itoa(i), wake: make(chan struct{}, 1), replies: map[string]chan record.Verdict{}}
			w.shard.Limits = r.Limits
			w.shard.Name = name
			r.shards = append(r.shards, w)
		}
	})
}

// claimOf returns the claim of a request on its key.
func (r *Runs) claimOf(req *ward.Request) record.Claim {
	until := req.Deadline
	if until.IsZero() {
		until = req.Arrived.Add(DefaultTimeout)
	}
	return record.Claim{Key: record.KeyOf(req.Team, req.IdempotencyKey), BodyHash: req.BodyHash, Attempt: req.ID, Until: until.Add(clockSkew)}
}

// worker returns the worker of the shard that holds the request's key.
func (r *Runs) worker(req *ward.Request) *worker {
	k := record.KeyOf(req.Team, req.IdempotencyKey)
	return r.shards[k.Shard(len(r.shards))]
}

func (r *Runs) clock() ward.Clock {
	if r.Clock == nil {
		return ward.SystemClock{}
	}
	return r.Clock
}

func (r *Runs) now() time.Time { return r.clock().Now() }

// orDefault returns v, or otherwise when v is zero.
func orDefault[T comparable](v, otherwise T) T {
	var zero T
	if v == zero {
		return otherwise
	}
	return v
}
