// Package engine provides a small stand-in for a model engine: an HTTP handler
// over the simulation of package batch, for tests, the demo and manual trials.
//
// It answers POST /v1/chat/completions and /v1/completions as JSON or as
// server-sent events, one event a token, and GET /v1/models. It echoes the
// header Agateward-Request, resumes after Agateward-Resume output tokens, and
// cancels its work when the connection closes. The fields ignore_eos and
// max_tokens together set an exact length. For the scheduler it serves
//
//	GET  /agateward/load                 a delayed ward.LoadReport
//	GET  /agateward/cache-events?after=N a list of ward.CacheEvent, delayed and with gaps
//	POST /agateward/orders               a ward.Order; 409 on an old fencing number
//	GET  /agateward/kv?prefix=H,H        the cached part of a prefix
//	POST /agateward/kv                   imports such a part into the cache
//	POST /agateward/leaving              sets Leaving in later reports
//	GET  /runs                           how often each prompt ran from its first token, by its hash
//
// # Usage
//
//	s := &engine.Server{Profile: batch.Profile{Name: "e1", Version: "v1"}}
//	http.Serve(listener, s)
//
// The zero value works. The answers are those of package text.
package engine

import (
	"context"
	"net/http"
	"sync"
	"time"

	"agateward/internal/standin/batch"
	"agateward/internal/standin/text"
	"agateward/ward"

	"github.com/julienschmidt/httprouter"
)

// Headers between the scheduler and an upstream.
const (
	HeaderRequest = "Agateward-Request"
	HeaderResume  = "Agateward-Resume"
	HeaderRoute   = "Agateward-Route"
	HeaderVersion = "Agateward-Version"
	HeaderParts   = "Agateward-Prompt-Parts"
)

const (
	// maxBody bounds a request, in bytes.
	maxBody = 8 << 20
	// maxFlushDelay is the maximum time for which a generated token stays in the
	// engine.
	maxFlushDelay = 5 * time.Millisecond
	// defaultModel is what GET /v1/models lists when no model is set.
	defaultModel = "stand-in"
)

// Server is a stand-in engine. Its fields are set before the first request.
type Server struct {
	Profile batch.Profile
	// Clock is the clock; nil means ward.SystemClock.
	Clock ward.Clock
	// Model is the name of the model that the engine serves.
	Model string
	// LoadTime is how long an order to load a version takes.
	LoadTime time.Duration
	// ChecksFence makes the engine refuse orders with an old fencing number.
	ChecksFence bool
	// CutShare is the share of answers that are truncated, and CrossShare the share
	// of answers with another request's id, both from 0 to 1.
	CutShare   float64
	CrossShare float64
	// CrashPart, if it is not 0, is the id of a part of prompts: when the engine begins to
	// answer a request with it, it sends the head and calls OnCrash, which must end the
	// engine and be set then.
	CrashPart uint64
	OnCrash   func()

	once   sync.Once
	router *httprouter.Router

	mu      sync.Mutex
	engine  *batch.Engine
	jobs    map[string]*job
	runs    map[string]int
	driving bool
	wake    context.CancelFunc
	orders  orders
	nextID  int
}

// ServeHTTP answers a request.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	s.once.Do(s.init)
	// Every answer echoes the id, also those of control calls.
	if id := r.Header.Get(HeaderRequest); id != "" {
		w.Header().Set(HeaderRequest, id)
	}
	s.router.ServeHTTP(w, r)
}

// Stats returns the running totals of the engine.
func (s *Server) Stats() batch.Stats {
	s.once.Do(s.init)
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.engine.Stats()
}

// SetSpeed makes the engine run at factor times its speed.
func (s *Server) SetSpeed(factor float64) {
	s.once.Do(s.init)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.engine.SetSpeed(s.Clock.Now(), factor)
}

// Runs returns how often each prompt ran from its first token, by the hash of
// its text.Answer.
func (s *Server) Runs() map[string]int {
	s.once.Do(s.init)
	s.mu.Lock()
	defer s.mu.Unlock()
	out := make(map[string]int, len(s.runs))
	for k, n := range s.runs {
		out[k] = n
	}
	return out
}

func (s *Server) init() {
	if s.Clock == nil {
		s.Clock = ward.SystemClock{}
	}
	if s.Model == "" {
		s.Model = defaultModel
	}
	s.engine = batch.New(s.Profile)
	s.jobs = make(map[string]*job)
	s.runs = make(map[string]int)
	s.orders.init(s.Profile.Version)
	s.router = httprouter.New()
	s.router.POST("/v1/chat/completions", s.complete(chat))
	s.router.POST("/v1/completions", s.complete(plain))
	s.router.GET("/v1/models", s.models)
	s.router.GET("/agateward/load", s.load)
	s.router.GET("/agateward/cache-events", s.cacheEvents)
	s.router.POST("/agateward/orders", s.order)
	s.router.GET("/agateward/kv", s.exportCache)
	s.router.POST("/agateward/kv", s.importCache)
	s.router.POST("/agateward/leaving", s.leave)
	s.router.GET("/runs", s.listRuns)
}

// job is one request in the engine.
type job struct {
	id     string
	answer text.Answer
	// stream is set when every token is signalled, not only the end.
	stream bool
	// tokens, done and failed are guarded by Server.mu; changed signals a change
	// of them and holds one signal.
	tokens  int
	done    bool
	failed  bool
	changed chan struct{}
}

// admit adds a job to the engine and ensures that drive runs.
func (s *Server) admit(j *job, b batch.Job) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.jobs[j.id] = j
	if b.Resume == 0 {
		s.runs[j.answer.Hash()]++
	}
	s.engine.Admit(s.Clock.Now(), b)
	if !s.driving {
		s.driving = true
		go s.drive()
		return
	}
	s.wakeUp()
}

// removeJob removes a job and cancels it in the engine.
func (s *Server) removeJob(j *job) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.engine.Cancel(s.Clock.Now(), j.id)
	delete(s.jobs, j.id)
	s.wakeUp()
}

// wakeUp makes drive advance the engine at once. The caller holds mu.
func (s *Server) wakeUp() {
	if s.wake != nil {
		s.wake()
	}
}

// drive advances the engine as long as it has jobs.
func (s *Server) drive() {
	for {
		ctx, cancel := context.WithCancel(context.Background())
		s.mu.Lock()
		wait, busy := s.step()
		s.driving = busy
		s.wake = cancel
		s.mu.Unlock()
		if !busy {
			cancel()
			return
		}
		_ = s.Clock.Sleep(ctx, wait)
		cancel()
	}
}

// step advances the engine, signals the jobs, and returns the time until the
// next step and whether the engine has jobs. The caller holds mu.
func (s *Server) step() (time.Duration, bool) {
	now := s.Clock.Now()
	for _, e := range s.engine.Advance(now) {
		j := s.jobs[e.ID]
		if j == nil {
			continue
		}
		j.tokens = e.Tokens
		j.done = e.Kind == batch.Done
		j.failed = e.Kind == batch.Failed
		j.signal()
	}
	for _, j := range s.jobs {
		if n := s.engine.Tokens(j.id); n > j.tokens {
			j.tokens = n
			if j.stream {
				j.signal()
			}
		}
	}
	next := s.engine.Next()
	if next.IsZero() {
		return 0, s.engine.Outstanding() > 0
	}
	return min(max(next.Sub(now), 0), maxFlushDelay), true
}

func (j *job) signal() {
	select {
	case j.changed <- struct{}{}:
	default:
	}
}

// wait waits until the job has more than seen tokens or has ended.
func (s *Server) wait(ctx context.Context, j *job, seen int) (progress, error) {
	for {
		s.mu.Lock()
		p := progress{tokens: j.tokens, done: j.done, failed: j.failed}
		s.mu.Unlock()
		if p.tokens > seen || p.done || p.failed {
			return p, nil
		}
		select {
		case <-ctx.Done():
			return p, ctx.Err()
		case <-j.changed:
		}
	}
}

// progress is a copy of the state of a job.
type progress struct {
	tokens int
	done   bool
	failed bool
}
