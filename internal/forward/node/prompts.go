package node

import (
	"context"
	"math/rand/v2"
	"slices"
	"time"

	"agateward/internal/forward/peerstate"
	"agateward/internal/forward/poison"
)

// Timing and fan-out of the messages about parts of prompts. Each entry passes on what is
// new to it, so news reaches a fleet of any size in a few rounds, without the store.
const (
	// promptNewsTargets is the number of entries that news is sent to at once,
	// promptTargets that of the regular messages.
	promptNewsTargets = 8
	promptTargets     = 2
	// promptNewsInterval is the interval of the regular messages for promptNewsTime after
	// news; after it they are for entries that started since.
	promptNewsInterval = 200 * time.Millisecond
	promptInterval     = time.Second
	promptNewsTime     = 5 * time.Second
)

// promptsChanged requests a message about parts of prompts.
func (n *Node) promptsChanged(parts []poison.Part) {
	n.promptsMu.Lock()
	defer n.promptsMu.Unlock()
	for _, p := range parts {
		if !slices.Contains(n.changedPrompts, p) {
			n.changedPrompts = append(n.changedPrompts, p)
		}
	}
	select {
	case n.promptsNow <- struct{}{}:
	default:
	}
}

func (n *Node) takeChangedPrompts() []poison.Part {
	n.promptsMu.Lock()
	defer n.promptsMu.Unlock()
	list := n.changedPrompts
	n.changedPrompts = nil
	return list
}

// promptLoop tells the other entries what is known of parts of prompts, until ctx ends.
func (n *Node) promptLoop(ctx context.Context) {
	var news time.Time
	t := time.NewTimer(promptInterval)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-t.C:
			n.sendPrompts(n.gate.PromptReports(nil), promptTargets)
		case <-n.promptsNow:
			news = time.Now()
			n.sendPrompts(n.gate.PromptReports(n.takeChangedPrompts()), promptNewsTargets)
		}
		interval := promptInterval
		if time.Since(news) < promptNewsTime {
			interval = promptNewsInterval
		}
		t.Reset(interval)
		select {
		case <-ctx.Done():
			return
		case <-time.After(minPeerStateInterval):
		}
	}
}

// sendPrompts sends reports to some entries of the fleet, chosen at random.
func (n *Node) sendPrompts(reports []poison.Report, targets int) {
	if len(reports) == 0 {
		return
	}
	m := peerstate.Message{Name: n.settings.Name, Start: n.start, Listen: n.peerAddress(), Prompts: reports}
	b, err := m.Encode()
	if err != nil {
		n.log.Error(err, "prompt-parts-not-told")
		return
	}
	list := n.fleetAddresses()
	rand.Shuffle(len(list), func(i, k int) { list[i], list[k] = list[k], list[i] })
	for _, to := range list[:min(targets, len(list))] {
		n.send(b, to)
	}
}

// fleetAddresses returns the addresses of the other entries: those in the store's list
// and those that this entry hears.
func (n *Node) fleetAddresses() []string {
	n.mu.Lock()
	defer n.mu.Unlock()
	list := slices.Concat(n.cell.Addresses, n.peers.AliveAddresses(time.Now()))
	slices.Sort(list)
	return slices.Compact(list)
}
