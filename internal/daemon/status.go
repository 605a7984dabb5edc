package daemon

import (
	"cmp"
	"net/http"
	"slices"

	"github.com/VictoriaMetrics/metrics"

	"github.com/verbenabend/verbenabend/internal/entry"
)

// Status gives the daemon's view of the system.
func (d *Daemon) Status() entry.Status {
	self := d.members.Self()
	reasons := d.notReady()
	return entry.Status{
		Daemon: self.Name, DataCentre: self.DataCentre, Ready: len(reasons) == 0, NotReady: reasons,
		Draining: self.Draining, Isolated: self.Isolated, PlatformUp: d.platformUp.Load(),
		Peers:     entry.PeerStatusOf(d.members.Live(), self.Name),
		Documents: entry.DocumentStatusOf(d.catalogue.Snapshot()),
		Upstreams: d.upstreamStatus(),
		InFlight:  d.inFlight.Load(),
	}
}

// notReady says why the daemon can't serve; nothing when it can.
func (d *Daemon) notReady() []string {
	var out []string
	if d.draining.Load() {
		out = append(out, "draining: a planned stop is under way")
	}
	if !d.listed.Load() {
		out = append(out, "no list of upstreams yet: neither the platform nor a peer has given one")
	}
	if !d.synced.Load() {
		out = append(out, "documents not read yet: neither the platform nor a peer has given them")
	}
	return out
}

func (d *Daemon) upstreamStatus() []entry.UpstreamStatus {
	out := []entry.UpstreamStatus{}
	snapshot := d.fleet.Snapshot()
	for _, list := range snapshot.ByService {
		for _, u := range list {
			out = append(out, entry.UpstreamStatus{
				Address: u.Address, Service: u.Service, DataCentre: u.DataCentre, State: u.State.String(),
				Incarnation: u.Engine.Incarnation, Weights: u.Engine.Weights, Running: u.Engine.Running, Queued: u.Engine.Queued,
			})
		}
	}
	slices.SortFunc(out, func(a, b entry.UpstreamStatus) int { return cmp.Compare(a.Address, b.Address) })
	return out
}

func (d *Daemon) writeMetrics(w http.ResponseWriter) {
	metrics.WritePrometheus(w, true)
}
