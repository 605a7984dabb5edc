package admission

// budgetBurst is how many extra attempts may be saved up.
const budgetBurst = 10

// Budget bounds extra attempts to a share of requests: each request earns a
// fraction of an attempt, each attempt spends one.
type Budget struct {
	perRequest float64
	tokens     float64
}

// NewBudget returns a budget of percent of requests. It starts with initial
// attempts, at most a full burst: never more are spent than initial plus
// percent of the requests. A percentage of zero allows none.
func NewBudget(percent, initial int) *Budget {
	if percent <= 0 {
		return &Budget{}
	}
	return &Budget{perRequest: float64(percent) / 100, tokens: float64(min(initial, budgetBurst))}
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
func (b *Budget) Earn() { b.tokens = min(b.tokens+b.perRequest, budgetBurst) }

// Take spends one attempt and reports whether the budget had it.
func (b *Budget) Take() bool {
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}
