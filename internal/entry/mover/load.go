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
	// loadSlots is the number of loads that the weight store takes at a time.
	loadSlots = 2
	// leaseLoads is the lease that covers all loads of the fleet.
	leaseLoads = "load"
)

// load gives the orders of a move that are due. One entry at a time gives
// orders, so that the loads of all moves together keep the weight store's pace.
func (m *Mover) load(ctx context.Context, c *ward.Config, x ward.Move, d *duty) {
	if m.Backend == nil || len(x.Load) == 0 {
		return
	}
	reports := m.reports(ctx, c, x)
	pace := m.duties[leaseLoads]
	if pace == nil {
		pace = &duty{}
		m.duties[leaseLoads] = pace
	}
	slots := 0
	if m.pace(ctx, pace) {
		slots = loadSlots - m.othersInFlight(c, x)
	}
	// Renewing shows that the lease is held right before an order.
	d.lease.Expires = earlier(d.lease.Expires, m.Clock.Now())
	if !m.hold(ctx, x.Name, d) {
		return
	}
	s := m.stateOf(x)
	for _, a := range order.Decide(order.Input{
		Now: m.Clock.Now(), Move: x, Upstreams: c.Upstreams, Records: s.Orders, Reports: reports,
		Fence: d.lease.Fence, Expires: d.lease.Expires, Slots: slots,
	}) {
		if !m.carryOut(ctx, x, d, a) {
			return
		}
	}
}

// carryOut writes the record of an order and then gives it.
func (m *Mover) carryOut(ctx context.Context, x ward.Move, d *duty, a order.Action) bool {
	s := m.stateOf(x)
	s.Orders = order.Put(s.Orders, a.Record)
	if !m.write(ctx, d, s) {
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
		// The engine knows a later holder.
		d.stale = true
	}
	return err == nil
}

// pace holds the lease on loads, which is given back by lapsing.
func (m *Mover) pace(ctx context.Context, d *duty) bool {
	now := m.Clock.Now()
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	if d.held && now.Before(d.lease.Expires) {
		return m.renew(ctx, d, now)
	}
	lease, err := m.Store.Acquire(ctx, leaseLoads, m.Self, leaseTerm)
	d.held = err == nil
	d.lease = lease
	return d.held
}

// othersInFlight counts the loads of other moves that may be under way.
func (m *Mover) othersInFlight(c *ward.Config, x ward.Move) int {
	n := 0
	for _, other := range c.Moves {
		if other.Name != x.Name {
			n += order.InFlight(m.stateOf(other).Orders, m.Clock.Now())
		}
	}
	return n
}

// reports asks the engines that are being loaded for their version.
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

// reportTime returns when a report was true: reports lag.
func reportTime(r ward.LoadReport, asked time.Time) time.Time {
	if r.At.IsZero() || r.At.After(asked) {
		return asked
	}
	return r.At
}
