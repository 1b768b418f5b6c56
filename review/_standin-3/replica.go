package main

import (
	"fmt"
	"io"
	"math"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// run is one request at a replica.
type run struct {
	id, replica, path, tenant string
	arrived                   time.Time
	ended                     string
}

// faults spreads the failures of a version evenly over its answers.
type faults struct {
	// portions are those of the answers that are failures, by the prefix of the path.
	portions map[string]float64

	mu      sync.Mutex
	answers map[string]int
}

// next reports whether the version's next answer on a path is a failure.
func (f *faults) next(path string) bool {
	if f == nil {
		return false
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	for prefix, portion := range f.portions {
		if strings.HasPrefix(path, prefix) {
			f.answers[prefix]++
			n := float64(f.answers[prefix])
			return math.Floor(n*portion) > math.Floor((n-1)*portion)
		}
	}
	return false
}

// replica is a stand-in of a sound replica of a plain service.
type replica struct {
	id, service, zone, version string
	address                    string
	work                       time.Duration
	rec                        *record
	leaving                    atomic.Bool
	// faults decides which of its answers are failures, nil for none.
	faults *faults

	server *http.Server
	mu     sync.Mutex
	runs   []*run
}

func newReplica(rec *record, id, service, zone, version, ip string, work time.Duration) *replica {
	l, err := net.Listen("tcp", ip+":0")
	if err != nil {
		fatal("listen for a replica: %v", err)
	}
	p := &replica{id: id, service: service, zone: zone, version: version, address: l.Addr().String(), work: work, rec: rec}
	p.server = &http.Server{Handler: p}
	go func() { _ = p.server.Serve(l) }()
	return p
}

// entry returns the replica's entry in the store.
func (p *replica) entry(state string) any {
	return map[string]any{
		"Service": p.service, "Address": p.address, "Zone": p.zone, "Version": p.version, "Slots": 6,
		"State": state, "ColdRemainingMs": 0, "Seq": 1, "born": p.rec.begin.UnixMilli(),
	}
}

func (p *replica) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	arrived := time.Now()
	id := r.Header.Get("X-Agateward-Request-Id")
	w.Header().Set("X-Agateward-Instance-Id", p.id)
	if p.leaving.Load() {
		w.Header().Set("Server-Leaving", "1")
		w.Header().Set("Connection", "close")
	}
	if r.URL.Path == "/health" {
		if p.leaving.Load() {
			w.WriteHeader(http.StatusServiceUnavailable)
		}
		return
	}
	if want := r.Header.Get("X-Agateward-Expect-Instance"); want != "" && want != p.id {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	n := &run{id: id, replica: p.id, path: r.URL.Path, tenant: r.Header.Get("X-Agateward-Tenant"), arrived: arrived, ended: "running"}
	p.mu.Lock()
	p.runs = append(p.runs, n)
	p.mu.Unlock()
	p.rec.line("replica %s: %s %s of tenant %s reached it and runs", p.id, id, r.URL.Path, n.tenant)
	end := func(how string) {
		p.mu.Lock()
		n.ended = how
		p.mu.Unlock()
		p.rec.line("replica %s: the run of %s ended: %s", p.id, id, how)
	}
	select {
	case <-time.After(p.work):
	case <-r.Context().Done():
		end("cut, its connection closed")
		return
	}
	out, status := fmt.Sprintf("%s %d %s", p.id, len(body), id), http.StatusOK
	if p.faults.next(r.URL.Path) {
		status = http.StatusInternalServerError
	}
	w.Header().Set("X-Agateward-Request-Id", id)
	w.Header().Set("X-Agateward-Response-Signature", "sig-"+p.id+"-"+id)
	w.Header().Set("Content-Type", "text/plain")
	w.Header().Set("Content-Length", strconv.Itoa(len(out)))
	end(strconv.Itoa(status))
	w.WriteHeader(status)
	_, _ = io.WriteString(w, out)
}

// exit ends the replica's process: its connections close.
func (p *replica) exit() {
	p.rec.line("replica %s: exits", p.id)
	_ = p.server.Close()
}

// all returns copies of the runs so far.
func (p *replica) all() []run {
	p.mu.Lock()
	defer p.mu.Unlock()
	list := make([]run, len(p.runs))
	for i, n := range p.runs {
		list[i] = *n
	}
	return list
}
