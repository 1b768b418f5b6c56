// Package memory provides an in-memory platform: a ward.Store and ward.Roster
// with injectable faults, for tests, the demo and the stand-in.
//
// # Usage
//
//	p := &memory.Platform{Clock: clock, Seed: 1}
//	rec, err := p.CompareAndSwap(ctx, "config", 0, value)
//	p.SetFaults(memory.Faults{LostAnswer: 0.1, WatchLag: ward.Duration(3 * time.Second)})
//
// The zero value is an empty platform with the system clock. All waiting goes
// through Clock, so that the same code runs on virtual time. Calls are counted by
// family and kind, also those that fail because of a fault: a platform counts
// every call that reaches it.
//
// Nothing is kept when the process ends.
package memory

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"time"

	"agateward/internal/platform/family"
	"agateward/ward"
)

// MaxValueBytes is the largest value that the store holds.
const MaxValueBytes = 1 << 20

// Faults are the injected faults. The zero value has none.
type Faults struct {
	// Down fails every call of the store before it takes effect.
	Down bool `json:"down,omitempty"`
	// Hang blocks every call until its context ends. The call has no effect.
	Hang bool `json:"hang,omitempty"`
	// Slow is the duration of a call; a write takes effect halfway.
	Slow ward.Duration `json:"slow,omitempty"`
	// LostAnswer is the probability that a write takes effect and its answer is
	// lost, LostRequest that a write is lost before it takes effect. Both give
	// the caller the same error.
	LostAnswer  float64 `json:"lost-answer,omitempty"`
	LostRequest float64 `json:"lost-request,omitempty"`
	// LapseLeases treats every lease as expired.
	LapseLeases bool `json:"lapse-leases,omitempty"`
	// WatchLag delays the result of a watch, which may then be out of date.
	WatchLag ward.Duration `json:"watch-lag,omitempty"`
	// ListDown fails the list of instances, ListLag returns the list of that
	// long ago.
	ListDown bool          `json:"list-down,omitempty"`
	ListLag  ward.Duration `json:"list-lag,omitempty"`
}

// Platform is the store and the list of instances. It is safe for concurrent
// use.
type Platform struct {
	// Clock is ward.SystemClock when nil.
	Clock ward.Clock
	// Seed seeds the random numbers of the faults.
	Seed uint64

	mu       sync.Mutex
	faults   Faults
	random   *rand.Rand
	era      uint64
	revision uint64
	records  map[string]ward.Record
	changed  map[string]chan struct{}
	leases   map[string]ward.Lease
	lists    []listVersion
	counts   map[family.Count]uint64
}

// SetFaults replaces the injected faults.
func (p *Platform) SetFaults(f Faults) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.faults = f
}

// Faults returns the injected faults.
func (p *Platform) Faults() Faults {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.faults
}

// Calls returns the numbers of calls that reached the store, by family and kind.
func (p *Platform) Calls() []family.Count {
	p.mu.Lock()
	defer p.mu.Unlock()
	var calls []family.Count
	for _, f := range family.All() {
		for _, k := range []family.Kind{family.Read, family.Write} {
			n := p.counts[family.Count{Family: f, Kind: k}]
			calls = append(calls, family.Count{Family: f, Kind: k, Sent: n})
		}
	}
	return calls
}

func (p *Platform) clock() ward.Clock {
	if p.Clock == nil {
		return ward.SystemClock{}
	}
	return p.Clock
}

// begin counts a call and applies the faults that occur before its effect.
func (p *Platform) begin(ctx context.Context, f family.Family, k family.Kind) (Faults, error) {
	p.mu.Lock()
	if p.counts == nil {
		p.counts = map[family.Count]uint64{}
	}
	p.counts[family.Count{Family: f, Kind: k}]++
	faults := p.faults
	lost := k == family.Write && p.chance(faults.LostRequest)
	p.mu.Unlock()
	switch {
	case faults.Down:
		return faults, fmt.Errorf("platform stand-in is down: %w", ward.ErrUnavailable)
	case faults.Hang:
		<-ctx.Done()
		return faults, noAnswerError(k, ctx.Err())
	case lost:
		return faults, noAnswerError(k, nil)
	}
	if err := p.sleep(ctx, faults.Slow.Std()/2); err != nil {
		return faults, noAnswerError(k, err)
	}
	return faults, nil
}

// end applies the faults that occur after the effect of a call.
func (p *Platform) end(ctx context.Context, faults Faults, k family.Kind) error {
	if err := p.sleep(ctx, faults.Slow.Std()/2); err != nil {
		return noAnswerError(k, err)
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if k == family.Write && p.chance(faults.LostAnswer) {
		return noAnswerError(k, nil)
	}
	return nil
}

// noAnswerError returns the error of a call without an answer. Reads have no
// effect, so that their outcome is never unknown.
func noAnswerError(k family.Kind, cause error) error {
	kind := ward.ErrOutcomeUnknown
	if k == family.Read {
		kind = ward.ErrUnavailable
	}
	if cause == nil {
		return fmt.Errorf("answer lost: %w", kind)
	}
	return fmt.Errorf("answer not awaited: %w: %w", kind, cause)
}

// sleep waits for d. It fails when the context has ended, also when d is 0.
func (p *Platform) sleep(ctx context.Context, d time.Duration) error {
	if d <= 0 {
		return ctx.Err()
	}
	return p.clock().Sleep(ctx, d)
}

// chance returns true with the given probability. It draws no random number for
// a probability of 0, so that setting one fault doesn't change the draws of
// another. The caller holds mu.
func (p *Platform) chance(probability float64) bool {
	if probability <= 0 {
		return false
	}
	if p.random == nil {
		p.random = rand.New(rand.NewPCG(p.Seed, 0))
	}
	return p.random.Float64() < probability
}
