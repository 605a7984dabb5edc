package gateway

import (
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/vmihailenco/msgpack/v5"

	"github.com/verbenabend/verbenabend/internal/eventlog"
	"github.com/verbenabend/verbenabend/internal/gossip"
	"github.com/verbenabend/verbenabend/internal/platform"
	"github.com/verbenabend/verbenabend/internal/rollout"
	"github.com/verbenabend/verbenabend/internal/storeclock"
)

const (
	// goalTTL is how long a newly started daemon can learn from peers when a
	// version became the goal. Engines that cannot be switched may keep old
	// weights far longer than the time limit.
	goalTTL = time.Hour
	// All daemons learn of a goal or a desired state at about the same time. Each
	// publishes it after minGoalDelay and a random part of the spread, unless a
	// peer's fact arrives first. The spread grows with the number of daemons, so that
	// few publish while the first fact is on its way. minGoalDelay lets a starting
	// daemon receive the facts of its peers.
	minGoalDelay        = 500 * time.Millisecond
	goalSpreadPerDaemon = 50 * time.Millisecond
	maxGoalSpread       = 1500 * time.Millisecond
	// clockCheckDelay is how long a goal's date waits at first that seems too early for its
	// age: the store's clock may have gone back without this daemon having read it since. If
	// a reading shows that it has not, the fact was held up on its way, and the date holds.
	// The delay doubles up to maxClockCheckDelay while the store cannot be read.
	clockCheckDelay    = time.Second
	maxClockCheckDelay = 16 * time.Second
)

// goalFact is the value of a gossip.KindGoalVersion fact. The goal's age is
// goalTTL minus the fact's remaining TTL; its date is part of the fact's version.
type goalFact struct {
	Model   string
	Version int
}

// goalFactVersion is the version of a gossip.KindGoalVersion fact as a number: the
// earlier the goal was requested, the greater it is, so that a daemon that learnt of the
// goal late does not reset its age. A fact about a recorded goal replaces the one before.
// Older daemons use versions up to maxUndatedFactVersion.
type goalFactVersion struct {
	requestedAt platform.StoreTime
	// recorded is set if the row under goalRecordKey contains the goal.
	recorded bool
}

const (
	maxUndatedFactVersion = 1 << 62
	maxGoalFactVersion    = 1 << 63
)

func (v goalFactVersion) encode() uint64 {
	version := maxGoalFactVersion - 2*uint64(v.requestedAt) // requestedAt may be negative
	if v.recorded {
		version++
	}
	return version
}

// decodeGoalFactVersion is the inverse of encode; ok is false for facts of older daemons.
func decodeGoalFactVersion(version uint64) (v goalFactVersion, ok bool) {
	requestedAt := platform.StoreTime(maxGoalFactVersion+1-version) >> 1 // rounded down
	if version <= maxUndatedFactVersion || requestedAt <= rollout.UnknownTime {
		return goalFactVersion{}, false
	}
	return goalFactVersion{requestedAt, version%2 == 1}, true
}

// dateOfFact returns when a goal was requested at the latest that a peer's fact dates and
// that has at least the given age. If a date seems too late, a clock of the store told it
// that went back since, and only the age is right. One that seems too early may be of a fact
// that was held up on its way, which clockRead confirms: this daemon read the store's clock
// after it received the fact.
func dateOfFact(requestedAt platform.StoreTime, age time.Duration, now platform.StoreTime, clockRead bool) platform.StoreTime {
	latest := now.Add(-age)
	if requestedAt > latest.Add(storeclock.MaxError) || !clockRead && requestedAt < latest.Add(-storeclock.MaxError) {
		return latest
	}
	return requestedAt
}

// minLoggedCorrection is the smallest change of a version's date that is logged: what
// daemons see of a change differs by some milliseconds.
const minLoggedCorrection = time.Second

// recordSight records that a version was known at a time. d.view.mu must be held.
func (d *Daemon) recordSight(g rollout.Goal, at platform.StoreTime, source string) {
	first, earlierBy := d.view.goalHistory(g.Model).RecordSight(g.Version, at)
	if first || earlierBy >= minLoggedCorrection {
		d.logGoalDate(g, at, source)
	}
}

// logGoalDate logs from where the date of a version is known.
func (d *Daemon) logGoalDate(g rollout.Goal, at platform.StoreTime, source string) {
	age := "unknown"
	if now, ok := d.storeClock.Now(); ok && at != rollout.UnknownTime {
		age = now.Sub(at).String()
	}
	d.log.Emit(eventlog.GoalDated, eventlog.Fields{Detail: fmt.Sprintf("%s version %d, age %s, by %s", g.Model, g.Version, age, source)})
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

// goalDelay returns a random delay after which one of a number of daemons
// publishes a goal or the revision of a desired state.
func goalDelay(daemons int) time.Duration {
	spread := min(time.Duration(daemons)*goalSpreadPerDaemon, maxGoalSpread)
	return minGoalDelay + rand.N(spread)
}

// queueGoal queues a goal that the daemon adopted, to be shared with peers.
func (d *Daemon) queueGoal(g rollout.Goal) {
	d.goalQueue.add(g, time.Now().Add(goalDelay(d.daemonCount())))
}

// publishGoals publishes the queued goals until ctx ends.
func (d *Daemon) publishGoals(ctx context.Context) error {
	return d.goalQueue.run(ctx, d.publishGoal)
}

// publishGoal shares with peers when a version was requested, unless a fact that says
// as much is known. One fact serves the whole fleet.
func (d *Daemon) publishGoal(g rollout.Goal) {
	d.view.mu.Lock()
	at, sighted := d.view.goalHistory(g.Model).SightedAt(g.Version)
	d.view.mu.Unlock()
	now, ok := d.storeClock.Now()
	if !sighted || !ok {
		return // superseded by many newer versions, or a peer may know more
	}
	version := goalFactVersion{d.storeClock.ToStore(at), d.goalRecorder.contains(g)}
	f, err := newGoalFact(g, version, now.Sub(at))
	if err != nil {
		d.log.Emit(eventlog.PeerRejected, eventlog.Fields{Detail: "encode version goal: " + err.Error()})
		return
	}
	if f.TTL <= 0 || d.goalFactKnown(f.ID, version.recorded) {
		return
	}
	d.gossipNode.Publish(f)
}

// goalFactKnown reports whether a fact about a goal is known, one that says that the
// goal is recorded if recorded is set.
func (d *Daemon) goalFactKnown(id string, recorded bool) bool {
	return slices.ContainsFunc(d.gossipNode.Facts(gossip.KindGoalVersion), func(f gossip.Fact) bool {
		v, _ := decodeGoalFactVersion(f.Version)
		return f.ID == id && (v.recorded || !recorded)
	})
}

// newGoalFact returns the fact that a goal was requested. The TTL is not positive if the
// goal is older than goalTTL.
func newGoalFact(g rollout.Goal, v goalFactVersion, age time.Duration) (gossip.Fact, error) {
	value, err := encodeFactValue(&goalFact{g.Model, g.Version})
	return gossip.Fact{
		Kind: gossip.KindGoalVersion, ID: fmt.Sprintf("%s/%d", g.Model, g.Version), Version: v.encode(),
		TTL: goalTTL - age, Value: value,
	}, err
}

// receiveGoal applies the time at which a version was requested, from a peer.
func (d *Daemon) receiveGoal(f gossip.Fact) {
	var g goalFact
	if err := msgpack.Unmarshal(f.Value, &g); err != nil {
		d.log.Emit(eventlog.PeerRejected, eventlog.Fields{Detail: "decode version goal from " + f.Origin + ": " + err.Error()})
		return
	}
	if g.Model != "" && g.Version > 0 {
		d.hearNews(operatorNews{g.Model, uint64(g.Version)})
	}
	v, dated := decodeGoalFactVersion(f.Version)
	r := d.newGoalReport(rollout.Goal{Model: g.Model, Version: g.Version}, v.requestedAt, goalTTL-min(f.TTL, goalTTL), f.Origin)
	if dated {
		d.storeClock.ObserveRelayed(v.requestedAt.Add(r.age)) // the only reading where the store cannot be read
	}
	now, ok := d.storeClock.Now()
	if !ok {
		return
	}
	if !dated {
		r.requestedAt = d.storeClock.ToStore(now.Add(-r.age))
	}
	if v.recorded && !d.goalRecorder.restored.Load() {
		d.goalRecorder.remove(g.Model, g.Version)
	}
	d.reportGoal(r)
}

// newGoalReport returns a report of a peer that is received now.
func (d *Daemon) newGoalReport(g rollout.Goal, requestedAt platform.StoreTime, age time.Duration, origin string) goalReport {
	return goalReport{Goal: g, requestedAt: requestedAt, age: age, receivedAt: time.Now(), receivedLocal: d.storeClock.Local(), origin: origin}
}

// reportGoal applies a report, and once more when the store's clock was read if its date
// seems too early.
func (d *Daemon) reportGoal(r goalReport) {
	now, ok := d.storeClock.Now()
	if !ok {
		return
	}
	if d.storeClock.FromStore(r.requestedAt).Add(r.age) < now.Add(-storeclock.MaxError) {
		r.checkDelay = clockCheckDelay
		d.reportQueue.add(r, r.receivedAt.Add(r.checkDelay))
	}
	d.applyGoalReport(r)
}

// goalReport is what a peer's fact tells about a goal.
type goalReport struct {
	rollout.Goal
	requestedAt platform.StoreTime // on the store's clock
	// age is the goal's age at receivedAt, or less.
	age        time.Duration
	receivedAt time.Time
	// receivedLocal is receivedAt as the store clock's Local.
	receivedLocal time.Duration
	// checkDelay is the delay before the clock is checked that the date depends on.
	checkDelay time.Duration
	origin     string
}

// checkGoalReports applies the dates of reports that seemed too early once the store's clock
// was read after their receipt, until ctx ends.
func (d *Daemon) checkGoalReports(ctx context.Context) error {
	return d.reportQueue.run(ctx, func(r goalReport) {
		if !d.storeClock.ReadSince(r.receivedLocal) {
			d.readStoreClock(ctx)
		}
		if !d.storeClock.ReadSince(r.receivedLocal) {
			r.checkDelay = min(2*r.checkDelay, maxClockCheckDelay)
			d.reportQueue.add(r, time.Now().Add(r.checkDelay))
			return
		}
		d.applyGoalReport(r)
	})
}

// readStoreClock reads a row for the store's time that the response contains.
func (d *Daemon) readStoreClock(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, platform.CallTimeout)
	defer cancel()
	if _, err := d.platform.Table.Get(ctx, goalRecordKey); err != nil && !errors.Is(err, platform.ErrNotFound) {
		d.log.Emit(eventlog.GoalRecordFailed, eventlog.Fields{Detail: "read the store's clock: " + err.Error()})
	}
}

func (d *Daemon) applyGoalReport(r goalReport) {
	now, ok := d.storeClock.Now()
	if !ok {
		return
	}
	at := dateOfFact(d.storeClock.FromStore(r.requestedAt), r.age+time.Since(r.receivedAt), now, d.storeClock.ReadSince(r.receivedLocal))
	d.view.mu.Lock()
	d.recordSight(r.Goal, at, "peer "+r.origin)
	d.view.mu.Unlock()
	d.updateServices()
}
