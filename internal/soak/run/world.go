package run

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"strconv"
	"time"

	"agateward/internal/soak/process"
	"agateward/internal/soak/proxy"
	"agateward/internal/soak/upstream"
	"agateward/ward"
)

// Names in the soak's fleet.
const (
	engines, orders      = "engines", "orders"
	largeTeam, smallTeam = "large", "small"
	largeKey, smallKey   = "key-large", "key-small"
	host                 = "soak.example"
	dataCentreName       = "dc-1"
	firstVersion         = "v1"
)

// Sizes of the soak's fleet: small ones of the kind that the users run.
const (
	engineCount, ordersCount = 4, 3
	// slots is the number of requests that an upstream runs at once.
	slots = 6
	// streamTimeout and restTime are the time-outs of the routes.
	streamTimeout, restTime = 4 * time.Second, 1500 * time.Millisecond
	// smallRate and smallBurst are the quota of the small team in requests a second
	// and requests: well below what its callers ask.
	smallRate, smallBurst = 20.0, 10.0
	// quotaSlack is the tolerance of a quota in requests; repeatRatio and repeatSlack
	// bound repeats as in the users' deployments.
	quotaSlack               = 20.0
	repeatRatio, repeatSlack = 0.2, 60.0
	// grace is the time from the signal to stop to the end of an entry.
	grace = 4 * time.Second
	// firstHost is the last number of the first entry's loopback address.
	firstHost = 21
)

// entry is one entry of the forwarding surface, behind its own path to the store.
type entry struct {
	name    string
	address string
	link    *proxy.Proxy
	process.Process
	// open says that a balancer would send new connections.
	open bool
	busy bool
}

// replica is one place of an upstream: the process there changes.
type replica struct {
	service string
	up      *upstream.Upstream
	link    *proxy.Proxy
	reg     ward.Replica
	version string
	bad     bool
	busy    bool
}

// serveStore opens the store for the entries' paths to it.
func (s *Soak) serveStore() (string, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", fmt.Errorf("stand-in store: %w", err)
	}
	s.server = &http.Server{Handler: s.Store}
	go func() { _ = s.server.Serve(l) }() // ends with Close
	return l.Addr().String(), nil
}

// freePorts returns the first of n ports that were free a moment ago.
func freePorts(n int) (int, error) {
	for range 50 {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			return 0, err
		}
		first := l.Addr().(*net.TCPAddr).Port
		l.Close()
		if first+n < 1<<16 {
			return first, nil
		}
	}
	return 0, fmt.Errorf("no %d free ports", n)
}

// addEntry writes the settings of an entry and starts it.
func (s *Soak) addEntry(i, port int, store string) error {
	ip := fmt.Sprintf("127.0.1.%d", firstHost+i)
	e := &entry{name: fmt.Sprintf("entry-%d", i+1), address: net.JoinHostPort(ip, strconv.Itoa(port)), open: true}
	e.link = &proxy.Proxy{Target: store}
	if err := e.link.Listen(); err != nil {
		return err
	}
	settings := map[string]any{
		"name": e.name, "data-centre": dataCentreName, "store": e.link.Address(), "news-port": port + 3,
		"listen": map[string]any{
			"callers": e.address, "ready": net.JoinHostPort(ip, strconv.Itoa(port+1)), "state": net.JoinHostPort(ip, strconv.Itoa(port+2)),
		},
		"seeds":   []string{fmt.Sprintf("127.0.1.%d:%d", firstHost, port+2), fmt.Sprintf("127.0.1.%d:%d", firstHost+1, port+2)},
		"stop":    map[string]any{"grace": grace.String()},
		"retries": map[string]any{"ratio": repeatRatio, "slack": repeatSlack},
		"quotas":  map[string]any{"slack": quotaSlack},
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

// place starts an upstream and registers it; id empty means a new one.
func (s *Soak) place(r *replica, id string) error {
	if id == "" {
		s.mu.Lock()
		s.made++
		id = fmt.Sprintf("i-%d", s.made)
		s.mu.Unlock()
	}
	version := r.service + "/" + r.version
	ran := func(id, upstream, team string) { s.ran(version, id, upstream, team) }
	r.up = &upstream.Upstream{ID: id, Service: r.service, Engine: r.service == engines, Slots: slots, Dialect: s.Dialect, Bad: r.bad, Ran: ran}
	if err := r.up.Listen(); err != nil {
		return err
	}
	r.link = &proxy.Proxy{Target: r.up.Address()}
	if err := r.link.Listen(); err != nil {
		return err
	}
	r.reg = ward.Replica{
		ID: id, Born: time.Now().UnixMilli(), Service: r.service, DataCentre: dataCentreName,
		Address: r.link.Address(), Slots: slots, Version: r.version,
	}
	return s.Store.Register(r.reg)
}

// configure puts the next version in force: it alone has the route of its number.
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
	err := s.Store.Configure(ward.Forwarding{
		Version: v,
		Routes: []ward.ForwardRoute{
			route("stream", ward.ForwardStream, engines, streamTimeout, 3),
			route("order", ward.ForwardUnsafe, orders, restTime, 2),
			route("stock", ward.ForwardSafe, orders, restTime, 3),
			route(fmt.Sprint("v", v), ward.ForwardSafe, orders, restTime, 3),
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
