package node

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"agateward/internal/config/forwarding"
	"agateward/ward"

	"github.com/go-logr/logr"
)

// announcements is a store that holds only the announcements of entries. Its calls
// fail while it is away.
type announcements struct {
	ward.ForwardSource
	mu   sync.Mutex
	list map[string]ward.ForwardEntry
	away bool
}

func (a *announcements) Announce(_ context.Context, e ward.ForwardEntry) error {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.away {
		return ward.ErrUnavailable
	}
	a.list[e.Name] = e
	return nil
}

func (a *announcements) Entries(context.Context) ([]ward.ForwardEntry, error) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.away {
		return nil, ward.ErrUnavailable
	}
	var list []ward.ForwardEntry
	for _, e := range a.list {
		list = append(list, e)
	}
	return list, nil
}

// set replaces the list of the store by n other entries.
func (a *announcements) set(n int) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.list = make(map[string]ward.ForwardEntry)
	for i := range n {
		e := ward.ForwardEntry{Name: fmt.Sprint("other-", i), Listen: fmt.Sprintf("10.0.0.%d:1", i)}
		a.list[e.Name] = e
	}
}

func (a *announcements) setAway(away bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.away = away
}

func (a *announcements) has(name string) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.list[name].Name != ""
}

// TestAnnouncementsAfterReturn loses all announcements, as with a store that returns
// from an older copy: the entry must be announced again at once, also if the store
// refuses the first try, and must not take the fleet for smaller meanwhile.
func TestAnnouncementsAfterReturn(t *testing.T) {
	const others = 40
	tests := []struct {
		name string
		// awayFor is how long the store is away after the change of era, othersAfter when
		// the others are announced again; gone means that they never are.
		awayFor, othersAfter time.Duration
		gone                 bool
	}{
		{"at once", 0, time.Second, false},
		{"the first announcement is refused", 300 * time.Millisecond, time.Second, false},
		{"the others are gone", 0, 0, true},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				s := forwarding.Default()
				s.Name, s.Listen.State = "self", "127.0.0.1:1"
				a := &announcements{}
				a.set(others)
				n := New(s, Parts{Source: a, Log: logr.Discard()})
				ctx, cancel := context.WithCancel(t.Context())
				done := make(chan struct{})
				go func() { defer close(done); n.announce(ctx) }()
				time.Sleep(time.Minute)
				a.setAway(tt.awayFor > 0)
				a.set(0)
				n.announceAgain()
				time.Sleep(tt.awayFor)
				a.setAway(false)
				time.Sleep(500 * time.Millisecond)
				if !a.has("self") {
					t.Error("not announced 0.5 s after the return")
				}
				if got := n.fleet().Entries; got != others+1 {
					t.Errorf("%d entries 0.5 s after the return, want %d", got, others+1)
				}
				time.Sleep(tt.othersAfter)
				if !tt.gone {
					a.set(others)
				}
				time.Sleep(time.Minute)
				if got := n.fleet().Entries; tt.gone != (got == 1) {
					t.Errorf("%d entries a minute later, others gone: %v", got, tt.gone)
				}
				cancel()
				<-done
			})
		})
	}
}
