package view

import (
	"context"
	"fmt"
	"sync/atomic"
	"testing"
	"time"

	"agateward/internal/forward/outage"
	"agateward/internal/forward/replicas"
	"agateward/ward"

	"github.com/go-logr/logr"
)

// source is a store with two upstreams, the second of which is removed at
// revision 12. Once compacted, it has no earlier history.
type source struct {
	ward.ForwardSource
	compacted bool
	// era is the era of its lists.
	era uint64
}

func upstream(id string) ward.Replica {
	return ward.Replica{ID: id, Service: "s", Address: "10.0.0.1:80", Slots: 6}
}

func (source) Orders(context.Context) (ward.Orders, uint64, error) {
	return ward.Orders{Forwarding: ward.Forwarding{Version: 1, Routes: []ward.ForwardRoute{{Name: "r"}}}}, 12, nil
}

func (source) WatchOrders(ctx context.Context, revision uint64, wait time.Duration) (ward.Orders, uint64, error) {
	sleep(ctx, wait)
	return ward.Orders{}, revision, nil
}

func (s source) Replicas(context.Context) ([]ward.Registration, uint64, error) {
	return []ward.Registration{{Replica: upstream("i-1"), Revision: ward.StampRevision(s.era, 5)}}, ward.StampRevision(s.era, 12), nil
}

func (s source) WatchReplicas(ctx context.Context, revision uint64, wait time.Duration) ([]ward.Registration, uint64, error) {
	if s.compacted && revision < 12 {
		return nil, 0, ward.ErrHistoryGone
	}
	if revision < 12 {
		return []ward.Registration{{Replica: ward.Replica{ID: "i-2"}, Revision: 12, Removed: true}}, 12, nil
	}
	sleep(ctx, wait)
	return nil, revision, nil
}

// TestRemovalAfterStoreOutage removes a registration some time after the store
// recovered. Registrations that lapsed in the outage return within MissingGrace of
// the recovery, so the upstream must not be kept longer than that.
func TestRemovalAfterStoreOutage(t *testing.T) {
	cases := []struct {
		name string
		// after is the time from the store's recovery to the removal, kept the time
		// for which the upstream stays after that.
		after, kept time.Duration
	}{
		{"at the recovery", 0, replicas.MissingGrace},
		{"soon after", replicas.MissingGrace / 2, replicas.MissingGrace / 2},
		{"later", replicas.MissingGrace + 100*time.Millisecond, 0},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			now := time.Now()
			v := &View{Source: source{}, Log: logr.Discard(), Changed: func() {}, recovered: now.Add(-c.after)}
			v.Merge("peer", State{Revision: 11, Replicas: []replicas.Entry{{Replica: upstream("i-2"), Revision: 6}}})
			if _, err := v.watchReplicas(t.Context(), 11); err != nil {
				t.Fatal(err)
			}
			const slack = 50 * time.Millisecond
			if c.kept > 0 {
				if v.Sweep(now.Add(c.kept - slack)); len(v.Upstreams()) != 1 {
					t.Error("removed too soon")
				}
			}
			if v.Sweep(now.Add(c.kept + slack)); len(v.Upstreams()) != 0 {
				t.Errorf("kept for more than %s", c.kept)
			}
		})
	}
}

// TestRemovalAfterFailedCalls reads a removal after calls of the store have failed. Only one
// that may be a lapse of an outage keeps the upstream for MissingGrace: an upstream that has
// left got requests until it exited, after a connection to a sound store had fallen silent.
func TestRemovalAfterFailedCalls(t *testing.T) {
	lost := fmt.Errorf("%w: %w", ward.ErrOutcomeUnknown, ward.ErrConnectionLost)
	cases := []struct {
		name     string
		feed     string
		failures []error
		kept     bool
		// ago is the time since the store's last answer.
		ago time.Duration
	}{
		{"no call failed", feedUpstreams, nil, false, time.Second},
		{"a connection was lost", feedUpstreams, []error{lost}, false, time.Second},
		{"a connection of the orders was lost", feedOrders, []error{lost}, false, time.Second},
		{"a new connection was lost too", feedUpstreams, []error{lost, lost}, true, 3500 * time.Millisecond},
		{"two were lost, the orders were answered between", feedUpstreams, []error{lost, lost}, false, time.Second},
		{"the store refused a call", feedUpstreams, []error{ward.ErrUnavailable}, true, time.Second},
		{"the store could not be reached", feedUpstreams, []error{ward.ErrOutcomeUnknown}, true, time.Second},
		{"the store refused a call of the orders", feedOrders, []error{ward.ErrUnavailable}, true, time.Second},
		{"a connection was lost while this entry was stopped", feedUpstreams, []error{lost}, true, outage.MinLapse},
		{"a connection of the orders was lost while it was stopped", feedOrders, []error{lost}, true, outage.MinLapse},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			v := &View{Source: source{}, Log: logr.Discard(), Changed: func() {}, answered: time.Now().Add(-c.ago)}
			v.Merge("peer", State{Revision: 11, Replicas: []replicas.Entry{{Replica: upstream("i-2"), Revision: 6}}})
			for _, err := range c.failures {
				v.noteFailure(c.feed, err)
			}
			if c.feed == feedOrders && len(c.failures) > 0 {
				v.noteAnswer(feedOrders, 11, time.Now())
			}
			if _, err := v.watchReplicas(t.Context(), 11); err != nil {
				t.Fatal(err)
			}
			if kept := len(v.Upstreams()) == 1; kept != c.kept {
				t.Errorf("the upstream is kept: %t, want %t", kept, c.kept)
			}
			if v.Sweep(time.Now().Add(replicas.MissingGrace)); len(v.Upstreams()) != 0 {
				t.Errorf("kept for more than %s", replicas.MissingGrace)
			}
		})
	}
}

// TestListWithoutAnUpstream lists the upstreams anew, as the store no longer had the history.
// An upstream that the list lacks has left, unless its registration may have lapsed: it got
// requests for MissingGrace longer.
func TestListWithoutAnUpstream(t *testing.T) {
	cases := []struct {
		name string
		// steady is for how long the store has answered, ago the time since the last answer.
		steady, ago time.Duration
		era         uint64
		failure     error
		kept        bool
	}{
		{"the store answered all the while", replicas.MissingGrace, 100 * time.Millisecond, 0, nil, false},
		{"one connection was lost", time.Minute, 1900 * time.Millisecond, 0, ward.ErrConnectionLost, false},
		{"the store refused a call", time.Minute, 100 * time.Millisecond, 0, ward.ErrUnavailable, true},
		{"the store answers since a moment ago", 100 * time.Millisecond, 50 * time.Millisecond, 0, nil, true},
		{"it has not answered for long", time.Minute, outage.MinLapse, 0, nil, true},
		{"it returned from an older copy", time.Minute, 100 * time.Millisecond, 1, nil, true},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			now := time.Now()
			v := &View{Source: source{era: c.era}, Log: logr.Discard(), Changed: func() {}, answered: now.Add(-c.ago), steadySince: now.Add(-c.steady)}
			v.Merge("peer", State{Revision: 11, Replicas: []replicas.Entry{{Replica: upstream("i-2"), Revision: 6}}})
			if c.failure != nil {
				v.noteFailure(feedUpstreams, c.failure)
			}
			if _, err := v.listReplicas(t.Context(), 0); err != nil {
				t.Fatal(err)
			}
			if kept := len(v.Upstreams()) == 2; kept != c.kept {
				t.Errorf("the upstream is kept: %t, want %t", kept, c.kept)
			}
			if v.Sweep(time.Now().Add(replicas.MissingGrace)); len(v.Upstreams()) != 1 {
				t.Errorf("kept for more than %s", replicas.MissingGrace)
			}
		})
	}
}

// TestResumesFromPeerRevision starts to follow the store at an entry that got the
// upstreams from peers. A watch from their revision reports a later removal, which
// takes effect at once; in a list, a removal looks like a lapse.
func TestResumesFromPeerRevision(t *testing.T) {
	cases := []struct {
		name      string
		compacted bool
		within    time.Duration
	}{
		{"the store has the changes", false, 500 * time.Millisecond},
		{"the store has compacted them", true, replicas.MissingGrace + 500*time.Millisecond},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			var reads atomic.Bool
			v := &View{Source: source{compacted: c.compacted}, Log: logr.Discard(), Changed: func() {}, FollowsStore: reads.Load}
			v.Merge("peer", State{Revision: 11, Replicas: []replicas.Entry{
				{Replica: upstream("i-1"), Revision: 5}, {Replica: upstream("i-2"), Revision: 6},
			}})
			ctx, stop := context.WithCancel(t.Context())
			done := make(chan struct{})
			go func() { defer close(done); v.Run(ctx) }()
			defer func() { stop(); <-done }()
			time.Sleep(2 * readerCheckInterval)
			reads.Store(true)
			end := time.Now().Add(c.within)
			for len(v.Upstreams()) != 1 {
				if time.Now().After(end) {
					t.Fatalf("%d upstreams %s after the entry began to read", len(v.Upstreams()), c.within)
				}
				v.Sweep(time.Now())
				time.Sleep(20 * time.Millisecond)
			}
		})
	}
}
