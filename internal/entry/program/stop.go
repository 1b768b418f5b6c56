package program

import (
	"context"
	"time"
)

// exitInterval is the time between two looks at the open connections at the exit. It is longer
// than the time in which the tracker's listeners still accept what waits.
const exitInterval = 20 * time.Millisecond

// stop stops the entry as planned. It returns when no request is open or the grace
// period is over.
func (p *Program) stop(ctx context.Context) error {
	p.stopping.Store(true)
	p.log.Info("stop-begun", "open", p.path.Count(), "lag", p.settings.Stop.BalancerLag, "grace", p.settings.Stop.Grace)
	ctx, cancel := context.WithTimeout(ctx, p.settings.Stop.Grace.Std())
	defer cancel()
	// The balancer continues to send requests until it has seen that the entry is not
	// ready. These are served.
	if err := p.clock.Sleep(ctx, p.settings.Stop.BalancerLag.Std()); err != nil {
		return nil
	}
	p.exiting.Store(true)
	if err := p.path.Stop(ctx); err != nil {
		p.log.Info("grace-used-up", "open", p.path.Count())
		return nil
	}
	if left := p.path.Flush(ctx); left > 0 {
		p.log.Info("records-not-written", "left", left)
	}
	p.endConnections(ctx)
	return p.trace.Close(ctx)
}

// endConnections ends the connections of callers without a request, and waits until the
// requests that are arriving are refused or ctx ends.
func (p *Program) endConnections(ctx context.Context) {
	p.connections.EndUnused()
	for p.clock.Sleep(ctx, exitInterval) == nil {
		if p.connections.Counts().Open() == 0 {
			return
		}
	}
	if open := p.connections.Counts(); open.Open() > 0 {
		p.log.Info("connections-cut", "new", open.New, "idle", open.Idle, "head", open.Head, "request", open.Request)
	}
}
