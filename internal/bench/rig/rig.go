// Package rig runs a whole fleet in one process over loopback TCP: the platform
// stand-in, entries, model engines and booking services, with the routes and
// teams of the Tafelberg mix. Entries are stopped, killed and started again
// while callers go on.
//
// # Usage
//
//	r := &rig.Rig{Entries: 3, Engines: 4, Services: 2}
//	if err := r.Start(ctx); err != nil {
//		return err
//	}
//	defer r.Close()
//	g := load.Generator{Pick: r.Pick, ...}
//
// Pick stands in for the platform's balancer: it knows which entries were ready
// when it last asked, and so lags.
package rig

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"agateward/internal/config/settings"
	"agateward/internal/entry/program"
	"agateward/internal/platform/memory"
	"agateward/internal/platform/server"
	"agateward/internal/standin/batch"
	"agateward/internal/standin/engine"
	"agateward/internal/standin/service"
	"agateward/internal/ticket/acceptance"
	"agateward/ward"

	"github.com/go-logr/logr"
	"github.com/google/uuid"
	"github.com/sourcegraph/conc"
)

const (
	loopback = "127.0.0.1:0"
	// balancerEvery is how often the balancer asks whether an entry is ready.
	balancerEvery = 250 * time.Millisecond
	// readyWithin bounds the time until all entries are ready.
	readyWithin = 20 * time.Second
	// listenWithin bounds the time until an address is free again.
	listenWithin = 5 * time.Second
	fleetName    = "rig"
)

// Rig is a fleet. Its fields are set before Start.
type Rig struct {
	Entries, Engines, Services int
	// Profile is the speed of the engines.
	Profile batch.Profile
	// Latency is that of the services.
	Latency time.Duration
	// Log gets the events of the entries.
	Log logr.Logger
	// Adjust changes the settings of each entry, when it is set.
	Adjust func(s *settings.Settings)

	Platform *memory.Platform
	engines  []*engine.Server
	services []*service.Server
	members  []*member
	servers  []*http.Server
	ready    atomic.Pointer[[]string]
	cancel   context.CancelFunc
	running  conc.WaitGroup
	engineAt []string
}

// member is one entry, which may run several times.
type member struct {
	settings settings.Settings
	mu       sync.Mutex
	program  *program.Program
	stop     context.CancelFunc
	ended    chan struct{}
}

// Start starts everything and waits until all entries are ready.
func (r *Rig) Start(ctx context.Context) error {
	ctx, r.cancel = context.WithCancel(ctx)
	r.Platform = &memory.Platform{}
	platform, err := r.serve(server.New(r.Platform))
	if err != nil {
		return err
	}
	if err := r.startUpstreams(); err != nil {
		return err
	}
	a := acceptance.Acceptance{Store: r.Platform, Clock: ward.SystemClock{}, Fleet: fleetName, NewAttempt: uuid.NewString}
	if _, err := a.Submit(ctx, r.ticket()); err != nil {
		return err
	}
	for i := range r.Entries {
		r.members = append(r.members, &member{settings: r.settings(i, platform)})
		if err := r.StartEntry(ctx, i); err != nil {
			return err
		}
	}
	r.running.Go(func() { r.balance(ctx) })
	return r.awaitReady(ctx)
}

// serve serves h on a port of its own and returns the address.
func (r *Rig) serve(h http.Handler) (string, error) {
	ln, err := net.Listen("tcp", loopback)
	if err != nil {
		return "", err
	}
	s := &http.Server{Handler: h, ReadHeaderTimeout: readyWithin}
	r.servers = append(r.servers, s)
	r.running.Go(func() { _ = s.Serve(ln) })
	return ln.Addr().String(), nil
}

func (r *Rig) startUpstreams() error {
	for i := range r.Engines {
		p := r.Profile
		p.Name = fmt.Sprintf("menu-writer-%d", i+1)
		p.Version = "v1"
		s := &engine.Server{Profile: p, Model: modelName, ChecksFence: true}
		at, err := r.serve(s)
		if err != nil {
			return err
		}
		r.engines = append(r.engines, s)
		r.engineAt = append(r.engineAt, at)
	}
	for i := range r.Services {
		s := &service.Server{Name: fmt.Sprintf("booking-%d", i+1), Version: "v1", Latency: r.Latency}
		at, err := r.serve(s)
		if err != nil {
			return err
		}
		r.services = append(r.services, s)
		r.engineAt = append(r.engineAt, at)
	}
	return nil
}

// EngineTargets returns the base URLs of the engines, for load without an
// entry.
func (r *Rig) EngineTargets() []string {
	var out []string
	for _, a := range r.engineAt[:r.Engines] {
		out = append(out, "http://"+a)
	}
	return out
}

// StartEntry starts an entry at the addresses that it had before.
func (r *Rig) StartEntry(ctx context.Context, i int) error {
	m := r.members[i]
	m.mu.Lock()
	defer m.mu.Unlock()
	p, err := m.new(ctx, r.Log)
	if err != nil {
		return err
	}
	// Later runs keep the addresses, which others read without a lock.
	if m.settings.Callers.Address == loopback {
		m.settings.Callers.Address = p.CallersAddress()
		m.settings.Operators.Address = p.OperatorsAddress()
		m.settings.Peers.Address = p.PeersAddress()
	}
	r.Platform.PutInstances(ward.Instance{
		Name: m.settings.Name, Role: ward.RoleEntry, Address: p.PeersAddress(),
		DataCentre: m.settings.DataCentre, State: ward.InstanceLive,
	})
	ctx, m.stop = context.WithCancel(ctx)
	m.program = p
	ended := make(chan struct{})
	m.ended = ended
	r.running.Go(func() {
		defer close(ended)
		if err := p.Run(ctx); err != nil {
			r.Log.Error(err, "entry-failed")
		}
	})
	return nil
}

// new composes an entry; the addresses of one that has just ended may not be
// free yet.
func (m *member) new(ctx context.Context, l logr.Logger) (*program.Program, error) {
	for end := time.Now().Add(listenWithin); ; {
		p, err := program.New(ctx, m.settings, program.Options{Log: l, Version: "rig"})
		if err == nil || time.Now().After(end) || ctx.Err() != nil {
			return p, err
		}
		time.Sleep(balancerEvery / 10)
	}
}

// StopEntry stops an entry as planned and waits for its end.
func (r *Rig) StopEntry(i int) {
	m := r.members[i]
	m.mu.Lock()
	defer m.mu.Unlock()
	m.stop()
	<-m.ended
}

// KillEntry ends an entry at once and waits for its end.
func (r *Rig) KillEntry(i int) {
	m := r.members[i]
	m.mu.Lock()
	defer m.mu.Unlock()
	m.program.Kill()
	<-m.ended
}

// Program returns the entry as it runs now.
func (r *Rig) Program(i int) *program.Program {
	m := r.members[i]
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.program
}

// Runs returns how often each key and each prompt ran, over all upstreams.
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

// Pick returns the base URL of a random entry that the balancer holds for
// ready, and of any entry when it holds none.
func (r *Rig) Pick(random *rand.Rand) string {
	list := r.ready.Load()
	if list == nil || len(*list) == 0 {
		return "http://" + r.members[random.IntN(len(r.members))].settings.Callers.Address
	}
	return "http://" + (*list)[random.IntN(len(*list))]
}

// Close ends everything at once.
func (r *Rig) Close() {
	for i := range r.members {
		r.KillEntry(i)
	}
	r.cancel()
	for _, s := range r.servers {
		_ = s.Close()
	}
	r.running.Wait()
}
