// Package view holds an entry's copy of the configuration and of the registered
// upstreams. It follows the platform's store, and takes newer documents from
// peers, also while the store is unreachable.
//
// # Usage
//
//	v := &view.View{Source: source, Log: l, Changed: func() { ... }}
//	go v.Run(ctx)
//	table := v.Table()       // nil until a configuration is known
//	list := v.Upstreams()
//	v.Merge(peer, state)     // the documents of a peer
//
// A configuration is replaced only by one of a higher version.
package view

import (
	"context"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"agateward/internal/forward/document"
	"agateward/internal/forward/evacuation"
	"agateward/internal/forward/orderlog"
	"agateward/internal/forward/outage"
	"agateward/internal/forward/replicas"
	"agateward/internal/forward/route"
	"agateward/internal/telemetry/ignored"
	"agateward/ward"

	"github.com/go-logr/logr"
)

// Timing of the calls to the store.
const (
	// watchWait is the time that a watch waits at the store. It is short, so that an
	// unresponsive connection is noticed well before a change has to be in force.
	watchWait = 1200 * time.Millisecond
	// coalesceDelay is the pause after a change, so that changes in quick
	// succession come with one call.
	coalesceDelay = 100 * time.Millisecond
	// cellCoalesceDelay replaces it for the upstreams of a fleet that is divided into
	// cells, where registrations change several times a second. An upstream that leaves
	// has to be excluded within some seconds.
	cellCoalesceDelay = 400 * time.Millisecond
	// minRetryDelay and maxRetryDelay bound the pause after a failed call.
	minRetryDelay = 100 * time.Millisecond
	maxRetryDelay = 500 * time.Millisecond
	// maxStartJitter bounds the random delay of the first calls, which spreads the
	// load of entries that start together.
	maxStartJitter = 10 * time.Millisecond
	// readerCheckInterval is the interval at which an entry that does not follow
	// the store checks whether it has to.
	readerCheckInterval = 100 * time.Millisecond
	// readyPollInterval is the interval at which waiting requests check whether the
	// entry is ready. They wait only until the process has its first documents.
	readyPollInterval = 4 * time.Millisecond
)

// State holds the documents of an entry as peers exchange them.
type State struct {
	Forwarding ward.Forwarding
	Replicas   []replicas.Entry
	// Revision is the newest store revision among the changes of Replicas.
	Revision uint64
	// Rollouts are the orders in force, Writes all known writes of orders.
	Rollouts, Writes []ward.Rollout
	// Evacuations holds the newest change of each data centre.
	Evacuations []ward.Evacuation
}

// View is one entry's copy of the documents. Source must be set.
type View struct {
	Source ward.ForwardSource
	Log    logr.Logger
	// FollowsStore reports whether this entry follows the store itself; otherwise
	// it gets changes from peers. Nil means always.
	FollowsStore func() bool
	// Cells reports whether the fleet is divided into cells. Nil means that it is not.
	Cells func() bool
	// Changed is called after the configuration or the upstreams changed.
	Changed func()
	// EraChanged is called when the store has returned from an older copy, unless it
	// is nil.
	EraChanged func()
	// Ignored records values of the store that cannot be used. Nil only logs them.
	Ignored *ignored.Input

	table atomic.Pointer[route.Table]

	mu     sync.Mutex
	set    replicas.Set
	listed bool
	// recovered is when the store answered again after an outage.
	recovered time.Time
	// answered is when the store last answered, steadySince since when it has answered
	// without a pause of outage.MinLapse or an outage.
	answered, steadySince time.Time
	// revision is the newest revision of the store that this entry or a peer has seen.
	revision     uint64
	loggedFaults map[string]uint64
	// loggedNotes holds the notes on registrations that were logged, by upstream.
	loggedNotes map[string]string
	// outages follows the calls of each feed.
	outages map[string]*outage.Tracker
	// rollouts are the writes of orders by service.
	rollouts    map[string]*orderlog.Log
	evacuations evacuation.Set

	packMu sync.Mutex
	// packed is the configuration of packedVersion as it is sent to peers.
	packed        document.Packed
	packedVersion uint64
}

// Table returns the configuration in force, or nil.
func (v *View) Table() *route.Table { return v.table.Load() }

// Ready reports whether the entry has the documents that it needs to serve
// requests.
func (v *View) Ready() bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.Table() != nil && (v.listed || v.set.Len() > 0)
}

// Await waits until the entry is ready, ctx ends or d has passed, and reports
// whether it is ready.
func (v *View) Await(ctx context.Context, d time.Duration) bool {
	end := time.Now().Add(d)
	for !v.Ready() {
		if ctx.Err() != nil || !time.Now().Before(end) {
			return false
		}
		sleep(ctx, readyPollInterval)
	}
	return true
}

// LastAnswer returns when the store last answered this entry.
func (v *View) LastAnswer() time.Time {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.answered
}

// Upstreams returns the registered upstreams. Those of evacuated data centres drain.
func (v *View) Upstreams() []ward.Replica {
	v.mu.Lock()
	defer v.mu.Unlock()
	all := v.set.All(time.Now())
	list := make([]ward.Replica, len(all))
	for i, e := range all {
		list[i] = e.Replica
		if v.evacuations.Active(e.DataCentre) {
			list[i].Draining, list[i].Evacuated = true, true
		}
	}
	return list
}

// Versions returns the versions of the documents.
func (v *View) Versions() ward.DocumentVersions {
	var d ward.DocumentVersions
	if t := v.Table(); t != nil {
		d.Config = t.Config.Version
	}
	v.mu.Lock()
	defer v.mu.Unlock()
	d.Replicas = v.set.Revision
	for _, l := range v.rollouts {
		d.Rollouts = max(d.Rollouts, l.Newest())
		d.Orders += l.Digest()
	}
	d.Evacuations = v.evacuations.Newest()
	return d
}

// Era returns the era of the store, as far as this entry or a peer has seen it.
func (v *View) Era() uint64 {
	v.mu.Lock()
	defer v.mu.Unlock()
	era, _ := ward.SplitRevision(v.revision)
	return era
}

// State returns the documents for peers.
func (v *View) State() State {
	v.mu.Lock()
	defer v.mu.Unlock()
	now := time.Now()
	s := State{Replicas: v.set.All(now), Revision: v.set.Revision, Rollouts: v.currentOrders(now), Writes: v.orderWrites(now), Evacuations: v.evacuations.All()}
	if t := v.Table(); t != nil {
		s.Forwarding = t.Config
	}
	return s
}

// Newer returns the configuration, and the upstreams with the roll-outs, packed
// for a peer. Each is empty unless it is newer than the version that the peer has.
func (v *View) Newer(has ward.DocumentVersions) (c, u document.Packed, err error) {
	s, own := v.State(), v.Versions()
	if own.Replicas > has.Replicas || own.Rollouts > has.Rollouts || own.OrdersDiffer(has) || own.Evacuations > has.Evacuations {
		if u, err = document.Pack(State{Replicas: s.Replicas, Revision: s.Revision, Rollouts: s.Rollouts, Writes: s.Writes, Evacuations: s.Evacuations}); err != nil {
			return nil, nil, err
		}
	}
	if s.Forwarding.Version <= has.Config {
		return nil, u, nil
	}
	v.packMu.Lock()
	defer v.packMu.Unlock()
	if v.packedVersion != s.Forwarding.Version {
		if v.packed, err = document.Pack(s.Forwarding); err != nil {
			return nil, nil, err
		}
		v.packedVersion = s.Forwarding.Version
	}
	return v.packed, u, nil
}

// Merge takes over the documents of a peer that are newer.
func (v *View) Merge(from string, s State) {
	if s.Forwarding.Version > 0 {
		v.adopt(s.Forwarding, "peer "+from)
	}
	v.adoptRollouts(slices.Concat(s.Writes, s.Rollouts), "peer "+from)
	v.adoptEvacuations(s.Evacuations, "peer "+from)
	v.mu.Lock()
	changed := v.set.Merge(s.Replicas, s.Revision, time.Now())
	v.mu.Unlock()
	v.noteRevision(s.Revision, "peer "+from)
	v.mu.Lock()
	revision, n := v.set.Revision, v.set.Len()
	v.mu.Unlock()
	if changed {
		v.Log.Info("upstreams-changed", "source", "peer "+from, "revision", ward.RevisionText(revision), "count", n)
		v.Changed()
	}
}

// adopt puts a configuration in force if it is newer.
func (v *View) adopt(f ward.Forwarding, source string) {
	for {
		old := v.table.Load()
		if old != nil && old.Config.Version >= f.Version {
			return
		}
		if v.table.CompareAndSwap(old, route.New(f)) {
			break
		}
	}
	v.Log.Info("configuration-in-force", "version", f.Version, "source", source, "routes", len(f.Routes), "teams", len(f.Teams))
	v.Changed()
}

// Sweep removes the upstreams whose registrations lapsed, and the evacuations that a
// restored store lacks, and that did not return in time. It is called several times a
// second.
func (v *View) Sweep(now time.Time) {
	v.mu.Lock()
	lapsed, returned := v.set.Sweep(now)
	ended := v.evacuations.Sweep(now)
	v.mu.Unlock()
	v.evacuationsChanged(ended, "not written again to the restored store")
	if len(lapsed) > 0 || len(returned) > 0 {
		v.Log.Info("upstreams-lapsed", "upstreams", lapsed, "returned", returned)
		v.Changed()
	}
}

func sleep(ctx context.Context, d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
	case <-t.C:
	}
}
