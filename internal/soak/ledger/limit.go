package ledger

import (
	"fmt"
	"slices"
	"time"
)

// Bounds on the requests at an upstream that states a limit: in limitWindow, limitFactor
// times what it allows, and limitSlack, of entries that were told limitKnown before.
const (
	limitWindow = 4 * time.Second
	limitKnown  = 500 * time.Millisecond
	limitFactor = 1.5
	limitSlack  = 5
)

// limitedUpstream is an upstream that states a limit, or has stated one.
type limitedUpstream struct {
	perSecond float64
	from, to  time.Time
	// told holds when an entry got the first answer that states it.
	told     map[string]time.Time
	arrivals []reach
}

// Limited records that the answer to a request states a limit in requests a second, 0 for
// none.
func (l *Ledger) Limited(id, upstream string, perSecond float64, at time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	u := l.limitOf(upstream)
	switch {
	case perSecond == 0 && u != nil:
		u.to = at
		return
	case perSecond == 0:
		return
	case u == nil:
		u = &limitedUpstream{perSecond: perSecond, from: at, told: make(map[string]time.Time)}
		if l.limited == nil {
			l.limited = make(map[string][]*limitedUpstream)
		}
		l.limited[upstream] = append(l.limited[upstream], u)
	}
	if r := l.requests[id]; r != nil && u.told[r.Entry].IsZero() {
		u.told[r.Entry] = at
	}
}

// limitOf returns the present limit of an upstream, nil for none.
func (l *Ledger) limitOf(upstream string) *limitedUpstream {
	list := l.limited[upstream]
	if len(list) == 0 || !list[len(list)-1].to.IsZero() {
		return nil
	}
	return list[len(list)-1]
}

// Arrived records that a request arrived at an upstream.
func (l *Ledger) Arrived(id, upstream string, at time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	u, r := l.limitOf(upstream), l.requests[id]
	if u == nil || r == nil {
		return
	}
	if told, ok := u.told[r.Entry]; ok && at.Sub(told) >= limitKnown {
		u.arrivals = append(u.arrivals, reach{r, upstream, at})
	}
}

// limitFindings checks the requests at upstreams that state a limit. Not counted are those
// of an entry that was disturbed, and those that a connection may have held up.
func (l *Ledger) limitFindings() []Finding {
	var out []Finding
	for upstream, list := range l.limited {
		for _, u := range list {
			allowed := int(limitFactor*u.perSecond*limitWindow.Seconds() + limitSlack)
			var window []reach
			slices.SortFunc(u.arrivals, func(a, b reach) int { return a.at.Compare(b.at) })
			for _, a := range u.arrivals {
				disturbed := l.disturbed(a.at.Add(-l.Bounds.Contact), a.at, func(d disturbance) bool { return d.target == a.request.Entry })
				if disturbed || l.heldUp(a) {
					continue
				}
				window = append(window, a)
				for a.at.Sub(window[0].at) > limitWindow {
					window = window[1:]
				}
				if len(window) > allowed && a.at.Sub(u.from) > l.Bounds.Contact {
					out = append(out, Finding{Promise: "limit", ID: upstream, At: a.at, What: fmt.Sprintf(
						"%d requests in %s from entries that had its limit of %v a second, allowed are %d; the limit is known for %s, the last is %s from %s",
						len(window), limitWindow, u.perSecond, allowed, a.at.Sub(u.from), a.request.ID, a.request.Entry)})
					break
				}
			}
		}
	}
	return out
}
