package measure

import "time"

// SetBudgets implements routing.Scheduler. The baselines ignore it: they neither
// hedge nor limit retries.
func (b *baseline) SetBudgets(time.Time, int, int) {}
