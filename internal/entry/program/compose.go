package program

import (
	"errors"
	"hash/fnv"
	"net"
	"net/http"
	"time"

	"agateward/internal/caller/intake"
	callers "agateward/internal/caller/surface"
	"agateward/internal/entry/gossip"
	"agateward/internal/entry/mover"
	"agateward/internal/entry/path"
	"agateward/internal/entry/relay"
	"agateward/internal/entry/report"
	"agateward/internal/entry/revision"
	"agateward/internal/entry/roster"
	"agateward/internal/entry/runs"
	"agateward/internal/operator/access"
	"agateward/internal/operator/notice"
	operators "agateward/internal/operator/surface"
	"agateward/internal/peer/wire"
	"agateward/internal/platform/client"
	"agateward/internal/request/scheduler"
	"agateward/internal/result/code"
	"agateward/internal/run/shard"
	"agateward/internal/ticket/acceptance"
	"agateward/internal/upstream/answer"
	"agateward/internal/upstream/engine"
	"agateward/internal/upstream/service"
	"agateward/internal/upstream/transport"
	"agateward/ward"

	"github.com/google/uuid"
	"golang.org/x/net/netutil"
)

// parts are the components of an entry.
type parts struct {
	engine  *engine.Engine
	service *service.Service
	holder  *revision.Holder
	reports *report.Reader
	runs    *runs.Runs
	roster  *roster.Reader
	gossip  *gossip.Gossip
	peer    *wire.Client
	wire    *wire.Server
	mover   *mover.Mover
	// changed wakes runExchange when there is new state to exchange.
	changed chan struct{}
}

// listen opens the listeners for callers, operators and peers.
func (p *Program) listen() error {
	for _, l := range []struct {
		address string
		at      *net.Listener
	}{
		{p.settings.Callers.Address, &p.listeners.callers},
		{p.settings.Operators.Address, &p.listeners.operators},
		{p.settings.Peers.Address, &p.listeners.peers},
	} {
		listener, err := net.Listen("tcp", l.address)
		if err != nil {
			p.closeListeners()
			return code.ListenFailed.Wrap(err, "listen on %s", l.address)
		}
		*l.at = listener
	}
	p.listeners.callers = p.connections.Listen(&limitedListener{
		Listener: netutil.LimitListener(p.listeners.callers, p.settings.Callers.MaxConnections),
		all:      p.listeners.callers,
	})
	return nil
}

// limitedListener limits the number of open connections. The listener of netutil has no
// deadline, which the connections tracker needs.
type limitedListener struct {
	net.Listener
	all net.Listener
}

// SetDeadline bounds the wait for connections.
func (l *limitedListener) SetDeadline(t time.Time) error {
	if d, ok := l.all.(interface{ SetDeadline(t time.Time) error }); ok {
		return d.SetDeadline(t)
	}
	return errors.ErrUnsupported
}

func (p *Program) closeListeners() {
	for _, l := range []net.Listener{p.listeners.callers, p.listeners.operators, p.listeners.peers} {
		if l != nil {
			l.Close()
		}
	}
}

// compose creates the parts and connects them.
func (p *Program) compose() {
	s := p.settings
	p.platform = client.New(client.Settings{Address: s.Platform.Address, Timeout: s.Platform.Timeout.Std(), Clock: p.clock})
	p.board = notice.New(notice.Deps{Webhook: s.Operators.Webhook, Clock: p.clock, Log: p.log, Count: p.metrics.Event})
	limits := transport.Limits{Dial: s.Requests.ConnectTimeout.Std(), Read: s.Requests.ChunkTimeout.Std()}
	p.engine = &engine.Engine{Transport: transport.Transport{Limits: limits}, Limits: answer.Limits{Body: int64(s.Requests.MaxAnswer)}}
	p.service = &service.Service{Transport: transport.Transport{Limits: limits}, Limits: answer.Limits{Body: int64(s.Requests.MaxAnswer)}}
	p.composePeers()
	p.composeMoves()
	p.runs = &runs.Runs{
		Store: p.platform.Store(), Clock: p.clock, Log: p.log, Shards: s.Records.Shards,
		Limits: shard.Limits{Keep: s.Records.Keep.Std()}, MaxBody: s.Records.MaxAnswer,
	}
	p.path = path.New(path.Deps{
		Runs: p.runs, Base: p.base,
		Scheduler: scheduler.New(scheduler.Settings{
			Self: s.Name, DataCentre: s.DataCentre, MaxWaiting: s.Requests.MaxWaiting,
		}, p.seed()),
		Relay:   &relay.Relay{Engine: p.engine, Service: p.service, Clock: p.clock, Log: p.log},
		Observe: p.mover.Observe, Waste: p.metrics.WastedPrefill, Clock: p.clock, Log: p.log, Trace: p.trace, Explain: p.explain,
	})
	p.reports = report.New(report.Deps{
		Backend: p.backend, Config: p.holder.Current, Entries: p.gossip.Live, InUse: p.inUse,
		Report: func(r ward.LoadReport) {
			p.path.Do(func(s *scheduler.Scheduler, now time.Time) []scheduler.Action { s.Report(now, r); return nil })
		},
		Cache: func(upstream string, events []ward.CacheEvent) {
			p.path.Do(func(s *scheduler.Scheduler, now time.Time) []scheduler.Action {
				s.AddCacheEvents(now, upstream, events)
				return nil
			})
		},
		Interval: s.Requests.ReportInterval.Std(), Clock: p.clock, Log: p.log, Seed: p.seed(),
	})
	p.callers = p.server(callers.New(callers.Deps{
		Intake: intake.Intake{
			Entry: s.Name, DefaultDeadline: s.Requests.DefaultDeadline.Std(), MaxDeadline: s.Requests.MaxDeadline.Std(),
		},
		MaxBody: s.Callers.MaxBody, WriteTimeout: s.Callers.WriteTimeout.Std(), Config: p.holder.Current, Open: p.path.Open,
		Ending: p.exiting.Load,
		Clock:  p.clock, Log: p.log, Metrics: p.metrics, Trace: p.trace, Explain: p.explain,
	}))
	p.callers.ConnState = p.connections.StateChanged
	p.operators = p.server(operators.New(operators.Deps{
		Key: access.New(s.Operators.Key),
		Acceptance: &acceptance.Acceptance{
			Store: p.platform.Store(), Clock: p.clock, Fleet: s.Fleet, NewAttempt: uuid.NewString,
			Accepted: func(c *ward.Config) { p.holder.Adopt(c) },
		},
		Config: p.holder.Current, Moves: p.mover.States, Status: p.status, Ready: p.ready,
		EventLog: p.board, Explain: p.explain, Metrics: p.metrics, Clock: p.clock, Log: p.log,
	}))
	p.gauges()
}

// server returns an HTTP server with the limits of the callers' listener. Each
// write has its own deadline, set by the surfaces.
func (p *Program) server(h http.Handler) *http.Server {
	c := p.settings.Callers
	return &http.Server{
		Handler: h, ReadTimeout: c.ReadTimeout.Std(), ReadHeaderTimeout: c.ReadTimeout.Std(),
		IdleTimeout: c.IdleTimeout.Std(), MaxHeaderBytes: c.MaxHeader,
	}
}

// backend returns the adapter for a kind of upstream.
func (p *Program) backend(kind ward.UpstreamKind) ward.Backend {
	if kind == ward.KindService {
		return p.service
	}
	return p.engine
}

// inUse returns the names of the upstreams to which this entry sends requests now.
func (p *Program) inUse() []string {
	var names []string
	for _, u := range p.path.State().Upstreams {
		if u.Share > 0 || u.InFlight > 0 {
			names = append(names, u.Name)
		}
	}
	return names
}

// seed returns a seed that differs between entries that start together.
func (p *Program) seed() uint64 {
	h := fnv.New64a()
	_, _ = h.Write([]byte(p.settings.Name))
	return h.Sum64() ^ uint64(p.incarnation)
}

// ignoreServerClosed returns nil when err means that the server was closed, or else err.
func ignoreServerClosed(err error) error {
	if errors.Is(err, http.ErrServerClosed) {
		return nil
	}
	return err
}

// ignoreExit returns nil when err means that the server was closed or that its listener ended
// at the exit, or else err.
func (p *Program) ignoreExit(err error) error {
	if p.exiting.Load() && errors.Is(err, net.ErrClosed) {
		return nil
	}
	return ignoreServerClosed(err)
}

// ready returns nil when the entry accepts requests.
func (p *Program) ready() error {
	if p.stopping.Load() {
		return code.Stopping.New("the entry is stopping")
	}
	if p.holder.Current() == nil {
		return code.NotReady.New("the entry has no configuration yet")
	}
	return nil
}
