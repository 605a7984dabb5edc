package routing

import "time"

// SetBudgets implements Scheduler.
func (p *Policy) SetBudgets(_ time.Time, hedgePercent, retryPercent int) {
	p.hedgeBudget.SetPercent(hedgePercent)
	p.retryBudget.SetPercent(retryPercent)
}
