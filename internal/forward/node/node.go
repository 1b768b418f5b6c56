// Package node composes one entry of the forwarding surface: its listeners, what
// it follows in the platform's store, and its exchange with the other entries.
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
	"agateward/internal/forward/gate"
	"agateward/internal/forward/peers"
	"agateward/internal/forward/quota"
	"agateward/internal/forward/retry"
	"agateward/internal/forward/rollout"
	"agateward/internal/forward/view"
	"agateward/internal/result/code"
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
	// balancerLag is the time after which no balancer sends new connections: it
	// asks once a second and takes an entry out after two answers.
	balancerLag = 2600 * time.Millisecond
	// stopPart is the part of the grace after which what still runs is cut.
	stopPart = 0.9
	// memoryPart is the part of the memory limit at which the garbage collector
	// works harder.
	memoryPart = 0.75
	// sweepEvery is the interval of looking for lapsed registrations.
	sweepEvery = 100 * time.Millisecond
	// announceEvery renews the announcement in the store. The list of entries is
	// read again after listFirst, then after twice that, up to listMost.
	announceEvery = 2 * time.Minute
	listFirst     = 500 * time.Millisecond
	listMost      = 15 * time.Second
)

// Parts are what a node is made of besides its settings.
type Parts struct {
	Source  ward.ForwardSource
	Dialect ward.Dialect
	Log     logr.Logger
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
	start    int64

	mu    sync.Mutex
	peers peers.Set
	cell  peers.Cell
	// fetching says that documents are being fetched from a peer.
	fetching bool
	sequence uint64
	news     *net.UDPConn
	soon     chan struct{}

	stopping context.Context
}

// New composes a node. It opens no listener.
func New(s forwarding.Settings, p Parts) *Node {
	n := &Node{settings: s, source: p.Source, log: p.Log, set: metrics.NewSet(), start: time.Now().UnixNano(), soon: make(chan struct{}, 1)}
	n.peers.Self = s.Name
	n.view = &view.View{Source: p.Source, Log: p.Log, Changed: n.changed, Reads: n.reads}
	pool := &backend.Pool{Opened: n.set.NewCounter("agateward_forward_connections_opened_total").Inc}
	n.rollout = &rollout.Rollout{
		Self: s.Name, Start: n.start, Source: p.Source, Log: p.Log, Orders: n.view.Rollouts, Upstreams: n.view.Upstreams,
		Fleet: n.fleet, Cells: n.parted, Publish: n.tellMoves, Changed: func() { n.gate.Refresh() },
	}
	n.gate = &gate.Gate{
		Dialect: p.Dialect, View: n.view, Pool: pool, Log: p.Log, Rollout: n.rollout,
		Metrics: &gate.Metrics{Set: n.set}, MaxBody: s.Limits.MaxBody, Start: n.start, SendGrant: n.yield, TriggerBroadcast: n.urgent,
	}
	n.gate.Prepare(setup(s))
	n.gate.SetEntries(firstEntries)
	return n
}

// setup returns the parts of the gate that come from the settings.
func setup(s forwarding.Settings) gate.Setup {
	return gate.Setup{Name: s.Name, DataCentre: s.DataCentre, Retries: retry.Budget{
		Ratio: s.Retries.Ratio, Slack: s.Retries.Slack, Window: s.Retries.Window.Std(),
	}, Quotas: quota.Ledger{
		Slack: quotaPart * s.Quotas.Slack, StartFull: s.FirstStart,
	}}
}

// quotaPart is the part of a quota's tolerance that is given out; the rest covers
// what entries have let through and not yet told each other.
const quotaPart = 0.4

// firstEntries is the number of entries to share with before any peer is heard.
const firstEntries = 8

func (n *Node) changed() {
	n.gate.Refresh()
	n.urgent()
}

// Run serves until ctx ends, and then stops within the grace.
func (n *Node) Run(ctx context.Context) error {
	if n.settings.Limits.Memory > 0 {
		debug.SetMemoryLimit(int64(memoryPart * float64(n.settings.Limits.Memory<<20)))
	}
	listeners, err := n.listen()
	if err != nil {
		return err
	}
	work, end := context.WithCancel(context.WithoutCancel(ctx))
	defer end()
	n.stopping = ctx
	callers := &http.Server{
		Handler: n.gate, ReadHeaderTimeout: headerTimeout, IdleTimeout: idleTimeout, MaxHeaderBytes: maxHeader,
		ErrorLog: slog.NewLogLogger(logr.ToSlogHandler(n.log), slog.LevelError),
	}
	ready := &http.Server{Handler: http.HandlerFunc(n.ready), ReadHeaderTimeout: headerTimeout}
	shown := &http.Server{Handler: n.metricsHandler(), ReadHeaderTimeout: headerTimeout}
	var wg conc.WaitGroup
	wg.Go(func() { n.view.Run(work) })
	wg.Go(func() { n.gate.Run(work) })
	wg.Go(func() { n.rollout.Run(work) })
	wg.Go(func() { n.sweep(work) })
	wg.Go(func() { n.announce(work) })
	wg.Go(func() { n.tell(work) })
	wg.Go(func() { n.hear(work) })
	wg.Go(func() { n.serveState(work, listeners.state) })
	wg.Go(func() { n.serve(ready, listeners.ready) })
	wg.Go(func() { n.serve(callers, listeners.callers) })
	if listeners.metrics != nil {
		wg.Go(func() { n.serve(shown, listeners.metrics) })
	}
	n.log.Info("started", "name", n.settings.Name, "data-centre", n.settings.DataCentre, "callers", n.settings.Listen.Callers)
	<-ctx.Done()
	n.stop(callers)
	end()
	// What these still do matters to nobody: the process ends.
	_ = ready.Close()
	_ = shown.Close()
	listeners.state.Close()
	_ = n.news.Close()
	wg.Wait()
	n.log.Info("stopped", "name", n.settings.Name)
	return nil
}

// stop takes no new connections once the balancer has noticed, and lets what runs
// come to its end.
func (n *Node) stop(callers *http.Server) {
	n.mu.Lock()
	grace := n.settings.Stop.Grace.Std()
	n.mu.Unlock()
	n.log.Info("stopping", "grace", grace)
	n.gate.Stop()
	lag := min(balancerLag, grace/2)
	time.Sleep(lag)
	ctx, cancel := context.WithTimeout(context.Background(), time.Duration(stopPart*float64(grace))-lag)
	defer cancel()
	if err := callers.Shutdown(ctx); err != nil {
		n.log.Info("grace-used-up", "error", err.Error())
		_ = callers.Close()
	}
}

type listeners struct {
	callers, ready, state, metrics net.Listener
}

func (n *Node) listen() (listeners, error) {
	var l listeners
	for _, a := range []struct {
		to      *net.Listener
		address string
	}{
		{&l.callers, n.settings.Listen.Callers}, {&l.ready, n.settings.Listen.Ready},
		{&l.state, n.settings.Listen.State}, {&l.metrics, n.settings.Listen.Metrics},
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
	udp, err := net.ResolveUDPAddr("udp", n.newsAddress())
	if err != nil {
		return l, code.ListenFailed.Wrap(err, "address %s", n.newsAddress())
	}
	if n.news, err = net.ListenUDP("udp", udp); err != nil {
		return l, code.ListenFailed.Wrap(err, "listen at %s", n.newsAddress())
	}
	return l, nil
}

// newsAddress is where this entry hears its peers: the host of the state
// listener and the news port.
func (n *Node) newsAddress() string {
	return n.newsOf(n.settings.Listen.State)
}

func (n *Node) newsOf(state string) string {
	host, _, err := net.SplitHostPort(state)
	if err != nil {
		return state // checked with the settings
	}
	return net.JoinHostPort(host, strconv.Itoa(n.settings.NewsPort))
}

func (n *Node) serve(s *http.Server, l net.Listener) {
	if err := s.Serve(l); err != nil && !errors.Is(err, http.ErrServerClosed) {
		n.log.Error(err, "listener-ended", "address", l.Addr().String())
	}
}

// ready answers the balancer.
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
	t := time.NewTicker(sweepEvery)
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
