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
	// All times are virtual. Entries that start together need peerWarmup, and
	// peerWarmupPerEntry more per entry, until all know each other.
	peerWarmup         = 5 * time.Second
	peerWarmupPerEntry = 100 * time.Millisecond
	// peerMeasureTime is the time over which costs are summed.
	peerMeasureTime = 5 * time.Second
	// peerChanges is the number of changes whose propagation time is averaged.
	peerChanges = 3
	// peerStateInterval is the interval between two changes of the state of each entry.
	peerStateInterval = 250 * time.Millisecond
	// simFleet is the name of the fleet in package sim.
	simFleet = "test"
	// peerKey is a key for connections over loopback only.
	peerKey = "capacity-peers-key"
)

// exchangeEntries are the sizes, in entries, of the simulated fleets. Simulating the
// whole fleet would exceed the time limit of an experiment.
var exchangeEntries = []int{8, 32, 100, 200}

// exchangeSizes are the measured numbers of demands in one message.
var exchangeSizes = []int{1, 10, 30}

// peerCost is the cost of the peer exchange for one entry per second.
type peerCost struct {
	micros   float64
	bytes    float64
	messages float64
	memory   float64
	// inForce is the time until a change is in force at all entries, in seconds.
	inForce float64
}

// peerExchange measures the exchange between entries.
func (c *Capacity) peerExchange(ctx context.Context) error {
	const role = "peer exchange"
	const axis = "entries"
	costs := make(map[int]peerCost)
	for _, n := range exchangeEntries {
		costs[n] = c.exchange(n)
		if err := ctx.Err(); err != nil {
			return err
		}
	}
	of := func(name, unit string, value func(peerCost) float64) float64 {
		return c.figure(Figure{Role: role, Name: name, Unit: unit, Axis: axis, Size: Nodes}, exchangeEntries, func(n int) float64 { return value(costs[n]) })
	}
	decide := of("decisions of one second", "µs", func(t peerCost) float64 { return t.micros })
	bytes := of("bytes a second, both directions, upper bound", "B", func(t peerCost) float64 { return t.bytes })
	messages := of("messages a second, sent and received", "count", func(t peerCost) float64 { return t.messages })
	memory := of("state of one entry", "KB", func(t peerCost) float64 { return t.memory })
	of(figureInForce, "s", func(t peerCost) float64 { return t.inForce })
	send, err := c.exchangeCost(ctx, role)
	if err != nil {
		return err
	}
	c.Roles = append(c.Roles, Role{
		Name:      role,
		State:     "the state, demand and counts of each entry",
		Messages:  fmt.Sprintf("%.0f messages a second, sent and received", messages),
		Mechanism: "a rotating view of 12 peers, deltas, digests with repair, one token bucket of bytes",
		Control:   true,
		// One end has half of the cost of a message.
		CPU:    (decide + messages*send/2) / float64(time.Second/time.Microsecond),
		Memory: memory * 1024,
		Bytes:  bytes,
	})
	return nil
}

// exchange simulates n entries whose states keep changing, and returns the cost for
// one entry.
func (c *Capacity) exchange(n int) peerCost {
	base := synthetic.Fleet{Upstreams: Replicas, Teams: Teams, Models: Models}.Config()
	base.Fleet = simFleet
	var f *sim.Fleet
	heap := probe.Heap(func() any {
		f = sim.New(n, c.Seed, sim.Network{Delay: time.Millisecond, Jitter: 5 * time.Millisecond})
		for i := range f.Entries {
			f.SetConfig(i, &base)
		}
		f.Run(peerWarmup + time.Duration(n)*peerWarmupPerEntry)
		runWithChanges(f, time.Second)
		return f
	})
	before := sumStats(f)
	begin := time.Now()
	runWithChanges(f, peerMeasureTime)
	spent := time.Since(begin)
	after := sumStats(f)
	per := float64(n) * peerMeasureTime.Seconds()
	return peerCost{
		micros:   float64(spent) / float64(time.Microsecond) / per,
		bytes:    float64(after.SentBytes+after.ReceivedBytes-before.SentBytes-before.ReceivedBytes) / per,
		messages: float64(after.SentMessages+after.ReceivedMessages-before.SentMessages-before.ReceivedMessages) / per,
		memory:   float64(heap) / 1024 / float64(n),
		inForce:  propagationTime(f, base).Seconds(),
	}
}

// figureInForce names the figure that InForce bounds.
const figureInForce = "time until a change is in force everywhere"

// propagationTime puts changes of the configuration in force at one entry, and returns the
// mean time until they are in force at all entries.
func propagationTime(f *sim.Fleet, base ward.Config) time.Duration {
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
		runWithChanges(f, time.Second)
	}
	return sum / peerChanges
}

// runWithChanges advances the virtual time while the states change.
func runWithChanges(f *sim.Fleet, length time.Duration) {
	for end := f.Now.Add(length); f.Now.Before(end); {
		for i, e := range f.Entries {
			s := e.Member.Self()
			s.Demand = demands(i, int(f.Now.UnixMilli()/peerStateInterval.Milliseconds()))
			f.Update(i, func(m *member.Member, now time.Time) { m.SetSelf(now, s) })
		}
		f.Run(peerStateInterval)
	}
}

// demands returns the demands of an entry with requests at some replicas.
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

// exchangeCost measures one exchange over TCP and returns the time of both ends in
// microseconds.
func (c *Capacity) exchangeCost(ctx context.Context, role string) (float64, error) {
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
