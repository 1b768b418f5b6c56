package node

import (
	"agateward/internal/forward/peers"
	"agateward/internal/forward/peerstate"
	"agateward/internal/forward/schedule"
)

// otherCells returns the cells that this entry may borrow slots from.
func otherCells(c peers.Cell) []schedule.OtherCell {
	list := make([]schedule.OtherCell, len(c.Others))
	for i, o := range c.Others {
		list[i].DataCentre = o.DataCentre
		for _, e := range o.Members {
			list[i].Members = append(list[i].Members, e.Name)
		}
	}
	return list
}

// setOtherAddresses records the addresses of the entries of other cells. The caller must
// hold mu.
func (n *Node) setOtherAddresses(c peers.Cell) {
	n.otherAddresses = make(map[string]string)
	for _, o := range c.Others {
		for _, e := range o.Members {
			n.otherAddresses[e.Name] = e.Listen
		}
	}
}

// ofOtherCell reports whether an entry belongs to another cell.
func (n *Node) ofOtherCell(name string) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.otherAddresses[name] != ""
}

// sendLending sends a message about lent slots to an entry of another cell.
func (n *Node) sendLending(to string, l schedule.LendingMessage) {
	n.mu.Lock()
	address := n.otherAddresses[to]
	n.mu.Unlock()
	if address == "" || n.peerConn == nil {
		return
	}
	b, err := lendingMessage(n.settings.Name, n.peerAddress(), l).Encode()
	if err != nil {
		n.log.Error(err, "loan-not-sent", "entry", to)
		return
	}
	n.send(b, address)
}

// lendingMessage returns a message that entries which know no loans ignore.
func lendingMessage(name, listen string, l schedule.LendingMessage) peerstate.Message {
	return peerstate.Message{Name: name, Listen: listen, News: true, Lending: &l}
}
