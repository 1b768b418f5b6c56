package engine

import (
	"encoding/json"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"time"

	"agateward/ward"

	"github.com/julienschmidt/httprouter"
)

// maxOrder bounds the body of an order or a cache import, in bytes.
const maxOrder = 1 << 20

// maxLoaded is the number of versions that the engine holds at a time.
const maxLoaded = 2

// orders is the state of the orders that the engine received.
type orders struct {
	fence   uint64 // highest fencing number seen
	seen    map[string]bool
	loaded  []string // newest last
	loading string   // empty when no load is in progress
	readyAt time.Time
}

func (o *orders) init(version string) {
	if version == "" {
		version = versionNumber(1)
	}
	o.seen = make(map[string]bool)
	o.loaded = []string{version}
}

// finishLoad completes the load in progress when its time has passed.
func (o *orders) finishLoad(now time.Time) {
	if o.loading == "" || now.Before(o.readyAt) {
		return
	}
	o.loaded = slices.DeleteFunc(o.loaded, func(v string) bool { return v == o.loading })
	o.loaded = append(o.loaded, o.loading)
	o.loaded = o.loaded[max(0, len(o.loaded)-maxLoaded):]
	o.loading = ""
}

func (o *orders) current() string { return o.loaded[len(o.loaded)-1] }

// version returns the version that serves a request for want, and whether it is
// loaded. An empty want means the newest version.
func (s *Server) version(want string) (string, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.orders.finishLoad(s.Clock.Now())
	if want == "" {
		return s.orders.current(), true
	}
	return want, slices.Contains(s.orders.loaded, want)
}

func (s *Server) order(w http.ResponseWriter, r *http.Request, _ httprouter.Params) {
	var o ward.Order
	if err := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxOrder)).Decode(&o); err != nil {
		writeError(w, http.StatusBadRequest, err.Error())
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.Clock.Now()
	s.orders.finishLoad(now)
	if s.ChecksFence && o.Fence < s.orders.fence {
		writeError(w, http.StatusConflict, "fencing number "+strconv.FormatUint(o.Fence, 10)+" is older than "+strconv.FormatUint(s.orders.fence, 10))
		return
	}
	s.orders.fence = max(s.orders.fence, o.Fence)
	if o.Kind == ward.OrderLoadVersion && !s.orders.seen[o.ID] {
		s.orders.loading = o.Version
		s.orders.readyAt = now.Add(s.LoadTime)
		s.orders.finishLoad(now)
	}
	s.orders.seen[o.ID] = true
	writeJSON(w, struct {
		Loading string `json:"loading,omitempty"`
		Version string `json:"version"`
	}{s.orders.loading, s.orders.current()})
}

func (s *Server) load(w http.ResponseWriter, _ *http.Request, _ httprouter.Params) {
	s.mu.Lock()
	now := s.Clock.Now()
	s.orders.finishLoad(now)
	report := s.engine.Report(now)
	report.Version = s.orders.current()
	s.mu.Unlock()
	writeJSON(w, report)
}

func (s *Server) cacheEvents(w http.ResponseWriter, r *http.Request, _ httprouter.Params) {
	after, err := strconv.ParseUint(r.URL.Query().Get("after"), 10, 64)
	if err != nil && r.URL.Query().Has("after") {
		writeError(w, http.StatusBadRequest, "after is not a number")
		return
	}
	s.mu.Lock()
	s.engine.Report(s.Clock.Now())
	events := s.engine.CacheEvents(after)
	s.mu.Unlock()
	if events == nil {
		events = []ward.CacheEvent{}
	}
	writeJSON(w, events)
}

// cached is the exported or imported part of a prefix.
type cached struct {
	Prefix []uint64 `json:"prefix"`
}

func (s *Server) exportCache(w http.ResponseWriter, r *http.Request, _ httprouter.Params) {
	var want []uint64
	for _, v := range strings.Split(r.URL.Query().Get("prefix"), ",") {
		h, err := strconv.ParseUint(v, 10, 64)
		if err != nil {
			writeError(w, http.StatusBadRequest, "prefix is not a list of numbers")
			return
		}
		want = append(want, h)
	}
	s.mu.Lock()
	n := s.engine.Cached(want)
	s.mu.Unlock()
	writeJSON(w, cached{Prefix: want[:n]})
}

func (s *Server) importCache(w http.ResponseWriter, r *http.Request, _ httprouter.Params) {
	var c cached
	if err := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxOrder)).Decode(&c); err != nil {
		writeError(w, http.StatusBadRequest, err.Error())
		return
	}
	s.mu.Lock()
	s.engine.Import(s.Clock.Now(), c.Prefix)
	s.mu.Unlock()
	writeJSON(w, c)
}

func (s *Server) leave(w http.ResponseWriter, _ *http.Request, _ httprouter.Params) {
	s.mu.Lock()
	s.engine.SetLeaving(true)
	s.mu.Unlock()
	w.WriteHeader(http.StatusNoContent)
}

func (s *Server) listRuns(w http.ResponseWriter, _ *http.Request, _ httprouter.Params) {
	writeJSON(w, s.Runs())
}

func (s *Server) models(w http.ResponseWriter, _ *http.Request, _ httprouter.Params) {
	type model struct {
		ID     string `json:"id"`
		Object string `json:"object"`
	}
	writeJSON(w, struct {
		Object string  `json:"object"`
		Data   []model `json:"data"`
	}{"list", []model{{s.Model, "model"}}})
}

func writeJSON(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(v)
}
