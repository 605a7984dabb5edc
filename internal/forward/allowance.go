package forward

import (
	"context"
	"time"

	"github.com/verbenabend/verbenabend/internal/routetable"
	"github.com/verbenabend/verbenabend/internal/verdict"
)

// Allowances keeps organisations within their quotas.
type Allowances interface {
	// Admit charges a request, or returns when it may be retried. It waits for another daemon
	// if it has to.
	Admit(ctx context.Context, o *routetable.Organisation, cost float64) (retryAfter time.Duration, ok bool)
	// Charge charges a further attempt of an admitted request.
	Charge(o *routetable.Organisation, cost float64)
	// Refund gives back charges.
	Refund(o *routetable.Organisation, cost float64)
}

// allowanceCost returns what one attempt takes of the organisation's quota; limited is false
// if it has none.
func (t *transfer) allowanceCost() (cost float64, limited bool) {
	if t.forwarder.Allowances == nil || t.organisation == nil || !t.organisation.Allowance.Limited() {
		return 0, false
	}
	return t.organisation.Allowance.Cost(t.metadata.Tokens, t.metadata.HasTokens), true
}

// chargeAllowance charges the next attempt. The first one is refused if the organisation is over
// its quota; later ones are charged if those before may have run.
func (t *transfer) chargeAllowance(ctx context.Context) error {
	cost, limited := t.allowanceCost()
	switch {
	case !limited:
	case t.charges == 0:
		retryAfter, ok := t.forwarder.Allowances.Admit(ctx, t.organisation, cost)
		if !ok {
			e := verdict.New(verdict.NotRun, verdict.CodeRateLimited, "the organisation is over its quota")
			e.RetryAfter = retryAfter
			return e
		}
		t.charges = 1
	case t.attemptsRun >= t.charges:
		t.forwarder.Allowances.Charge(t.organisation, cost)
		t.charges++
	}
	return nil
}

// settleAllowance refunds what no upstream can have run.
func (t *transfer) settleAllowance() {
	if unused := t.charges - t.attemptsRun; unused > 0 {
		if cost, limited := t.allowanceCost(); limited {
			t.forwarder.Allowances.Refund(t.organisation, cost*float64(unused))
		}
	}
}
