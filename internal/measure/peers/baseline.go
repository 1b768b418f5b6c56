package peers

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"syscall"
	"time"

	"agateward/internal/peer/codec"
	"agateward/internal/peer/wire"
	"agateward/ward"

	"github.com/sourcegraph/conc"
)

// rounds is the number of measurements that a mean cost is taken over.
const rounds = 200

// tablePushes is the number of entries that an entry sends the full table to a
// second. It equals the number of exchanges that an entry of agateward begins.
const tablePushes = 4

// baseline is the cost for an entry of another heartbeat protocol.
type baseline struct {
	// bytes is in bytes a second in both directions, cpu in cores.
	bytes, cpu float64
}

// baselines returns the cost of a full mesh and of full tables for n entries with
// states like s.
func baselines(s ward.PeerState, n int) (mesh, table baseline, err error) {
	one := ward.Exchange{Fleet: "test", From: s.Name, Incarnation: s.Incarnation, States: []ward.PeerState{s}}
	all := one
	all.States = nil
	s.Demand = nil
	random := rand.New(rand.NewPCG(uint64(n), 0))
	for i := range n {
		x := s
		x.Name = fmt.Sprintf("entry-%03d", i)
		x.Address = fmt.Sprintf("10.0.%d.%d:7102", i/250, i%250+1)
		x.Operator = x.Address
		x.Incarnation += ward.Incarnation(random.Int64N(int64(time.Hour)))
		x.Seq = random.Uint64N(1 << 20)
		for tier := range x.Waiting {
			x.Waiting[tier] = random.IntN(100)
		}
		all.States = append(all.States, x)
	}
	if mesh, err = exchangeCost(one, n-1); err != nil {
		return mesh, table, err
	}
	table, err = exchangeCost(all, min(tablePushes, n-1))
	return mesh, table, err
}

// exchangeCost returns the cost of sending m to a number of peers every second and
// of receiving as many, each with a short reply.
func exchangeCost(m ward.Exchange, peers int) (baseline, error) {
	var bytes int
	before := processCPU()
	for range rounds {
		b, err := codec.Marshal(&m)
		if err != nil {
			return baseline{}, err
		}
		var got ward.Exchange
		if err := codec.Unmarshal(b, &got); err != nil {
			return baseline{}, err
		}
		bytes = len(b)
	}
	each := (processCPU() - before).Seconds() / rounds
	k := float64(peers)
	return baseline{bytes: 2 * k * float64(bytes+2*frameBytes), cpu: k * each}, nil
}

// exchangeCPU returns the CPU time of one exchange over net/rpc on loopback, both
// ends together, because an entry begins as many exchanges as it answers.
func exchangeCPU(ctx context.Context) (time.Duration, error) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return 0, err
	}
	ctx, stop := context.WithCancel(ctx)
	var wg conc.WaitGroup
	defer wg.Wait()
	defer stop()
	s := &wire.Server{Handler: func(m ward.Exchange) (ward.Exchange, error) { return m, nil }}
	wg.Go(func() { _ = s.Serve(ctx, ln) })
	c := &wire.Client{}
	defer c.Close()
	m := ward.Exchange{Fleet: "test", From: "entry-001", Heartbeats: make([]ward.Heartbeat, 20)}
	if _, err := c.Exchange(ctx, ln.Addr().String(), m); err != nil {
		return 0, err
	}
	before := processCPU()
	for range rounds {
		if _, err := c.Exchange(ctx, ln.Addr().String(), m); err != nil {
			return 0, err
		}
	}
	return (processCPU() - before) / rounds, nil
}

// processCPU returns the CPU time that the process has used.
func processCPU() time.Duration {
	var u syscall.Rusage
	if syscall.Getrusage(syscall.RUSAGE_SELF, &u) != nil {
		return 0
	}
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}
