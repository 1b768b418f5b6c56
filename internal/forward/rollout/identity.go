package rollout

import (
	"slices"

	"agateward/ward"
)

// ticketOf returns the revision by which the order of a state is known here, and
// whether it is known. The state of an order that is newer than any known one is left
// alone until the order arrives. An older one that is not known was replaced, unless it
// has the target of the order in force: then it is that order under the name of an
// earlier era, which this entry has not seen, and is learned from the state.
func (r *Rollout) ticketOf(s ward.MoveState) (uint64, bool) {
	if r.OrderOf == nil {
		return s.Ticket, true
	}
	id, known, newer := r.OrderOf(s.Move, s.Ticket)
	if known || newer {
		return id, known
	}
	orders := r.Orders()
	i := slices.IndexFunc(orders, func(o ward.Rollout) bool { return o.Service == s.Move })
	if i < 0 || s.To == "" || s.To != orders[i].Target || !ward.LaterEra(orders[i].Revision, s.Ticket) {
		return id, true
	}
	o := orders[i]
	o.Revision = s.Ticket
	r.unknownMu.Lock()
	defer r.unknownMu.Unlock()
	if r.unknown == nil {
		r.unknown = make(map[string]ward.Rollout)
	}
	r.unknown[s.Move] = o
	return 0, false
}

// learnOrders passes on the orders that states have named.
func (r *Rollout) learnOrders() {
	r.unknownMu.Lock()
	list := r.unknown
	r.unknown = nil
	r.unknownMu.Unlock()
	for _, o := range list {
		r.LearnOrder(o)
	}
}
