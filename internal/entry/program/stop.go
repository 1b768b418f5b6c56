package program

import (
	"context"
)

// stop stops the entry as planned. It returns when no request is left or the
// grace is used up.
func (p *Program) stop(ctx context.Context) error {
	p.unready.Store(true)
	p.log.Info("stop-begun", "open", p.path.Count(), "lag", p.settings.Stop.BalancerLag, "grace", p.settings.Stop.Grace)
	ctx, cancel := context.WithTimeout(ctx, p.settings.Stop.Grace.Std())
	defer cancel()
	// The balancer still sends requests until it has seen that the entry is not
	// ready; they are served.
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
