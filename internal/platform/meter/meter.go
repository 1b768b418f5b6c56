// Package meter provides a ward.Store that limits the calls of the fleet to the
// platform's store to a budget.
//
// # Usage
//
//	m := meter.New(store, clock, meter.DefaultBudget())
//	m.SetEntries(len(live))
//	_, err := m.Get(ctx, "config") // errors.Is(err, ward.ErrOverBudget) when the budget is used up
//	for _, c := range m.Counts() { ... }
//
// Every key family has a row in the Budget, with the reads and writes a second
// of the whole fleet. An entry may use the row divided by the number of live
// entries. Each family has its own token buckets, so that a burst of run records
// can't delay a ticket. A call over budget fails with ward.ErrOverBudget before
// it is sent, so that it has no effect.
//
// Work under a lease is not spread evenly, because the holder of the lease makes
// all the calls. A row therefore also states the rate that each held lease adds
// for its holder (PerLease). The meter counts the leases of its entry from the
// calls of Acquire, Renew and Release. Only one entry holds a lease at a time, so
// the sum over the fleet is the row plus PerLease for each held lease.
package meter

import (
	"context"
	"fmt"
	"sync"
	"time"

	"agateward/internal/platform/family"
	"agateward/ward"

	"golang.org/x/time/rate"
)

// Store is a ward.Store that refuses calls over budget. Create one with New.
type Store struct {
	store ward.Store
	clock ward.Clock

	mu      sync.Mutex
	entries int
	buckets []*bucket
	leases  map[string]time.Time
}

// bucket is one family's token bucket for one kind of call.
type bucket struct {
	rate    Rate
	kind    family.Kind
	family  family.Family
	limiter *rate.Limiter
	sent    uint64
	refused uint64
}

// defaultEntries is the assumed number of entries until SetEntries, and the
// largest number at which entries have their whole burst.
const defaultEntries = 8

// New wraps store with a meter. The budget is that of the whole fleet; until
// SetEntries is called, the meter assumes 8 entries. A nil clock means
// ward.SystemClock.
func New(store ward.Store, clock ward.Clock, budget Budget) *Store {
	if clock == nil {
		clock = ward.SystemClock{}
	}
	m := &Store{store: store, clock: clock, entries: defaultEntries, leases: map[string]time.Time{}}
	for _, row := range budget.Rows {
		m.buckets = append(m.buckets,
			&bucket{family: row.Family, kind: family.Read, rate: row.Read, limiter: rate.NewLimiter(0, row.Read.Burst)},
			&bucket{family: row.Family, kind: family.Write, rate: row.Write, limiter: rate.NewLimiter(0, row.Write.Burst)})
	}
	now := clock.Now()
	for _, b := range m.buckets {
		b.limiter.SetLimitAt(now, b.limit(m.entries, 0))
	}
	return m
}

// SetEntries sets the number of live entries. Numbers below 1 count as 1.
func (m *Store) SetEntries(n int) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.entries = max(n, 1)
}

// Counts returns the numbers of calls sent and refused, by family and kind.
func (m *Store) Counts() []family.Count {
	m.mu.Lock()
	defer m.mu.Unlock()
	counts := make([]family.Count, 0, len(m.buckets))
	for _, b := range m.buckets {
		counts = append(counts, family.Count{Family: b.family, Kind: b.kind, Sent: b.sent, Refused: b.refused})
	}
	return counts
}

// allow counts one call against the budget, or returns ward.ErrOverBudget.
func (m *Store) allow(f family.Family, k family.Kind) error {
	m.mu.Lock()
	defer m.mu.Unlock()
	now := m.clock.Now()
	for _, b := range m.buckets {
		if b.family != f || b.kind != k {
			continue
		}
		if limit := b.limit(m.entries, m.heldLeases(now)); limit != b.limiter.Limit() {
			b.limiter.SetLimitAt(now, limit)
			b.limiter.SetBurstAt(now, b.burst(m.entries))
		}
		if !b.limiter.AllowN(now, 1) {
			b.refused++
			return fmt.Errorf("%s %ss of this entry: %w", f, k, ward.ErrOverBudget)
		}
		b.sent++
		return nil
	}
	return fmt.Errorf("family %s has no budget: %w", f, ward.ErrOverBudget)
}

// limit returns this entry's share of the fleet's rate.
func (b *bucket) limit(entries, leases int) rate.Limit {
	return rate.Limit(max(b.rate.Fleet/float64(entries), b.rate.MinPerEntry) + b.rate.PerLease*float64(leases))
}

// burst returns the number of calls that this entry may make at once. Above
// defaultEntries it shrinks, so that the burst of the whole fleet doesn't grow,
// except for rows with MinPerEntry.
func (b *bucket) burst(entries int) int {
	if entries <= defaultEntries || b.rate.MinPerEntry > 0 {
		return b.rate.Burst
	}
	return max(1, b.rate.Burst*defaultEntries/entries)
}

// heldLeases returns the number of leases held by this entry, and removes those
// that have expired. The caller holds mu.
func (m *Store) heldLeases(now time.Time) int {
	for name, expires := range m.leases {
		if !now.Before(expires) {
			delete(m.leases, name)
		}
	}
	return len(m.leases)
}

func (m *Store) addLease(lease ward.Lease) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.leases[lease.Name] = lease.Expires
}

func (m *Store) removeLease(name string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	delete(m.leases, name)
}

// Get implements ward.Store.
func (m *Store) Get(ctx context.Context, key string) (ward.Record, error) {
	if err := m.allow(family.Of(key), family.Read); err != nil {
		return ward.Record{}, err
	}
	return m.store.Get(ctx, key)
}

// CompareAndSwap implements ward.Store.
func (m *Store) CompareAndSwap(ctx context.Context, key string, revision uint64, value []byte) (ward.Record, error) {
	if err := m.allow(family.Of(key), family.Write); err != nil {
		return ward.Record{}, err
	}
	return m.store.CompareAndSwap(ctx, key, revision, value)
}

// Watch implements ward.Store.
func (m *Store) Watch(ctx context.Context, key string, after uint64, wait time.Duration) (ward.Record, error) {
	if err := m.allow(family.Of(key), family.Read); err != nil {
		return ward.Record{}, err
	}
	return m.store.Watch(ctx, key, after, wait)
}

// Acquire implements ward.Store.
func (m *Store) Acquire(ctx context.Context, name, holder string, ttl time.Duration) (ward.Lease, error) {
	if err := m.allow(family.Lease, family.Write); err != nil {
		return ward.Lease{}, err
	}
	lease, err := m.store.Acquire(ctx, name, holder, ttl)
	if err == nil {
		m.addLease(lease)
	}
	return lease, err
}

// Renew implements ward.Store.
func (m *Store) Renew(ctx context.Context, lease ward.Lease, ttl time.Duration) (ward.Lease, error) {
	if err := m.allow(family.Lease, family.Write); err != nil {
		return ward.Lease{}, err
	}
	name := lease.Name
	lease, err := m.store.Renew(ctx, lease, ttl)
	if err != nil {
		m.removeLease(name)
		return lease, err
	}
	m.addLease(lease)
	return lease, nil
}

// Release implements ward.Store.
func (m *Store) Release(ctx context.Context, lease ward.Lease) error {
	m.removeLease(lease.Name)
	if err := m.allow(family.Lease, family.Write); err != nil {
		return err
	}
	return m.store.Release(ctx, lease)
}
