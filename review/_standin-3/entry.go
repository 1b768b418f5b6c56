package main

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"syscall"
	"time"
)

var (
	startedMu sync.Mutex
	started   []*entry
)

// stopAll ends the processes that were started.
func stopAll() {
	startedMu.Lock()
	defer startedMu.Unlock()
	for _, e := range started {
		_ = e.cmd.Process.Signal(syscall.SIGCONT)
		_ = e.cmd.Process.Kill()
		_ = e.cmd.Wait()
	}
	started = nil
}

// entry is a process of the project.
type entry struct {
	name, zone, ip         string
	callers, ready, output string
	cmd                    *exec.Cmd
}

// ports are those that all entries use, at addresses of their own.
type ports struct{ callers, ready, state, news, metrics int }

// freePorts returns ports that are free at all addresses, below those that the kernel gives to
// outgoing connections.
func freePorts(ips []string) ports {
	var list []int
	for range 1000 {
		port := 12000 + rand.IntN(20000)
		free := !slices.Contains(list, port)
		for _, ip := range ips {
			a := fmt.Sprintf("%s:%d", ip, port)
			t, err := net.Listen("tcp", a)
			if err == nil {
				t.Close()
			}
			u, uerr := net.ListenPacket("udp", a)
			if uerr == nil {
				_ = u.Close()
			}
			free = free && err == nil && uerr == nil
		}
		if free {
			list = append(list, port)
		}
		if len(list) == 5 {
			return ports{list[0], list[1], list[2], list[3], list[4]}
		}
	}
	fatal("no free ports")
	return ports{}
}

// fleet is what a case runs on.
type fleet struct {
	rec     *record
	dir     string
	store   *store
	proxy   *proxy
	entries []*entry
}

// zones of the deployment.
var zones = []string{"cpt-a", "cpt-b", "cpt-c"}

// newFleet starts the store with a configuration and n entries behind a proxy to the store.
func newFleet(rec *record, n int, setup func(s *store)) *fleet {
	dir, err := os.MkdirTemp("", "review-3-")
	if err != nil {
		fatal("temporary folder: %v", err)
	}
	f := &fleet{rec: rec, dir: dir, store: newStore(rec)}
	sl, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		fatal("listen for the store: %v", err)
	}
	f.store.serve(sl)
	pl, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		fatal("listen for the proxy: %v", err)
	}
	f.proxy = newProxy(pl, sl.Addr().String())
	setup(f.store)
	var ips []string
	for i := range n {
		// Cases that run at the same time use addresses of their own.
		ips = append(ips, fmt.Sprintf("127.7.%d.%d", os.Getpid()%250, i+1))
	}
	p := freePorts(ips)
	var seeds []string
	for _, ip := range ips[:min(n, 3)] {
		seeds = append(seeds, fmt.Sprintf("%s:%d", ip, p.state))
	}
	for i, ip := range ips {
		e := &entry{name: fmt.Sprintf("front-%s-%d", zones[i%3], i/3+1), zone: zones[i%3], ip: ip}
		e.callers, e.ready = fmt.Sprintf("%s:%d", ip, p.callers), fmt.Sprintf("%s:%d", ip, p.ready)
		// The template of the deploy file, with the figures of tafel-prod.
		settings := map[string]any{
			"name": e.name, "data-centre": e.zone,
			"listen": map[string]any{
				"callers": e.callers, "ready": e.ready, "state": fmt.Sprintf("%s:%d", ip, p.state), "metrics": fmt.Sprintf("%s:%d", ip, p.metrics),
			},
			"store": pl.Addr().String(), "seeds": seeds, "news-port": p.news,
			"stop":        map[string]any{"grace": "8s"},
			"retries":     map[string]any{"ratio": 0.2, "slack": 52, "window": "10s"},
			"quotas":      map[string]any{"slack": 190000},
			"roll-outs":   map[string]any{"expose-share": 0.1, "expose-requests": 50},
			"first-start": true,
			"limits":      map[string]any{"memory": 284},
			"scheduling": map[string]any{
				"fair-teams": true, "prefer-returns": false, "lend-slots": true, "protect-streams": true, "learn-concurrency": false,
			},
			"regions":   map[string]any{"cpt-a": "cpt", "cpt-b": "cpt", "cpt-c": "cpt"},
			"log-level": "info",
		}
		b, err := json.MarshalIndent(settings, "", "  ")
		if err != nil {
			fatal("settings: %v", err)
		}
		file := filepath.Join(dir, e.name+".jsonc")
		if err := os.WriteFile(file, b, 0o600); err != nil {
			fatal("settings: %v", err)
		}
		e.output = filepath.Join(dir, e.name+".log")
		e.start(file)
		f.entries = append(f.entries, e)
	}
	f.awaitReady()
	return f
}

// start starts the process as the deploy file says.
func (e *entry) start(settings string) {
	out, err := os.OpenFile(e.output, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		fatal("output: %v", err)
	}
	e.cmd = exec.Command("target/agateward", "forward")
	e.cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "AGATEWARD_CONFIG=" + settings}
	e.cmd.Stdout, e.cmd.Stderr = out, out
	if err := e.cmd.Start(); err != nil {
		fatal("start %s: %v", e.name, err)
	}
	_ = out.Close() // the process has a descriptor of its own
	startedMu.Lock()
	started = append(started, e)
	startedMu.Unlock()
}

func (f *fleet) awaitReady() {
	client := &http.Client{Timeout: time.Second}
	end := time.Now().Add(15 * time.Second)
	for _, e := range f.entries {
		for {
			res, err := client.Get("http://" + e.ready + "/-/ready")
			if err == nil {
				res.Body.Close()
				if res.StatusCode == http.StatusOK {
					f.rec.line("%s is ready", e.name)
					break
				}
			}
			if time.Now().After(end) {
				fatal("%s is not ready", e.name)
			}
			time.Sleep(20 * time.Millisecond)
		}
	}
}

// logLines returns the lines of an entry's log that hold one of the words.
func (e *entry) logLines(words ...string) []string {
	b, err := os.ReadFile(e.output)
	if err != nil {
		return nil
	}
	var list []string
	for _, line := range strings.Split(string(b), "\n") {
		for _, w := range words {
			if strings.Contains(line, w) {
				list = append(list, line)
				break
			}
		}
	}
	return list
}

// close ends all processes and removes the temporary folder.
func (f *fleet) close() {
	stopAll()
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(f.dir)
	} else {
		fmt.Println("kept", f.dir)
	}
}
