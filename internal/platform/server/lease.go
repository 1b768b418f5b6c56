package server

import (
	"net/http"
	"strconv"

	"agateward/internal/platform/era"
	"agateward/ward"

	"github.com/julienschmidt/httprouter"
)

func (h *handler) acquire(w http.ResponseWriter, r *http.Request, ps httprouter.Params) {
	var body struct {
		Holder string        `json:"holder"`
		TTL    ward.Duration `json:"ttl"`
	}
	if !decode(w, r, &body) {
		return
	}
	lease, err := h.platform.Acquire(r.Context(), pathParam(ps, "name"), body.Holder, body.TTL.Std())
	h.replyLease(w, lease, err)
}

func (h *handler) renew(w http.ResponseWriter, r *http.Request, ps httprouter.Params) {
	var body struct {
		Holder string        `json:"holder"`
		Fence  uint64        `json:"fence"`
		TTL    ward.Duration `json:"ttl"`
	}
	if !decode(w, r, &body) {
		return
	}
	lease := ward.Lease{Name: pathParam(ps, "name"), Holder: body.Holder, Fence: era.Stamp(body.Fence, h.platform.Era())}
	lease, err := h.platform.Renew(r.Context(), lease, body.TTL.Std())
	h.replyLease(w, lease, err)
}

func (h *handler) release(w http.ResponseWriter, r *http.Request, ps httprouter.Params) {
	fence, err := strconv.ParseUint(r.URL.Query().Get("fence"), 10, 64)
	if err != nil {
		http.Error(w, "fence: "+err.Error(), http.StatusBadRequest)
		return
	}
	lease := ward.Lease{Name: pathParam(ps, "name"), Holder: r.URL.Query().Get("holder"), Fence: era.Stamp(fence, h.platform.Era())}
	h.replyLease(w, lease, h.platform.Release(r.Context(), lease))
}

func (h *handler) lapse(w http.ResponseWriter, _ *http.Request, ps httprouter.Params) {
	h.platform.Lapse(pathParam(ps, "name"))
	h.replyLease(w, h.platform.Lease(pathParam(ps, "name")), nil)
}

func (h *handler) instances(w http.ResponseWriter, r *http.Request, _ httprouter.Params) {
	list, err := h.platform.Instances(r.Context())
	h.stateEra(w, 0)
	reply(w, list, err)
}

func (h *handler) putInstances(w http.ResponseWriter, r *http.Request, _ httprouter.Params) {
	var list []ward.Instance
	if !decode(w, r, &list) {
		return
	}
	h.platform.PutInstances(list...)
	reply(w, list, nil)
}

func (h *handler) removeInstance(w http.ResponseWriter, _ *http.Request, ps httprouter.Params) {
	h.platform.RemoveInstance(ps.ByName("name"))
	w.WriteHeader(http.StatusNoContent)
}
