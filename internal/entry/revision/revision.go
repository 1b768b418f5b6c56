// Package revision holds the configuration in force at an entry and keeps it up to
// date from the store.
//
// # Usage
//
//	h := revision.New(revision.Deps{Store: store, Fleet: "brassie", Watches: watches,
//		OnChange: func(c *ward.Config) { gossip.SetConfig(c) }})
//	go h.Run(ctx)
//	if h.Current() == nil { ... } // not ready: no configuration so far
//	changed := h.Changed()
//	<-changed                     // closed by the next change
//
// Only a higher revision is adopted, whether it comes from the store, a peer or a
// submitted ticket, so that a delayed message can't revert the configuration.
//
// # Calls to the store
//
// A waiting watch counts as a call. If every entry watched the key, the cost for the
// store would grow with the fleet. Watches reports whether this entry is one of the few
// that watch. These send a new revision to the other entries, as does the entry that
// accepted the ticket. All others read the key once every RereadInterval, in case no
// peer has sent them the revision. An entry without a configuration reads the key
// every second until it has one.
package revision

import (
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"sync"
	"time"

	"agateward/ward"

	"github.com/go-logr/logr"
)

// Key is the store key of the configuration that results from all accepted tickets.
const Key = "config"

// Watchers is the number of entries that watch the key.
const Watchers = 3

// Intervals and timeouts of a Holder.
const (
	// watchWait is the maximum duration of one watch.
	watchWait = 20 * time.Second
	// RereadInterval is the time between two reads of an entry that doesn't watch.
	RereadInterval = 5 * time.Minute
	// checkInterval is the time between two checks whether the entry is to watch.
	checkInterval = 2 * time.Second
	// emptyInterval is the time between two reads of an entry without a configuration.
	emptyInterval = time.Second
	// The pause after a failed call doubles from minBackoff to maxBackoff.
	minBackoff = 500 * time.Millisecond
	maxBackoff = 10 * time.Second
	// readTimeout bounds a read.
	readTimeout = 3 * time.Second
)

// Deps are the dependencies of a Holder.
type Deps struct {
	// Clock is ward.SystemClock when nil.
	Clock ward.Clock
	Log   logr.Logger
	Store ward.Store
	// Fleet, if set, is the only fleet whose configurations are adopted.
	Fleet string
	// Seed seeds the jitter of waits.
	Seed uint64
	// Watches reports whether this entry is to watch the key; nil means that it is.
	Watches func() bool
	// Check returns an error for a configuration that this entry can't use; nil means
	// that all are accepted.
	Check func(c *ward.Config) error
	// OnChange is called with each adopted configuration, in order of revision. It
	// must not call Adopt.
	OnChange func(c *ward.Config)
}

// Holder holds the configuration in force. Create one with New.
type Holder struct {
	deps Deps
	// random and stored, the store's revision of the key that was read last, are
	// used by the goroutine of Run alone.
	random         *rand.Rand
	storedRevision uint64

	// adoptMu keeps OnChange in order.
	adoptMu sync.Mutex
	mu      sync.Mutex
	current *ward.Config
	changed chan struct{}
}

// New returns a holder without a configuration.
func New(d Deps) *Holder {
	if d.Clock == nil {
		d.Clock = ward.SystemClock{}
	}
	if d.Watches == nil {
		d.Watches = func() bool { return true }
	}
	return &Holder{deps: d, random: rand.New(rand.NewPCG(d.Seed, 1)), changed: make(chan struct{})}
}

// Current returns the configuration in force, or nil when there is none yet. It must
// not be modified.
func (h *Holder) Current() *ward.Config {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.current
}

// Changed returns a channel that is closed by the next change.
func (h *Holder) Changed() <-chan struct{} {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.changed
}

// Adopt puts a configuration in force if its revision is higher than the one in
// force, and reports whether it did. It may be called only with configurations that
// the store has accepted.
func (h *Holder) Adopt(c *ward.Config) bool {
	if c == nil || h.deps.Fleet != "" && c.Fleet != h.deps.Fleet {
		return false
	}
	h.adoptMu.Lock()
	defer h.adoptMu.Unlock()
	if old := h.Current(); old != nil && c.Revision <= old.Revision {
		return false
	}
	if h.deps.Check != nil {
		if err := h.deps.Check(c); err != nil {
			h.deps.Log.Error(err, "configuration-refused", "revision", c.Revision)
			return false
		}
	}
	h.mu.Lock()
	h.current = c
	close(h.changed)
	h.changed = make(chan struct{})
	h.mu.Unlock()
	h.deps.Log.Info("configuration-adopted", "revision", c.Revision, "ticket", c.Ticket)
	if h.deps.OnChange != nil {
		h.deps.OnChange(c)
	}
	return true
}

// Run keeps the configuration up to date from the store until ctx ends.
func (h *Holder) Run(ctx context.Context) {
	backoff := minBackoff
	for ctx.Err() == nil {
		err := h.read(ctx)
		if err == nil {
			backoff = minBackoff
			h.waitForNextRead(ctx)
			continue
		}
		if ctx.Err() != nil {
			return
		}
		h.deps.Log.V(1).Info("configuration-read-failed", "error", err.Error())
		_ = h.deps.Clock.Sleep(ctx, h.jitter(backoff))
		backoff = min(2*backoff, maxBackoff)
	}
}

// read reads the key, or waits for a change of it when this entry watches.
func (h *Holder) read(ctx context.Context) error {
	var rec ward.Record
	var err error
	if h.watching() {
		rec, err = h.deps.Store.Watch(ctx, Key, h.storedRevision, watchWait)
	} else {
		limited, cancel := context.WithTimeout(ctx, readTimeout)
		defer cancel()
		rec, err = h.deps.Store.Get(limited, Key)
	}
	if err != nil {
		return fmt.Errorf("read the configuration: %w", err)
	}
	h.storedRevision = rec.Revision
	if len(rec.Value) == 0 {
		return nil
	}
	var c ward.Config
	if err := json.Unmarshal(rec.Value, &c); err != nil {
		return fmt.Errorf("parse the configuration: %w", err)
	}
	h.Adopt(&c)
	return nil
}

// waitForNextRead waits until the next read is due.
func (h *Holder) waitForNextRead(ctx context.Context) {
	if h.Current() == nil {
		_ = h.deps.Clock.Sleep(ctx, h.jitter(emptyInterval))
		return
	}
	until := h.deps.Clock.Now().Add(h.jitter(RereadInterval))
	for ctx.Err() == nil && !h.watching() && h.deps.Clock.Now().Before(until) {
		_ = h.deps.Clock.Sleep(ctx, h.jitter(checkInterval))
	}
}

// watching reports whether this entry watches the key. It must have read it before.
func (h *Holder) watching() bool { return h.storedRevision > 0 && h.deps.Watches() }

// jitter returns a random duration between half and one and a half of d, so that
// entries that start together don't call the store at the same time.
func (h *Holder) jitter(d time.Duration) time.Duration {
	return d/2 + time.Duration(h.random.Int64N(int64(d)))
}
