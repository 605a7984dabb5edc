package allowance

import (
	"bytes"
	"math"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

// For any limit and load, with daemons that freeze, are partitioned and join every few seconds,
// all daemons together stay within the users' bound, and every request is decided once and in
// time.
func TestAnyFleetStaysWithinBound(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		s := newSimulation(t, rapid.IntRange(1, 9).Draw(rt, "daemons"))
		large, share := rapid.Float64Range(1, 17_020).Draw(rt, "large"), rapid.IntRange(1, 20).Draw(rt, "share")
		s.cost = func(i int) float64 {
			if i%share == 0 {
				return large
			}
			return min(large, 383)
		}
		l := Limit{rapid.Float64Range(1000, 300_000).Draw(rt, "rate"), rapid.Float64Range(0, 600_000).Draw(rt, "burst")}
		s.setLimit(l)
		for range 6 {
			step := time.Duration(rapid.IntRange(2000, 5000).Draw(rt, "step ms")) * time.Millisecond
			on := len(s.nodes)
			if rapid.Bool().Draw(rt, "on one daemon") {
				on = 1
			}
			// At most 200 requests a second, to bound the time that the test takes.
			s.load(on, min(l.PerSecond*rapid.Float64Range(0.1, 4).Draw(rt, "load"), 200*s.meanCost()), step)
			n := s.nodes[rapid.IntRange(0, len(s.nodes)-1).Draw(rt, "daemon")]
			switch rapid.SampledFrom([]string{"none", "freeze", "partition", "join"}).Draw(rt, "event") {
			case "freeze":
				s.setDown(n, !n.down)
			case "partition":
				s.setCut(!s.cut)
			case "join":
				s.add()
			}
			s.run(step)
		}
		s.run(ResponseTimeout)
		allowed := (l.PerSecond*simBounds.Window.Seconds()+l.Burst)*(1+simBounds.Overage) + simBounds.Slack
		if most := s.most(0); most > allowed {
			rt.Fatalf("%.0f tokens in a window, %.0f allowed", most, allowed)
		}
		if s.slowest > ResponseTimeout || s.admitted+s.refused != s.offered {
			rt.Fatalf("%d of %d requests decided, the slowest after %s", s.admitted+s.refused, s.offered, s.slowest)
		}
	})
}

// Guards against frames that end the daemon, and against amounts without meaning that a bucket
// keeps for good.
func TestAnyRequestLeavesTheBucketSound(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		now := time.Unix(1000, 0)
		b := newBucket(now, simLimit, simBounds, 1)
		value := rapid.SampledFrom([]float64{0, 1, -1, 1e300, -1e300, math.NaN(), math.Inf(1), math.Inf(-1), 17_020})
		for range 20 {
			now = now.Add(time.Duration(rapid.IntRange(0, 1000).Draw(rt, "ms")) * time.Millisecond)
			q := Request{Waiting: []float64{value.Draw(rt, "cost")}, Held: value.Draw(rt, "held"), Returned: value.Draw(rt, "returned"), Spent: value.Draw(rt, "spent"), Usage: value.Draw(rt, "usage"), Mean: value.Draw(rt, "mean")}
			var frame bytes.Buffer
			var read Request
			assert.NilError(t, WriteFrame(&frame, &q))
			assert.NilError(t, ReadFrame(&frame, &read))
			r := b.Serve(now, "daemon", &read)
			assert.Assert(t, len(r.RetryMs) == 1 && r.RetryMs[0] >= 0 && r.RetryMs[0] <= maxRetryAfter.Milliseconds() && r.Granted >= 0 && r.Granted <= b.capacity())
			if level, _ := b.Level(now); !(level <= b.capacity()) {
				rt.Fatalf("level %g", level)
			}
		}
	})
	var q Request
	assert.Assert(t, ReadFrame(bytes.NewReader([]byte{0x7f, 0, 0, 0, 1}), &q) != nil, "a frame beyond the limit was read")
	assert.Assert(t, ReadFrame(bytes.NewReader([]byte{0, 0, 0, 1, 0xc1}), &q) != nil, "a malformed frame was read")
}

// Guards against a new limit that refuses the burst at first.
func TestNewLimitStartsFull(t *testing.T) {
	s := newSimulation(t, 7)
	for _, n := range s.nodes {
		n.SetLimits(s.now, nil)
	}
	s.run(4 * time.Second)
	s.setLimit(simLimit)
	s.load(7, simLimit.Burst, time.Second)
	s.run(time.Second)
	assert.Check(t, s.refused == 0, "%d requests refused", s.refused)
	s.load(7, 3*simLimit.PerSecond, 10*time.Second)
	s.run(10 * time.Second)
	s.checkBound(simLimit, 0)
}

// Guards against retries and refunds that the owner never learns of.
func TestChargesAndRefunds(t *testing.T) {
	s := newSimulation(t, 3)
	s.run(10 * time.Second)
	owner := s.owner()
	other := s.nodes[(owner.i+1)%3]
	level := func() float64 {
		level, held := owner.organisations[org].bucket.Level(s.now)
		return level + held
	}
	full := level()
	other.Charge(s.now, org, 100_000)
	s.pump(other)
	s.run(20 * time.Millisecond)
	assert.Check(t, level() < full-90_000, "the charge was not reported: %g of %g", level(), full)
	other.Refund(s.now, org, 17_020)
	assert.Equal(t, other.Admit(s.now, org, 17_020).Kind, Admitted)
}

// Guards against a daemon that was frozen, and serves from the bucket that it owned before.
func TestFrozenOwnerDoesNotServe(t *testing.T) {
	s := newSimulation(t, 7)
	s.run(10 * time.Second)
	owner := s.owner()
	s.setDown(owner, true)
	s.run(3 * time.Second)
	r := owner.Serve(s.now, "other", &Request{Organisation: org, Waiting: []float64{17_020}})
	assert.Equal(t, r.Status, StatusNotOwner)
	admitted := 0
	for range 20 {
		if owner.Admit(s.now, org, 17_020).Kind == Admitted {
			admitted++
		}
	}
	assert.Check(t, admitted <= 1, "%d requests admitted beyond the share", admitted)
}
