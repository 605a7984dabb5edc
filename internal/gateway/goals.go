package gateway

import (
	"fmt"
	"time"

	"github.com/vmihailenco/msgpack/v5"

	"github.com/verbenabend/verbenabend/internal/eventlog"
	"github.com/verbenabend/verbenabend/internal/gossip"
	"github.com/verbenabend/verbenabend/internal/rollout"
)

// goalLife is how long daemons tell a daemon that starts when a version was
// named. It exceeds the time in which engines must have it.
const goalLife = 30 * time.Second

// namedGoal is the value of a fact that tells of a version. The fact's age,
// which is goalLife less what is left of it, tells when it was named.
type namedGoal struct {
	Model   string
	Version int
}

// wanted returns what operators want of a model. The view is locked.
func (v *view) wanted(model string) *rollout.Wanted {
	if v.models == nil {
		v.models = map[string]*rollout.Wanted{}
	}
	if v.models[model] == nil {
		v.models[model] = &rollout.Wanted{}
	}
	return v.models[model]
}

// tellGoal tells peers that a version is wanted from now on. Each daemon has a
// fact of its own, so that one that learns late does not make the version younger.
func (d *Daemon) tellGoal(g namedGoal) {
	value, err := msgpack.Marshal(&g)
	if err != nil {
		d.log.Emit(eventlog.PeerRejected, eventlog.Fields{Detail: "encode a goal: " + err.Error()})
		return
	}
	d.node.Publish(gossip.Fact{Kind: gossip.KindGoal, ID: fmt.Sprintf("%s/%s/%d", d.settings.Name, g.Model, g.Version), TTL: goalLife, Value: value})
}

// hearGoal takes in when a peer learnt of a version.
func (d *Daemon) hearGoal(f gossip.Fact) {
	var g namedGoal
	if err := msgpack.Unmarshal(f.Value, &g); err != nil {
		d.log.Emit(eventlog.PeerRejected, eventlog.Fields{Detail: "goal of " + f.Origin + ": " + err.Error()})
		return
	}
	d.view.mu.Lock()
	d.view.wanted(g.Model).Heard(g.Version, time.Now().Add(min(f.TTL, goalLife)-goalLife))
	d.view.mu.Unlock()
	d.updateServices()
}
