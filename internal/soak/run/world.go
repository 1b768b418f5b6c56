package run

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"strconv"
	"time"

	"agateward/internal/soak/ledger"
	"agateward/internal/soak/process"
	"agateward/internal/soak/proxy"
	"agateward/internal/soak/upstream"
	"agateward/ward"
)

// Names in the fleet of the soak.
const (
	engines, orders      = "engines", "orders"
	largeTeam, smallTeam = "large", "small"
	largeKey, smallKey   = "key-large", "key-small"
	host                 = "soak.example"
	dataCentreName       = "dc-1"
	firstVersion         = "v1"
)

// Sizes of the fleet of the soak: a small deployment of the kind that users run.
const (
	engineCount, ordersCount = 4, 3
	// slots is the number of requests that an upstream runs at once.
	slots = 6
	// streamTimeout and restTimeout are the time-outs of the routes.
	streamTimeout, restTimeout = 4 * time.Second, 1500 * time.Millisecond
	// smallRate and smallBurst are the quota of the small team in requests per second
	// and requests, well below the load of its callers.
	smallRate, smallBurst = 20.0, 10.0
	// quotaSlack is the tolerance of a quota in requests. retryRatio and retrySlack
	// bound retries as in the deployments of the users.
	quotaSlack             = 20.0
	retryRatio, retrySlack = 0.2, 60.0
	// entryMemory is the limit of the memory of an entry in megabytes.
	entryMemory = 284
	// grace is the time limit of a graceful stop of an entry.
	grace = 4 * time.Second
	// firstHost is the last byte of the loopback address of the first entry.
	firstHost = 21
)

// entry is one entry of the forwarding surface, with its own proxy to the store.
type entry struct {
	name    string
	address string
	link    *proxy.Proxy
	process.Process
	// inRotation is set while a balancer would send new connections to the entry.
	inRotation bool
	busy       bool
	// stopping is set from the signal to stop to the exit of the process.
	stopping bool
}

// replica is one replica of a service. Its upstream is replaced over time.
type replica struct {
	service string
	server  *upstream.Upstream
	link    *proxy.Proxy
	reg     ward.Replica
	version string
	bad     bool
	busy    bool
	// answers are the faults of its answers. mu of the soak guards the pointer.
	answers *upstream.Answers
}

// serveStore starts the stand-in store and returns its address.
func (s *Soak) serveStore() (string, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", fmt.Errorf("listen for the stand-in store: %w", err)
	}
	s.server = &http.Server{Handler: s.Store}
	go func() { _ = s.server.Serve(l) }() // ends with Close
	return l.Addr().String(), nil
}

// Listening ports of entries lie below the range from which the kernel takes the ports of
// outgoing connections: an entry that restarts must find its own ones free.
const minPort, maxPort = 12000, 32000

// freePorts returns the first of n consecutive ports that are free on the hosts of all
// entries.
func freePorts(n, entries int) (int, error) {
	for range 50 {
		if first := minPort + rand.IntN(maxPort-minPort-n); portsFree(first, n, entries) {
			return first, nil
		}
	}
	return 0, fmt.Errorf("no range of %d ports found", n)
}

func portsFree(first, n, entries int) bool {
	for i := range entries {
		for port := first; port < first+n; port++ {
			l, err := net.Listen("tcp", net.JoinHostPort(entryHost(i), strconv.Itoa(port)))
			if err != nil {
				return false
			}
			l.Close()
		}
	}
	return true
}

// entryHost returns the loopback address of entry i.
func entryHost(i int) string { return fmt.Sprintf("127.0.1.%d", firstHost+i) }

// addEntry writes the settings of an entry and starts it.
func (s *Soak) addEntry(i, port int, store string) error {
	ip := entryHost(i)
	e := &entry{name: fmt.Sprintf("entry-%d", i+1), address: net.JoinHostPort(ip, strconv.Itoa(port)), inRotation: true}
	e.link = &proxy.Proxy{Target: store}
	if err := e.link.Listen(); err != nil {
		return err
	}
	settings := map[string]any{
		"name": e.name, "data-centre": dataCentreName, "store": e.link.Address(), "news-port": port + 3,
		"listen": map[string]any{
			"callers": e.address, "ready": net.JoinHostPort(ip, strconv.Itoa(port+1)), "state": net.JoinHostPort(ip, strconv.Itoa(port+2)),
		},
		"seeds":   []string{net.JoinHostPort(entryHost(0), strconv.Itoa(port+2)), net.JoinHostPort(entryHost(1), strconv.Itoa(port+2))},
		"stop":    map[string]any{"grace": grace.String()},
		"retries": map[string]any{"ratio": retryRatio, "slack": retrySlack},
		"quotas":  map[string]any{"slack": quotaSlack},
		"limits":  map[string]any{"memory": entryMemory},
	}
	b, err := json.MarshalIndent(settings, "", "  ")
	if err != nil {
		return fmt.Errorf("settings of %s: %w", e.name, err)
	}
	file := filepath.Join(s.Dir, e.name+".jsonc")
	if err := os.WriteFile(file, b, 0o644); err != nil {
		return fmt.Errorf("settings of %s: %w", e.name, err)
	}
	e.Program, e.Args, e.Log = s.Program, []string{"forward", "--settings", file}, filepath.Join(s.Dir, e.name+".log")
	s.entries = append(s.entries, e)
	return e.Start()
}

// startUpstream starts an upstream of a replica and registers it. An empty id means a
// new id.
func (s *Soak) startUpstream(r *replica, id string) error {
	if id == "" {
		s.mu.Lock()
		s.upstreamCount++
		id = fmt.Sprintf("i-%d", s.upstreamCount)
		s.mu.Unlock()
	}
	s.mu.Lock()
	if r.answers == nil {
		r.answers = &upstream.Answers{}
	}
	answers := r.answers
	s.mu.Unlock()
	version := r.service + "/" + r.version
	ran := func(id, upstream, team string) { s.recordRun(version, id, upstream, team) }
	r.server = &upstream.Upstream{ID: id, Service: r.service, Engine: r.service == engines, Slots: slots, Dialect: s.Dialect, Faulty: r.bad, Answers: answers, OnRun: ran}
	r.server.OnArrive = func(id, upstream string) { s.ledger.Arrived(id, upstream, time.Now()) }
	r.server.OnLimit = func(id, upstream string, perSecond float64) {
		s.ledger.Limited(id, upstream, perSecond, time.Now())
	}
	r.server.OnLeaving = func(upstream string) { s.ledger.Leaving(upstream, time.Now()) }
	r.server.OnSilence = s.ledger.Silent
	cause := ledger.RequestCrash
	if r.service == engines {
		cause, r.server.CrashPart = ledger.PartCrash, crashPart.ID
	} else {
		r.server.CrashPath = s.crashPath()
	}
	r.server.OnReach = func(id, upstream string) { s.ledger.Reached(id, upstream, time.Now()) }
	if err := r.server.Listen(); err != nil {
		return err
	}
	r.link = &proxy.Proxy{Target: r.server.Address()}
	server, link := r.server, r.link
	server.OnCrash = func(request, _ string) {
		s.crashUpstream(upstreamCrash{replica: r, server: server, link: link, cause: cause}, request)
	}
	if err := r.link.Listen(); err != nil {
		return err
	}
	r.reg = ward.Replica{
		ID: id, Born: time.Now().UnixMilli(), Service: r.service, DataCentre: dataCentreName,
		Address: r.link.Address(), Slots: slots, Version: r.version,
	}
	return s.Store.Register(r.reg)
}

// configure puts the next configuration version in force. Only that version has the
// route named by its number.
func (s *Soak) configure() error {
	s.mu.Lock()
	s.version++
	v := s.version
	s.mu.Unlock()
	route := func(name string, kind ward.ForwardKind, service string, timeout time.Duration, attempts int) ward.ForwardRoute {
		return ward.ForwardRoute{
			Name: name, Host: host, Prefix: "/" + name + "/", Kind: kind, Timeout: ward.Duration(timeout), Attempts: attempts,
			Target: ward.Duration(timeout / 4), Resumable: kind == ward.ForwardStream, Split: []ward.ForwardShare{{Service: service, Weight: 1}},
		}
	}
	once := route("once", ward.ForwardStream, engines, streamTimeout, 2)
	once.Resumable = false
	err := s.Store.Configure(ward.Forwarding{
		Version: v,
		Routes: []ward.ForwardRoute{
			route("stream", ward.ForwardStream, engines, streamTimeout, 3),
			once,
			route("order", ward.ForwardUnsafe, orders, restTimeout, 2),
			route("stock", ward.ForwardSafe, orders, restTimeout, 3),
			route(fmt.Sprint("v", v), ward.ForwardSafe, orders, restTimeout, 3),
		},
		Services: []ward.ForwardService{{Name: engines, Engine: true, Stride: 1}, {Name: orders}},
		Teams: []ward.ForwardTeam{
			{Name: largeTeam, Keys: []string{largeKey}},
			{Name: smallTeam, Keys: []string{smallKey}, Rate: smallRate, Burst: smallBurst},
		},
	})
	s.ledger.Acknowledged(v, time.Now())
	return err
}
