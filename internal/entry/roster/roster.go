// Package roster reads the platform's list of instances for an entry: which other
// entries there are, and which upstreams are draining.
//
// A few entries read the list often and send the draining upstreams to the others,
// which read it less often, so that the number of reads hardly grows with the fleet.
// Until the list has been read, the seeds of the settings are used instead.
//
// # Usage
//
//	r := roster.New(roster.Deps{Roster: client, Seeds: s.Peers.Seeds, Watches: watches})
//	go r.Run(ctx)
//	list, err := r.Instances(ctx) // what was read last; it implements ward.Roster
//	names := r.Draining()
package roster

import (
	"context"
	"slices"
	"sync"
	"time"

	"agateward/ward"

	"github.com/go-logr/logr"
)

const (
	// Watchers is the number of entries that read the list often.
	Watchers = 3
	// fastInterval is the time between two reads of an entry that watches or has not
	// read the list yet, slowInterval that of the other entries.
	fastInterval = time.Second
	slowInterval = 15 * time.Second
	// checkInterval is the time between two checks whether a read is due.
	checkInterval = 250 * time.Millisecond
	// readTimeout bounds one read.
	readTimeout = 3 * time.Second
)

// Deps are the dependencies of a Reader.
type Deps struct {
	Roster ward.Roster
	// Seeds are the addresses of entries that are used until the list has been read.
	Seeds []string
	// Watches reports whether this entry is one of the Watchers.
	Watches func() bool
	Clock   ward.Clock
	Log     logr.Logger
}

// Reader reads the list of instances. Create one with New.
type Reader struct {
	Deps

	mu       sync.Mutex
	list     []ward.Instance
	draining []string
	read     bool
	err      error
}

// New returns a reader that has not read the list yet.
func New(d Deps) *Reader { return &Reader{Deps: d} }

// Run reads until ctx ends.
func (r *Reader) Run(ctx context.Context) error {
	var last time.Time
	for ctx.Err() == nil {
		now := r.Clock.Now()
		if last.IsZero() || now.Sub(last) >= r.interval() {
			last = now
			r.readOnce(ctx)
		}
		_ = r.Clock.Sleep(ctx, checkInterval)
	}
	return nil
}

func (r *Reader) interval() time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	if !r.read || r.Watches() {
		return fastInterval
	}
	return slowInterval
}

func (r *Reader) readOnce(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, readTimeout)
	defer cancel()
	list, err := r.Roster.Instances(ctx)
	r.mu.Lock()
	defer r.mu.Unlock()
	if err != nil {
		if r.err == nil {
			r.Log.Info("instance-list-down", "text", err.Error())
		}
		r.err = err
		return
	}
	r.err = nil
	r.read = true
	r.list = list
	r.draining = nil
	for _, i := range list {
		if i.Role == ward.RoleUpstream && i.State == ward.InstanceLeaving {
			r.draining = append(r.draining, i.Name)
		}
	}
	slices.Sort(r.draining)
}

// Instances returns the list that was read last, or the seeds before the first read.
// Without seeds, it returns the error of the last read.
func (r *Reader) Instances(context.Context) ([]ward.Instance, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.read {
		return r.list, nil
	}
	if len(r.Seeds) == 0 {
		return nil, r.err
	}
	seeds := make([]ward.Instance, len(r.Seeds))
	for i, a := range r.Seeds {
		seeds[i] = ward.Instance{Name: "seed-" + a, Role: ward.RoleEntry, Address: a, State: ward.InstanceLive}
	}
	return seeds, nil
}

// Draining returns the upstreams that are draining according to the list, by name.
func (r *Reader) Draining() []string {
	r.mu.Lock()
	defer r.mu.Unlock()
	return slices.Clone(r.draining)
}
