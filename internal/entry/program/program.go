// Package program creates the parts of one entry, connects them and runs them.
//
// # Usage
//
//	p, err := program.New(s, program.Options{Log: l})
//	if err != nil {
//		return err
//	}
//	err = p.Run(ctx) // stops gracefully when ctx ends
//
// New opens the listeners, so that it fails when an address is in use. Several
// programs can run in one process, because they share no state.
package program

import (
	"context"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"agateward/internal/config/settings"
	"agateward/internal/entry/path"
	"agateward/internal/forward/connections"
	"agateward/internal/move/split"
	"agateward/internal/operator/notice"
	"agateward/internal/platform/client"
	"agateward/internal/telemetry/explain"
	"agateward/internal/telemetry/metric"
	"agateward/internal/telemetry/trace"
	"agateward/ward"

	"github.com/go-logr/logr"
	"github.com/sourcegraph/conc"
)

// Options are the optional dependencies of a Program.
type Options struct {
	// Clock is ward.SystemClock when nil.
	Clock ward.Clock
	Log   logr.Logger
	// Version is shown in the status.
	Version string
}

// Program is one entry.
type Program struct {
	settings settings.Settings
	clock    ward.Clock
	log      logr.Logger
	version  string

	metrics *metric.Set
	trace   *trace.Tracer
	explain *explain.Log
	board   *notice.EventLog

	platform *client.Client
	path     *path.Path
	parts

	fleetView  atomic.Pointer[split.Fleet]
	splitsMu   sync.Mutex
	lastSplits []ward.Split

	listeners listeners
	// connections are those of callers.
	connections connections.Tracker
	callers     *http.Server
	operators   *http.Server

	started  time.Time
	stopping atomic.Bool
	// exiting is true once requests that arrive are refused.
	exiting     atomic.Bool
	incarnation ward.Incarnation
	killed      chan struct{}
	killOnce    sync.Once
	// base is cancelled when the entry ends, after a planned stop or by Kill.
	base       context.Context
	cancelBase context.CancelFunc
}

// listeners are the open listeners of an entry.
type listeners struct {
	callers, operators, peers net.Listener
}

// component is a part that runs until the entry ends.
type component struct {
	name string
	run  func(ctx context.Context) error
}

// New creates an entry and opens its listeners.
func New(ctx context.Context, s settings.Settings, o Options) (*Program, error) {
	if o.Clock == nil {
		o.Clock = ward.SystemClock{}
	}
	p := &Program{
		settings: s, clock: o.Clock, log: o.Log.WithValues("entry", s.Name), version: o.Version,
		metrics: metric.New(), explain: explain.New(s.Telemetry.Explain), killed: make(chan struct{}),
	}
	p.base, p.cancelBase = context.WithCancel(context.WithoutCancel(ctx))
	p.started = p.clock.Now()
	p.incarnation = ward.Incarnation(p.started.UnixNano())
	var err error
	p.trace, err = trace.New(ctx, trace.Settings{
		Entry: s.Name, Endpoint: s.Telemetry.TraceEndpoint, Share: s.Telemetry.TraceShare,
	})
	if err != nil {
		return nil, err
	}
	if err := p.listen(); err != nil {
		return nil, err
	}
	p.compose()
	return p, nil
}

// components returns the components in the order in which they are started.
func (p *Program) components() []component {
	return []component{
		{"list", p.roster.Run},
		{"configuration", func(ctx context.Context) error { p.holder.Run(ctx); return nil }},
		{"peers", func(ctx context.Context) error { p.gossip.Run(ctx); return nil }},
		{"peers-listener", func(ctx context.Context) error { return p.wire.Serve(ctx, p.listeners.peers) }},
		{"requests", p.path.Run},
		{"records", func(ctx context.Context) error { p.runs.Run(ctx); return nil }},
		{"reports", p.reports.Run},
		{"moves", p.mover.Run},
		{"state", p.runExchange},
		{"callers", func(context.Context) error { return p.ignoreExit(p.callers.Serve(p.listeners.callers)) }},
		{"operators", func(context.Context) error { return ignoreServerClosed(p.operators.Serve(p.listeners.operators)) }},
	}
}

// Run runs the entry until ctx ends, and then stops it as planned: it reports that it
// is not ready, continues to serve for the balancer's lag, completes the open
// requests, and releases its leases. It also ends when a component fails or on Kill.
func (p *Program) Run(ctx context.Context) error {
	inner, cancel := context.WithCancel(p.base)
	defer cancel()
	p.log.Info("entry-started", "callers", p.CallersAddress(), "operators", p.OperatorsAddress(), "peers", p.PeersAddress())
	var running conc.WaitGroup
	failed := make(chan error, len(p.components()))
	for _, s := range p.components() {
		running.Go(func() {
			if err := p.withLog(s)(inner); err != nil {
				failed <- err
			}
		})
	}
	var err error
	select {
	case <-ctx.Done():
		err = p.stop(inner)
	case err = <-failed:
	case <-p.killed:
	}
	// The parts release their leases before the platform's client is closed. After
	// Kill it is closed already.
	cancel()
	p.closeServers()
	running.Wait()
	p.path.Wait()
	p.close()
	p.log.Info("entry-stopped")
	return err
}

// withLog returns a function that runs a component and logs its start and end.
func (p *Program) withLog(s component) func(ctx context.Context) error {
	return func(ctx context.Context) error {
		p.log.V(1).Info("step-started", "step", s.name)
		err := s.run(ctx)
		if err != nil && ctx.Err() == nil {
			p.log.Error(err, "step-failed", "step", s.name)
			return err
		}
		p.log.V(1).Info("step-ended", "step", s.name)
		return nil
	}
}

// Kill ends the entry at once, as if its process were killed: connections are closed
// and leases are not released.
func (p *Program) Kill() {
	p.killOnce.Do(func() {
		close(p.killed)
		p.close()
	})
}

// close closes all listeners and connections.
func (p *Program) close() {
	p.cancelBase()
	p.platform.Close()
	p.closeServers()
}

// closeServers closes the listeners and their connections.
func (p *Program) closeServers() {
	_ = p.callers.Close()
	_ = p.operators.Close()
	p.listeners.peers.Close()
	p.peer.Close()
}

// CallersAddress returns the address of the listener for callers.
func (p *Program) CallersAddress() string { return p.listeners.callers.Addr().String() }

// OperatorsAddress returns the address of the listener for operators.
func (p *Program) OperatorsAddress() string { return p.listeners.operators.Addr().String() }

// PeersAddress returns the address of the listener for other entries.
func (p *Program) PeersAddress() string { return p.listeners.peers.Addr().String() }
