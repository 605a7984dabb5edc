package admission

// budgetBurst is how many extra attempts may be saved up.
const budgetBurst = 10

// Budget bounds extra attempts to a share of requests: each request earns a
// fraction of an attempt, each attempt spends one.
type Budget struct {
	perRequest float64
	tokens     float64
	burst      float64
}

// NewBudget returns a budget of percent of requests. It starts with initial
// attempts, at most a full burst: never more are spent than initial plus
// percent of the requests. A percentage of zero allows none.
func NewBudget(percent, initial int) *Budget {
	if percent <= 0 {
		return &Budget{burst: budgetBurst}
	}
	return &Budget{perRequest: float64(percent) / 100, tokens: float64(min(initial, budgetBurst)), burst: budgetBurst}
}

// NewShareBudget returns a budget of a share of requests that starts with
// initial attempts, and may save up as many until SetBurst.
func NewShareBudget(share, initial float64) *Budget {
	return &Budget{perRequest: share, tokens: initial, burst: initial}
}

// SetBurst changes how many attempts may be saved up.
func (b *Budget) SetBurst(burst float64) {
	b.burst = burst
	b.tokens = min(b.tokens, burst)
}

// SetPercent changes the percentage; what was saved up stays, unless the new
// percentage is zero.
func (b *Budget) SetPercent(percent int) {
	b.perRequest = float64(max(0, percent)) / 100
	if percent <= 0 {
		b.tokens = 0
	}
}

// Earn counts a request.
func (b *Budget) Earn() { b.tokens = min(b.tokens+b.perRequest, b.burst) }

// Take spends one attempt and reports whether the budget had it.
func (b *Budget) Take() bool {
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}
