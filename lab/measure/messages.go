package measure

import (
	"fmt"
	"slices"
	"time"

	"github.com/verbenabend/verbenabend/internal/gossip"
	"github.com/verbenabend/verbenabend/internal/peerload"
	"github.com/verbenabend/verbenabend/internal/routing"
	"github.com/verbenabend/verbenabend/lab/enginemodel"
)

const (
	// gossipInterval is the minimum interval between a daemon's gossip messages.
	gossipInterval = 250 * time.Millisecond
	// gossipOverhead is the bytes per delivery that gossip adds to the encoded
	// load figures: names, version, authentication and frame.
	gossipOverhead = 80
	reportInterval = 250 * time.Millisecond
	// defaultReportLag is how long before its sending a load report was taken.
	defaultReportLag = 500 * time.Millisecond
)

// sendGossip sends d's load figures to all peers, now and as often as gossip's
// byte budget allows.
func (sim *simulation) sendGossip(d *daemon) {
	if d.down {
		sim.after(gossipInterval, func() { sim.sendGossip(d) })
		return
	}
	loads := slices.Clone(d.scheduler.LoadsForPeers(wallTime(sim.now)))
	size := 0
	if len(loads) > 0 {
		size = len(peerload.Encode(loads)) + gossipOverhead
	}
	interval, _ := gossip.LoadInterval(len(sim.daemons), size, gossip.DefaultBytesPerSecond, gossip.DefaultMinLoadInterval)
	sim.after(max(interval, gossipInterval), func() { sim.sendGossip(d) })
	from := fmt.Sprintf("daemon-%d/%d", d.index, d.generation)
	for _, peer := range sim.daemons {
		if peer == d || sim.net.isPartitioned(sim.now, d.dataCentre, peer.dataCentre) {
			continue
		}
		sim.counters.gossipBytes += size // gossip delivers each figure to each daemon about once
		sim.after(sim.net.delay(sim.now, d.dataCentre, peer.dataCentre), func() {
			if !peer.down {
				peer.scheduler.ApplyPeerLoads(wallTime(sim.now), from, loads)
				sim.runScheduler(peer)
			}
		})
	}
}

// sendProgress sends the daemons the token counts of their responses at an engine,
// at every routing.ProgressInterval.
func (sim *simulation) sendProgress(e *engine) {
	sim.after(routing.ProgressInterval, func() { sim.sendProgress(e) })
	if e.frozen {
		return
	}
	sim.processEvents(e)
	sim.progressBuffer = e.model.AppendProgress(sim.now, sim.progressBuffer[:0])
	byDaemon := make([][]enginemodel.Progress, len(sim.daemons))
	for _, p := range sim.progressBuffer {
		i := e.activeAttempts[p.ID].daemon.index
		byDaemon[i] = append(byDaemon[i], p)
	}
	for i, progress := range byDaemon {
		if len(progress) > 0 {
			d := sim.daemons[i]
			sim.after(sim.net.delay(sim.now, e.dataCentre, d.dataCentre), func() { sim.applyProgress(d, progress) })
		}
	}
}

func (sim *simulation) applyProgress(d *daemon, progress []enginemodel.Progress) {
	observer, ok := d.scheduler.(routing.ProgressObserver)
	if !ok || d.down {
		return
	}
	for _, p := range progress {
		a := d.activeAttempts[p.ID]
		if a != nil && a.firstToken && a.generation == d.generation {
			observer.Progress(wallTime(sim.now), a.call.requestID, a.engine.id, p.Tokens)
		}
	}
	sim.runScheduler(d)
}

// sendLoadReport sends an engine's load to all daemons at every reportInterval;
// it arrives after reportLag and the network delay.
func (sim *simulation) sendLoadReport(e *engine) {
	sim.after(reportInterval, func() { sim.sendLoadReport(e) })
	if e.down || e.frozen {
		return
	}
	running, queued := e.model.Load()
	r := routing.LoadReport{Endpoint: e.id, At: wallTime(sim.now), Running: running, Queued: queued}
	for _, d := range sim.daemons {
		if sim.net.isPartitioned(sim.now, e.dataCentre, d.dataCentre) {
			continue
		}
		sim.after(sim.reportLag+sim.net.delay(sim.now, e.dataCentre, d.dataCentre), func() {
			if !d.down {
				d.scheduler.ApplyLoadReport(wallTime(sim.now), r)
				sim.runScheduler(d)
			}
		})
	}
}
