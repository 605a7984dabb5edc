package daemon

import (
	"cmp"
	"slices"

	"github.com/verbenabend/verbenabend/internal/entry"
	"github.com/verbenabend/verbenabend/internal/fleet"
)

// Status returns the daemon's view of the system.
func (d *Daemon) Status() entry.Status {
	self := d.members.Self()
	reasons := d.notReadyReasons()
	if len(reasons) == 0 && !d.wasReady.Load() {
		reasons = []string{"starting: this daemon is not listed for callers yet"}
	}
	return entry.Status{
		Daemon: self.Name, DataCentre: self.DataCentre, Ready: len(reasons) == 0, NotReady: reasons,
		Draining: d.draining.Load(), Isolated: self.Isolated, PlatformUp: d.platformUp.Load(),
		Peers:     entry.PeerStatusOf(d.members.Live(), self.Name),
		Documents: entry.DocumentStatusOf(d.catalogue.Snapshot()),
		Upstreams: d.upstreamStatus(),
		InFlight:  d.inFlight.Load(),
	}
}

// notReadyReasons returns why the daemon is not ready, nothing when it is.
func (d *Daemon) notReadyReasons() []string {
	var out []string
	if d.draining.Load() {
		out = append(out, "draining: a planned stop is in progress")
	}
	if !d.instancesKnown.Load() {
		out = append(out, "no list of upstreams yet: neither the platform nor a peer has provided one")
	}
	if !d.documentsKnown.Load() {
		out = append(out, "documents not read yet: neither the platform nor a peer has provided them")
	}
	if d.wasReady.Load() {
		return out // after the first readiness, new services and upstreams do not make the daemon unready
	}
	for _, service := range d.servicesWithUnknownUpstreams() {
		out = append(out, "upstreams of "+service+" not known yet: neither a probe nor a peer has reported their state")
	}
	return out
}

// servicesWithUnknownUpstreams returns the services that have a document and an
// upstream of unknown state, sorted.
func (d *Daemon) servicesWithUnknownUpstreams() []string {
	documents := d.catalogue.Snapshot()
	var out []string
	for service, list := range d.fleet.Snapshot().ByService {
		unknown := func(u *fleet.Upstream) bool { return u.State == fleet.Unknown }
		if documents[service] != nil && slices.ContainsFunc(list, unknown) {
			out = append(out, service)
		}
	}
	slices.Sort(out)
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
