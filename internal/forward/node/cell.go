package node

import (
	"context"
	"slices"
	"time"

	"agateward/internal/forward/peers"
	"agateward/internal/move/split"
	"agateward/ward"
)

// maxStoreAge is the maximum age of the store's last answer to an entry that
// follows it. A watch without changes is answered within this time.
const maxStoreAge = 1500 * time.Millisecond

// shrinkDelay is how long lists of the store must have fewer entries before the fleet is
// taken for smaller. A store that has returned from an older copy lists them again only
// once each has noticed it, which takes about the time of a watch.
const shrinkDelay = 3 * time.Second

// fleetSize decides which lists of entries are taken over. Its zero value takes the
// first one.
type fleetSize struct {
	entries      int
	smallerSince time.Time
}

// accept reports whether a list of n entries that was read at now is taken over.
func (f *fleetSize) accept(n int, now time.Time) bool {
	if n < f.entries {
		if f.smallerSince.IsZero() {
			f.smallerSince = now
		}
		if now.Sub(f.smallerSince) < shrinkDelay {
			return false
		}
	}
	*f = fleetSize{entries: n}
	return true
}

// followsStore reports whether this entry follows the store itself. When the whole
// fleet starts, none does before it has tried to learn its cell.
func (n *Node) followsStore() bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.settings.FirstStart && !n.cellTried {
		return false
	}
	return n.peers.FollowsStore(time.Now(), maxStoreAge)
}

// announce keeps this entry in the store's list of entries, and follows that list.
func (n *Node) announce(ctx context.Context) {
	self := ward.ForwardEntry{Name: n.settings.Name, DataCentre: n.settings.DataCentre, Listen: n.peerAddress()}
	var announced time.Time
	var size fleetSize
	pause := minListInterval
	// When the whole fleet starts, a list right after the own announcement would lack
	// most entries.
	listAfter := time.Now()
	if n.settings.FirstStart {
		listAfter = listAfter.Add(firstListDelay)
	}
	for ctx.Err() == nil {
		if announced.IsZero() || time.Since(announced) > announceInterval {
			if err := n.source.Announce(ctx, self); err != nil {
				n.log.Info("announcement-failed", "error", err.Error())
			} else {
				announced = time.Now()
			}
		}
		select {
		case <-ctx.Done():
			return
		case <-time.After(time.Until(listAfter)):
		}
		if list, err := n.source.Entries(ctx); err == nil {
			if c := peers.CellOf(list, self); size.accept(c.FleetSize, time.Now()) {
				n.setCell(c)
			}
		} else {
			n.log.Info("entries-unknown", "error", err.Error())
		}
		n.mu.Lock()
		n.cellTried = true
		n.mu.Unlock()
		// Entries that start together are not all in the first lists.
		pause = min(listIntervalGrowth*pause, maxListInterval)
		if !size.smallerSince.IsZero() {
			pause = min(pause, shrinkDelay)
		}
		select {
		case <-ctx.Done():
		case <-time.After(pause):
		case <-n.announceNow:
			// The announcement went with the old era, as those of the other entries did.
			announced, pause = time.Time{}, minListInterval/listIntervalGrowth
		}
	}
}

// announceAgain requests that this entry is announced anew.
func (n *Node) announceAgain() {
	select {
	case n.announceNow <- struct{}{}:
	default:
	}
}

// fleet returns the number of entries and the index of this one.
func (n *Node) fleet() split.Fleet {
	n.mu.Lock()
	defer n.mu.Unlock()
	return split.Fleet{Entries: max(n.cell.FleetSize, 1), Index: n.cell.FleetIndex}
}

// hasCells reports whether the fleet is divided into cells.
func (n *Node) hasCells() bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.cell.Count > 0
}

// setCell sets the entries to exchange state with.
func (n *Node) setCell(c peers.Cell) {
	now := time.Now()
	n.mu.Lock()
	changed := c.Count != n.cell.Count || c.Index != n.cell.Index || len(c.Members) != len(n.cell.Members) || !slices.Equal(c.Names, n.cell.Names)
	n.cell = c
	n.setOtherAddresses(c)
	if changed {
		n.peers.SetCell(c)
	}
	for _, e := range c.Members {
		if e.Name != n.settings.Name {
			n.peers.AddCandidate(e.Listen, now)
		}
	}
	n.mu.Unlock()
	if changed {
		n.log.Info("cell-changed", "cell", c.Index, "cells", c.Count, "members", len(c.Members), "entries", c.FleetSize)
		n.gate.SetCell(c.Index, c.Count, len(c.Members), c.Names, otherCells(c))
		n.gate.Refresh()
	}
}
