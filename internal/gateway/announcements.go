package gateway

import (
	"time"

	"github.com/verbenabend/verbenabend/internal/eventlog"
	"github.com/verbenabend/verbenabend/internal/fleet"
	"github.com/verbenabend/verbenabend/internal/gossip"
	"github.com/verbenabend/verbenabend/internal/peerload"
)

const (
	// maxLoadInterval is the longest interval between a daemon's load figures at which they
	// are sent at all. In larger fleets long prompts are announced instead: an engine takes
	// about as long for the prefill of one, and older figures do not show it.
	maxLoadInterval = 250 * time.Millisecond
	// announcementCheckInterval is the interval between checks for announcements that wait
	// for the budget, and for reports of engines where requests wait.
	announcementCheckInterval = 100 * time.Millisecond
)

// publishAnnouncements announces to peers the long prompts that this daemon has sent.
func (d *Daemon) publishAnnouncements(now time.Time) {
	budget := gossip.AnnouncementBytes(d.daemonCount(), gossipBytesPerSecond)
	d.announcer.Add(now, d.services.TakeAnnouncements(), budget)
	if f, announced, ok := d.announcer.Next(now, budget); ok {
		d.gossipNode.Publish(f)
		d.metrics.CountAnnouncements("sent", announced)
	}
	d.metrics.CountAnnouncements("sampled out", d.announcer.TakeSampledOut())
}

// receiveAnnouncement applies what a peer announced. Only gossip's goroutine calls it.
func (d *Daemon) receiveAnnouncement(f gossip.Fact) {
	if snapshot := d.registry.Snapshot(); snapshot != d.announcedSnapshot {
		d.announcedSnapshot = snapshot
		d.announcementReceiver.SetEngines(announcedEngines(snapshot))
	}
	now := time.Now()
	byService, err := d.announcementReceiver.Receive(now, f)
	if err != nil {
		d.log.Emit(eventlog.PeerRejected, eventlog.Fields{Detail: "decode announcements from " + f.Origin + ": " + err.Error()})
		return
	}
	for service, announcements := range byService {
		for i := range announcements.Prompts {
			d.metrics.RecordAnnouncementAge(now.Sub(announcements.Prompts[i].At))
		}
		d.metrics.CountAnnouncements("received", len(announcements.Prompts))
		d.services.ApplyAnnouncements(service, announcements)
	}
}

func announcedEngines(snapshot *fleet.RegistrySnapshot) []peerload.ServiceEngine {
	var out []peerload.ServiceEngine
	for service, upstreams := range snapshot.ByService {
		for _, u := range upstreams {
			if len(u.Models) > 0 {
				out = append(out, peerload.ServiceEngine{Service: service, IndexedEngine: peerload.IndexedEngine{Endpoint: u.ID, Incarnation: u.Incarnation()}})
			}
		}
	}
	return out
}
