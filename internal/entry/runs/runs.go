// Package runs sees to it that a non-idempotent request runs at most once: it
// keeps idempotency records in the platform's store through a few shards.
//
// # Usage
//
//	runs := &runs.Runs{Store: store}
//	go runs.Run(ctx)
//	d, err := runs.Begin(ctx, r, upstream) // right before the dispatch
//	switch {
//	case err != nil: // refused; its code says whether it ran
//	case d.Answer != nil: // the recorded answer of the first run
//	default: // dispatch once with d.Permit, then tell how it ended:
//		runs.Finish(r, runs.Answer{...}) // or runs.Lost(r), runs.NotRun(r)
//	}
//
// Exactly one of Finish, Lost and NotRun is called for each permit. They don't
// wait for the store. Flush writes what they left before the entry stops.
//
// A request that is refused before Begin asks Lookup first, so that a repeat of a
// key that ran is not told that it did not.
//
// Idempotent requests get a permit at once.
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
	// DefaultCall bounds one call of the store.
	DefaultCall = time.Second
	// DefaultBody bounds the body of a recorded answer in bytes.
	DefaultBody = 4 << 10
	// DefaultAnswer is how long a request without a deadline may be running.
	DefaultAnswer = 10 * time.Minute
	// SettleWait bounds how long Begin waits for the outcome of a key in progress,
	// settlePause is the time between two looks at it.
	SettleWait  = time.Second
	settlePause = 200 * time.Millisecond
	// lookupWait bounds a Lookup.
	lookupWait = 500 * time.Millisecond
	// nameLength is the length of what tells the archives of entries apart.
	nameLength = 8
	// clockSkew is how far the clocks of two entries may be apart.
	clockSkew = 5 * time.Second
)

// kept lists the header fields of an answer that are recorded.
var kept = []string{"Content-Type", "Content-Encoding", "Content-Language", "Location", "Etag"}

// Answer is the answer of a request as it is recorded and given again.
type Answer struct {
	Status int
	Header http.Header
	Body   []byte
}

// Decision is what to do with a request: dispatch it with Permit, or give
// Answer.
type Decision struct {
	Permit *permit.Permit
	Answer *Answer
}

// Runs keeps the records. Its fields are set before Run.
type Runs struct {
	Store ward.Store
	// Clock is the machine's when nil.
	Clock ward.Clock
	Log   logr.Logger
	// Shards is the number of shards: the same at every entry of the fleet, and
	// for as long as records are kept.
	Shards int
	// Limits bounds each shard.
	Limits shard.Limits
	// Call and Body take their defaults when 0.
	Call time.Duration
	Body int

	once   sync.Once
	shards []*worker
	// known is closed when the layout is known, differs is set before.
	known   chan struct{}
	differs bool
}

// Begin decides whether r may be dispatched to u. It fails with a code that says
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
	keep := either(r.Limits.Keep, shard.DefaultKeep)
	if made, ok := madeAt(req.IdempotencyKey); ok && now.Sub(made) > keep-clockSkew {
		return Decision{}, code.KeyTooOld.New("the key was made %v ago, records are kept for %v", now.Sub(made).Round(time.Second), keep)
	}
	v, err := r.settled(ctx, req)
	if code.RecordsDown.Is(err) {
		v = record.Verdict{Code: code.RecordsDown}
	} else if err != nil {
		return Decision{}, err
	}
	return r.decide(req, u, v)
}

// Finish records the answer of a request that was answered whole.
func (r *Runs) Finish(req *ward.Request, a Answer) {
	o := record.Outcome{State: record.Finished, Status: a.Status}
	if len(a.Body) <= either(r.Body, DefaultBody) {
		o.Kept = true
		o.Body = slices.Clone(a.Body)
		for _, name := range kept {
			if v := a.Header.Get(name); v != "" {
				o.Header = append(o.Header, record.Field{Name: name, Value: v})
			}
		}
	}
	r.settle(req, o)
}

// Lost records that a request was dispatched and its answer lost.
func (r *Runs) Lost(req *ward.Request) { r.settle(req, record.Outcome{State: record.Unknown}) }

// NotRun removes the record of a request that was not dispatched after all, so
// that its key may run.
func (r *Runs) NotRun(req *ward.Request) { r.settle(req, record.Outcome{State: record.NotRun}) }

func (r *Runs) settle(req *ward.Request, o record.Outcome) {
	if !req.NonIdempotent {
		return
	}
	r.init()
	o.Claim = r.claimOf(req)
	r.worker(req).settle(o)
}

// Run carries out the shards' calls until ctx ends. Begin works only while it
// runs. It first reads what older records there are, so that the first claim
// need not.
func (r *Runs) Run(ctx context.Context) {
	r.init()
	var wg conc.WaitGroup
	wg.Go(func() { r.learnLayout(ctx) })
	for _, w := range r.shards {
		wg.Go(func() { w.run(ctx) })
		wg.Go(func() { w.warm(ctx) })
	}
	wg.Wait()
}

// Flush writes the outcomes that wait, until none is left or ctx ends. It
// returns the number that is left.
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

// Stats sums up what the shards did.
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
		r.known = make(chan struct{})
		name := uuid.NewString()[:nameLength]
		for i := range either(r.Shards, DefaultShards) {
			w := &worker{runs: r, key: "runs/" + strconv.Itoa(i), wake: make(chan struct{}, 1), replies: map[string]chan record.Verdict{}}
			w.shard.Limits = r.Limits
			w.shard.Name = name
			r.shards = append(r.shards, w)
		}
	})
}

func (r *Runs) claimOf(req *ward.Request) record.Claim {
	until := req.Deadline
	if until.IsZero() {
		until = req.Arrived.Add(DefaultAnswer)
	}
	return record.Claim{Key: record.KeyOf(req.Team, req.IdempotencyKey), BodyHash: req.BodyHash, Attempt: req.ID, Until: until.Add(clockSkew)}
}

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

func either[T comparable](v, otherwise T) T {
	var zero T
	if v == zero {
		return otherwise
	}
	return v
}
