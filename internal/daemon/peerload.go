package daemon

import (
	"context"
	"time"

	"github.com/verbenabend/verbenabend/internal/gossip"
	"github.com/verbenabend/verbenabend/internal/peerload"
)

// tellLoad publishes what this daemon has at the engines, as often as gossip
// has room for it: what a scheduler shares builds on what it shared before.
func (d *Daemon) tellLoad(context.Context) {
	if d.node.LoadDue(time.Now()) > 0 {
		return
	}
	d.node.PublishLoads(peerload.Facts(d.settings.Name, d.dispatcher.Share(), loadTTL), false)
}

func (d *Daemon) hearLoad(f gossip.Fact) {
	peer, service, ok := peerload.Origin(f)
	if !ok {
		return
	}
	loads, err := peerload.Decode(f.Value, d.engineIndex(service))
	if err == nil {
		d.dispatcher.Learn(service, peer, loads)
	}
}

// engineIndex holds the engines of a service, as of one generation of the fleet.
type engineIndex struct {
	peerload.Index
	generation uint64
}

// engineIndex returns the index for the present snapshot. Gossip calls from
// one goroutine, so that the cache needs no lock.
func (d *Daemon) engineIndex(service string) *engineIndex {
	snapshot := d.fleet.Snapshot()
	if x := d.indexes[service]; x != nil && x.generation == snapshot.Generation {
		return x
	}
	x := &engineIndex{Index: peerload.Index{}, generation: snapshot.Generation}
	for _, u := range snapshot.ByService[service] {
		x.Add(u.Address, u.Engine.Incarnation)
	}
	d.indexes[service] = x
	return x
}
