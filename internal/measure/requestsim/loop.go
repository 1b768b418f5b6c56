package requestsim

import (
	"container/heap"
	"time"
)

// loop is an event loop on virtual time. Events at the same time run in the order
// in which they were scheduled.
type loop struct {
	now    time.Time
	events eventHeap
	seq    uint64
}

type event struct {
	at  time.Time
	seq uint64
	run func()
}

// at schedules f for time t, or for now if t has passed.
func (l *loop) at(t time.Time, f func()) {
	if t.Before(l.now) {
		t = l.now
	}
	l.seq++
	heap.Push(&l.events, event{t, l.seq, f})
}

// after schedules f for after d.
func (l *loop) after(d time.Duration, f func()) { l.at(l.now.Add(d), f) }

// every runs f after first and then each period, until f returns false.
func (l *loop) every(first, period time.Duration, f func() bool) {
	l.after(first, func() {
		if f() {
			l.every(period, period, f)
		}
	})
}

// step runs the next event that is due by end, and reports whether there was one.
func (l *loop) step(end time.Time) bool {
	if len(l.events) == 0 || l.events[0].at.After(end) {
		return false
	}
	e := heap.Pop(&l.events).(event)
	l.now = e.at
	e.run()
	return true
}

type eventHeap []event

func (h eventHeap) Len() int { return len(h) }

func (h eventHeap) Less(i, j int) bool {
	if !h[i].at.Equal(h[j].at) {
		return h[i].at.Before(h[j].at)
	}
	return h[i].seq < h[j].seq
}

func (h eventHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }

func (h *eventHeap) Push(x any) { *h = append(*h, x.(event)) }

func (h *eventHeap) Pop() any {
	old := *h
	e := old[len(old)-1]
	old[len(old)-1] = event{}
	*h = old[:len(old)-1]
	return e
}
