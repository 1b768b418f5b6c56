package client

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"net/url"
	"time"

	"agateward/ward"
)

// Get implements ward.Store.
func (r *rawClient) Get(ctx context.Context, key string) (ward.Record, error) {
	var rec ward.Record
	_, err := r.call(ctx, call{method: http.MethodGet, path: "/store/" + key, answer: &rec})
	return rec, err
}

// CompareAndSwap implements ward.Store.
func (r *rawClient) CompareAndSwap(ctx context.Context, key string, revision uint64, value []byte) (ward.Record, error) {
	var rec ward.Record
	c := call{method: http.MethodPut, path: "/store/" + key, body: value, answer: &rec, write: true}
	if value == nil {
		c.method = http.MethodDelete
	}
	c.query = url.Values{"revision": {formatUint(revision)}}
	status, err := r.call(ctx, c)
	if err != nil {
		return ward.Record{}, err
	}
	if status == http.StatusConflict {
		return rec, fmt.Errorf("key %q has revision %d, not %d: %w", key, rec.Revision, revision, ward.ErrConflict)
	}
	return rec, nil
}

// Watch implements ward.Store.
func (r *rawClient) Watch(ctx context.Context, key string, after uint64, wait time.Duration) (ward.Record, error) {
	var rec ward.Record
	c := call{method: http.MethodGet, path: "/watch/" + key, answer: &rec, wait: wait}
	c.query = url.Values{"after": {formatUint(after)}, "wait": {wait.String()}}
	_, err := r.call(ctx, c)
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
	body, err := json.Marshal(struct {
		Holder string        `json:"holder"`
		Fence  uint64        `json:"fence"`
		TTL    ward.Duration `json:"ttl"`
	}{lease.Holder, lease.Fence, ward.Duration(ttl)})
	if err != nil {
		return ward.Lease{}, fmt.Errorf("lease %q: %w", lease.Name, err)
	}
	return r.lease(ctx, http.MethodPut, lease.Name, body)
}

// Release implements ward.Store.
func (r *rawClient) Release(ctx context.Context, lease ward.Lease) error {
	var answer ward.Lease
	c := call{method: http.MethodDelete, path: "/leases/" + lease.Name, answer: &answer, write: true}
	c.query = url.Values{"holder": {lease.Holder}, "fence": {formatUint(lease.Fence)}}
	_, err := r.call(ctx, c)
	return err
}

func (r *rawClient) lease(ctx context.Context, method, name string, body []byte) (ward.Lease, error) {
	var lease ward.Lease
	status, err := r.call(ctx, call{method: method, path: "/leases/" + name, body: body, answer: &lease, write: true})
	switch {
	case err != nil:
		return ward.Lease{}, err
	case status == http.StatusConflict:
		return lease, fmt.Errorf("lease %q is held by %q: %w", name, lease.Holder, ward.ErrConflict)
	case status == http.StatusGone:
		return lease, fmt.Errorf("lease %q: %w", name, ward.ErrLeaseLost)
	}
	return lease, nil
}
