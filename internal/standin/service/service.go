// Package service provides a small stand-in for a plain booking or order
// service, as an HTTP handler that counts how often each idempotency key ran.
//
// All methods and paths are answered. A call other than GET or HEAD runs: it is
// counted under its Idempotency-Key, or under its reference when it has no key.
// GET and HEAD look up availability. The answer echoes the header
// Agateward-Request and contains the call's reference, which is the field
// "reference" of the query or of the body. GET /runs returns the counts.
//
// # Usage
//
//	s := &service.Server{Name: "booking", Version: "v1", Latency: 5 * time.Millisecond}
//	http.Serve(listener, s)
//
// The zero value works.
package service

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"maps"
	"net/http"
	"strconv"
	"sync"
	"time"

	"agateward/ward"

	"github.com/cespare/xxhash/v2"
)

// Headers of a call.
const (
	HeaderRequest = "Agateward-Request"
	HeaderRoute   = "Agateward-Route"
	HeaderVersion = "Agateward-Version"
	HeaderKey     = "Idempotency-Key"
)

// maxBody bounds a call, in bytes.
const maxBody = 1 << 20

// seatLimit is the exclusive upper bound of the seats that a lookup returns.
const seatLimit = 12

// Fault makes the calls that it matches fail or run slowly. An empty field
// matches every call.
type Fault struct {
	Route string
	// From is when the fault begins, MinRunning the minimum number of running
	// calls at which it applies.
	From       time.Time
	MinRunning int
	// FailShare is the share of the matched calls that fail without running,
	// LoseShare the share that run and lose their answer, BusyShare the share that run
	// and are answered with 503, all from 0 to 1.
	FailShare float64
	LoseShare float64
	BusyShare float64
	// Slow multiplies the latency; 0 means 1.
	Slow float64
}

// Server is a stand-in service. Its fields are set before the first call.
type Server struct {
	Name    string
	Version string
	// Clock is the clock; nil means ward.SystemClock.
	Clock   ward.Clock
	Latency time.Duration
	Faults  []Fault
	// ChecksIdempotency makes the service answer a key that ran before with the
	// same result, without running it again.
	ChecksIdempotency bool

	mu      sync.Mutex
	runs    map[string]int
	results map[string]result
	calls   int
	running int
	leaving bool
}

// result is the answer to a call.
type result struct {
	Service   string `json:"service"`
	Version   string `json:"version"`
	Method    string `json:"method"`
	Key       string `json:"key,omitempty"`
	Reference string `json:"reference"`
	// Run is how often the key has run, including this call.
	Run   int `json:"run,omitempty"`
	Seats int `json:"seats,omitempty"`
}

// effect is the combined effect of the faults on one call.
type effect struct {
	latency time.Duration
	fail    bool
	lose    bool
	busy    bool
}

// Runs returns how often each key or reference ran.
func (s *Server) Runs() map[string]int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return maps.Clone(s.runs)
}

// SetFaults replaces the faults.
func (s *Server) SetFaults(f ...Fault) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.Faults = f
}

// ServeHTTP answers a call.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	w.Header().Set(HeaderRequest, r.Header.Get(HeaderRequest))
	switch r.URL.Path {
	case "/runs":
		writeJSON(w, s.Runs())
	case "/agateward/load":
		writeJSON(w, s.report())
	case "/agateward/leaving":
		s.mu.Lock()
		s.leaving = true
		s.mu.Unlock()
	default:
		s.call(w, r)
	}
}

func (s *Server) call(w http.ResponseWriter, r *http.Request) {
	reference, err := readReference(w, r)
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	w.Header().Set(HeaderVersion, s.Version)
	e := s.begin(r.Header.Get(HeaderRoute))
	defer s.end()
	if err := s.clock().Sleep(r.Context(), e.latency); err != nil && readOnly(r.Method) {
		return
	}
	if e.fail {
		http.Error(w, "the service failed", http.StatusInternalServerError)
		return
	}
	out := s.run(r.Method, r.Header.Get(HeaderKey), reference)
	if e.lose {
		panic(http.ErrAbortHandler)
	}
	if e.busy {
		http.Error(w, "the service is busy", http.StatusServiceUnavailable)
		return
	}
	writeJSON(w, out)
}

// begin counts the call and returns the effect of the faults on it.
func (s *Server) begin(route string) effect {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.calls++
	s.running++
	e := effect{latency: s.Latency}
	now := s.clock().Now()
	for i, f := range s.Faults {
		if (f.Route != "" && f.Route != route) || s.running < f.MinRunning || now.Before(f.From) {
			continue
		}
		if f.Slow > 0 {
			e.latency = time.Duration(float64(e.latency) * f.Slow)
		}
		u := draw(fmt.Sprint(i, " ", s.calls))
		e.fail = e.fail || u < f.FailShare
		u -= f.FailShare
		e.lose = e.lose || u >= 0 && u < f.LoseShare
		u -= f.LoseShare
		e.busy = e.busy || u >= 0 && u < f.BusyShare
	}
	return e
}

func (s *Server) end() {
	s.mu.Lock()
	s.running--
	s.mu.Unlock()
}

// run runs a call, or returns the result of an earlier run of its key. Lookups
// don't run.
func (s *Server) run(method, key, reference string) result {
	s.mu.Lock()
	defer s.mu.Unlock()
	out := result{Service: s.Name, Version: s.Version, Method: method, Key: key, Reference: reference}
	if readOnly(method) {
		out.Seats = int(xxhash.Sum64String(reference) % seatLimit)
		return out
	}
	name := key
	if name == "" {
		name = reference
	}
	if r, ok := s.results[name]; ok && s.ChecksIdempotency {
		return r
	}
	if s.runs == nil {
		s.runs = make(map[string]int)
		s.results = make(map[string]result)
	}
	s.runs[name]++
	out.Run = s.runs[name]
	s.results[name] = out
	return out
}

func (s *Server) report() ward.LoadReport {
	s.mu.Lock()
	defer s.mu.Unlock()
	return ward.LoadReport{Upstream: s.Name, Version: s.Version, At: s.clock().Now(), Running: s.running, Leaving: s.leaving}
}

func (s *Server) clock() ward.Clock {
	if s.Clock == nil {
		return ward.SystemClock{}
	}
	return s.Clock
}

// readOnly reports whether calls of the method change nothing.
func readOnly(method string) bool { return method == http.MethodGet || method == http.MethodHead }

// readReference returns the call's reference from the query or the body.
func readReference(w http.ResponseWriter, r *http.Request) (string, error) {
	if v := r.URL.Query().Get("reference"); v != "" {
		return v, nil
	}
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxBody))
	if err != nil {
		return "", err
	}
	if len(body) == 0 {
		return "", nil
	}
	var c struct {
		Reference string `json:"reference"`
	}
	if err := json.Unmarshal(body, &c); err != nil {
		return "", errors.New("the body is not a JSON object")
	}
	return c.Reference, nil
}

// draw returns a pseudo-random number from 0 to 1 that depends only on s.
func draw(s string) float64 { return float64(xxhash.Sum64String(s)>>11) / (1 << 53) }

func writeJSON(w http.ResponseWriter, v any) {
	body, _ := json.Marshal(v)
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Content-Length", strconv.Itoa(len(body)+1))
	_, _ = w.Write(append(body, '\n'))
}
