// Package node composes one entry of the forwarding surface: its listeners, its
// view of the platform's store, and its exchange of state with the other entries.
//
// # Usage
//
//	n := node.New(settings, node.Parts{Source: source, Dialect: dialect, Log: l})
//	err := n.Run(ctx) // until ctx ends; then it stops within the grace
package node

import (
	"context"
	"errors"
	"log/slog"
	"net"
	"net/http"
	"runtime/debug"
	"strconv"
	"sync"
	"time"

	"agateward/internal/config/forwarding"
	"agateward/internal/forward/backend"
	"agateward/internal/forward/connections"
	"agateward/internal/forward/gate"
	"agateward/internal/forward/heads"
	"agateward/internal/forward/peers"
	"agateward/internal/forward/quota"
	"agateward/internal/forward/retry"
	"agateward/internal/forward/rollout"
	"agateward/internal/forward/schedule"
	"agateward/internal/forward/shutdown"
	"agateward/internal/forward/view"
	"agateward/internal/move/exposure"
	"agateward/internal/result/code"
	"agateward/internal/telemetry/ignored"
	"agateward/ward"

	"github.com/VictoriaMetrics/metrics"
	"github.com/go-logr/logr"
	"github.com/julienschmidt/httprouter"
	"github.com/sourcegraph/conc"
)

// Limits of the listeners and of a stop.
const (
	// headerTimeout and idleTimeout bound a caller's connection; they lie above
	// the limits that configurations set for callers.
	headerTimeout = 10 * time.Second
	idleTimeout   = 90 * time.Second
	// maxHeader bounds the head of a request in bytes.
	maxHeader = 64 << 10
	// exitInterval is the interval at which a stopping entry checks whether its next step has come.
	exitInterval = 20 * time.Millisecond
	// linesInterval is the interval at which an entry that has closed its connections checks
	// whether all requests have ended.
	linesInterval = 2 * time.Millisecond
	// memoryLimitFraction is the fraction of the memory limit that is set as the soft
	// limit of the runtime, from which the garbage collector works harder.
	memoryLimitFraction = 0.75
	// headsFraction is the fraction of the memory limit that heads of requests may use.
	headsFraction = 0.1
	// sweepInterval is the interval of the checks for lapsed registrations.
	sweepInterval = 100 * time.Millisecond
	// announceInterval is the interval at which the announcement in the store is
	// renewed. The list of entries is read at an interval that grows by
	// listIntervalGrowth from minListInterval to maxListInterval; when the whole fleet
	// starts, first after firstListDelay.
	announceInterval   = 2 * time.Minute
	minListInterval    = 500 * time.Millisecond
	maxListInterval    = 15 * time.Second
	listIntervalGrowth = 4
	firstListDelay     = 400 * time.Millisecond
)

// Parts are the dependencies of a node besides its settings.
type Parts struct {
	Source  ward.ForwardSource
	Dialect ward.Dialect
	Log     logr.Logger
	// Dial opens a connection to an upstream, nil for TCP.
	Dial func(ctx context.Context, address string) (net.Conn, error)
}

// Node is one entry of the forwarding surface.
type Node struct {
	settings forwarding.Settings
	source   ward.ForwardSource
	log      logr.Logger
	view     *view.View
	gate     *gate.Gate
	rollout  *rollout.Rollout
	set      *metrics.Set
	ignored  *ignored.Input
	start    int64

	mu    sync.Mutex
	peers peers.Set
	cell  peers.Cell
	// otherAddresses holds the addresses of the entries of other cells by name.
	otherAddresses map[string]string
	// cellTried is set once the list of entries was read, or could not be.
	cellTried bool
	// fetching is set while documents are fetched from a peer.
	fetching     bool
	sequence     uint64
	peerConn     *net.UDPConn
	broadcastNow chan struct{}
	// announceNow requests an early announcement.
	announceNow chan struct{}

	news news
	// returnsNow requests a message about promises to refused callers.
	returnsNow chan struct{}

	// connections tracks those of callers and of entries that relay requests.
	connections connections.Tracker
	// heads bounds what the heads of requests on them hold.
	heads heads.Guard

	stopping context.Context
}

// New composes a node. It opens no listener.
func New(s forwarding.Settings, p Parts) *Node {
	n := &Node{settings: s, source: p.Source, log: p.Log, set: metrics.NewSet(), start: time.Now().UnixNano(), broadcastNow: make(chan struct{}, 1), announceNow: make(chan struct{}, 1), news: news{now: make(chan struct{}, 1)}, returnsNow: make(chan struct{}, 1)}
	n.peers.Self = s.Name
	n.ignored = &ignored.Input{Set: n.set}
	n.view = &view.View{Source: p.Source, Log: p.Log, Changed: n.onChange, FollowsStore: n.followsStore, Cells: n.hasCells, EraChanged: n.announceAgain, Ignored: n.ignored}
	pool := &backend.Pool{Dial: p.Dial, OnOpen: n.set.NewCounter("agateward_forward_connections_opened_total").Inc}
	n.rollout = &rollout.Rollout{
		Self: s.Name, Start: n.start, Source: p.Source, Log: p.Log, Orders: n.view.Rollouts, Upstreams: n.view.Upstreams,
		Fleet: n.fleet, Cells: n.hasCells, Era: n.view.Era, OrderOf: n.view.OrderOf, LearnOrder: n.view.LearnOrder, Publish: n.broadcastMoves, Changed: func() { n.gate.Refresh() },
		Exposure: exposure.Bound{Share: s.Rollouts.ExposeShare, Requests: s.Rollouts.ExposeRequests},
	}
	n.gate = &gate.Gate{
		Dialect: p.Dialect, View: n.view, Pool: pool, Log: p.Log, Rollout: n.rollout,
		Metrics: &gate.Metrics{Set: n.set}, MaxBody: s.Limits.MaxBody, Start: n.start, SendGrant: n.sendGrant, TriggerBroadcast: n.triggerBroadcast,
		Relay: n.newRelay(), Fleet: n.fleet, SendLending: n.sendLending, SuspectsChanged: n.suspectsChanged, LimitsChanged: n.limitsChanged,
		ReturnsChanged: n.returnsChanged, Ignored: n.ignored,
	}
	n.set.NewGauge("agateward_forward_head_bytes", func() float64 { return float64(n.heads.Used()) })
	n.set.NewGauge("agateward_forward_heads_cut_total", func() float64 { return float64(n.heads.Cuts()) })
	n.gate.Prepare(setup(s))
	n.gate.SetEntries(initialEntries)
	return n
}

// setup returns the parts of the gate that come from the settings.
func setup(s forwarding.Settings) gate.Setup {
	out := gate.Setup{Name: s.Name, DataCentre: s.DataCentre, Retries: retry.Budget{
		Ratio: s.Retries.Ratio, Slack: s.Retries.Slack, Window: s.Retries.Window.Std(),
	}, Quotas: quota.Ledger{
		Slack: quotaSlackFraction * s.Quotas.Slack, StartFull: s.FirstStart,
	}, Memory: int64(s.Limits.Memory) << 20, Scheduling: schedule.Options{
		FairTeams: s.Scheduling.FairTeams, PreferReturns: s.Scheduling.PreferReturns, LendSlots: s.Scheduling.LendSlots,
		ProtectStreams: s.Scheduling.ProtectStreams, LearnConcurrency: s.Scheduling.LearnConcurrency,
		FixedConcurrency: s.Scheduling.FixedConcurrency, Regions: s.Regions,
	}}
	if !s.FirstStart {
		out.Retries.Start = time.Now()
	}
	return out
}

// quotaSlackFraction is the fraction of a quota's tolerance that entries may use. The
// rest covers the requests that entries admitted and have not yet reported to each
// other.
const quotaSlackFraction = 0.4

// initialEntries is the number of entries that share quotas and budgets until the
// first peer is heard from.
const initialEntries = 8

func (n *Node) onChange() {
	n.gate.Refresh()
	n.triggerBroadcast()
}

// Run serves until ctx ends, and then stops within the grace.
func (n *Node) Run(ctx context.Context) error {
	if n.settings.Limits.Memory > 0 {
		debug.SetMemoryLimit(int64(memoryLimitFraction * float64(n.settings.Limits.Memory<<20)))
	}
	listeners, err := n.listen()
	if err != nil {
		return err
	}
	work, end := context.WithCancel(context.WithoutCancel(ctx))
	defer end()
	n.stopping = ctx
	callers := &http.Server{
		Handler: n.gate, ReadHeaderTimeout: headerTimeout, IdleTimeout: idleTimeout, MaxHeaderBytes: maxHeader, ConnState: n.connections.StateChanged,
		ErrorLog: slog.NewLogLogger(logr.ToSlogHandler(n.log), slog.LevelError),
	}
	readyServer := &http.Server{Handler: http.HandlerFunc(n.ready), ReadHeaderTimeout: headerTimeout}
	relayServer := &http.Server{
		Handler: http.HandlerFunc(n.serveRelayed), ReadHeaderTimeout: headerTimeout, IdleTimeout: idleTimeout, MaxHeaderBytes: maxHeader,
		ConnState: n.connections.StateChanged,
	}
	n.heads.SetTotal(int64(headsFraction * float64(n.settings.Limits.Memory<<20)))
	n.heads.OnCut = func(from string, bytes int) { n.ignored.Note(n.log, "head-cut", "from", from, "bytes", bytes) }
	n.heads.Guard(callers)
	n.heads.Guard(relayServer)
	metricsServer := &http.Server{Handler: n.metricsHandler(), ReadHeaderTimeout: headerTimeout}
	var wg conc.WaitGroup
	wg.Go(func() { n.view.Run(work) })
	wg.Go(func() { n.gate.Run(work) })
	wg.Go(func() { n.rollout.Run(work) })
	wg.Go(func() { n.sweep(work) })
	wg.Go(func() { n.announce(work) })
	wg.Go(func() { n.broadcastLoop(work) })
	wg.Go(func() { n.receiveLoop(work) })
	wg.Go(func() { n.newsLoop(work) })
	wg.Go(func() { n.returnsLoop(work) })
	wg.Go(func() { n.serveState(work, listeners.state) })
	wg.Go(func() { n.serve(readyServer, listeners.ready) })
	wg.Go(func() { n.serve(callers, n.connections.Listen(n.heads.Listener(listeners.callers))) })
	wg.Go(func() { n.serve(relayServer, n.connections.Listen(n.heads.Listener(listeners.relay))) })
	if listeners.metrics != nil {
		wg.Go(func() { n.serve(metricsServer, listeners.metrics) })
	}
	n.log.Info("started", "name", n.settings.Name, "data-centre", n.settings.DataCentre, "callers", n.settings.Listen.Callers)
	<-ctx.Done()
	n.stop(callers, relayServer)
	end()
	// Errors are of no consequence here: the process ends.
	_ = readyServer.Close()
	_ = metricsServer.Close()
	listeners.state.Close()
	_ = n.peerConn.Close()
	wg.Wait()
	read, ended := n.gate.Counts()
	n.log.Info("stopped", "name", n.settings.Name, "requests-read", read, "requests-ended", ended)
	return nil
}

// stop carries out the steps of a planned stop and closes the servers.
func (n *Node) stop(servers ...*http.Server) {
	n.mu.Lock()
	grace := n.settings.Stop.Grace.Std()
	n.mu.Unlock()
	n.log.Info("stopping", "grace", grace)
	s := shutdown.Shutdown{Begin: time.Now(), Grace: grace}
	n.gate.Stop(s)
	// Each step gets the interval at least: what waits at the listeners is accepted in that time.
	for step := shutdown.Serving; step != shutdown.Closed; time.Sleep(exitInterval) {
		next := s.Next(time.Now(), step, n.gate.Running(), n.connections.Counts().Open())
		if next == step {
			continue
		}
		step = next
		switch step {
		case shutdown.Refusing:
			n.gate.Refuse()
			open := n.connections.Counts()
			n.log.Info("exit-begun", "running", n.gate.Running(), "new", open.New, "idle", open.Idle, "head", open.Head, "request", open.Request)
		case shutdown.Closing:
			if running := n.gate.Running(); running > 0 {
				n.log.Info("grace-used-up", append([]any{"running", running}, n.gate.RunningByState()...)...)
			}
			n.gate.EndRequests()
			n.connections.EndUnused()
		}
	}
	if open := n.connections.Counts(); open.Open() > 0 {
		n.log.Info("connections-cut", "new", open.New, "idle", open.Idle, "head", open.Head, "request", open.Request)
	}
	for _, server := range servers {
		_ = server.Close() // the process ends
	}
	for n.gate.Running() > 0 && time.Now().Before(s.Lines()) {
		time.Sleep(linesInterval)
	}
	n.gate.LogUnfinished()
}

type listeners struct {
	callers, ready, state, metrics, relay net.Listener
}

func (n *Node) listen() (listeners, error) {
	var l listeners
	for _, a := range []struct {
		to      *net.Listener
		address string
	}{
		{&l.callers, n.settings.Listen.Callers}, {&l.ready, n.settings.Listen.Ready},
		{&l.state, n.settings.Listen.State}, {&l.metrics, n.settings.Listen.Metrics}, {&l.relay, n.peerAddress()},
	} {
		if a.address == "" {
			continue
		}
		listener, err := net.Listen("tcp", a.address)
		if err != nil {
			return l, code.ListenFailed.Wrap(err, "listen at %s", a.address)
		}
		*a.to = listener
	}
	udp, err := net.ResolveUDPAddr("udp", n.peerAddress())
	if err != nil {
		return l, code.ListenFailed.Wrap(err, "address %s", n.peerAddress())
	}
	if n.peerConn, err = net.ListenUDP("udp", udp); err != nil {
		return l, code.ListenFailed.Wrap(err, "listen at %s", n.peerAddress())
	}
	return l, nil
}

// peerAddress returns the address at which this entry receives the messages of its peers,
// and over TCP the requests that they relay: the host of the state listener with the news
// port.
func (n *Node) peerAddress() string {
	return n.peerAddressOf(n.settings.Listen.State)
}

func (n *Node) peerAddressOf(state string) string {
	host, _, err := net.SplitHostPort(state)
	if err != nil {
		return state // checked with the settings
	}
	return net.JoinHostPort(host, strconv.Itoa(n.settings.PeerStatePort))
}

func (n *Node) serve(s *http.Server, l net.Listener) {
	if err := s.Serve(l); err != nil && !errors.Is(err, http.ErrServerClosed) && !errors.Is(err, net.ErrClosed) {
		n.log.Error(err, "listener-ended", "address", l.Addr().String())
	}
}

// ready answers the probes of the balancer.
func (n *Node) ready(w http.ResponseWriter, _ *http.Request) {
	if n.stopping.Err() != nil || !n.view.Ready() {
		w.WriteHeader(http.StatusServiceUnavailable)
	}
}

func (n *Node) metricsHandler() http.Handler {
	r := httprouter.New()
	r.GET("/metrics", func(w http.ResponseWriter, _ *http.Request, _ httprouter.Params) { n.set.WritePrometheus(w) })
	return r
}

func (n *Node) sweep(ctx context.Context) {
	t := time.NewTicker(sweepInterval)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case now := <-t.C:
			n.view.Sweep(now)
		}
	}
}
