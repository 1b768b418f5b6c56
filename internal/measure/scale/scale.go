// Package scale measures the cost of a scheduling decision by number of upstreams
// and of teams. It measures elapsed time on this host, so its results differ
// from run to run.
//
// # Usage
//
//	rep, err := scale.Experiment{}.Run(ctx, 1, progress)
package scale

import (
	"context"
	"fmt"
	"runtime"
	"time"

	"agateward/internal/measure/report"
	"agateward/internal/request/queue"
	"agateward/internal/request/scheduler"
	"agateward/ward"
)

// Targets at the largest sizes.
const (
	maxChooseTime = 20.0 // microseconds
	maxQueueTime  = 5.0  // microseconds
	rounds        = 50_000
	warmUp        = 1000
)

var (
	upstreams = []int{10, 100, 750}
	teams     = []int{10, 300, 2900}
	start     = time.Unix(1_700_000_000, 0)
)

// Experiment is the measurement. Its zero value is ready to use.
type Experiment struct{}

// Name returns the experiment's name.
func (Experiment) Name() string { return "scale" }

// About says what it shows.
func (Experiment) About() string {
	return "the cost of choosing an upstream and of the queue at 10 to 750 upstreams and 10 to 2,900 teams"
}

// Run measures each size.
func (Experiment) Run(ctx context.Context, seed uint64, progress func(string)) (report.Report, error) {
	rep := report.Report{Experiment: "scale", Seed: seed}
	for _, n := range upstreams {
		if err := ctx.Err(); err != nil {
			return rep, err
		}
		addUpstreams(&rep, n, seed)
		progress(fmt.Sprintf("%d upstreams done", n))
	}
	for _, n := range teams {
		cost, allocs := timeQueue(n)
		name := fmt.Sprintf("enqueue-and-dequeue-%d-teams", n)
		rep.Add(
			report.Result{Name: name, Value: cost, Unit: "us"}.AtMost(maxQueueTime),
			report.Result{Name: name + "-allocations", Value: allocs, Unit: "count"}.AtMost(0),
		)
		progress(fmt.Sprintf("%d teams done", n))
	}
	return rep, nil
}

func addUpstreams(rep *report.Report, n int, seed uint64) {
	s := newScheduler(n, seed)
	r := newRequest("r")
	cost, allocs := measure(func(int) { s.Preview(start, r) })
	name := fmt.Sprintf("choose-of-%d-upstreams", n)
	rep.Add(
		report.Result{Name: name, Value: cost, Unit: "us"}.AtMost(maxChooseTime),
		report.Result{Name: name + "-allocations", Value: allocs, Unit: "count"}.AtMost(0),
	)
	cost, allocs = measure(func(i int) {
		// Requests are 10 s apart, so that the pacing allows the next one everywhere.
		now := start.Add(time.Duration(i) * 10 * time.Second)
		r.Arrived = now
		r.Deadline = now.Add(time.Minute)
		s.Arrive(now, r)
		s.FirstToken(now.Add(200*time.Millisecond), r.ID)
		s.End(now.Add(time.Second), r.ID, ward.Outcome{OK: true, Connected: true})
	})
	rep.Add(
		report.Result{Name: fmt.Sprintf("arrive-to-end-%d-upstreams", n), Value: cost, Unit: "us"},
		report.Result{Name: fmt.Sprintf("arrive-to-end-%d-upstreams-allocations", n), Value: allocs, Unit: "count"},
	)
	cost, _ = measure(func(i int) { s.Tick(start.Add((rounds+warmUp)*10*time.Second + time.Duration(i)*50*time.Millisecond)) })
	rep.Add(report.Result{Name: fmt.Sprintf("tick-%d-upstreams", n), Value: cost, Unit: "us"})
}

// measure returns the mean time in microseconds and the allocations of one call.
func measure(f func(i int)) (cost, allocs float64) {
	for i := range warmUp {
		f(i)
	}
	var before, after runtime.MemStats
	runtime.ReadMemStats(&before)
	from := time.Now()
	for i := range rounds {
		f(warmUp + i)
	}
	took := time.Since(from)
	runtime.ReadMemStats(&after)
	// The integer division drops the few allocations of the Go runtime itself.
	return took.Seconds() / rounds * 1e6, float64((after.Mallocs - before.Mallocs) / rounds)
}

func newScheduler(n int, seed uint64) *scheduler.Scheduler {
	c := &ward.Config{Revision: 1}
	c.Routes = []ward.Route{{Name: "chat", Kind: ward.KindEngine, Serves: "m", Version: "v1"}}
	for i := range n {
		c.Upstreams = append(c.Upstreams, ward.Upstream{
			Name: fmt.Sprintf("engine-%03d", i), Kind: ward.KindEngine, Serves: "m", Version: "v1",
		})
	}
	s := scheduler.New(scheduler.Settings{Self: "entry-0"}, seed)
	s.Configure(start, c)
	var peers []ward.PeerState
	for i := range 7 {
		peers = append(peers, ward.PeerState{Name: fmt.Sprintf("entry-%d", i+1)})
	}
	s.SetPeers(start, peers)
	return s
}

func newRequest(id string) *ward.Request {
	r := &ward.Request{
		ID: id, Team: "a", Tier: ward.TierTop, Route: "chat", Kind: ward.KindEngine, Serves: "m",
		Arrived: start, Deadline: start.Add(time.Minute), PromptTokens: 4000, MaxOutput: 200,
	}
	for i := range 15 {
		r.Prefix = append(r.Prefix, uint64(i+1))
	}
	return r
}

// timeQueue measures one dequeue and one enqueue while that many teams have
// requests waiting.
func timeQueue(teams int) (cost, allocs float64) {
	const each = 4 // waiting requests of a team
	var q queue.Queue
	items := make([]queue.Item, each*teams)
	for i := range items {
		due := start.Add(time.Duration(i*7919%1000) * time.Millisecond)
		items[i] = queue.Item{
			Team: fmt.Sprint("team-", i%teams), Tier: ward.Tier(i%ward.TierCount + 1),
			Due: due, Latest: due, Cost: float64(100 + i%900),
		}
		q.Push(&items[i])
	}
	return measure(func(int) { q.Push(q.Pop()) })
}
