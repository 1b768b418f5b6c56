// Package demo runs a demonstration fleet in one process: callers' traffic through
// three entries, a deposit that is sent twice, a move to a good version and one to
// a bad version, and a report of measured figures.
//
// # Usage
//
//	d := demo.Demo{Out: os.Stdout, Progress: os.Stderr, Seed: 1}
//	err := d.Run(ctx) // the error names the promises that were broken
package demo

import (
	"context"
	"errors"
	"fmt"
	"io"
	"time"

	"agateward/internal/bench/fleet"
	"agateward/internal/bench/load"
	"agateward/internal/bench/mix"
	"agateward/internal/bench/tally"
	"agateward/internal/operator/surface"
	"agateward/internal/result/code"
	"agateward/internal/standin/batch"
	"agateward/internal/standin/engine"
	"agateward/internal/standin/service"
	"agateward/ward"

	"github.com/go-logr/logr"
)

const (
	// entries is the number of entries, in two data centres.
	entries = 3
	// moveTime is the time from a move's ticket to its deadline.
	moveTime = 12 * time.Second
	// moveSlack is how long after the deadline the demo waits for the outcome.
	moveSlack = 4 * time.Second
	// rate is the load in requests per second.
	rate = 60
	// maxDuration bounds the whole demo.
	maxDuration = 40 * time.Second
	// badFailShare is the share of requests that fail on the bad version.
	badFailShare = 0.3
)

// Demo is one run of the demo.
type Demo struct {
	// Out receives the report, Progress the progress messages.
	Out, Progress io.Writer
	Seed          uint64
	Log           logr.Logger

	fleet   *fleet.Fleet
	engines []*engine.Server
	service *service.Server
	tally   tally.Tally
	began   time.Time
}

// outcome is how a move ended.
type outcome struct {
	view  surface.MoveView
	event ward.Event
	took  time.Duration
}

// Run runs the demo.
func (d *Demo) Run(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, maxDuration)
	defer cancel()
	d.began = time.Now()
	if err := d.start(ctx); err != nil {
		return err
	}
	defer d.fleet.Close()
	traffic, stop := context.WithCancel(ctx)
	sent := make(chan error, 1)
	go func() { sent <- d.traffic(traffic) }()

	deposits, err := d.depositTwice(ctx)
	if err != nil {
		stop()
		return err
	}
	good, err := d.move(ctx, 2, "writer-to-v2", "v1", "v2")
	if err != nil {
		stop()
		return err
	}
	bad, err := d.move(ctx, 3, "writer-to-v3", "v2", "v3")
	stop()
	if err := errors.Join(err, ignoreCanceled(<-sent)); err != nil {
		return err
	}
	return d.report(deposits, good, bad)
}

// ignoreCanceled returns err, or nil when the traffic was stopped as requested.
func ignoreCanceled(err error) error {
	if errors.Is(err, context.Canceled) {
		return nil
	}
	return err
}

func (d *Demo) progress(format string, args ...any) {
	fmt.Fprintf(d.Progress, "%5.1fs  %s\n", time.Since(d.began).Seconds(), fmt.Sprintf(format, args...))
}

// start starts the fleet and submits the first ticket.
func (d *Demo) start(ctx context.Context) error {
	d.progress("starting a stand-in platform, %d entries in two data centres, engines of three versions and a booking service", entries)
	f, err := fleet.Start(ctx, fleet.Plan{
		Name: "demo", Entries: entries, DataCentres: []string{"east-1", "east-2"}, Log: d.Log,
	})
	if err != nil {
		return err
	}
	d.fleet = f
	t, err := d.firstTicket()
	if err != nil {
		f.Close()
		return err
	}
	result, err := f.Submit(ctx, t)
	if err != nil {
		f.Close()
		return err
	}
	if err := f.AwaitRevision(ctx, result.Revision); err != nil {
		f.Close()
		return err
	}
	d.progress("ticket 1 is in force on every entry as revision %d", result.Revision)
	return nil
}

// firstTicket starts the upstreams and returns the ticket that configures them.
func (d *Demo) firstTicket() (ward.Ticket, error) {
	t := ward.Ticket{Number: 1, Operator: "demo", Reason: "first configuration"}
	for i, version := range []string{"v1", "v1", "v1", "v2", "v2", "v2", "v3", "v3"} {
		s := &engine.Server{Model: "writer", ChecksFence: true, Profile: batch.Profile{
			Version: version, Generation: 1 + i%2, Seed: d.Seed + uint64(i),
		}}
		if version == "v3" {
			s.Profile.Faults = []batch.Fault{{FailShare: badFailShare}}
		}
		u := ward.Upstream{
			Name: fmt.Sprintf("engine-%d", i+1), Kind: ward.KindEngine, Serves: "writer", Version: version,
			DataCentre: fmt.Sprintf("east-%d", 1+i%2), Generation: s.Profile.Generation, ChecksFence: true,
		}
		var err error
		if u.Address, err = d.fleet.AddEngine(u.Name, s); err != nil {
			return t, err
		}
		d.engines = append(d.engines, s)
		t.Upstreams = append(t.Upstreams, u)
	}
	d.service = &service.Server{Version: "v1", Latency: 5 * time.Millisecond}
	booking := ward.Upstream{Name: "booking-1", Kind: ward.KindService, Serves: "booking", Version: "v1", DataCentre: "east-1"}
	var err error
	if booking.Address, err = d.fleet.AddService(booking.Name, d.service); err != nil {
		return t, err
	}
	t.Upstreams = append(t.Upstreams, booking)
	t.Routes = routes()
	t.Teams = []ward.Team{{Name: "guests", Weight: 4}, {Name: "hosts", Weight: 2}, {Name: "letters"}}
	return t, nil
}

func routes() []ward.Route {
	engine := func(name string, tier ward.Tier) ward.Route {
		return ward.Route{
			Name: name, Kind: ward.KindEngine, Serves: "writer", Version: "v1", Tier: tier,
			Deadline: ward.Duration(20 * time.Second), MaxOutput: 512,
		}
	}
	call := func(name, method string) ward.Route {
		return ward.Route{
			Name: name, Kind: ward.KindService, Serves: "booking", Version: "v1", Tier: ward.TierTop,
			Methods: []string{method}, PathPrefix: "/" + name, Deadline: ward.Duration(5 * time.Second),
			NonIdempotent: method == "POST",
		}
	}
	return []ward.Route{
		engine("dietary", 1), engine("menus", 2), engine("letters", 4),
		call("availability", "GET"), call("deposits", "POST"),
	}
}

// traffic sends requests of several tiers and teams until ctx ends.
func (d *Demo) traffic(ctx context.Context) error {
	chat := func(name, team string, tier ward.Tier, weight float64, stream bool) mix.Class {
		return mix.Class{
			Name: name, Weight: weight, Kind: mix.Chat, Model: "writer", Route: name, Team: team, Tier: tier,
			Stream: stream, Prompt: []int{30, 800}, Output: []int{8, 60}, Shared: 256,
		}
	}
	m := mix.Mix{Classes: []mix.Class{
		chat("dietary", "guests", 1, 45, true),
		chat("menus", "hosts", 2, 25, false),
		chat("letters", "letters", 4, 10, true),
		{Name: "availability", Weight: 15, Kind: mix.Lookup, Service: "booking", Path: "/availability", Team: "guests", Tier: 1},
		{Name: "deposits", Weight: 5, Kind: mix.Order, Service: "booking", Path: "/deposits", Team: "guests", Tier: 1, Repeat: 0.3},
	}}
	g := load.Generator{
		Targets: d.fleet.Targets(), Mix: m, Rate: rate, Duration: maxDuration, Seed: d.Seed, Tally: &d.tally,
	}
	d.progress("callers send %d requests per second", rate)
	return g.Run(ctx)
}

// move submits a ticket for a move and waits for its outcome.
func (d *Demo) move(ctx context.Context, number uint64, name, from, to string) (outcome, error) {
	began := time.Now()
	m := ward.Move{Name: name, Serves: "writer", From: from, To: to, Deadline: began.Add(moveTime)}
	if _, err := d.fleet.Submit(ctx, ward.Ticket{Number: number, Operator: "demo", Moves: []ward.Move{m}}); err != nil {
		return outcome{}, err
	}
	d.progress("ticket %d moves writer from %s to %s within %s", number, from, to, moveTime)
	ctx, cancel := context.WithDeadline(ctx, m.Deadline.Add(moveSlack))
	defer cancel()
	share := -1.0
	for {
		v, err := d.view(ctx, name)
		if err != nil {
			return outcome{}, code.Internal.New("move %s was neither completed nor rolled back in time", name)
		}
		if v.State.Share != share && v.State.State != "" {
			share = v.State.Share
			d.progress("move %s: %s, share %.0f%%", name, v.State.State, 100*share)
		}
		for _, e := range v.Events {
			if e.Kind == ward.EventMoveDone || e.Kind == ward.EventMoveRolledBack {
				d.progress("move %s: %s: %s", name, e.Kind, e.Text)
				return outcome{view: v, event: e.Event, took: time.Since(began)}, nil
			}
		}
		_ = ward.SystemClock{}.Sleep(ctx, 100*time.Millisecond)
	}
}

// view returns the state of the move at the last entry that knows it, with the
// events of all entries.
func (d *Demo) view(ctx context.Context, name string) (surface.MoveView, error) {
	var first surface.MoveView
	for i := range entries {
		var v surface.MoveView
		err := d.fleet.Operator(i).Get(ctx, "/moves/"+name, &v)
		if ctx.Err() != nil {
			return v, ctx.Err()
		}
		if err != nil {
			// The ticket is not in force at this entry yet.
			continue
		}
		v.Events = append(v.Events, first.Events...)
		first = v
	}
	return first, nil
}

// allMovedAt returns the time of the first event that reports all traffic on the new
// version, or the zero time.
func (o outcome) allMovedAt() time.Time {
	var at time.Time
	for _, e := range o.view.Events {
		if e.Kind == ward.EventMoveStep && e.Share == 1 && (at.IsZero() || e.At.Before(at)) {
			at = e.At
		}
	}
	return at
}
