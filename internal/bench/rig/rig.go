// Package rig runs a fleet of package fleet with the routes and teams of the
// Tafelberg mix, model engines and booking services, behind a stand-in for the
// platform's balancer. Entries can be stopped, killed and restarted under load.
//
// # Usage
//
//	r := &rig.Rig{Entries: 3, Engines: 4, Services: 2}
//	if err := r.Start(ctx); err != nil {
//		return err
//	}
//	defer r.Close()
//	g := load.Generator{Pick: r.Pick, ...}
package rig

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync/atomic"
	"time"

	"agateward/internal/bench/fleet"
	"agateward/internal/config/settings"
	"agateward/internal/standin/batch"
	"agateward/internal/standin/engine"
	"agateward/internal/standin/service"
	"agateward/ward"

	"github.com/go-logr/logr"
	"github.com/sourcegraph/conc"
)

const (
	// pollInterval is the interval at which the balancer polls the readiness of the
	// entries, and balancerLag the time after which it has seen any change.
	pollInterval = 250 * time.Millisecond
	balancerLag  = 4 * pollInterval
)

// dataCentres are assigned to entries and upstreams in turn.
var dataCentres = []string{"cape-town-1", "cape-town-2", "cape-town-3"}

// Rig is a fleet to put under load. Its fields must be set before Start.
type Rig struct {
	Entries, Engines, Services int
	// Profile is the performance of the engines, Latency that of the services.
	Profile batch.Profile
	Latency time.Duration
	// Log receives the log events of the entries.
	Log logr.Logger
	// Tune changes the settings of each entry. It may be nil.
	Tune func(s *settings.Settings)

	// Fleet runs the entries and upstreams. It is set by Start.
	Fleet     *fleet.Fleet
	engines   []*engine.Server
	services  []*service.Server
	upstreams []ward.Upstream
	ready     atomic.Pointer[[]string]
	cancel    context.CancelFunc
	running   conc.WaitGroup
}

// Start starts everything and waits until all entries are ready.
func (r *Rig) Start(ctx context.Context) error {
	ctx, r.cancel = context.WithCancel(ctx)
	var err error
	r.Fleet, err = fleet.Start(ctx, fleet.Plan{Name: "rig", Entries: r.Entries, DataCentres: dataCentres, Tune: r.tune, Log: r.Log})
	if err != nil {
		return err
	}
	if err := r.startUpstreams(); err != nil {
		return err
	}
	accepted, err := r.Fleet.Submit(ctx, r.ticket())
	if err != nil {
		return err
	}
	if err := r.Fleet.AwaitRevision(ctx, accepted.Revision); err != nil {
		return err
	}
	r.updateReady(ctx)
	r.running.Go(func() { r.pollReadiness(ctx) })
	return nil
}

func (r *Rig) tune(s *settings.Settings) {
	s.Stop.BalancerLag = ward.Duration(balancerLag)
	s.Telemetry.TraceShare = 0
	if r.Tune != nil {
		r.Tune(s)
	}
}

func (r *Rig) startUpstreams() error {
	for i := range r.Engines {
		s := &engine.Server{Profile: r.Profile, Model: modelName, ChecksFence: true}
		s.Profile.Version = version
		name := fmt.Sprintf("%s-%d", modelName, i+1)
		address, err := r.Fleet.AddEngine(name, s)
		if err != nil {
			return err
		}
		r.engines = append(r.engines, s)
		r.upstreams = append(r.upstreams, ward.Upstream{
			Name: name, Kind: ward.KindEngine, Serves: modelName, Version: version, Address: address,
			DataCentre: dataCentres[i%len(dataCentres)], Generation: 1, ChecksFence: true,
		})
	}
	for i := range r.Services {
		s := &service.Server{Version: version, Latency: r.Latency}
		name := fmt.Sprintf("%s-%d", serviceName, i+1)
		address, err := r.Fleet.AddService(name, s)
		if err != nil {
			return err
		}
		r.services = append(r.services, s)
		r.upstreams = append(r.upstreams, ward.Upstream{
			Name: name, Kind: ward.KindService, Serves: serviceName, Version: version, Address: address,
			DataCentre: dataCentres[i%len(dataCentres)],
		})
	}
	return nil
}

// EngineTargets returns the base URLs of the engines, for load that bypasses the
// entries.
func (r *Rig) EngineTargets() []string {
	var out []string
	for _, u := range r.upstreams[:r.Engines] {
		out = append(out, "http://"+u.Address)
	}
	return out
}

// Runs returns the number of runs of each idempotency key and each prompt, summed
// over all upstreams.
func (r *Rig) Runs() map[string]int {
	sum := make(map[string]int)
	add := func(runs map[string]int) {
		for k, n := range runs {
			sum[k] += n
		}
	}
	for _, e := range r.engines {
		add(e.Runs())
	}
	for _, s := range r.services {
		add(s.Runs())
	}
	return sum
}

// Pick returns the base URL of a random entry that the balancer considers ready,
// or of any entry when none is ready.
func (r *Rig) Pick(random *rand.Rand) string {
	list := *r.ready.Load()
	if len(list) == 0 {
		list = r.Fleet.Targets()
	}
	return list[random.IntN(len(list))]
}

// pollReadiness polls the readiness of the entries until ctx ends.
func (r *Rig) pollReadiness(ctx context.Context) {
	for ctx.Err() == nil {
		r.updateReady(ctx)
		_ = ward.SystemClock{}.Sleep(ctx, pollInterval)
	}
}

// updateReady queries all entries and stores the base URLs of those that are ready.
func (r *Rig) updateReady(ctx context.Context) {
	var list []string
	for i := range r.Entries {
		target := r.Fleet.Target(i)
		var reply []byte
		if r.Fleet.Operator(i).Get(ctx, "/readyz", &reply) == nil {
			list = append(list, target)
		}
	}
	r.ready.Store(&list)
}

// Close stops everything at once.
func (r *Rig) Close() {
	r.cancel()
	r.running.Wait()
	r.Fleet.Close()
}
