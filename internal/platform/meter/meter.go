// Package meter provides the call meter that holds the fleet to its budget at
// the platform's store.
//
// # Usage
//
//	m := meter.New(store, clock, meter.DefaultBudget())
//	m.SetEntries(len(live))
//	_, err := m.Get(ctx, "config") // errors.Is(err, ward.ErrOverBudget) when used up
//	for _, c := range m.Counts() { ... }
//
// Every key family has a row in one table (Budget): reads and writes a second
// for the whole fleet. An entry may use the row divided by the number of live
// entries; a token bucket of one family never takes from another, so that a
// burst of run records cannot hold up a ticket. A call over budget fails before
// it is sent, with ward.ErrOverBudget: it certainly took no effect.
//
// The work of a duty is not spread evenly: one entry holds the lease and makes
// all the calls. A row therefore also states what one held lease adds to its
// holder (PerLease). The meter sees every Acquire and Renew itself and so knows
// how many leases are held here. The store gives a lease to one entry at a time,
// so the sum over the fleet is the row plus PerLease for each duty in work.
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

// Store is a ward.Store that refuses calls over budget. Make one with New.
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

// usualEntries is the number of entries that bursts are set for.
const usualEntries = 8

// New wraps store with a meter. The budget is that of the whole fleet; until
// SetEntries it is divided by 8. A nil clock is the machine's.
func New(store ward.Store, clock ward.Clock, budget Budget) *Store {
	if clock == nil {
		clock = ward.SystemClock{}
	}
	m := &Store{store: store, clock: clock, entries: usualEntries, leases: map[string]time.Time{}}
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

// SetEntries tells the meter how many entries are live. Fewer than 1 counts as
// 1.
func (m *Store) SetEntries(n int) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.entries = max(n, 1)
}

// Counts returns the calls sent and refused, one line a family and kind.
func (m *Store) Counts() []family.Count {
	m.mu.Lock()
	defer m.mu.Unlock()
	counts := make([]family.Count, 0, len(m.buckets))
	for _, b := range m.buckets {
		counts = append(counts, family.Count{Family: b.family, Kind: b.kind, Sent: b.sent, Refused: b.refused})
	}
	return counts
}

// take spends one call of the budget.
func (m *Store) take(f family.Family, k family.Kind) error {
	m.mu.Lock()
	defer m.mu.Unlock()
	now := m.clock.Now()
	for _, b := range m.buckets {
		if b.family != f || b.kind != k {
			continue
		}
		if limit := b.limit(m.entries, m.held(now)); limit != b.limiter.Limit() {
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

// limit is this entry's part of the fleet's rate.
func (b *bucket) limit(entries, leases int) rate.Limit {
	return rate.Limit(max(b.rate.Fleet/float64(entries), b.rate.Least) + b.rate.PerLease*float64(leases))
}

// burst is the number of calls that this entry may make at once. In a larger
// fleet it shrinks, so that the fleet's burst stays that of usualEntries.
func (b *bucket) burst(entries int) int {
	if entries <= usualEntries || b.rate.Least > 0 {
		return b.rate.Burst
	}
	return max(1, b.rate.Burst*usualEntries/entries)
}

// held needs mu. It returns the number of leases held here, and forgets those
// that have lapsed.
func (m *Store) held(now time.Time) int {
	for name, expires := range m.leases {
		if !now.Before(expires) {
			delete(m.leases, name)
		}
	}
	return len(m.leases)
}

func (m *Store) hold(lease ward.Lease) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.leases[lease.Name] = lease.Expires
}

func (m *Store) drop(name string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	delete(m.leases, name)
}

// Get implements ward.Store.
func (m *Store) Get(ctx context.Context, key string) (ward.Record, error) {
	if err := m.take(family.Of(key), family.Read); err != nil {
		return ward.Record{}, err
	}
	return m.store.Get(ctx, key)
}

// CompareAndSwap implements ward.Store.
func (m *Store) CompareAndSwap(ctx context.Context, key string, revision uint64, value []byte) (ward.Record, error) {
	if err := m.take(family.Of(key), family.Write); err != nil {
		return ward.Record{}, err
	}
	return m.store.CompareAndSwap(ctx, key, revision, value)
}

// Watch implements ward.Store.
func (m *Store) Watch(ctx context.Context, key string, after uint64, wait time.Duration) (ward.Record, error) {
	if err := m.take(family.Of(key), family.Read); err != nil {
		return ward.Record{}, err
	}
	return m.store.Watch(ctx, key, after, wait)
}

// Acquire implements ward.Store.
func (m *Store) Acquire(ctx context.Context, name, holder string, ttl time.Duration) (ward.Lease, error) {
	if err := m.take(family.Lease, family.Write); err != nil {
		return ward.Lease{}, err
	}
	lease, err := m.store.Acquire(ctx, name, holder, ttl)
	if err == nil {
		m.hold(lease)
	}
	return lease, err
}

// Renew implements ward.Store.
func (m *Store) Renew(ctx context.Context, lease ward.Lease, ttl time.Duration) (ward.Lease, error) {
	if err := m.take(family.Lease, family.Write); err != nil {
		return ward.Lease{}, err
	}
	name := lease.Name
	lease, err := m.store.Renew(ctx, lease, ttl)
	if err != nil {
		m.drop(name)
		return lease, err
	}
	m.hold(lease)
	return lease, nil
}

// Release implements ward.Store.
func (m *Store) Release(ctx context.Context, lease ward.Lease) error {
	m.drop(lease.Name)
	if err := m.take(family.Lease, family.Write); err != nil {
		return err
	}
	return m.store.Release(ctx, lease)
}
