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
	promptNewsTargets = 4
	promptTargets     = 2
	// promptNewsInterval is the interval of the regular messages for promptNewsTime after
	// news; after it they are for entries that started since.
	promptNewsInterval = 200 * time.Millisecond
	promptInterval     = time.Second
	promptNewsTime     = 5 * time.Second
	// maxPromptRate bounds the messages in bytes a second, within the 16 KB a second for
	// all control of an entry.
	maxPromptRate = 12 << 10
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
		sent := 0
		select {
		case <-ctx.Done():
			return
		case <-t.C:
			sent = n.sendPrompts(n.gate.PromptReports(nil), promptTargets)
		case <-n.promptsNow:
			news = time.Now()
			sent = n.sendPrompts(n.gate.PromptReports(n.takeChangedPrompts()), promptNewsTargets)
		}
		interval := promptInterval
		if time.Since(news) < promptNewsTime {
			interval = promptNewsInterval
		}
		t.Reset(interval)
		select {
		case <-ctx.Done():
			return
		case <-time.After(promptPause(sent)):
		}
	}
}

// promptPause returns the time after a message of which sent bytes were sent until the
// next one.
func promptPause(sent int) time.Duration {
	return max(minPeerStateInterval, time.Duration(sent)*time.Second/maxPromptRate)
}

// sendPrompts sends reports to some entries of the fleet, chosen at random. It returns
// the number of bytes sent.
func (n *Node) sendPrompts(reports []poison.Report, targets int) int {
	if len(reports) == 0 {
		return 0
	}
	m := peerstate.Message{Name: n.settings.Name, Start: n.start, Listen: n.peerAddress(), Prompts: reports}
	b, err := m.Encode()
	if err != nil {
		n.log.Error(err, "prompt-parts-not-told")
		return 0
	}
	list := n.fleetAddresses()
	rand.Shuffle(len(list), func(i, k int) { list[i], list[k] = list[k], list[i] })
	targets = min(targets, len(list))
	for _, to := range list[:targets] {
		n.send(b, to)
	}
	return targets * len(b)
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
