//nolint:forbidigo // the stand-ins run on the real clock
package main

import (
	"encoding/json"
	"errors"
	"fmt"
	"maps"
	"net"
	"net/http"
	"os"
	"os/exec" //nolint:depguard // the program under test runs as separate processes
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"

	"agateward/platform"
	"agateward/platform/standin"
)

// Times of the world.
const (
	// readyTimeout bounds the start of an entry.
	readyTimeout = 15 * time.Second
	// heartbeatTime is HeartbeatMs of the settings.
	heartbeatTime = 1200 * time.Millisecond
	// graceS is GraceS of the settings, in seconds.
	graceS = 8
)

// world is a small deployment: the platform's store, entries and replicas.
type world struct {
	program string
	dir     string
	trouble bool
	begin   time.Time
	store   *standin.Store
	ports   ports
	entries []*entry
	// zones holds the zone of each machine; without it, all are in cpt-a.
	zones []string
	// written is called after an entry's conditional write was answered, unless it is nil.
	written func(e *entry, body []byte)

	mu     sync.Mutex
	record *os.File
	closer []func()

	// registered holds the registrations that their replicas renew, by id.
	registeredMu sync.Mutex
	registered   map[string]registration
}

// registration is what a replica writes about itself.
type registration struct {
	Service, Address, Zone, Version string
	Slots                           int
	State                           string
	ColdRemainingMs, Seq            int
	Born                            int64 `json:"born"`
}

// ports are the same on all machines of the world.
type ports struct{ front, ready, control, first, last int }

// entry is one process of the program under test.
type entry struct {
	name, host, zone string
	front            string
	// path is the entry's network path to the platform's store.
	path *path
	cmd  *exec.Cmd
	// ended is closed once the process has ended, as state says.
	ended chan struct{}
	state string
}

func newWorld(program, record string) (*world, error) {
	program, err := filepath.Abs(program)
	if err != nil {
		return nil, err
	}
	if _, err := os.Stat(program); err != nil {
		return nil, fmt.Errorf("the program under test: %w", err)
	}
	f, err := os.Create(record)
	if err != nil {
		return nil, err
	}
	dir, err := os.MkdirTemp("", "review-")
	if err != nil {
		return nil, err
	}
	w := &world{program: program, dir: dir, begin: time.Now(), store: &standin.Store{}, record: f, registered: make(map[string]registration)}
	w.closer = append(w.closer, func() { _ = os.RemoveAll(dir) }, w.heartbeat())
	w.ports, err = freePorts(hostOf(0))
	return w, err
}

// close ends all processes and removes the temporary folder.
func (w *world) close() {
	for _, e := range w.entries {
		_ = e.cmd.Process.Signal(syscall.SIGCONT)
		_ = e.cmd.Process.Kill()
		<-e.ended
	}
	for i := len(w.closer) - 1; i >= 0; i-- {
		w.closer[i]()
	}
	_ = w.record.Close()
}

// note writes a line with the time since the begin to the record and to standard output.
func (w *world) note(format string, args ...any) {
	w.mu.Lock()
	defer w.mu.Unlock()
	line := fmt.Sprintf("%8.3f %s\n", time.Since(w.begin).Seconds(), fmt.Sprintf(format, args...))
	_, _ = w.record.WriteString(line)
	fmt.Print(line)
}

// hostOf returns the loopback address of machine i, which differs from one run to another.
func hostOf(i int) string {
	pid := os.Getpid()
	return fmt.Sprintf("127.%d.%d.%d", 16+pid>>8&0x3f, pid&0xff, 10+i)
}

// freePorts returns ports that nobody uses on host.
func freePorts(host string) (ports, error) {
	for range 50 {
		l, err := net.Listen("tcp", net.JoinHostPort(host, "0"))
		if err != nil {
			return ports{}, err
		}
		p := l.Addr().(*net.TCPAddr).Port
		_ = l.Close()
		if p+20 < 1<<16 {
			return ports{p, p + 1, p + 2, p + 3, p + 18}, nil
		}
	}
	return ports{}, errors.New("no free ports")
}

// start starts n entries and waits until each says that it is ready.
func (w *world) start(n int) error {
	for i := range n {
		if err := w.startEntry(i); err != nil {
			return err
		}
	}
	for _, e := range w.entries {
		if err := w.awaitReady(e); err != nil {
			return err
		}
	}
	w.note("%d entries are ready", n)
	return nil
}

func (w *world) startEntry(i int) error {
	host := hostOf(i)
	zone := "cpt-a"
	if i < len(w.zones) {
		zone = w.zones[i]
	}
	e := &entry{name: fmt.Sprintf("front-%s-%d", zone, i+1), zone: zone, host: host, front: fmt.Sprintf("%s:%d", host, w.ports.front), ended: make(chan struct{})}
	if err := w.openPath(e); err != nil {
		return err
	}
	file := filepath.Join(w.dir, e.name+".jsonc")
	if err := os.WriteFile(file, []byte(w.settings(e)), 0o600); err != nil {
		return err
	}
	out, err := os.Create(filepath.Join(w.dir, e.name+".log"))
	if err != nil {
		return err
	}
	e.cmd = exec.Command(w.program, "forward")
	e.cmd.Env = []string{"AGATEWARD_CONFIG=" + file, "PATH=" + os.Getenv("PATH")}
	e.cmd.Stdout, e.cmd.Stderr = out, out
	if err := e.cmd.Start(); err != nil {
		return err
	}
	w.entries = append(w.entries, e)
	go func() {
		_ = e.cmd.Wait()
		e.state = e.cmd.ProcessState.String()
		w.note("process of %s has ended: %s", e.name, e.state)
		_ = out.Close()
		close(e.ended)
	}()
	return nil
}

// settings fills in deploy/entry.jsonc.tmpl with the figures of a small deployment.
func (w *world) settings(e *entry) string {
	p := w.ports
	at := func(host string, port int) string { return fmt.Sprintf("%q", fmt.Sprintf("%s:%d", host, port)) }
	return strings.Join([]string{
		`{ "name": "` + e.name + `", "data-centre": "` + e.zone + `",`,
		`"listen": { "callers": ` + at(e.host, p.front) + `, "ready": ` + at(e.host, p.ready) + `, "state": ` + at(e.host, p.control) + `, "metrics": ` + at(e.host, p.last) + ` },`,
		`"store": "` + e.path.address + `", "seeds": [` + at(hostOf(0), p.control) + `], "news-port": ` + fmt.Sprint(p.first) + `,`,
		`"stop": { "grace": "` + fmt.Sprint(graceS) + `s" },`,
		`"retries": { "ratio": 0.2, "slack": 52, "window": "10s" }, "quotas": { "slack": 190000 },`,
		`"roll-outs": { "expose-share": 0.1, "expose-requests": 50 }, "first-start": true, "limits": { "memory": 284 },`,
		`"scheduling": { "fair-teams": true, "prefer-returns": false, "lend-slots": true, "protect-streams": true, "learn-concurrency": false },`,
		`"regions": {"cpt-a": "cpt", "cpt-b": "cpt", "cpt-c": "cpt", "cpt-d": "cpt", "cpt-e": "cpt"}, "log-level": "info" }`,
	}, "\n")
}

func (w *world) awaitReady(e *entry) error {
	c := &http.Client{Timeout: time.Second}
	defer c.CloseIdleConnections()
	for end := time.Now().Add(readyTimeout); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		res, err := c.Get(fmt.Sprintf("http://%s:%d/-/ready", e.host, w.ports.ready))
		if err != nil {
			continue
		}
		_ = res.Body.Close()
		if res.StatusCode == http.StatusOK {
			return nil
		}
	}
	return fmt.Errorf("%s is not ready in %v", e.name, readyTimeout)
}

// signal sends a signal to the process of an entry.
func (w *world) signal(e *entry, s syscall.Signal) {
	err := e.cmd.Process.Signal(s)
	w.note("%v to %s, error %v", s, e.name, err)
}

// log returns the last lines of an entry's log that hold text.
func (w *world) log(e *entry, text string) []string {
	b, _ := os.ReadFile(filepath.Join(w.dir, e.name+".log"))
	var list []string
	for _, line := range strings.Split(string(b), "\n") {
		if strings.Contains(line, text) {
			list = append(list, line)
		}
	}
	return list
}

// configure writes a configuration as the operator does.
func (w *world) configure(version int, routes []map[string]any, services []string) error {
	list := make([]any, len(services))
	for i, name := range services {
		list[i] = map[string]any{"Name": name, "HealthPath": "/health", "MaxConnections": 96, "Protocol": "h1", "Tls": false}
	}
	b, err := json.Marshal(map[string]any{
		"Version": version, "Routes": routes, "Services": list,
		"Limits":  map[string]any{"MaxHeaderBytes": 16384, "MaxBodyBytes": 4194304, "HeaderTimeoutMs": 3000, "IdleTimeoutMs": 15000},
		"Tenants": []any{},
	})
	if err != nil {
		return err
	}
	w.store.Put(platform.ConfigKey, b)
	return nil
}

// register registers a replica, which renews its registration from then on.
func (w *world) register(id, service, address, version string) error {
	return w.beat(id, registration{Service: service, Address: address, Zone: "cpt-a", Version: version, Slots: 6, State: "ready", Born: time.Now().UnixMilli()})
}

// beat writes a registration with the next number.
func (w *world) beat(id string, r registration) error {
	w.registeredMu.Lock()
	defer w.registeredMu.Unlock()
	r.Seq++
	b, err := json.Marshal(r)
	if err != nil {
		return err
	}
	w.registered[id] = r
	w.store.Put(platform.ReplicaPrefix+id, b)
	return nil
}

// heartbeat renews the registrations until the returned function is called.
func (w *world) heartbeat() (stop func()) {
	t := time.NewTicker(heartbeatTime)
	done := make(chan struct{})
	go func() {
		for {
			select {
			case <-done:
				return
			case <-t.C:
			}
			w.registeredMu.Lock()
			list := maps.Clone(w.registered)
			w.registeredMu.Unlock()
			for id := range list {
				w.renew(id)
			}
		}
	}()
	return func() { t.Stop(); close(done) }
}

// renew renews a registration unless its replica has ended meanwhile.
func (w *world) renew(id string) {
	w.registeredMu.Lock()
	r, ok := w.registered[id]
	w.registeredMu.Unlock()
	if ok {
		_ = w.beat(id, r) // a registration always encodes
	}
}

// drain lets a replica say that it is draining.
func (w *world) drain(id string) error {
	w.registeredMu.Lock()
	r := w.registered[id]
	w.registeredMu.Unlock()
	r.State = "draining"
	return w.beat(id, r)
}

// withdraw removes the registration of a replica that has left.
func (w *world) withdraw(id string) {
	w.registeredMu.Lock()
	delete(w.registered, id)
	w.registeredMu.Unlock()
	w.store.Delete(platform.ReplicaPrefix + id)
}

// lose ends the renewals of a replica that has crashed. Its registration is removed after three
// heartbeat intervals of silence.
func (w *world) lose(id string) {
	w.registeredMu.Lock()
	delete(w.registered, id)
	w.registeredMu.Unlock()
	time.AfterFunc(3*heartbeatTime, func() { w.store.Delete(platform.ReplicaPrefix + id) })
}

// setWritten sets the function that is called after an entry's conditional write was answered.
func (w *world) setWritten(f func(e *entry, body []byte)) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.written = f
}
