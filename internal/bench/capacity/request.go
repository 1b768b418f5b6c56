package capacity

import (
	"context"
	"fmt"
	"time"

	"agateward/internal/bench/probe"
	"agateward/internal/bench/synthetic"
	"agateward/internal/request/scheduler"
	"agateward/ward"
)

const (
	// ticksPerSecond is the rate of the scheduler's ticks.
	ticksPerSecond = 20
	// promptTokens and outputTokens are the lengths of a typical request.
	promptTokens = 1000
	outputTokens = 345
	// perNode is the number of requests per second at one entry.
	perNode = float64(Requests) / Nodes
)

// betweenRequests is the mean time between two requests at one entry.
const betweenRequests = time.Second * Nodes / Requests

// driver sends synthetic requests through a scheduler.
type driver struct {
	s       *scheduler.Scheduler
	now     time.Time
	n       int
	open    []string
	teams   int
	models  int
	running int
}

// newDriver returns a driver for a fleet of that size, with requests running.
func newDriver(upstreams, teams int) *driver {
	d := &driver{now: time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC), teams: max(teams, 1), models: min(Models, upstreams)}
	cfg := synthetic.Fleet{Upstreams: upstreams, Teams: d.teams, Models: d.models}.Config()
	d.s = scheduler.New(scheduler.Settings{Self: "entry-000"}, 1)
	d.s.Configure(d.now, &cfg)
	open := perNode * RequestTime
	d.running = min(int(open), 4*upstreams)
	for range 2 * d.running {
		d.request()
	}
	return d
}

// request submits one request and ends the oldest running one.
func (d *driver) request() {
	d.n++
	d.now = d.now.Add(betweenRequests)
	for _, a := range d.s.Arrive(d.now, d.next()) {
		if a.Kind == scheduler.Dispatch {
			d.s.FirstToken(d.now, a.ID)
			d.open = append(d.open, a.ID)
		}
	}
	if len(d.open) > d.running {
		d.end()
	}
}

func (d *driver) next() *ward.Request {
	model := d.n % d.models
	tier := ward.Tier(1 + d.n/d.models%Tiers)
	r := &ward.Request{
		ID: fmt.Sprintf("entry-000.%d", d.n), Team: synthetic.Team(d.n * 7 % d.teams), Tier: tier,
		Route: synthetic.Route(model, tier), Kind: ward.KindEngine, Serves: synthetic.Model(model),
		Arrived: d.now, Deadline: d.now.Add(time.Minute), PromptTokens: promptTokens, MaxOutput: 2048, ExpectOutput: outputTokens,
	}
	for i := range promptTokens / ward.PrefixBlockTokens {
		r.Prefix = append(r.Prefix, uint64(d.n%50*10+i))
	}
	return r
}

func (d *driver) end() {
	id := d.open[0]
	d.open = d.open[1:]
	d.s.Progress(d.now, id, outputTokens)
	for _, a := range d.s.End(d.now, id, ward.Outcome{
		OK: true, Connected: true, PromptTokens: promptTokens, OutputTokens: outputTokens,
		FirstToken: 200 * time.Millisecond, Total: 17 * time.Second, At: d.now,
	}) {
		if a.Kind == scheduler.Dispatch {
			d.open = append(d.open, a.ID)
		}
	}
}

// peers returns the states of the other entries, each with demand at some upstreams.
func peers(entries, upstreams int) []ward.PeerState {
	const demands = 40
	list := make([]ward.PeerState, entries-1)
	for i := range list {
		p := ward.PeerState{Name: fmt.Sprintf("entry-%03d", i+1), Address: fmt.Sprintf("10.0.%d.%d:7000", i/250, i%250), DataCentre: "data-centre-1", Incarnation: 1, Seq: 1, Floor: ward.TierBottom}
		for j := range min(demands, upstreams) {
			p.Demand = append(p.Demand, ward.Demand{Upstream: fmt.Sprintf("engine-%04d", (i*31+j*17)%upstreams), InFlight: 5, Prefill: 500})
		}
		list[i] = p
	}
	return list
}

// requests measures the scheduling of requests.
func (c *Capacity) requests(context.Context) error {
	const role = "request path"
	const axis = "replicas, teams in proportion"
	micros := func(d time.Duration) float64 { return float64(d) / float64(time.Microsecond) }
	request := c.figure(Figure{Role: role, Name: "decisions on one request", Unit: "µs", Axis: axis, Size: Replicas}, fleetSizes, func(n int) float64 {
		d := newDriver(n, teamsFor(n))
		return micros(probe.Time(d.request))
	})
	tick := c.figure(Figure{Role: role, Name: "one tick", Unit: "µs", Axis: axis, Size: Replicas}, fleetSizes, func(n int) float64 {
		d := newDriver(n, teamsFor(n))
		return micros(probe.Time(func() {
			d.now = d.now.Add(time.Second / ticksPerSecond)
			d.s.Tick(d.now)
		}))
	})
	memory := c.figure(Figure{Role: role, Name: "state", Unit: "KB", Axis: axis, Size: Replicas}, fleetSizes, func(n int) float64 {
		return float64(probe.Heap(func() any { return newDriver(n, teamsFor(n)) })) / 1024
	})
	peerStates := c.figure(Figure{Role: role, Name: figurePeerStates, Unit: "µs", Axis: "entries", Size: Nodes}, entrySizes, func(n int) float64 {
		d := newDriver(Replicas, Teams)
		list := peers(n, Replicas)
		return micros(probe.Time(func() { d.s.SetPeers(d.now, list) }))
	})
	second := float64(time.Second / time.Microsecond)
	c.Roles = append(c.Roles, Role{
		Name:      "request path: decisions",
		State:     "queue by tier, team and deadline; budget, rates and prefix blocks of each replica",
		Messages:  "none of its own",
		Mechanism: "one scheduler an entry; a choice looks at a sample of replicas",
		CPU:       request * perNode / second,
	}, Role{
		Name:      "request path: shares of budgets and floors",
		State:     "demand of each peer at each replica",
		Messages:  "carried by the peer exchange",
		Mechanism: "each entry divides the budgets by what peers say, without a coordinator",
		Control:   true,
		CPU:       (tick*ticksPerSecond + peerStates*peersPerSecond) / second,
		Memory:    memory * 1024,
	})
	return nil
}

// figurePeerStates is the name of the figure that the table of losses uses.
const figurePeerStates = "taking in the states of all peers"

// peersPerSecond is how often the states of all peers are applied.
const peersPerSecond = 4
