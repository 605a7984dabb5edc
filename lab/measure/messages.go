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
	// gossipInterval is the pause before a daemon that had nothing to share looks again.
	gossipInterval = 250 * time.Millisecond
	// gossipOverhead is what gossip adds to the encoded figures, in bytes a
	// delivery: names, version, authentication and frame.
	gossipOverhead = 80
	reportInterval = 250 * time.Millisecond
	// reportLag is the usual age of an engine's load report on arrival.
	reportLag = 500 * time.Millisecond
)

// gossip sends what d shares to all peers, now and whenever the byte budget of
// gossip allows it again.
func (w *world) gossip(d *daemon) {
	if d.down {
		w.after(gossipInterval, func() { w.gossip(d) })
		return
	}
	loads := slices.Clone(d.scheduler.Share(wall(w.now)))
	size := 0
	if len(loads) > 0 {
		size = len(peerload.Encode(loads)) + gossipOverhead
	}
	interval, _ := gossip.LoadInterval(len(w.daemons), size, gossip.DefaultBytesPerSecond, gossip.DefaultLoadInterval)
	w.after(max(interval, gossipInterval), func() { w.gossip(d) })
	from := fmt.Sprintf("daemon-%d/%d", d.index, d.generation)
	for _, peer := range w.daemons {
		if peer == d || w.net.separated(w.now, d.dataCentre, peer.dataCentre) {
			continue
		}
		w.tally.gossipBytes += size // each figure reaches each daemon about once
		w.after(w.net.delay(w.now, d.dataCentre, peer.dataCentre), func() {
			if !peer.down {
				peer.scheduler.Learn(wall(w.now), from, loads)
				w.pump(peer)
			}
		})
	}
}

// streams tells the daemons how far the answers at an engine have come, at every interval.
func (w *world) streams(e *engine) {
	w.after(routing.ProgressInterval, func() { w.streams(e) })
	if e.frozen {
		return
	}
	w.collect(e)
	w.progress = e.model.Generated(w.now, w.progress[:0])
	of := make([][]enginemodel.Progress, len(w.daemons))
	for _, p := range w.progress {
		i := e.attempts[p.ID].daemon.index
		of[i] = append(of[i], p)
	}
	for i, some := range of {
		if len(some) > 0 {
			d := w.daemons[i]
			w.after(w.net.delay(w.now, e.dataCentre, d.dataCentre), func() { w.gotProgress(d, some) })
		}
	}
}

func (w *world) gotProgress(d *daemon, some []enginemodel.Progress) {
	observer, ok := d.scheduler.(routing.ProgressObserver)
	if !ok || d.down {
		return
	}
	for _, p := range some {
		a := d.attempts[p.ID]
		if a != nil && a.firstToken && a.generation == d.generation {
			observer.Progress(wall(w.now), a.call.requestID, a.engine.id, p.Tokens)
		}
	}
	w.pump(d)
}

// report sends an engine's load to all daemons, late, at every interval.
func (w *world) report(e *engine) {
	w.after(reportInterval, func() { w.report(e) })
	if e.down || e.frozen {
		return
	}
	running, queued := e.model.Load()
	r := routing.LoadReport{Endpoint: e.id, At: wall(w.now), Running: running, Queued: queued}
	for _, d := range w.daemons {
		if w.net.separated(w.now, e.dataCentre, d.dataCentre) {
			continue
		}
		w.after(w.lag+w.net.delay(w.now, e.dataCentre, d.dataCentre), func() {
			if !d.down {
				d.scheduler.Report(wall(w.now), r)
				w.pump(d)
			}
		})
	}
}
