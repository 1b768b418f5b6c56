package server

import (
	"net/http"
	"strconv"

	"agateward/internal/platform/era"
	"agateward/ward"

	"github.com/julienschmidt/httprouter"
)

// copy takes a copy of the store.
func (h *handler) copy(w http.ResponseWriter, _ *http.Request, _ httprouter.Params) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.copied = h.platform.Copy()
	reply(w, struct{}{}, nil)
}

// restore lets the store return from the last copy, or empty if none was taken.
func (h *handler) restore(w http.ResponseWriter, _ *http.Request, _ httprouter.Params) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.platform.Restore(h.copied)
	reply(w, struct{}{}, nil)
}

// replyRecord writes a record with the store's own revision.
func (h *handler) replyRecord(w http.ResponseWriter, rec ward.Record, err error) {
	rec.Revision = h.stateEra(w, rec.Revision)
	reply(w, rec, err)
}

// replyLease writes a lease with the store's own fence.
func (h *handler) replyLease(w http.ResponseWriter, lease ward.Lease, err error) {
	lease.Fence = h.stateEra(w, lease.Fence)
	reply(w, lease, err)
}

// stateEra states the era of a stamped number, that of the store for 0, and returns the
// store's own number.
func (h *handler) stateEra(w http.ResponseWriter, stamped uint64) uint64 {
	e, own := ward.SplitRevision(stamped)
	if stamped == 0 {
		e = h.platform.Era()
	}
	w.Header().Set(era.Field, strconv.FormatUint(e, 10))
	return own
}
