package admission

// budgetBurst bounds the attempts that a Budget from NewBudget can accumulate.
const budgetBurst = 10

// Budget is a token bucket that bounds extra attempts to a fraction of requests:
// each request adds a fraction of a token, each extra attempt takes one.
type Budget struct {
	creditPerRequest float64
	tokens           float64
	burst            float64
}

// NewBudget returns a budget of percent of requests that starts with initial
// attempts, at most a full burst. It never allows more attempts than initial plus
// percent of the requests, and none if percent is zero.
func NewBudget(percent, initial int) *Budget {
	if percent <= 0 {
		return &Budget{burst: budgetBurst}
	}
	return &Budget{creditPerRequest: float64(percent) / 100, tokens: float64(min(initial, budgetBurst)), burst: budgetBurst}
}

// NewFractionBudget returns a budget of a fraction of requests. It
// starts with initial attempts, which is also its burst until SetBurst.
func NewFractionBudget(fraction, initial float64) *Budget {
	return &Budget{creditPerRequest: fraction, tokens: initial, burst: initial}
}

// SetBurst sets how many attempts can accumulate.
func (b *Budget) SetBurst(burst float64) {
	b.burst = burst
	b.tokens = min(b.tokens, burst)
}

// Grant adds attempts, up to the burst.
func (b *Budget) Grant(attempts float64) { b.tokens = min(b.tokens+attempts, b.burst) }

// SetPercent sets the percentage. Accumulated attempts are kept unless the new
// percentage is zero.
func (b *Budget) SetPercent(percent int) {
	b.creditPerRequest = float64(max(0, percent)) / 100
	if percent <= 0 {
		b.tokens = 0
	}
}

// Credit credits the budget for one request.
func (b *Budget) Credit() { b.tokens = min(b.tokens+b.creditPerRequest, b.burst) }

// Take takes one attempt and reports whether the budget had one.
func (b *Budget) Take() bool {
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}
