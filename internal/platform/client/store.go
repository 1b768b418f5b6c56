package client

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"net/url"
	"time"

	"agateward/internal/platform/era"
	"agateward/ward"
)

// Get implements ward.Store.
func (r *rawClient) Get(ctx context.Context, key string) (ward.Record, error) {
	var rec ward.Record
	res, err := r.call(ctx, call{method: http.MethodGet, path: "/store/" + key, answer: &rec})
	rec.Revision = era.Stamp(rec.Revision, res.era)
	return rec, err
}

// CompareAndSwap implements ward.Store. A condition that was met by a store in another
// era than the one that it was made for may have held by chance: its outcome is
// unknown.
func (r *rawClient) CompareAndSwap(ctx context.Context, key string, revision uint64, value []byte) (ward.Record, error) {
	own, ok := r.era.Own(revision)
	if !ok {
		rec, err := r.Get(ctx, key)
		if err != nil {
			return ward.Record{}, err
		}
		return rec, conflictError(rec, revision)
	}
	var rec ward.Record
	c := call{method: http.MethodPut, path: "/store/" + key, body: value, answer: &rec, write: true}
	if value == nil {
		c.method = http.MethodDelete
	}
	c.query = url.Values{"revision": {formatUint(own)}}
	before := r.era.Current()
	res, err := r.call(ctx, c)
	if err != nil {
		return ward.Record{}, err
	}
	rec.Revision = era.Stamp(rec.Revision, res.era)
	switch {
	case res.status == http.StatusConflict:
		return rec, conflictError(rec, revision)
	case before > 0 && res.era != before:
		return ward.Record{}, fmt.Errorf("key %q: the store returned from an older copy meanwhile: %w", key, ward.ErrOutcomeUnknown)
	}
	return rec, nil
}

func conflictError(rec ward.Record, revision uint64) error {
	return fmt.Errorf("key %q has revision %s, not %s: %w", rec.Key, ward.RevisionText(rec.Revision), ward.RevisionText(revision), ward.ErrConflict)
}

// Watch implements ward.Store.
func (r *rawClient) Watch(ctx context.Context, key string, after uint64, wait time.Duration) (ward.Record, error) {
	own, ok := r.era.Own(after)
	if !ok {
		return r.Get(ctx, key)
	}
	var rec ward.Record
	c := call{method: http.MethodGet, path: "/watch/" + key, answer: &rec, wait: wait}
	c.query = url.Values{"after": {formatUint(own)}, "wait": {wait.String()}}
	res, err := r.call(ctx, c)
	rec.Revision = era.Stamp(rec.Revision, res.era)
	return rec, err
}

// Acquire implements ward.Store.
func (r *rawClient) Acquire(ctx context.Context, name, holder string, ttl time.Duration) (ward.Lease, error) {
	body, err := json.Marshal(struct {
		Holder string        `json:"holder"`
		TTL    ward.Duration `json:"ttl"`
	}{holder, ward.Duration(ttl)})
	if err != nil {
		return ward.Lease{}, fmt.Errorf("lease %q: %w", name, err)
	}
	return r.lease(ctx, http.MethodPost, name, body)
}

// Renew implements ward.Store.
func (r *rawClient) Renew(ctx context.Context, lease ward.Lease, ttl time.Duration) (ward.Lease, error) {
	fence, ok := r.era.Own(lease.Fence)
	if !ok {
		return ward.Lease{}, fmt.Errorf("lease %q of an earlier era: %w", lease.Name, ward.ErrLeaseLost)
	}
	body, err := json.Marshal(struct {
		Holder string        `json:"holder"`
		Fence  uint64        `json:"fence"`
		TTL    ward.Duration `json:"ttl"`
	}{lease.Holder, fence, ward.Duration(ttl)})
	if err != nil {
		return ward.Lease{}, fmt.Errorf("lease %q: %w", lease.Name, err)
	}
	return r.lease(ctx, http.MethodPut, lease.Name, body)
}

// Release implements ward.Store.
func (r *rawClient) Release(ctx context.Context, lease ward.Lease) error {
	fence, ok := r.era.Own(lease.Fence)
	if !ok {
		return nil // it ended with its era
	}
	var answer ward.Lease
	c := call{method: http.MethodDelete, path: "/leases/" + lease.Name, answer: &answer, write: true}
	c.query = url.Values{"holder": {lease.Holder}, "fence": {formatUint(fence)}}
	_, err := r.call(ctx, c)
	return err
}

func (r *rawClient) lease(ctx context.Context, method, name string, body []byte) (ward.Lease, error) {
	var lease ward.Lease
	res, err := r.call(ctx, call{method: method, path: "/leases/" + name, body: body, answer: &lease, write: true})
	lease.Fence = era.Stamp(lease.Fence, res.era)
	switch {
	case err != nil:
		return ward.Lease{}, err
	case res.status == http.StatusConflict:
		return lease, fmt.Errorf("lease %q is held by %q: %w", name, lease.Holder, ward.ErrConflict)
	case res.status == http.StatusGone:
		return lease, fmt.Errorf("lease %q: %w", name, ward.ErrLeaseLost)
	}
	return lease, nil
}
