package rollout

import (
	"testing"
	"time"

	"agateward/internal/forward/view"
	"agateward/ward"

	"github.com/go-logr/logr"
)

// TestTicketOf names the ticket of a record after all entries have restarted in a
// later era: the roll-out that the record holds must not begin again, and a newer order
// must not be taken for it.
func TestTicketOf(t *testing.T) {
	at := ward.StampRevision
	tests := []struct {
		name string
		// order is the target and the revision of the order that the store holds.
		target   string
		revision uint64
		ticket   uint64
		// want is the ticket after the record was read, 0 if it stays unknown.
		want uint64
	}{
		{"the same name", "v2", at(1, 57), at(1, 57), at(1, 57)},
		{"held by the copy", "v2", at(2, 57), at(1, 57), at(1, 57)},
		{"written again", "v2", at(2, 45), at(1, 57), at(1, 57)},
		{"of an order that was replaced", "v3", at(2, 45), at(1, 57), at(1, 57)},
		{"of an order that is not known yet", "v2", at(1, 57), at(1, 80), 0},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			v := &view.View{Log: logr.Discard(), Changed: func() {}}
			v.Merge("peer", view.State{Rollouts: []ward.Rollout{{Service: "s", Target: tt.target, Within: time.Minute, Revision: tt.revision}}})
			r := &Rollout{Orders: v.Rollouts, OrderOf: v.OrderOf, LearnOrder: v.LearnOrder}
			s := ward.MoveState{Move: "s", Ticket: tt.ticket, To: "v2"}
			if _, known := r.ticketOf(s); !known {
				r.learnOrders()
			}
			got, known := r.ticketOf(s)
			if known != (tt.want != 0) || known && got != tt.want {
				t.Errorf("ticket %s, known %v, want %s", ward.RevisionText(got), known, ward.RevisionText(tt.want))
			}
			if same := v.Rollouts()[0].Revision == got; known && same != (tt.target == "v2") {
				t.Errorf("the order is at %s, the record's ticket at %s", ward.RevisionText(v.Rollouts()[0].Revision), ward.RevisionText(got))
			}
		})
	}
}
