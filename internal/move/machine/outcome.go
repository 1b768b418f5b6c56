package machine

import (
	"fmt"

	"agateward/internal/move/split"
	"agateward/ward"
)

// Outcome returns the outcome event of a move that has ended, for entries other
// than the one that ended it, and false if the move has not ended. Its ID equals
// that of the event in the record.
func Outcome(s ward.MoveState) (ward.Event, bool) {
	e := ward.Event{
		ID: outcomeID(s), At: s.Since, Ticket: s.Ticket, Move: s.Move, Entry: s.Holder, Share: s.Share, Text: s.Reason,
	}
	switch s.State {
	case split.Done:
		e.Kind = ward.EventMoveDone
		if e.Text == "" {
			e.Text = "done: the whole traffic is on the new version"
		}
	case split.RolledBack:
		e.Kind = ward.EventMoveRolledBack
	default:
		return ward.Event{}, false
	}
	return e, true
}

func outcomeID(s ward.MoveState) string { return fmt.Sprintf("%s@%d/outcome", s.Move, s.Ticket) }
