package memory

import (
	"context"
	"fmt"
	"time"

	"agateward/internal/platform/family"
	"agateward/ward"
)

// Acquire implements ward.Store. A holder that acquires its own lease again
// gets a new fencing number, as it may have restarted under the same name.
func (p *Platform) Acquire(ctx context.Context, name, holder string, ttl time.Duration) (ward.Lease, error) {
	faults, err := p.begin(ctx, family.Lease, family.Write)
	if err != nil {
		return ward.Lease{}, err
	}
	lease, conflict := p.acquire(name, holder, ttl)
	if err := p.end(ctx, faults, family.Write); err != nil {
		return ward.Lease{}, err
	}
	return lease, conflict
}

// Renew implements ward.Store.
func (p *Platform) Renew(ctx context.Context, lease ward.Lease, ttl time.Duration) (ward.Lease, error) {
	faults, err := p.begin(ctx, family.Lease, family.Write)
	if err != nil {
		return ward.Lease{}, err
	}
	lease, lost := p.renew(lease, ttl)
	if err := p.end(ctx, faults, family.Write); err != nil {
		return ward.Lease{}, err
	}
	return lease, lost
}

// Release implements ward.Store.
func (p *Platform) Release(ctx context.Context, lease ward.Lease) error {
	faults, err := p.begin(ctx, family.Lease, family.Write)
	if err != nil {
		return err
	}
	p.mu.Lock()
	if held := p.leases[lease.Name]; held.Fence == lease.Fence {
		p.lapse(lease.Name)
	}
	p.mu.Unlock()
	return p.end(ctx, faults, family.Write)
}

// Lapse ends a lease before it expires. The holder notices it at its next
// Renew, as after a pause.
func (p *Platform) Lapse(name string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.lapse(name)
}

// Lease returns the current lease of a name, for tests and the HTTP stand-in.
func (p *Platform) Lease(name string) ward.Lease {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.leases[name]
}

// lapse ends a lease. It keeps the fencing number, so that the next one is
// higher. The caller holds mu.
func (p *Platform) lapse(name string) {
	if held, ok := p.leases[name]; ok {
		held.Holder = ""
		held.Expires = time.Time{}
		p.leases[name] = held
	}
}

func (p *Platform) acquire(name, holder string, ttl time.Duration) (ward.Lease, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.clock().Now()
	held := p.leases[name]
	if held.Holder != "" && held.Holder != holder && now.Before(held.Expires) && !p.faults.LapseLeases {
		return held, fmt.Errorf("lease %q is held by %q: %w", name, held.Holder, ward.ErrConflict)
	}
	lease := ward.Lease{Name: name, Holder: holder, Fence: p.stamp(held.Fence + 1), Expires: now.Add(ttl)}
	if p.leases == nil {
		p.leases = map[string]ward.Lease{}
	}
	p.leases[name] = lease
	return lease, nil
}

func (p *Platform) renew(lease ward.Lease, ttl time.Duration) (ward.Lease, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.clock().Now()
	held := p.leases[lease.Name]
	if held.Fence != lease.Fence || held.Holder != lease.Holder || !now.Before(held.Expires) || p.faults.LapseLeases {
		return held, fmt.Errorf("lease %q with fence %d: %w", lease.Name, lease.Fence, ward.ErrLeaseLost)
	}
	held.Expires = now.Add(ttl)
	p.leases[lease.Name] = held
	return held, nil
}
