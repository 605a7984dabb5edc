package ratelimit

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/verbenabend/verbenabend/internal/prefix"
	"github.com/verbenabend/verbenabend/internal/testseed"
)

func TestMain(m *testing.M) { testseed.Main(m) }

const (
	step   = 10 * time.Millisecond
	window = 4 * time.Second
	// windowFactor and windowSlack are what the platform allows in a window: windowFactor
	// times the rate and windowSlack requests.
	windowFactor = 1.5
	windowSlack  = 5
)

// simulatedDaemon is a member with a clock that is off by skew and a view of the members.
type simulatedDaemon struct {
	skew    time.Duration
	group   Group
	limiter *Limiter
	// wants reports whether it has a request at a time.
	wants func(now time.Duration) bool
}

func newDaemons(count int, rate float64, start time.Duration) []*simulatedDaemon {
	var members []Member
	for i := range count {
		members = append(members, Member{Hash: prefix.NodeHash(fmt.Sprint("daemon-", i)), Weight: 1})
	}
	var out []*simulatedDaemon
	for _, m := range members {
		out = append(out, &simulatedDaemon{group: Group{Self: m.Hash, Members: append([]Member(nil), members...)}, limiter: New(7, rate, start), wants: func(time.Duration) bool { return true }})
	}
	return out
}

// run lets the daemons send what they may from start on and returns when each request was sent.
func run(daemons []*simulatedDaemon, start, duration time.Duration) (sent []time.Duration) {
	for now := start; now < start+duration; now += step {
		for _, d := range daemons {
			d.limiter.Advance(now+d.skew, &d.group)
			for d.wants(now) && d.limiter.Take() {
				sent = append(sent, now)
			}
		}
	}
	return sent
}

// most returns the most requests in a window.
func most(sent []time.Duration) int {
	most, first := 0, 0
	for i, at := range sent {
		for at-sent[first] >= window {
			first++
		}
		most = max(most, i-first+1)
	}
	return most
}

func allowed(rate float64) int { return int(windowFactor*rate*window.Seconds() + windowSlack) }

// All daemons together use a rate while they have requests, and never exceed it by more than
// what becomes usable at once.
func TestDaemonsUseTheRateTogether(t *testing.T) {
	for _, count := range []int{1, 3, 7, 10, 60, 300} {
		for _, rate := range []float64{0.5, 1, 11.1, 49, 300} {
			t.Run(fmt.Sprintf("%d daemons/%g a second", count, rate), func(t *testing.T) {
				const duration = 20 * time.Second
				sent := run(newDaemons(count, rate, time.Hour), time.Hour, duration)
				want := rate * duration.Seconds()
				assert.Check(t, float64(len(sent)) >= 0.95*want-2 && float64(len(sent)) <= want+1, "%d requests, %g stated", len(sent), want)
				assert.Check(t, most(sent) <= allowed(rate), "%d in a window, %d allowed", most(sent), allowed(rate))
			})
		}
	}
}

// A rate that is not used for a while does not allow more than the platform does when requests
// come to all daemons at once.
func TestUnusedRateDoesNotAddUp(t *testing.T) {
	for _, count := range []int{3, 10, 300} {
		for _, rate := range []float64{0.1, 1, 11.1, 200} {
			t.Run(fmt.Sprintf("%d daemons/%g a second", count, rate), func(t *testing.T) {
				daemons := newDaemons(count, rate, time.Hour)
				for _, d := range daemons {
					d.wants = func(now time.Duration) bool { return now%(15*time.Second) >= 12*time.Second }
				}
				sent := run(daemons, time.Hour, time.Minute)
				assert.Check(t, len(sent) > 0 || rate < 1)
				assert.Check(t, most(sent) <= allowed(rate), "%d in a window, %d allowed", most(sent), allowed(rate))
			})
		}
	}
}

// Daemons that need more get more of the rate.
func TestShareFollowsNeed(t *testing.T) {
	const rate, duration = 20, 100 * time.Second
	daemons := newDaemons(5, rate, time.Hour)
	counts := make([]int, len(daemons))
	for i, d := range daemons {
		for j := range d.group.Members {
			d.group.Members[j].Weight = float64(1 + 3*j)
		}
		counts[i] = len(run([]*simulatedDaemon{d}, time.Hour, duration))
		want := d.limiter.PerSecond(&d.group) * duration.Seconds()
		assert.Check(t, float64(counts[i]) > 0.7*want && float64(counts[i]) < 1.3*want, "%d requests, %g expected", counts[i], want)
	}
	assert.Check(t, counts[4] > 5*counts[0])
}

// Clocks and weights that differ, and a member that only half of the others know, do not break
// the bound. Of fewer than four, one that is unknown may take too large a part of the rate.
func TestDisagreementKeepsTheBound(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		count := rapid.IntRange(4, 20).Draw(t, "daemons")
		rate := rapid.SampledFrom([]float64{0, 0.3, 1, 5, 11.1, 60, 300}).Draw(t, "rate")
		daemons := newDaemons(count, rate, time.Hour)
		unknown := rapid.IntRange(-1, count-1).Draw(t, "unknown to some")
		for i, d := range daemons {
			d.skew = time.Duration(rapid.IntRange(-20, 20).Draw(t, "skew")) * time.Millisecond
			if i%2 == 0 && i != unknown && unknown >= 0 {
				d.group.Members = append(append([]Member(nil), d.group.Members[:unknown]...), d.group.Members[unknown+1:]...)
			}
			for j := range d.group.Members {
				d.group.Members[j].Weight = 1 + 0.2*rapid.Float64Range(0, 1).Draw(t, "weight")
			}
		}
		sent := run(daemons, time.Hour, 12*time.Second)
		if got := most(sent); got > allowed(max(rate, MinRate)) {
			t.Fatalf("%d in a window, %d allowed", got, allowed(max(rate, MinRate)))
		}
	})
}

// Time that was skipped, as by a machine that was suspended, leaves no backlog.
func TestSkippedTimeLeavesNoBacklog(t *testing.T) {
	d := newDaemons(1, 10, time.Hour)[0]
	run([]*simulatedDaemon{d}, time.Hour, time.Second)
	sent := run([]*simulatedDaemon{d}, 2*time.Hour, step)
	assert.Check(t, len(sent) <= 11, "%d requests at once", len(sent))
}

// A clock that goes back, as when a daemon learns the shared time, ends no allowance for good.
func TestClockThatGoesBack(t *testing.T) {
	d := newDaemons(1, 1.5, 1000*time.Hour)[0]
	run([]*simulatedDaemon{d}, 1000*time.Hour, 10*time.Second)
	sent := run([]*simulatedDaemon{d}, time.Hour, 10*time.Second)
	assert.Check(t, len(sent) >= 13 && len(sent) <= 16, "%d requests", len(sent))
}

// Stated rates are kept as multiples of 0.1, so that all members have the same turns.
func TestRoundRate(t *testing.T) {
	for stated, want := range map[float64]float64{0: 0.1, 0.04: 0.1, 0.1: 0.1, 1: 1, 1.5: 1.5, 11.1: 11.1, 11.19: 11.1, 72: 72, 1e300: MaxRate} {
		assert.Check(t, RoundRate(stated) == want, "%g for %g", RoundRate(stated), stated)
		assert.Check(t, RoundRate(want) == want, "%g is not kept", want)
	}
}

// BenchmarkTurn measures the dealing of one turn.
func BenchmarkTurn(b *testing.B) {
	for _, count := range []int{7, 60, 330} {
		b.Run(fmt.Sprint(count, " daemons"), func(b *testing.B) {
			d := newDaemons(count, 50, time.Hour)[0]
			now := time.Hour
			for b.Loop() {
				now += d.limiter.turn
				d.limiter.Advance(now, &d.group)
			}
		})
	}
}
