package main

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"sync"
	"syscall"
	"time"

	"agateward/platform/standin"
)

const (
	program  = "target/agateward"
	host     = "seats.example"
	zone     = "cpt-a"
	region   = "cpt"
	beatTime = 1200 * time.Millisecond
	// grace, the retry budget and the memory limit are those of the site tafel-prod.
	grace = 8 * time.Second
	// readyTime is how long an entry may take to start.
	readyTime = 10 * time.Second
)

// world is a small deployment: the store, entries, and the registrations of replicas.
type world struct {
	store     *standin.Store
	storeAddr string
	dir       string
	entries   []*entry

	start time.Time
	mu    sync.Mutex
	out   *os.File
	stop  context.CancelFunc
	ctx   context.Context
}

// entry is one process of the system.
type entry struct {
	name, front, ready string
	settings, log      string
	// document is the content of the settings.
	document map[string]any
	started  bool
	cmd      *exec.Cmd
	done     chan struct{}
}

func newWorld(recordFile string) (*world, error) {
	out, err := os.Create(recordFile)
	if err != nil {
		return nil, err
	}
	dir, err := os.MkdirTemp("", "review-")
	if err != nil {
		return nil, err
	}
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	w := &world{store: &standin.Store{}, storeAddr: l.Addr().String(), dir: dir, start: time.Now(), out: out}
	w.ctx, w.stop = context.WithCancel(context.Background())
	s := &http.Server{Handler: w.store}
	go func() { _ = s.Serve(l) }() // ends with the process
	return w, nil
}

// again ends the deployment and returns another one, with the same record.
func (w *world) again() (*world, error) {
	w.stop()
	for _, e := range w.entries {
		e.kill()
	}
	w.entries = nil
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	n := &world{store: &standin.Store{}, storeAddr: l.Addr().String(), dir: w.dir, start: w.start, out: w.out}
	n.ctx, n.stop = context.WithCancel(context.Background())
	s := &http.Server{Handler: n.store}
	go func() { _ = s.Serve(l) }() // ends with the process
	n.record("another deployment")
	return n, nil
}

// record writes one line to the record.
func (w *world) record(format string, args ...any) {
	w.mu.Lock()
	defer w.mu.Unlock()
	fmt.Fprintf(w.out, "%8.3f "+format+"\n", append([]any{time.Since(w.start).Seconds()}, args...)...)
}

// close ends all processes that were started.
func (w *world) close() {
	w.stop()
	for _, e := range w.entries {
		e.kill()
	}
	_ = w.out.Close() // nothing is written any more
	_ = os.RemoveAll(w.dir)
}

// configure writes a configuration as the operator does.
func (w *world) configure(version int, routes, services []map[string]any) error {
	b, err := json.Marshal(map[string]any{
		"Version": version, "Routes": routes, "Services": services,
		"Limits": map[string]any{"MaxHeaderBytes": 16384, "MaxBodyBytes": 4194304, "HeaderTimeoutMs": 3000, "IdleTimeoutMs": 15000},
	})
	if err != nil {
		return err
	}
	w.store.Put("op/config", b)
	w.record("operator: configuration %d: %s", version, b)
	return nil
}

// beat registers a replica until the world ends, as replicas do.
func (w *world) beat(id, service, address string, slots int) {
	born := time.Now().UnixMilli()
	put := func(seq int) {
		b, _ := json.Marshal(map[string]any{ // never fails
			"Service": service, "Address": address, "Zone": zone, "Version": "v1", "Slots": slots, "State": "ready",
			"ColdRemainingMs": 0, "Seq": seq, "born": born,
		})
		w.store.Put("servers/"+id, b)
	}
	put(1)
	w.record("replica %s of %s registered at %s with %d slots", id, service, address, slots)
	go func() {
		for seq := 2; w.ctx.Err() == nil; seq++ {
			time.Sleep(beatTime)
			put(seq)
		}
	}()
}

// freePorts returns n ports that are free on all addresses of entries.
func freePorts(ips []string, n int) ([]int, error) {
	var ports []int
	for try := 0; len(ports) < n && try < 1000; try++ {
		// Below the range of outgoing connections, so that a restarted entry finds them free.
		port := 13000 + int(time.Now().UnixNano()/1000)%17000
		free := true
		for _, ip := range ips {
			l, err := net.Listen("tcp", net.JoinHostPort(ip, strconv.Itoa(port)))
			if err != nil {
				free = false
				break
			}
			l.Close()
		}
		if free {
			ports = append(ports, port)
		}
		time.Sleep(17 * time.Microsecond)
	}
	if len(ports) < n {
		return nil, errors.New("no free ports")
	}
	return ports, nil
}

// startEntries starts n entries with the command of the deploy file.
func (w *world) startEntries(n int) error {
	var ips []string
	for i := range n {
		ips = append(ips, fmt.Sprintf("127.0.3.%d", 11+i))
	}
	p, err := freePorts(ips, 5)
	if err != nil {
		return err
	}
	at := func(ip string, i int) string { return net.JoinHostPort(ip, strconv.Itoa(p[i])) }
	var seeds []string
	for _, ip := range ips[:min(n, 3)] {
		seeds = append(seeds, at(ip, 2))
	}
	for i, ip := range ips {
		e := &entry{name: fmt.Sprintf("front-cpt-a-%d", i+1), front: at(ip, 0), ready: at(ip, 1)}
		e.settings, e.log = filepath.Join(w.dir, e.name+".jsonc"), filepath.Join(w.dir, e.name+".log")
		// The keys of deploy/entry.jsonc.tmpl with the bounds of the site tafel-prod.
		e.document = map[string]any{
			"name": e.name, "data-centre": zone,
			"listen": map[string]any{"callers": e.front, "ready": e.ready, "state": at(ip, 2), "metrics": at(ip, 3)},
			"store":  w.storeAddr, "seeds": seeds, "news-port": p[4],
			"stop":    map[string]any{"grace": "8s"},
			"retries": map[string]any{"ratio": 0.2, "slack": 52, "window": "10s"},
			"quotas":  map[string]any{"slack": 190000},
			"limits":  map[string]any{"memory": 284},
			"scheduling": map[string]any{
				"fair-teams": true, "prefer-returns": false, "lend-slots": true, "protect-streams": true, "learn-concurrency": false,
			},
			"regions": map[string]any{zone: region}, "log-level": "info",
		}
		w.entries = append(w.entries, e)
		if err := w.launch(e); err != nil {
			return err
		}
	}
	return w.awaitReady()
}

// launch starts the process of an entry, with settings that are written anew at each start.
func (w *world) launch(e *entry) error {
	e.document["first-start"] = !e.started // Bootstrap
	e.started = true
	b, err := json.MarshalIndent(e.document, "", "  ")
	if err != nil {
		return err
	}
	if err := os.WriteFile(e.settings, b, 0o600); err != nil {
		return err
	}
	log, err := os.OpenFile(e.log, os.O_CREATE|os.O_WRONLY|os.O_APPEND, 0o600)
	if err != nil {
		return err
	}
	defer func() { _ = log.Close() }() // the process has its own descriptor
	e.cmd = exec.Command(program, "forward")
	e.cmd.Env = []string{"AGATEWARD_CONFIG=" + e.settings, "PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "LANG=C.UTF-8"}
	e.cmd.Stdout, e.cmd.Stderr = log, log
	// The entries end with this process, however it ends.
	e.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := e.cmd.Start(); err != nil {
		return err
	}
	e.done = make(chan struct{})
	go func(cmd *exec.Cmd, done chan struct{}) {
		_ = cmd.Wait()
		w.record("entry %s ended: %s", e.name, cmd.ProcessState)
		close(done)
	}(e.cmd, e.done)
	w.record("entry %s started: %s forward, callers at %s", e.name, program, e.front)
	return nil
}

// awaitReady waits until each entry answers the balancer's question with 200.
func (w *world) awaitReady() error {
	end := time.Now().Add(readyTime)
	for _, e := range w.entries {
		for !e.isReady(time.Second) {
			if time.Now().After(end) {
				return fmt.Errorf("%s is not ready", e.name)
			}
			time.Sleep(50 * time.Millisecond)
		}
	}
	w.record("all entries are ready")
	return nil
}

// isReady asks as the balancer does.
func (e *entry) isReady(limit time.Duration) bool {
	c := http.Client{Timeout: limit, Transport: &http.Transport{DisableKeepAlives: true}}
	res, err := c.Get("http://" + e.ready + "/-/ready")
	if err != nil {
		return false
	}
	defer res.Body.Close()
	return res.StatusCode == http.StatusOK
}

func (e *entry) running() bool {
	select {
	case <-e.done:
		return false
	default:
		return true
	}
}

func (e *entry) kill() {
	if e.cmd == nil || e.cmd.Process == nil || !e.running() {
		return
	}
	_ = e.cmd.Process.Kill()
	<-e.done
}
