// Package revision provides the holder of the configuration in force at an
// entry, and the runner that keeps it up to date from the store.
//
// # Usage
//
//	h := revision.New(revision.Deps{Store: store, Fleet: "brassie", Watches: watches,
//		OnChange: func(c *ward.Config) { gossip.SetConfig(c) }})
//	go h.Run(ctx)
//	if h.Current() == nil { ... } // not ready: this entry never had one
//	changed := h.Changed()
//	<-changed                     // closed by the next change
//
// Only a higher revision is ever adopted, whether it comes from the store, a
// peer or a submitted ticket, so that nothing reverts whatever comes late.
//
// # Calls to the store
//
// A waiting watch is a call, so that a watch of every entry would cost the store
// more the larger the fleet grows. Watches tells whether this entry is one of
// the few that watch; they hand a new revision to the others, and so does the
// entry that accepted the ticket. All others read the key once in RereadEvery,
// which mends what peers cannot. An entry without any configuration reads it
// until it has one.
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

// Key is the store's key of the folded configuration.
const Key = "config"

// Watchers is the number of entries that watch the key.
const Watchers = 3

// Times of the runner.
const (
	// watchWait is how long one watch waits.
	watchWait = 20 * time.Second
	// RereadEvery is how often an entry that does not watch reads the key.
	RereadEvery = 5 * time.Minute
	// checkEvery is how often it looks whether it is to watch.
	checkEvery = 2 * time.Second
	// emptyEvery is how often an entry without a configuration reads the key.
	emptyEvery = time.Second
	// The pause after a failed call doubles from backoffLeast to backoffMost.
	backoffLeast = 500 * time.Millisecond
	backoffMost  = 10 * time.Second
	// readTimeout bounds a read.
	readTimeout = 3 * time.Second
)

// Deps are what a Holder is made with.
type Deps struct {
	// Clock is ward.SystemClock when nil.
	Clock ward.Clock
	Log   logr.Logger
	Store ward.Store
	// Fleet is refused to be another one when it is set.
	Fleet string
	// Seed seeds the jitter of waits.
	Seed uint64
	// Watches tells whether this entry is to watch the key; nil means it is.
	Watches func() bool
	// Check refuses a configuration that this entry cannot use; nil takes all.
	Check func(c *ward.Config) error
	// OnChange gets each configuration that is adopted, in order of revision. It
	// must not call Adopt.
	OnChange func(c *ward.Config)
}

// Holder holds the configuration in force. Make one with New.
type Holder struct {
	deps Deps
	// random and stored, the store's revision of the key that was read last, are
	// used by the goroutine of Run alone.
	random *rand.Rand
	stored uint64

	// adopting keeps OnChange in order.
	adopting sync.Mutex
	mu       sync.Mutex
	current  *ward.Config
	changed  chan struct{}
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

// Current returns the configuration in force, or nil when there never was one.
// It is not to be changed.
func (h *Holder) Current() *ward.Config {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.current
}

// Changed returns a channel that the next change closes.
func (h *Holder) Changed() <-chan struct{} {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.changed
}

// Adopt puts a configuration in force if its revision is higher than the one in
// force, and tells whether it did. Only what the store has accepted may be
// handed to it.
func (h *Holder) Adopt(c *ward.Config) bool {
	if c == nil || h.deps.Fleet != "" && c.Fleet != h.deps.Fleet {
		return false
	}
	h.adopting.Lock()
	defer h.adopting.Unlock()
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
	pause := backoffLeast
	for ctx.Err() == nil {
		err := h.read(ctx)
		if err == nil {
			pause = backoffLeast
			h.rest(ctx)
			continue
		}
		if ctx.Err() != nil {
			return
		}
		h.deps.Log.V(1).Info("configuration-read-failed", "error", err.Error())
		_ = h.deps.Clock.Sleep(ctx, h.jitter(pause))
		pause = min(2*pause, backoffMost)
	}
}

// read reads the key, or waits for a change of it when this entry watches.
func (h *Holder) read(ctx context.Context) error {
	var rec ward.Record
	var err error
	if h.watching() {
		rec, err = h.deps.Store.Watch(ctx, Key, h.stored, watchWait)
	} else {
		limited, cancel := context.WithTimeout(ctx, readTimeout)
		defer cancel()
		rec, err = h.deps.Store.Get(limited, Key)
	}
	if err != nil {
		return fmt.Errorf("read the configuration: %w", err)
	}
	h.stored = rec.Revision
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

// rest waits for the time of the next read.
func (h *Holder) rest(ctx context.Context) {
	if h.Current() == nil {
		_ = h.deps.Clock.Sleep(ctx, h.jitter(emptyEvery))
		return
	}
	until := h.deps.Clock.Now().Add(h.jitter(RereadEvery))
	for ctx.Err() == nil && !h.watching() && h.deps.Clock.Now().Before(until) {
		_ = h.deps.Clock.Sleep(ctx, h.jitter(checkEvery))
	}
}

// watching tells whether this entry watches the key, which it has read before.
func (h *Holder) watching() bool { return h.stored > 0 && h.deps.Watches() }

// jitter spreads the waits of many entries that began at the same time.
func (h *Holder) jitter(d time.Duration) time.Duration {
	return d/2 + time.Duration(h.random.Int64N(int64(d)))
}
