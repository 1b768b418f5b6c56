package mover

import (
	"context"
	"errors"
	"slices"
	"time"

	"agateward/internal/move/order"
	"agateward/ward"
)

const (
	// maxConcurrentLoads is the number of loads that the weight store can serve at a
	// time.
	maxConcurrentLoads = 2
	// loadLeaseName is the name of the lease that covers all loads of the fleet.
	loadLeaseName = "load"
)

// sendOrders sends the orders of a move that are due. One entry at a time sends load
// orders, so that the loads of all moves together stay within maxConcurrentLoads.
func (m *Mover) sendOrders(ctx context.Context, c *ward.Config, x ward.Move, l *leaseState) {
	if m.Backend == nil || len(x.Load) == 0 {
		return
	}
	reports := m.reports(ctx, c, x)
	loads := m.leases[loadLeaseName]
	if loads == nil {
		loads = &leaseState{}
		m.leases[loadLeaseName] = loads
	}
	slots := 0
	if m.holdLoadLease(ctx, loads) {
		slots = maxConcurrentLoads - m.othersInFlight(c, x)
	}
	// Force a renewal, to be sure that the lease is held just before an order is sent.
	l.lease.Expires = earlier(l.lease.Expires, m.Clock.Now())
	if !m.holdLease(ctx, x.Name, l) {
		return
	}
	s := m.stateOf(x)
	for _, a := range order.Decide(order.Input{
		Now: m.Clock.Now(), Move: x, Upstreams: c.Upstreams, Records: s.Orders, Reports: reports,
		Fence: l.lease.Fence, Expires: l.lease.Expires, Slots: slots,
	}) {
		if !m.execute(ctx, x, l, a) {
			return
		}
	}
}

// execute writes the record of an order and then sends the order to the engine.
func (m *Mover) execute(ctx context.Context, x ward.Move, l *leaseState, a order.Action) bool {
	s := m.stateOf(x)
	s.Orders = order.Put(s.Orders, a.Record)
	if !m.write(ctx, l, s) {
		return false
	}
	if !a.Send {
		return true
	}
	ctx, cancel := context.WithTimeout(ctx, orderTimeout)
	defer cancel()
	err := m.Backend.Order(ctx, a.Upstream, a.Order)
	m.Log.Info("order-given", "move", x.Name, "upstream", a.Upstream.Name, "id", a.Order.ID, "fence", a.Order.Fence, "ok", err == nil)
	if errors.Is(err, ward.ErrConflict) {
		// The engine has received an order of a later lease holder.
		l.stale = true
	}
	return err == nil
}

// holdLoadLease acquires or renews the lease on loads. The lease is not released after
// a load but left to expire.
func (m *Mover) holdLoadLease(ctx context.Context, l *leaseState) bool {
	now := m.Clock.Now()
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	if l.held && now.Before(l.lease.Expires) {
		return m.renew(ctx, l, now)
	}
	lease, err := m.Store.Acquire(ctx, loadLeaseName, m.Self, leaseTTL)
	l.held = err == nil
	l.lease = lease
	return l.held
}

// othersInFlight returns the number of loads of other moves that may be in progress.
func (m *Mover) othersInFlight(c *ward.Config, x ward.Move) int {
	n := 0
	for _, other := range c.Moves {
		if other.Name != x.Name {
			n += order.InFlight(m.stateOf(other).Orders, m.Clock.Now())
		}
	}
	return n
}

// reports returns the reports, with their versions, of the engines to be loaded.
func (m *Mover) reports(ctx context.Context, c *ward.Config, x ward.Move) []order.Report {
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	var list []order.Report
	for _, u := range c.Upstreams {
		if !slices.Contains(x.Load, u.Name) {
			continue
		}
		asked := m.Clock.Now()
		r, err := m.Backend.Report(ctx, u)
		if err != nil {
			continue
		}
		list = append(list, order.Report{Upstream: u.Name, Version: r.Version, At: reportTime(r, asked)})
	}
	return list
}

// reportTime returns the time that a report describes, which may be before the time
// of the request for it.
func reportTime(r ward.LoadReport, asked time.Time) time.Time {
	if r.At.IsZero() || r.At.After(asked) {
		return asked
	}
	return r.At
}
