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

// shortened returns the workload with short warm-up and measured times.
func shortened(w workload) workload {
	w.warmup, w.measuredTime = 2*time.Second, 8*time.Second
	return w
}

func runShortened(t *testing.T) ([]Result, []byte) {
	t.Helper()
	var plan []job
	loads := []workload{shortened(trustWorkload()), shortened(hilosWorkload())}
	mean := []func() requestMeans{lazyMeans(loads[0], 7), lazyMeans(loads[1], 7)}
	for i, s := range scenarios() {
		s.start, s.duration, s.trailingTime = min(s.start, 3*time.Second), min(s.duration, 5*time.Second), min(s.trailingTime, 5*time.Second)
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

// Runs with equal seeds print equal bytes. In every scenario every request ends
// in exactly one way, and non-repeatable requests are not repeated.
func TestRunsRepeatAndEndEveryRequest(t *testing.T) {
	results, first := runShortened(t)
	_, second := runShortened(t)
	assert.Equal(t, string(first), string(second))
	for _, r := range results {
		assert.Equal(t, r.Requests, r.Completed+r.Refused+r.Lost, "%+v", r)
		assert.Equal(t, r.ForbiddenRepeats, 0, "%+v", r)
		assert.Assert(t, r.PrefixHitRate > 0 && r.PrefixHitRate < 1, "%+v", r)
	}
}

// No policy loses a request in the scenario steady, which injects no faults.
func TestSteadyLosesNothing(t *testing.T) {
	for _, p := range policies() {
		r := job{shortened(hilosWorkload()), scenarios()[0], 3, p, nil, lazyMeans(hilosWorkload(), 3)}.run()
		assert.Equal(t, r.Lost, 0, "%+v", r)
	}
}

// Chains built without text nest like those of prefix.New: prompts of one branch
// share exactly the blocks up to the end of that level.
func TestChainsNest(t *testing.T) {
	g := newGenerator(hilosWorkload(), 1, 0)
	k := &hilosWorkload().kinds[0]
	a := g.chain(k, 1, 2, 3, 100, 9000)
	b := g.chain(k, 1, 2, 3, 101, 9000)
	c := g.chain(k, 1, 2, 4, 100, 9000)
	d := g.chain(k, 2, 2, 3, 100, 9000)
	assert.Equal(t, sharedBlocks(a, b), a.LevelBlocks[1])
	assert.Equal(t, sharedBlocks(a, c), a.LevelBlocks[0])
	assert.Equal(t, sharedBlocks(a, d), 0)
	assert.Equal(t, a.HomeKey(), b.HomeKey())
	assert.Assert(t, a.HomeKey() != c.HomeKey())
	assert.Equal(t, len(a.Blocks), a.Bytes/blockBytes)
}

func sharedBlocks(a, b prefix.Chain) int {
	n := 0
	for n < min(len(a.Blocks), len(b.Blocks)) && a.Blocks[n] == b.Blocks[n] {
		n++
	}
	return n
}

// Events run in order of time, and in order of addition if their times are equal.
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
