package measure

import (
	"bytes"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/verbenabend/verbenabend/internal/prefix"
	"github.com/verbenabend/verbenabend/internal/testseed"
)

func TestMain(m *testing.M) { testseed.Main(m) }

// small makes a workload's run short.
func small(l workload) workload {
	l.warm, l.measured = 2*time.Second, 8*time.Second
	return l
}

func runSmall(t *testing.T) ([]Result, []byte) {
	t.Helper()
	var plan []job
	loads := []workload{small(trust()), small(hilos())}
	mean := []func() means{meanOf(loads[0], 7), meanOf(loads[1], 7)}
	for i, s := range scenarios() {
		s.start, s.lasts, s.after = min(s.start, 3*time.Second), min(s.lasts, 5*time.Second), min(s.after, 5*time.Second)
		l := loads[i%2]
		for _, p := range policies() {
			plan = append(plan, job{l, s, 7, p, nil, mean[i%2]})
		}
	}
	results, err := runAll(plan)
	assert.NilError(t, err)
	var b bytes.Buffer
	assert.NilError(t, writeJSON(&b, results))
	return results, b.Bytes()
}

// Equal seeds give equal bytes; in every scenario every request ends in one
// way, work that may not be repeated is not, and the budgets of the product hold.
func TestRuns(t *testing.T) {
	results, first := runSmall(t)
	_, second := runSmall(t)
	assert.Equal(t, string(first), string(second))
	for _, r := range results {
		assert.Equal(t, r.Requests, r.Completed+r.Refused+r.Lost, "%+v", r)
		assert.Equal(t, r.Forbidden, 0, "%+v", r)
		assert.Assert(t, r.PrefixHitRate > 0 && r.PrefixHitRate < 1, "%+v", r)
	}
}

// Without a fault nothing is lost.
func TestSteadyLosesNothing(t *testing.T) {
	for _, p := range policies() {
		r := job{small(hilos()), scenarios()[0], 3, p, nil, meanOf(hilos(), 3)}.run()
		assert.Equal(t, r.Lost, 0, "%+v", r)
	}
}

// Chains built directly nest as prefix.New's do: prompts of one branch share
// exactly the pieces before the end of that level.
func TestChainsNest(t *testing.T) {
	g := newGenerator(hilos(), 1, 0)
	k := &hilos().kinds[0]
	a := g.chain(k, 1, 2, 3, 100, 9000)
	b := g.chain(k, 1, 2, 3, 101, 9000)
	c := g.chain(k, 1, 2, 4, 100, 9000)
	d := g.chain(k, 2, 2, 3, 100, 9000)
	assert.Equal(t, shared(a, b), a.LevelPieces[1])
	assert.Equal(t, shared(a, c), a.LevelPieces[0])
	assert.Equal(t, shared(a, d), 0)
	assert.Equal(t, a.HomeKey(), b.HomeKey())
	assert.Assert(t, a.HomeKey() != c.HomeKey())
	assert.Equal(t, len(a.Pieces), a.Bytes/pieceBytes)
}

func shared(a, b prefix.Chain) int {
	n := 0
	for n < min(len(a.Pieces), len(b.Pieces)) && a.Pieces[n] == b.Pieces[n] {
		n++
	}
	return n
}

// Events happen in the order of their times, equal times in order of addition.
func TestTimelineOrder(t *testing.T) {
	var l timeline
	var got []int
	for i, at := range []time.Duration{3, 1, 2, 1} {
		l.at(at, func() { got = append(got, i) })
	}
	l.run(2)
	assert.DeepEqual(t, got, []int{1, 3, 2})
	l.run(3)
	assert.DeepEqual(t, got, []int{1, 3, 2, 0})
}

func TestUnknownNamesAreRefused(t *testing.T) {
	for _, c := range []Cmd{{Workload: []string{"x"}}, {Scenario: []string{"x"}}, {Policy: []string{"x"}}, {Without: []string{"x"}}} {
		assert.ErrorContains(t, c.Run(), "unknown")
	}
}
