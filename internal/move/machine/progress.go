package machine

import (
	"cmp"
	"fmt"
	"slices"

	"agateward/internal/move/chart"
	"agateward/ward"
)

// Newer reports whether state a of a move's record replaces state b. Within one era of
// the store the later revision does. A store that has returned from an older copy holds
// an older state under a later revision, so states of different eras are compared by
// ticket and by their progress along the chart, and only then by revision.
func Newer(a, b ward.MoveState) bool {
	if !ward.LaterEra(a.Revision, b.Revision) && !ward.LaterEra(b.Revision, a.Revision) {
		return a.Revision > b.Revision
	}
	return cmp.Or(
		cmp.Compare(a.Ticket, b.Ticket),
		cmp.Compare(progress(a.State), progress(b.State)),
		cmp.Compare(a.Step, b.Step),
		cmp.Compare(a.Revision, b.Revision),
	) > 0
}

// progress returns the position of a state in the chart, which lists each state after
// those that lead to it.
func progress(state string) int {
	return slices.IndexFunc(moveChart.States, func(s chart.State) bool { return s.Name == state })
}

// Lost reports whether a state was written in an earlier era of the store, which may
// not hold it any more.
func Lost(s ward.MoveState, storeEra uint64) bool {
	era, _ := ward.SplitRevision(s.Revision)
	return s.State != "" && era < storeEra
}

// Restored returns a state that is written again, with the event that reports it to
// operators, whose copy of it may be lost too. The event has the ID of the first one.
func Restored(s ward.MoveState) ward.MoveState {
	e, ended := Outcome(s)
	if !ended {
		if s.State == moveChart.Initial {
			return s
		}
		e = ward.Event{
			ID: eventID(s, ward.EventMoveStarted, 0), Kind: ward.EventMoveStarted, At: s.Since,
			Ticket: s.Ticket, Move: s.Move, Entry: s.Holder, Text: "started",
		}
	}
	if !slices.ContainsFunc(s.PendingEvents, func(x ward.Event) bool { return x.ID == e.ID }) {
		s.PendingEvents = append([]ward.Event{e}, s.PendingEvents...)
	}
	return s
}

func eventID(s ward.MoveState, kind ward.EventKind, step int) string {
	return fmt.Sprintf("%s@%d/%s/%d", s.Move, s.Ticket, kind, step)
}
