package node

import (
	"context"
	"time"

	"agateward/internal/forward/peerstate"
	"agateward/internal/forward/returns"
)

// returnsInterval is the least time between two messages about promises to refused callers.
// A caller comes back no earlier than returns.MinAhead, so they arrive in time.
const returnsInterval = 60 * time.Millisecond

// returnsChanged requests a message about promises. It does not block.
func (n *Node) returnsChanged() {
	select {
	case n.returnsNow <- struct{}{}:
	default:
	}
}

// returnsLoop tells the entries of the data centre about promises until ctx ends.
func (n *Node) returnsLoop(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-n.returnsNow:
		}
		news, more := n.gate.ReturnNews()
		n.sendReturns(news)
		if more {
			n.returnsChanged()
		}
		select {
		case <-ctx.Done():
			return
		case <-time.After(returnsInterval):
		}
	}
}

// sendReturns sends news of promises to all entries of the data centre, where callers come
// back.
func (n *Node) sendReturns(news returns.News) {
	if news.Empty() {
		return
	}
	m := peerstate.Message{Name: n.settings.Name, Start: n.start, Listen: n.peerAddress(), Returns: &news, News: true}
	b, err := m.Encode()
	if err != nil {
		n.log.Error(err, "return-news-not-sent")
		return
	}
	for _, to := range n.localAddresses() {
		n.send(b, to)
	}
}

// localAddresses returns the addresses of the other entries of the data centre. Until the
// store's list of entries is known, they are those that this entry hears.
func (n *Node) localAddresses() []string {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.cell.FleetSize == 0 {
		return n.peers.AliveAddresses(time.Now())
	}
	return n.cell.Local
}
