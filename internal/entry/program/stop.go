package program

import (
	"context"
)

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
	p.callers.SetKeepAlivesEnabled(false)
	if err := p.path.Stop(ctx); err != nil {
		p.log.Info("grace-used-up", "open", p.path.Count())
		return nil
	}
	if err := p.callers.Shutdown(ctx); err != nil {
		p.log.Info("grace-used-up", "open", p.path.Count())
	}
	if left := p.path.Flush(ctx); left > 0 {
		p.log.Info("records-not-written", "left", left)
	}
	return p.trace.Close(ctx)
}
