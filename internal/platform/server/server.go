// Package server provides the HTTP stand-in of the platform: the key-value
// store with leases and watches, and the list of instances.
//
// # Usage
//
//	p := &memory.Platform{}
//	err := http.ListenAndServe("127.0.0.1:7100", server.New(p))
//
// The paths, with JSON bodies in both directions:
//
//	GET    /store/KEY                     read a key
//	PUT    /store/KEY?revision=N          compare and swap; the body is the value
//	DELETE /store/KEY?revision=N          compare and delete
//	GET    /watch/KEY?after=N&wait=20s    wait for a revision above N
//	POST   /leases/NAME                   acquire: {"holder", "ttl"}
//	PUT    /leases/NAME                   renew: {"holder", "fence", "ttl"}
//	DELETE /leases/NAME?holder=H&fence=N  release
//	GET    /instances                     the list
//	PUT    /instances                     add to the list: [{"name", ...}]
//	DELETE /instances/NAME                remove from the list
//	GET    /faults, PUT /faults           memory.Faults
//	POST   /lapse/NAME                    end a lease before it expires
//	GET    /calls                         counts of calls by family and kind
//	POST   /copy                          take a copy of the store
//	POST   /restore                       return from the copy; the era rises by one
//
// Each answer of the store states its era (era.Field); the revisions and fences in it
// are the store's own, without the era. A conflict is answered with 409 and the current record or lease, a lost lease
// with 410, an outage with 503. To simulate a lost answer the server closes the
// connection without one. The paths from /instances on are specific to the
// stand-in; a real platform has others.
package server

import (
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"agateward/internal/platform/era"
	"agateward/internal/platform/memory"
	"agateward/ward"

	"github.com/julienschmidt/httprouter"
)

// maxBody is the maximum size of a request body in bytes: a value and its JSON.
const maxBody = memory.MaxValueBytes + 64<<10

// handler serves one memory.Platform.
type handler struct {
	platform *memory.Platform

	mu     sync.Mutex
	copied memory.Copy
}

// New returns an HTTP handler for p.
func New(p *memory.Platform) http.Handler {
	h := &handler{platform: p}
	r := httprouter.New()
	r.GET("/store/*key", h.get)
	r.PUT("/store/*key", h.put)
	r.DELETE("/store/*key", h.remove)
	r.GET("/watch/*key", h.watch)
	r.POST("/leases/*name", h.acquire)
	r.PUT("/leases/*name", h.renew)
	r.DELETE("/leases/*name", h.release)
	r.GET("/instances", h.instances)
	r.PUT("/instances", h.putInstances)
	r.DELETE("/instances/:name", h.removeInstance)
	r.GET("/faults", h.faults)
	r.PUT("/faults", h.setFaults)
	r.POST("/lapse/*name", h.lapse)
	r.GET("/calls", h.calls)
	r.POST("/copy", h.copy)
	r.POST("/restore", h.restore)
	return r
}

func (h *handler) get(w http.ResponseWriter, r *http.Request, ps httprouter.Params) {
	rec, err := h.platform.Get(r.Context(), pathParam(ps, "key"))
	h.replyRecord(w, rec, err)
}

func (h *handler) put(w http.ResponseWriter, r *http.Request, ps httprouter.Params) {
	value, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxBody))
	if err != nil {
		http.Error(w, err.Error(), http.StatusRequestEntityTooLarge)
		return
	}
	h.swap(w, r, ps, append([]byte{}, value...))
}

func (h *handler) remove(w http.ResponseWriter, r *http.Request, ps httprouter.Params) {
	h.swap(w, r, ps, nil)
}

func (h *handler) swap(w http.ResponseWriter, r *http.Request, ps httprouter.Params, value []byte) {
	revision, err := strconv.ParseUint(r.URL.Query().Get("revision"), 10, 64)
	if err != nil {
		http.Error(w, "revision: "+err.Error(), http.StatusBadRequest)
		return
	}
	rec, err := h.platform.CompareAndSwap(r.Context(), pathParam(ps, "key"), era.Stamp(revision, h.platform.Era()), value)
	h.replyRecord(w, rec, err)
}

func (h *handler) watch(w http.ResponseWriter, r *http.Request, ps httprouter.Params) {
	after, err := strconv.ParseUint(r.URL.Query().Get("after"), 10, 64)
	if err != nil {
		http.Error(w, "after: "+err.Error(), http.StatusBadRequest)
		return
	}
	wait, err := time.ParseDuration(r.URL.Query().Get("wait"))
	if err != nil {
		http.Error(w, "wait: "+err.Error(), http.StatusBadRequest)
		return
	}
	rec, err := h.platform.Watch(r.Context(), pathParam(ps, "key"), era.Stamp(after, h.platform.Era()), wait)
	h.replyRecord(w, rec, err)
}

func (h *handler) faults(w http.ResponseWriter, _ *http.Request, _ httprouter.Params) {
	reply(w, h.platform.Faults(), nil)
}

func (h *handler) setFaults(w http.ResponseWriter, r *http.Request, _ httprouter.Params) {
	var f memory.Faults
	if !decode(w, r, &f) {
		return
	}
	h.platform.SetFaults(f)
	reply(w, f, nil)
}

func (h *handler) calls(w http.ResponseWriter, _ *http.Request, _ httprouter.Params) {
	reply(w, h.platform.Calls(), nil)
}

// pathParam returns a catch-all parameter without its leading slash.
func pathParam(ps httprouter.Params, param string) string {
	return strings.TrimPrefix(ps.ByName(param), "/")
}

// decode reads a JSON body into v. It answers an invalid body or an unknown field
// with 400 and returns false.
func decode(w http.ResponseWriter, r *http.Request, v any) bool {
	d := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxBody))
	d.DisallowUnknownFields()
	if err := d.Decode(v); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return false
	}
	return true
}

// reply writes v with the status of err. For a lost answer it closes the
// connection, as a caller would see it.
func reply(w http.ResponseWriter, v any, err error) {
	status := http.StatusOK
	switch {
	case errors.Is(err, ward.ErrOutcomeUnknown):
		panic(http.ErrAbortHandler)
	case errors.Is(err, ward.ErrConflict):
		status = http.StatusConflict
	case errors.Is(err, ward.ErrLeaseLost):
		status = http.StatusGone
	case err != nil:
		http.Error(w, err.Error(), http.StatusServiceUnavailable)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(v)
}
