package gateway

import (
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/vmihailenco/msgpack/v5"

	"github.com/verbenabend/verbenabend/internal/eventlog"
	"github.com/verbenabend/verbenabend/internal/gossip"
	"github.com/verbenabend/verbenabend/internal/platform"
	"github.com/verbenabend/verbenabend/internal/rollout"
)

const (
	// goalTTL is how long a newly started daemon can learn from peers when a
	// version became the goal. Engines that cannot be switched may keep old
	// weights far longer than the time limit.
	goalTTL = time.Hour
	// All daemons learn of a goal at about the same time. Each publishes it after
	// minGoalDelay and a random part of the spread, unless a peer's fact arrives
	// first. The spread grows with the number of daemons, so that few publish
	// while the first fact is on its way. minGoalDelay lets a starting daemon
	// receive the facts of its peers.
	minGoalDelay        = 500 * time.Millisecond
	goalSpreadPerDaemon = 50 * time.Millisecond
	maxGoalSpread       = 1500 * time.Millisecond
)

// goalFact is the value of a gossip.KindGoalVersion fact. The goal's age is
// goalTTL minus the fact's remaining TTL; its date is part of the fact's version.
type goalFact struct {
	Model   string
	Version int
}

// The version of a gossip.KindGoalVersion fact is maxGoalFactVersion less twice the time at
// which the goal was first seen: a daemon that learnt of the goal late does not reset its
// age. Older daemons use versions up to maxUndatedFactVersion.
const (
	maxUndatedFactVersion = 1 << 62
	maxGoalFactVersion    = 1 << 63
)

// goalFactTime returns when the goal of a fact was first seen; ok is false for facts of
// older daemons.
func goalFactTime(f gossip.Fact) (at platform.StoreTime, ok bool) {
	if f.Version <= maxUndatedFactVersion || f.Version > maxGoalFactVersion {
		return 0, false
	}
	return platform.StoreTime((maxGoalFactVersion - f.Version) / 2), true
}

// goalHistory returns the goal versions of a model. v.mu must be held.
func (v *view) goalHistory(model string) *rollout.GoalHistory {
	if v.goals == nil {
		v.goals = map[string]*rollout.GoalHistory{}
	}
	if v.goals[model] == nil {
		v.goals[model] = &rollout.GoalHistory{}
	}
	return v.goals[model]
}

// goalQueue holds the goals that are to be published.
type goalQueue struct {
	mu        sync.Mutex
	publishAt map[goalFact]time.Time
	wake      chan struct{}
}

func newGoalQueue() *goalQueue {
	return &goalQueue{publishAt: map[goalFact]time.Time{}, wake: make(chan struct{}, 1)}
}

// add queues a goal to be published at a time.
func (q *goalQueue) add(g goalFact, at time.Time) {
	q.mu.Lock()
	q.publishAt[g] = at
	q.mu.Unlock()
	select {
	case q.wake <- struct{}{}:
	default:
	}
}

// takeDue removes and returns the goals that are due, and returns when the next
// one is; next is zero if there is none.
func (q *goalQueue) takeDue(now time.Time) (due []goalFact, next time.Time) {
	q.mu.Lock()
	defer q.mu.Unlock()
	for g, at := range q.publishAt {
		switch {
		case !at.After(now):
			due = append(due, g)
			delete(q.publishAt, g)
		case next.IsZero() || at.Before(next):
			next = at
		}
	}
	return due, next
}

// goalDelay returns a random delay after which one of a number of daemons
// publishes a goal.
func goalDelay(daemons int) time.Duration {
	spread := min(time.Duration(daemons)*goalSpreadPerDaemon, maxGoalSpread)
	return minGoalDelay + rand.N(spread)
}

// queueGoal queues a goal that the daemon adopted, to be shared with peers.
func (d *Daemon) queueGoal(g goalFact) {
	d.goalQueue.add(g, time.Now().Add(goalDelay(1+len(d.gossipNode.Peers()))))
}

// publishGoals publishes the queued goals until ctx ends.
func (d *Daemon) publishGoals(ctx context.Context) error {
	timer := time.NewTimer(time.Nanosecond)
	defer timer.Stop()
	for {
		due, next := d.goalQueue.takeDue(time.Now())
		for _, g := range due {
			d.publishGoal(g)
		}
		var timeout <-chan time.Time
		if !next.IsZero() {
			timer.Reset(max(time.Until(next), time.Nanosecond))
			timeout = timer.C
		}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-d.goalQueue.wake:
		case <-timeout:
		}
	}
}

// publishGoal shares with peers when a version became the goal, unless a fact
// about it is known. One fact serves the whole fleet.
func (d *Daemon) publishGoal(g goalFact) {
	d.view.mu.Lock()
	firstSeen, known := d.view.goalHistory(g.Model).FirstSeen(g.Version)
	d.view.mu.Unlock()
	now, ok := d.storeClock.Now()
	if !known || !ok {
		return // superseded by many newer versions
	}
	f, err := newGoalFact(g, firstSeen, now)
	if err != nil {
		d.log.Emit(eventlog.PeerRejected, eventlog.Fields{Detail: "encode version goal: " + err.Error()})
		return
	}
	if f.TTL <= 0 || slices.ContainsFunc(d.gossipNode.Facts(gossip.KindGoalVersion), func(other gossip.Fact) bool { return other.ID == f.ID }) {
		return
	}
	d.gossipNode.Publish(f)
}

// newGoalFact returns the fact that a version became the goal at firstSeen. The TTL is
// not positive if the goal is older than goalTTL.
func newGoalFact(g goalFact, firstSeen, now platform.StoreTime) (gossip.Fact, error) {
	value, err := encodeFactValue(&g)
	return gossip.Fact{
		Kind: gossip.KindGoalVersion, ID: fmt.Sprintf("%s/%d", g.Model, g.Version), Version: maxGoalFactVersion - 2*uint64(max(0, firstSeen)),
		TTL: goalTTL - now.Sub(firstSeen), Value: value,
	}, err
}

// receiveGoal applies the time at which a peer learned of a goal version.
func (d *Daemon) receiveGoal(f gossip.Fact) {
	var g goalFact
	if err := msgpack.Unmarshal(f.Value, &g); err != nil {
		d.log.Emit(eventlog.PeerRejected, eventlog.Fields{Detail: "decode version goal from " + f.Origin + ": " + err.Error()})
		return
	}
	age := goalTTL - min(f.TTL, goalTTL)
	at, dated := goalFactTime(f)
	if dated {
		d.storeClock.Observe(at.Add(age)) // the only reading where the store cannot be read
	} else {
		now, ok := d.storeClock.Now()
		if !ok {
			return
		}
		at = now.Add(-age)
	}
	d.view.mu.Lock()
	d.view.goalHistory(g.Model).RecordPeerGoal(g.Version, at)
	d.view.mu.Unlock()
	d.updateServices()
}
