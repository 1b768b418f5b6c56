package sim

import (
	"time"

	"agateward/internal/peer/member"
	"agateward/internal/result/code"
	"agateward/ward"
)

// event is a function that is called at a time.
type event struct {
	at  time.Time
	seq uint64
	do  func()
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
	return q[i].seq < q[j].seq
}

// Pop implements heap.Interface.
func (q *queue) Pop() any {
	old := *q
	x := old[len(old)-1]
	*q = old[:len(old)-1]
	return x
}

// exchange is one message in flight and its reply.
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
	f.schedule(f.Now.Add(sendTimeout), func() { f.failExchange(x, true) })
	if !ok || f.lost(from, to) {
		return
	}
	f.schedule(f.Now.Add(f.delay()), func() { f.deliver(x, to) })
	if f.random.Float64() < f.Network.Duplicate {
		f.schedule(f.Now.Add(f.delay()), func() { f.deliver(x, to) })
	}
}

// deliver gives a message to its receiver. A killed one refuses the connection.
func (f *Fleet) deliver(x *exchange, to int) {
	if f.Entries[to].Member == nil {
		f.failExchange(x, false)
		return
	}
	f.whenAwake(to, f.Entries[to].run, func(e *Entry) {
		reply, err := e.Member.Receive(f.Now, x.send.Message)
		f.afterChange(to)
		if f.lost(to, x.from) {
			return
		}
		if err == nil && f.OnMessage != nil {
			f.OnMessage(to, x.from, reply)
		}
		f.schedule(f.Now.Add(f.delay()), func() { f.handleReply(x, reply, err) })
	})
}

func (f *Fleet) handleReply(x *exchange, reply ward.Exchange, err error) {
	f.whenAwake(x.from, x.run, func(e *Entry) {
		if x.ended {
			return
		}
		x.ended = true
		if code.PeerRefused.Is(err) {
			e.Member.Refused(x.send)
			return
		}
		_ = e.Member.ReceiveReply(f.Now, x.send, reply)
		f.afterChange(x.from)
	})
}

func (f *Fleet) failExchange(x *exchange, connected bool) {
	f.whenAwake(x.from, x.run, func(e *Entry) {
		if x.ended {
			return
		}
		x.ended = true
		e.Member.Failed(f.Now, x.send, connected)
		f.afterChange(x.from)
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
