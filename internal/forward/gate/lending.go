package gate

import (
	"time"

	"agateward/internal/forward/lending"
	"agateward/internal/forward/schedule"
)

// ReceiveLending applies a message about lent slots of an entry of another cell.
func (g *Gate) ReceiveLending(from string, m schedule.LendingMessage) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.apply(g.sched.ReceiveLending(from, m, time.Now()))
}

// sendLending sends a message to an entry of another cell. The caller must hold mu.
func (g *Gate) sendLending(a schedule.Action) {
	if g.SendLending != nil {
		g.SendLending(a.LendTo, *a.Lending)
	}
}

// loanCounts returns the questions and loans since the start that concern a data centre.
func (g *Gate) loanCounts(dataCentre string) lending.Counts {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.sched.LoanCounts(dataCentre)
}
