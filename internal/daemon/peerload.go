package daemon

import (
	"context"
	"time"

	"github.com/verbenabend/verbenabend/internal/gossip"
	"github.com/verbenabend/verbenabend/internal/peerload"
)

// publishLoad publishes the load that this daemon has on the engines, when the
// gossip node's rate limit allows it. A scheduler's shared loads are relative to
// what it shared before, so they are computed only when they can be sent.
func (d *Daemon) publishLoad(context.Context) {
	if d.gossipNode.TimeUntilLoadDue(time.Now()) > 0 {
		return
	}
	d.gossipNode.PublishLoads(peerload.Facts(d.settings.Name, d.dispatcher.LoadsForPeers(), peerLoadTTL), false)
}

func (d *Daemon) receivePeerLoad(f gossip.Fact) {
	peer, service, ok := peerload.ParseFactID(f)
	if !ok {
		return
	}
	loads, err := peerload.Decode(f.Value, d.engineIndex(service))
	if err == nil {
		d.dispatcher.ApplyPeerLoads(service, peer, loads)
	}
}

// cachedEngineIndex is the index of a service's engines for one generation of the fleet.
type cachedEngineIndex struct {
	peerload.EngineIndex
	generation uint64
}

// engineIndex returns the index for the current snapshot. The cache needs no
// lock because the gossip node calls from a single goroutine.
func (d *Daemon) engineIndex(service string) *cachedEngineIndex {
	snapshot := d.fleet.Snapshot()
	if x := d.engineIndexes[service]; x != nil && x.generation == snapshot.Generation {
		return x
	}
	x := &cachedEngineIndex{EngineIndex: peerload.EngineIndex{}, generation: snapshot.Generation}
	for _, u := range snapshot.ByService[service] {
		x.Add(u.Address, u.Engine.Incarnation)
	}
	d.engineIndexes[service] = x
	return x
}
