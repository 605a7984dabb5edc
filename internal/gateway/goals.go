package gateway

import (
	"fmt"
	"time"

	"github.com/vmihailenco/msgpack/v5"

	"github.com/verbenabend/verbenabend/internal/eventlog"
	"github.com/verbenabend/verbenabend/internal/gossip"
	"github.com/verbenabend/verbenabend/internal/rollout"
)

// goalTTL is how long a newly started daemon can learn from peers when a
// version became the goal. It exceeds the time limit for engines to switch.
const goalTTL = 30 * time.Second

// goalFact is the value of a gossip.KindGoalVersion fact. The goal's age is
// goalTTL minus the fact's remaining TTL.
type goalFact struct {
	Model   string
	Version int
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

// publishGoal shares with peers that a version is the goal from now on. Each
// daemon publishes its own fact, so that one that learns of the version late
// does not reset its age.
func (d *Daemon) publishGoal(g goalFact) {
	value, err := msgpack.Marshal(&g)
	if err != nil {
		d.log.Emit(eventlog.PeerRejected, eventlog.Fields{Detail: "encode version goal: " + err.Error()})
		return
	}
	d.gossipNode.Publish(gossip.Fact{Kind: gossip.KindGoalVersion, ID: fmt.Sprintf("%s/%s/%d", d.settings.Name, g.Model, g.Version), TTL: goalTTL, Value: value})
}

// receiveGoal applies the time at which a peer learned of a goal version.
func (d *Daemon) receiveGoal(f gossip.Fact) {
	var g goalFact
	if err := msgpack.Unmarshal(f.Value, &g); err != nil {
		d.log.Emit(eventlog.PeerRejected, eventlog.Fields{Detail: "decode version goal from " + f.Origin + ": " + err.Error()})
		return
	}
	d.view.mu.Lock()
	d.view.goalHistory(g.Model).RecordPeerGoal(g.Version, time.Now().Add(min(f.TTL, goalTTL)-goalTTL))
	d.view.mu.Unlock()
	d.updateServices()
}
