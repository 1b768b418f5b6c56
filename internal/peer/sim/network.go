package sim

import (
	"time"

	"agateward/internal/peer/member"
	"agateward/internal/result/code"
	"agateward/ward"
)

// event is something that happens at a time.
type event struct {
	at    time.Time
	order uint64
	do    func()
}

// queue is a heap of events.
type queue []event

func (q queue) Len() int      { return len(q) }
func (q queue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }
func (q *queue) Push(x any)   { *q = append(*q, x.(event)) }

func (q queue) Less(i, j int) bool {
	if !q[i].at.Equal(q[j].at) {
		return q[i].at.Before(q[j].at)
	}
	return q[i].order < q[j].order
}

// Pop implements heap.Interface.
func (q *queue) Pop() any {
	old := *q
	x := old[len(old)-1]
	*q = old[:len(old)-1]
	return x
}

// exchange is one message under way and its answer.
type exchange struct {
	from, run int
	send      member.Send
	ended     bool
}

func (f *Fleet) send(from, run int, s member.Send) {
	x := &exchange{from: from, run: run, send: s}
	to, ok := f.names[s.Name]
	if f.OnMessage != nil {
		f.OnMessage(from, to, s.Message)
	}
	f.at(f.Now.Add(sendTimeout), func() { f.fail(x, true) })
	if !ok || f.lost(from, to) {
		return
	}
	f.at(f.Now.Add(f.delay()), func() { f.arrive(x, to) })
	if f.random.Float64() < f.Network.Duplicate {
		f.at(f.Now.Add(f.delay()), func() { f.arrive(x, to) })
	}
}

// arrive gives a message to its receiver. A dead one refuses the connection.
func (f *Fleet) arrive(x *exchange, to int) {
	if f.Entries[to].Member == nil {
		f.fail(x, false)
		return
	}
	f.awake(to, f.Entries[to].run, func(e *Entry) {
		reply, err := e.Member.Receive(f.Now, x.send.Message)
		f.after(to)
		if f.lost(to, x.from) {
			return
		}
		if err == nil && f.OnMessage != nil {
			f.OnMessage(to, x.from, reply)
		}
		f.at(f.Now.Add(f.delay()), func() { f.answer(x, reply, err) })
	})
}

func (f *Fleet) answer(x *exchange, reply ward.Exchange, err error) {
	f.awake(x.from, x.run, func(e *Entry) {
		if x.ended {
			return
		}
		x.ended = true
		if code.PeerRefused.Is(err) {
			e.Member.Refused(x.send)
			return
		}
		_ = e.Member.ReceiveReply(f.Now, x.send, reply)
		f.after(x.from)
	})
}

func (f *Fleet) fail(x *exchange, connected bool) {
	f.awake(x.from, x.run, func(e *Entry) {
		if x.ended {
			return
		}
		x.ended = true
		e.Member.Failed(f.Now, x.send, connected)
		f.after(x.from)
	})
}

func (f *Fleet) lost(a, b int) bool {
	if f.Partitioned != nil && f.Partitioned(a, b) {
		return true
	}
	return f.random.Float64() < f.Network.Loss
}

func (f *Fleet) delay() time.Duration {
	if f.Network.Jitter <= 0 {
		return f.Network.Delay
	}
	return f.Network.Delay + time.Duration(f.random.Int64N(int64(f.Network.Jitter)))
}
