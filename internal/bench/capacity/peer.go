package capacity

import (
	"context"
	"fmt"
	"net"
	"slices"
	"time"

	"agateward/internal/bench/probe"
	"agateward/internal/bench/synthetic"
	"agateward/internal/peer/member"
	"agateward/internal/peer/sim"
	"agateward/internal/peer/wire"
	"agateward/ward"

	"github.com/sourcegraph/conc"
)

const (
	// All times are virtual. Entries that start together need peerWarm, and
	// peerWarmEach more for each of them, until all know each other.
	peerWarm     = 5 * time.Second
	peerWarmEach = 100 * time.Millisecond
	// peerLength is the time over which costs are summed up.
	peerLength = 5 * time.Second
	// peerChanges is the number of changes whose spread is averaged.
	peerChanges = 3
	// peerChange is how often the state of each entry changes.
	peerChange = 250 * time.Millisecond
	// loopFleet is the fleet that package loop runs.
	loopFleet = "test"
	// peerKey guards nothing but loopback.
	peerKey = "capacity-peers-key"
)

// exchangeEntries are the sizes of the fleets that are run on virtual time; the
// whole fleet would take longer than an experiment may.
var exchangeEntries = []int{8, 32, 100, 200}

// exchangeSizes are numbers of demands in one message.
var exchangeSizes = []int{1, 10, 30}

// traffic is what the exchange costs one entry a second.
type traffic struct {
	micros   float64
	bytes    float64
	messages float64
	memory   float64
	// inForce is the time until a change is in force everywhere, in seconds.
	inForce float64
}

// peerExchange measures the exchange between entries.
func (c *Capacity) peerExchange(ctx context.Context) error {
	const role = "peer exchange"
	const axis = "entries"
	costs := make(map[int]traffic)
	for _, n := range exchangeEntries {
		costs[n] = c.exchange(n)
		if err := ctx.Err(); err != nil {
			return err
		}
	}
	of := func(name, unit string, value func(traffic) float64) float64 {
		return c.figure(Figure{Role: role, Name: name, Unit: unit, Axis: axis, Size: Nodes}, exchangeEntries, func(n int) float64 { return value(costs[n]) })
	}
	decide := of("decisions of one second", "µs", func(t traffic) float64 { return t.micros })
	bytes := of("bytes a second, both directions, upper bound", "B", func(t traffic) float64 { return t.bytes })
	messages := of("messages a second, sent and received", "count", func(t traffic) float64 { return t.messages })
	memory := of("state of one entry", "KB", func(t traffic) float64 { return t.memory })
	of(figureInForce, "s", func(t traffic) float64 { return t.inForce })
	send, err := c.sending(ctx, role)
	if err != nil {
		return err
	}
	c.Roles = append(c.Roles, Role{
		Name:      role,
		State:     "the state, demand and counts of each entry",
		Messages:  fmt.Sprintf("%.0f messages a second, sent and received", messages),
		Mechanism: "a rotating view of 12 peers, deltas, digests with repair, one token bucket of bytes",
		Control:   true,
		// Half of a message's cost is at the other end.
		CPU:    (decide + messages*send/2) / float64(time.Second/time.Microsecond),
		Memory: memory * 1024,
		Bytes:  bytes,
	})
	return nil
}

// exchange runs a fleet on virtual time, whose states and counts change all the
// time.
func (c *Capacity) exchange(n int) traffic {
	base := synthetic.Fleet{Upstreams: Replicas, Teams: Teams, Models: Models}.Config()
	base.Fleet = loopFleet
	var f *sim.Fleet
	heap := probe.Heap(func() any {
		f = sim.New(n, c.Seed, sim.Network{Delay: time.Millisecond, Jitter: 5 * time.Millisecond})
		for i := range f.Entries {
			f.SetConfig(i, &base)
		}
		f.Run(peerWarm + time.Duration(n)*peerWarmEach)
		run(f, time.Second)
		return f
	})
	before := sumStats(f)
	begin := time.Now()
	run(f, peerLength)
	spent := time.Since(begin)
	after := sumStats(f)
	per := float64(n) * peerLength.Seconds()
	return traffic{
		micros:   float64(spent) / float64(time.Microsecond) / per,
		bytes:    float64(after.SentBytes+after.ReceivedBytes-before.SentBytes-before.ReceivedBytes) / per,
		messages: float64(after.SentMessages+after.ReceivedMessages-before.SentMessages-before.ReceivedMessages) / per,
		memory:   float64(heap) / 1024 / float64(n),
		inForce:  inForce(f, base).Seconds(),
	}
}

// figureInForce names the figure that InForce bounds.
const figureInForce = "time until a change is in force everywhere"

// inForce puts changes of the document that all entries have in force at one of
// them, and returns the mean time until all have one.
func inForce(f *sim.Fleet, base ward.Config) time.Duration {
	var sum time.Duration
	for range peerChanges {
		base.Revision++
		base.Ticket++
		base.Upstreams = slices.Clone(base.Upstreams)
		base.Upstreams[0].Leaving = !base.Upstreams[0].Leaving
		next := base
		f.SetConfig(0, &next)
		took, _ := f.RunUntil(10*InForce, func() bool {
			return f.All(func(e *sim.Entry) bool { return e.Config != nil && e.Config.Revision == next.Revision })
		})
		sum += took
		run(f, time.Second)
	}
	return sum / peerChanges
}

// run lets time pass while the states change.
func run(f *sim.Fleet, length time.Duration) {
	for end := f.Now.Add(length); f.Now.Before(end); {
		for i, e := range f.Entries {
			s := e.Member.Self()
			s.Demand = demands(i, int(f.Now.UnixMilli()/peerChange.Milliseconds()))
			f.Update(i, func(m *member.Member, now time.Time) { m.SetSelf(now, s) })
		}
		f.Run(peerChange)
	}
}

// demands are those of an entry with requests at some replicas.
func demands(entry, round int) []ward.Demand {
	const replicas = 40
	list := make([]ward.Demand, replicas)
	for i := range list {
		list[i] = ward.Demand{
			Upstream: fmt.Sprintf("engine-%04d", (entry*31+i*17)%Replicas), InFlight: 5 + (round+i)%7, Prefill: 100 * ((round + entry + i) % 9),
		}
	}
	return list
}

func sumStats(f *sim.Fleet) member.Stats {
	var sum member.Stats
	for _, e := range f.Entries {
		s := e.Member.Stats()
		sum.SentBytes += s.SentBytes
		sum.ReceivedBytes += s.ReceivedBytes
		sum.SentMessages += s.SentMessages
		sum.ReceivedMessages += s.ReceivedMessages
	}
	return sum
}

// sending measures one exchange over TCP, both ends, in microseconds.
func (c *Capacity) sending(ctx context.Context, role string) (float64, error) {
	ctx, cancel := context.WithCancel(ctx)
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		cancel()
		return 0, err
	}
	server := &wire.Server{Key: peerKey, Handler: func(m ward.Exchange) (ward.Exchange, error) { return m, nil }}
	var wg conc.WaitGroup
	wg.Go(func() { _ = server.Serve(ctx, ln) })
	client := &wire.Client{Key: peerKey}
	defer wg.Wait()
	defer cancel()
	defer client.Close()
	var failed error
	value := c.figure(Figure{Role: role, Name: "one exchange over TCP, both ends", Unit: "µs", Axis: "demands in the message", Size: float64(exchangeSizes[len(exchangeSizes)-1])}, exchangeSizes, func(n int) float64 {
		m := ward.Exchange{Fleet: "capacity", Protocol: member.Protocol, From: "entry-000", States: []ward.PeerState{{Name: "entry-000", Demand: demands(0, 0)[:n]}}}
		return float64(probe.Time(func() {
			if _, err := client.Exchange(ctx, ln.Addr().String(), m); err != nil {
				failed = err
			}
		})) / float64(time.Microsecond)
	})
	return value, failed
}
