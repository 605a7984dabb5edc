package daemon

import (
	"cmp"
	"slices"

	"github.com/verbenabend/verbenabend/internal/entry"
	"github.com/verbenabend/verbenabend/internal/fleet"
)

// Status gives the daemon's view of the system.
func (d *Daemon) Status() entry.Status {
	self := d.members.Self()
	reasons := d.notReady()
	if len(reasons) == 0 && !d.opened.Load() {
		reasons = []string{"starting: callers are about to be told of this daemon"}
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
	if d.opened.Load() {
		return out // a service or an upstream that is new holds nothing else up
	}
	for _, service := range d.unknownServices() {
		out = append(out, "upstreams of "+service+" not known yet: they were neither probed nor told of by a peer")
	}
	return out
}

// unknownServices returns the services with a document of which an upstream's
// state is not known yet.
func (d *Daemon) unknownServices() []string {
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
