package main

import (
	"encoding/json"
	"net"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"
)

// storeItem is a key of the store, or its removal, as it is sent.
type storeItem struct {
	Key            string
	Value          []byte `json:",omitempty"`
	Revision       uint64
	CreateRevision uint64 `json:",omitempty"`
	Lease          int64
	Removed        bool `json:",omitempty"`
}

// historyTime is how long the store keeps its history.
const historyTime = 20 * time.Second

// storeEvent is a change in the history.
type storeEvent struct {
	storeItem
	at time.Time
}

type storeLease struct {
	ttl     time.Duration
	expires time.Time
}

// store is a stand-in of the platform's metadata store.
type store struct {
	rec *record

	mu      sync.Mutex
	rev     uint64
	items   map[string]storeItem
	history []storeEvent
	// oldest is the revision up to which the history is no longer known.
	oldest  uint64
	leases  map[int64]*storeLease
	last    int64
	changed chan struct{}
}

func newStore(rec *record) *store {
	s := &store{rec: rec, rev: 100, items: map[string]storeItem{}, leases: map[int64]*storeLease{}, changed: make(chan struct{})}
	go func() {
		for range time.Tick(50 * time.Millisecond) {
			s.expire()
		}
	}()
	return s
}

// serve answers calls at the listener.
func (s *store) serve(l net.Listener) {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /-/kv-key", s.get)
	mux.HandleFunc("GET /-/kv-range", s.list)
	mux.HandleFunc("GET /-/kv-watch", s.watch)
	mux.HandleFunc("POST /-/kv-txn", s.transact)
	mux.HandleFunc("POST /-/kv-lease", s.grant)
	mux.HandleFunc("POST /-/kv-keep/{id}", s.keep)
	mux.HandleFunc("DELETE /-/kv-lease-end/{id}", s.end)
	go func() { _ = http.Serve(l, mux) }()
}

// put writes a key as the operator or a replica, and returns when the store has acknowledged it.
func (s *store) put(key string, value any) time.Time {
	b, err := json.Marshal(value)
	if err != nil {
		fatal("encode %s: %v", key, err)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.rev++
	s.write(key, b, 0)
	s.wake()
	now := time.Now()
	s.rec.line("store: acknowledged %s at revision %d", key, s.rev)
	return now
}

// remove removes a key, and returns when the store has acknowledged it.
func (s *store) remove(key string) time.Time {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.rev++
	s.drop(key)
	s.wake()
	now := time.Now()
	s.rec.line("store: removed %s at revision %d", key, s.rev)
	return now
}

// value returns the value of a key.
func (s *store) value(key string) []byte {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.items[key].Value
}

func (s *store) write(key string, value []byte, lease int64) {
	it := storeItem{Key: key, Value: value, Revision: s.rev, CreateRevision: s.items[key].CreateRevision, Lease: lease}
	if it.CreateRevision == 0 {
		it.CreateRevision = s.rev
	}
	s.items[key] = it
	s.history = append(s.history, storeEvent{it, time.Now()})
}

func (s *store) drop(key string) {
	if _, ok := s.items[key]; ok {
		delete(s.items, key)
		s.history = append(s.history, storeEvent{storeItem{Key: key, Revision: s.rev, Removed: true}, time.Now()})
	}
}

func (s *store) wake() {
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *store) expire() {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	for id, l := range s.leases {
		if now.After(l.expires) {
			s.endLease(id)
		}
	}
	for len(s.history) > 0 && now.Sub(s.history[0].at) > historyTime {
		s.oldest = s.history[0].Revision
		s.history = s.history[1:]
	}
}

func (s *store) endLease(id int64) {
	delete(s.leases, id)
	var keys []string
	for key, it := range s.items {
		if it.Lease == id {
			keys = append(keys, key)
		}
	}
	if len(keys) == 0 {
		return
	}
	s.rev++
	for _, key := range keys {
		s.drop(key)
	}
	s.wake()
}

func reply(w http.ResponseWriter, status int, v any) {
	b, err := json.Marshal(v)
	if err != nil {
		fatal("encode an answer of the store: %v", err)
	}
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Store-Era", "1")
	w.WriteHeader(status)
	_, _ = w.Write(b)
}

func (s *store) get(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	it, ok := s.items[r.URL.Query().Get("Key")]
	rev := s.rev
	s.mu.Unlock()
	if !ok {
		reply(w, http.StatusNotFound, struct{}{})
		return
	}
	reply(w, http.StatusOK, struct {
		storeItem
		CurrentRev uint64
	}{it, rev})
}

func (s *store) list(w http.ResponseWriter, r *http.Request) {
	prefix, after := r.URL.Query().Get("Prefix"), r.URL.Query().Get("After")
	out := struct {
		Items      []storeItem
		Truncated  bool
		CurrentRev uint64
	}{Items: []storeItem{}}
	s.mu.Lock()
	out.CurrentRev = s.rev
	for key, it := range s.items {
		if strings.HasPrefix(key, prefix) && key > after {
			out.Items = append(out.Items, it)
		}
	}
	s.mu.Unlock()
	sort.Slice(out.Items, func(i, k int) bool { return out.Items[i].Key < out.Items[k].Key })
	reply(w, http.StatusOK, out)
}

func (s *store) watch(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	after, err := strconv.ParseUint(q.Get("After"), 10, 64)
	wait, err2 := strconv.Atoi(q.Get("WaitMs"))
	if err != nil || err2 != nil {
		reply(w, http.StatusBadRequest, struct{}{})
		return
	}
	end := time.After(time.Duration(wait) * time.Millisecond)
	out := struct {
		Events     []storeItem `json:"events"`
		CurrentRev uint64
	}{}
	for waiting := true; waiting; {
		s.mu.Lock()
		out.Events, out.CurrentRev = s.since(q.Get("Prefix"), after), s.rev
		changed, gone := s.changed, after < s.oldest
		s.mu.Unlock()
		if gone {
			reply(w, http.StatusGone, struct{}{})
			return
		}
		if len(out.Events) > 0 {
			break
		}
		select {
		case <-changed:
		case <-end:
			waiting = false
		case <-r.Context().Done():
			return
		}
	}
	reply(w, http.StatusOK, out)
}

// since returns the changes of keys with a prefix after a revision. The caller must hold mu.
func (s *store) since(prefix string, after uint64) []storeItem {
	list := []storeItem{}
	for _, e := range s.history {
		if e.Revision > after && strings.HasPrefix(e.Key, prefix) {
			list = append(list, e.storeItem)
		}
	}
	return list
}

func (s *store) transact(w http.ResponseWriter, r *http.Request) {
	var in struct {
		Expect []struct {
			Key      string
			Revision uint64
		}
		Writes []struct {
			Key   string
			Value []byte
			Lease int64
		}
		Deletes []string
	}
	if err := json.NewDecoder(r.Body).Decode(&in); err != nil {
		reply(w, http.StatusBadRequest, struct{}{})
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	held, current := true, []storeItem{}
	for _, e := range in.Expect {
		held = held && s.items[e.Key].Revision == e.Revision
		if it, ok := s.items[e.Key]; ok {
			current = append(current, it)
		}
	}
	if !held {
		reply(w, http.StatusPreconditionFailed, struct{ Items []storeItem }{current})
		return
	}
	for _, wr := range in.Writes {
		if wr.Lease != 0 && s.leases[wr.Lease] == nil {
			reply(w, http.StatusNotFound, struct{}{})
			return
		}
		if strings.HasPrefix(wr.Key, "op/") || strings.HasPrefix(wr.Key, "servers/") {
			reply(w, http.StatusForbidden, struct{}{})
			return
		}
	}
	s.rev++
	for _, wr := range in.Writes {
		s.write(wr.Key, wr.Value, wr.Lease)
	}
	for _, key := range in.Deletes {
		s.drop(key)
	}
	s.wake()
	if keys := in.Writes; len(keys) > 0 && strings.HasPrefix(keys[0].Key, "status/") {
		s.rec.line("store: %s = %s", keys[0].Key, keys[0].Value)
	}
	reply(w, http.StatusOK, struct{ Revision uint64 }{s.rev})
}

func (s *store) grant(w http.ResponseWriter, r *http.Request) {
	var in struct{ TtlMs int64 }
	if json.NewDecoder(r.Body).Decode(&in) != nil {
		reply(w, http.StatusBadRequest, struct{}{})
		return
	}
	ttl := time.Duration(min(max(in.TtlMs, 1000), 600_000)) * time.Millisecond
	s.mu.Lock()
	defer s.mu.Unlock()
	s.last++
	s.leases[s.last] = &storeLease{ttl: ttl, expires: time.Now().Add(ttl)}
	reply(w, http.StatusOK, struct{ Lease, TtlMs int64 }{s.last, ttl.Milliseconds()})
}

func (s *store) keep(w http.ResponseWriter, r *http.Request) {
	id, _ := strconv.ParseInt(r.PathValue("id"), 10, 64)
	s.mu.Lock()
	defer s.mu.Unlock()
	l := s.leases[id]
	if l == nil {
		reply(w, http.StatusNotFound, struct{}{})
		return
	}
	l.expires = time.Now().Add(l.ttl)
	reply(w, http.StatusOK, struct{ TtlMs int64 }{l.ttl.Milliseconds()})
}

func (s *store) end(w http.ResponseWriter, r *http.Request) {
	id, _ := strconv.ParseInt(r.PathValue("id"), 10, 64)
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.leases[id] == nil {
		reply(w, http.StatusNotFound, struct{}{})
		return
	}
	s.endLease(id)
	reply(w, http.StatusOK, struct{}{})
}
