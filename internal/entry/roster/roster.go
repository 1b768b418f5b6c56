// Package roster reads the platform's list of instances for an entry: which
// entries there are to ask, and which upstreams are leaving.
//
// A few entries read the list often and hand on what is leaving; the others read
// it now and then, so that the number of reads hardly grows with the fleet.
// While the list can't be read, the seeds of the settings stand in for it.
//
// # Usage
//
//	r := roster.New(roster.Deps{Roster: client, Seeds: s.Peers.Seeds, Watches: watches})
//	go r.Run(ctx)
//	list, err := r.Instances(ctx) // what was read last; it implements ward.Roster
//	names := r.Leaving()
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
	// fast is the time between two reads of an entry that watches or knows
	// nothing yet, slow that of the others.
	fast = time.Second
	slow = 15 * time.Second
	// look is the time between two looks whether a read is due.
	look = 250 * time.Millisecond
	// readTimeout bounds one read.
	readTimeout = 3 * time.Second
)

// Deps are what a Reader stands on.
type Deps struct {
	Roster ward.Roster
	// Seeds are addresses of entries.
	Seeds []string
	// Watches tells whether this entry is one of the Watchers.
	Watches func() bool
	Clock   ward.Clock
	Log     logr.Logger
}

// Reader reads the list.
type Reader struct {
	Deps

	mu      sync.Mutex
	list    []ward.Instance
	leaving []string
	read    bool
	err     error
}

// New returns a reader that has read nothing.
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
		_ = r.Clock.Sleep(ctx, look)
	}
	return nil
}

func (r *Reader) interval() time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	if !r.read || r.Watches() {
		return fast
	}
	return slow
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
	r.leaving = nil
	for _, i := range list {
		if i.Role == ward.RoleUpstream && i.State == ward.InstanceLeaving {
			r.leaving = append(r.leaving, i.Name)
		}
	}
	slices.Sort(r.leaving)
}

// Instances returns the list read last, or the seeds while there was none.
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

// Leaving returns the upstreams that the list calls leaving, by name.
func (r *Reader) Leaving() []string {
	r.mu.Lock()
	defer r.mu.Unlock()
	return slices.Clone(r.leaving)
}
