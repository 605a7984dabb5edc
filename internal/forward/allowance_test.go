package forward

import (
	"context"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/verbenabend/verbenabend/internal/routetable"
	"github.com/verbenabend/verbenabend/internal/verdict"
)

// countedAllowances records charges; refuse is set to refuse requests.
type countedAllowances struct {
	refuse            bool
	charged, refunded float64
}

func (a *countedAllowances) Admit(_ context.Context, _ *routetable.Organisation, cost float64) (time.Duration, bool) {
	if a.refuse {
		return time.Second, false
	}
	a.charged += cost
	return 0, true
}
func (a *countedAllowances) Charge(_ *routetable.Organisation, cost float64) { a.charged += cost }
func (a *countedAllowances) Refund(_ *routetable.Organisation, cost float64) { a.refunded += cost }

// Guards against retries that are not counted, and against charges for attempts that no upstream
// ran.
func TestAttemptsAreChargedOnceEach(t *testing.T) {
	for _, c := range []struct {
		name              string
		ran               []bool // by attempt
		charged, refunded float64
	}{
		{"served", []bool{true}, 340, 0},
		{"never reached an upstream", []bool{false, false, false}, 340, 340},
		{"rejected, then served", []bool{false, true}, 340, 0},
		{"broken, then served", []bool{true, true}, 680, 0},
		{"broken, then not reached", []bool{true, false}, 680, 340},
		{"panicked before it was sent", nil, 340, 340},
	} {
		a := &countedAllowances{}
		x := &transfer{forwarder: New(Config{Allowances: a}), organisation: &routetable.Organisation{Allowance: routetable.Allowance{PerSecond: 1, InTokens: true}}}
		x.metadata.Tokens, x.metadata.HasTokens = 340, true
		assert.NilError(t, x.chargeAllowance(context.Background()))
		for i, ran := range c.ran {
			if i > 0 {
				a.refuse = true // later attempts are charged and never refused
				assert.NilError(t, x.chargeAllowance(context.Background()))
			}
			if ran {
				x.attemptsRun++
			}
		}
		x.settleAllowance()
		assert.Equal(t, a.charged, c.charged, c.name)
		assert.Equal(t, a.refunded, c.refunded, c.name)
	}
}

// Guards against refusals that leave the caller in doubt, and against costs of requests without a
// quota.
func TestRefusedAllowance(t *testing.T) {
	a := &countedAllowances{refuse: true}
	x := &transfer{forwarder: New(Config{Allowances: a}), organisation: &routetable.Organisation{Allowance: routetable.Allowance{PerSecond: 1}}}
	err := x.chargeAllowance(context.Background())
	e, ok := verdict.As(err)
	assert.Assert(t, ok && e.Verdict == verdict.NotRun && e.RetryAfter == time.Second)
	status, code := x.errorStatus(err)
	assert.Assert(t, status == 429 && code == verdict.CodeRateLimited, "%d %s", status, code)
	x.settleAllowance()
	assert.Equal(t, a.refunded, 0.0)
	for _, o := range []*routetable.Organisation{nil, {}} {
		x.organisation = o
		assert.NilError(t, x.chargeAllowance(context.Background()))
	}
}
