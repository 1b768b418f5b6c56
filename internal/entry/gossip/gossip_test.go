package gossip_test

import (
	"context"
	"encoding/json"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"agateward/internal/entry/gossip"
	"agateward/internal/entry/revision"
	"agateward/internal/platform/memory"
	"agateward/ward"
)

// network is a ward.Peer that calls the receiver directly.
type network struct {
	mu sync.Mutex
	at map[string]*gossip.Gossip
}

func (n *network) Exchange(ctx context.Context, address string, m ward.Exchange) (ward.Exchange, error) {
	n.mu.Lock()
	g := n.at[address]
	n.mu.Unlock()
	time.Sleep(time.Millisecond)
	if g == nil {
		return ward.Exchange{}, ward.ErrNotConnected
	}
	return g.Receive(m)
}

// entry is a Gossip and a Holder, connected as in package program.
type entry struct {
	gossip        *gossip.Gossip
	holder        *revision.Holder
	mu            sync.Mutex
	quarantinedAt time.Time
}

func start(ctx context.Context, i int, net *network, p *memory.Platform) *entry {
	e := &entry{}
	address := fmt.Sprintf("10.0.0.%d:7102", i+1)
	self := ward.PeerState{Name: fmt.Sprintf("e%d", i), Address: address, Incarnation: ward.Incarnation(time.Now().UnixNano()), Floor: ward.TierBottom}
	e.gossip = gossip.New(gossip.Deps{Peer: net, Roster: p, Fleet: "test", Self: self, Seed: uint64(i),
		OnConfig: func(c *ward.Config) { e.holder.Adopt(c) },
		OnQuarantines: func([]ward.Quarantine) {
			e.mu.Lock()
			defer e.mu.Unlock()
			e.quarantinedAt = time.Now()
		}})
	e.holder = revision.New(revision.Deps{Store: p, Fleet: "test", Seed: uint64(i),
		Watches:  func() bool { return e.gossip.Chosen(revision.Key, revision.Watchers) },
		OnChange: e.gossip.SetConfig})
	net.mu.Lock()
	net.at[address] = e.gossip
	net.mu.Unlock()
	p.PutInstances(ward.Instance{Name: self.Name, Role: ward.RoleEntry, Address: address, State: ward.InstanceLive})
	go e.gossip.Run(ctx)
	go e.holder.Run(ctx)
	return e
}

func accept(t *testing.T, p *memory.Platform, revision uint64) {
	t.Helper()
	old, err := p.Get(t.Context(), "config")
	if err != nil {
		t.Fatal(err)
	}
	value, _ := json.Marshal(ward.Config{Fleet: "test", Revision: revision})
	if _, err := p.CompareAndSwap(t.Context(), "config", old.Revision, value); err != nil {
		t.Fatal(err)
	}
}

// TestFleet checks that a configuration and a quarantine reach all entries: with the
// store up, with a store that fails right after an acceptance, and at an entry that
// starts during the outage.
func TestFleet(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, stop := context.WithCancel(t.Context())
		defer stop()
		var p memory.Platform
		net := &network{at: map[string]*gossip.Gossip{}}
		var entries []*entry
		for i := range 8 {
			entries = append(entries, start(ctx, i, net, &p))
		}
		inForce := func(revision uint64) {
			t.Helper()
			for i, e := range entries {
				if c := e.holder.Current(); c == nil || c.Revision != revision {
					t.Errorf("entry %d has %v, want revision %d", i, c, revision)
				}
			}
		}
		time.Sleep(10 * time.Second)
		accept(t, &p, 1)
		time.Sleep(5 * time.Second)
		inForce(1)
		// One entry accepts a ticket, and the store goes down before any watch ends.
		p.SetFaults(memory.Faults{WatchLag: ward.Duration(time.Hour)})
		accept(t, &p, 2)
		p.SetFaults(memory.Faults{Down: true})
		entries[2].holder.Adopt(&ward.Config{Fleet: "test", Revision: 2})
		entries = append(entries, start(ctx, 8, net, &p))
		time.Sleep(5 * time.Second)
		inForce(2)
		if entries[0].holder.Adopt(&ward.Config{Fleet: "test", Revision: 1}) {
			t.Error("a lower revision was adopted")
		}
		added := time.Now()
		entries[0].gossip.AddQuarantines(ward.Quarantine{Serves: "s", Version: "2", By: "e0"})
		time.Sleep(3 * time.Second)
		for i, e := range entries {
			if e.quarantinedAt.Before(added) {
				t.Errorf("entry %d has no quarantine after 3 s", i)
			}
		}
		stop()
		time.Sleep(2 * time.Second)
	})
}

// TestStoreCalls counts the calls to the store in an hour without changes.
func TestStoreCalls(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, stop := context.WithCancel(t.Context())
		defer stop()
		var p memory.Platform
		accept(t, &p, 1)
		net := &network{at: map[string]*gossip.Gossip{}}
		for i := range 8 {
			start(ctx, i, net, &p)
		}
		time.Sleep(time.Minute)
		before := p.Calls()[0].Sent
		time.Sleep(time.Hour)
		// Three entries watch for 20 s each, five read once in 5 minutes; the bounds
		// allow for jitter.
		if n := p.Calls()[0].Sent - before; n < 3*180/2 || n > 2*(3*180+5*12) {
			t.Errorf("%d reads of the store in an hour", n)
		}
		stop()
		time.Sleep(2 * time.Second)
	})
}
