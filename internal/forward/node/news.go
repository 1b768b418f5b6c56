package node

import (
	"context"
	"maps"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"agateward/internal/forward/peerstate"
	"agateward/internal/forward/poison"
	"agateward/internal/forward/schedule"
)

// Timing and fan-out of the messages to entries of all cells: about what upstreams crash
// under, and about limits of upstreams. Each entry passes on what is new to it, so news reaches a fleet
// of any size in a few rounds, without the store.
const (
	// newsTargets is the number of entries that news is sent to at once, refreshTargets
	// that of the regular messages.
	newsTargets    = 8
	refreshTargets = 2
	// newsInterval is the interval of the regular messages for newsTime after news; after
	// it they are for entries that started since.
	newsInterval    = 200 * time.Millisecond
	refreshInterval = time.Second
	newsTime        = 5 * time.Second
)

// news holds what other entries of the fleet are to hear.
type news struct {
	mu       sync.Mutex
	suspects []poison.Suspect
	limits   map[schedule.Identity]schedule.LimitReport
	// now requests an early message.
	now chan struct{}
}

// request requests an early message. It does not block.
func (w *news) request() {
	select {
	case w.now <- struct{}{}:
	default:
	}
}

// take returns what is to be told and forgets it.
func (w *news) take() (suspects []poison.Suspect, limits []schedule.LimitReport) {
	w.mu.Lock()
	defer w.mu.Unlock()
	suspects, limits = w.suspects, slices.Collect(maps.Values(w.limits))
	w.suspects, w.limits = nil, nil
	return suspects, limits
}

// suspectsChanged requests a message about requests, and parts of prompts, under which
// upstreams crash.
func (n *Node) suspectsChanged(list []poison.Suspect) {
	n.news.mu.Lock()
	defer n.news.mu.Unlock()
	for _, p := range list {
		if !slices.Contains(n.news.suspects, p) {
			n.news.suspects = append(n.news.suspects, p)
		}
	}
	n.news.request()
}

// limitsChanged requests a message about limits of upstreams. Without cells the regular
// messages to peers reach all entries.
func (n *Node) limitsChanged(list []schedule.LimitReport) {
	if !n.hasCells() {
		return
	}
	n.news.mu.Lock()
	defer n.news.mu.Unlock()
	if n.news.limits == nil {
		n.news.limits = make(map[schedule.Identity]schedule.LimitReport)
	}
	for _, r := range list {
		n.news.limits[r.Upstream] = r
	}
	n.news.request()
}

// newsLoop tells the other entries what upstreams crash under, and their limits, until ctx
// ends.
func (n *Node) newsLoop(ctx context.Context) {
	var last time.Time
	next := time.Now().Add(refreshInterval)
	t := time.NewTimer(refreshInterval)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-t.C:
		case <-n.news.now:
			last = time.Now()
			suspects, limits := n.news.take()
			var reports []poison.Report
			if len(suspects) > 0 {
				reports = n.gate.CrashReports(suspects)
			}
			n.sendNews(reports, limits, newsTargets)
		}
		interval := refreshInterval
		if time.Since(last) < newsTime {
			interval = newsInterval
		}
		// News brings the next regular message forward, but never puts it off: only regular
		// messages make up for lost ones.
		if now := time.Now(); !now.Before(next) {
			n.refresh()
			next = now.Add(interval)
		} else if soon := now.Add(interval); soon.Before(next) {
			next = soon
		}
		t.Reset(time.Until(next))
		select {
		case <-ctx.Done():
			return
		case <-time.After(minPeerStateInterval):
		}
	}
}

// refresh sends a regular message.
func (n *Node) refresh() {
	var limits []schedule.LimitReport
	if n.hasCells() {
		limits = n.gate.LimitReports()
	}
	n.sendNews(n.gate.CrashReports(nil), limits, refreshTargets)
}

// sendNews sends reports to some entries of the fleet, chosen at random.
func (n *Node) sendNews(crashes []poison.Report, limits []schedule.LimitReport, targets int) {
	if len(crashes) == 0 && len(limits) == 0 {
		return
	}
	m := peerstate.Message{Name: n.settings.Name, Start: n.start, Listen: n.peerAddress(), Prompts: crashes, Limits: limits, News: true}
	b, err := m.Encode()
	if err != nil {
		n.log.Error(err, "fleet-news-not-sent")
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
