package gateway

import (
	"slices"
	"strings"

	"github.com/verbenabend/verbenabend/internal/discovery"
	"github.com/verbenabend/verbenabend/internal/eventlog"
	"github.com/verbenabend/verbenabend/internal/mirror"
	"github.com/verbenabend/verbenabend/internal/platform"
	"github.com/verbenabend/verbenabend/internal/suspects"
)

// ApplySettings replaces the settings that a running daemon follows. pending are the names of
// other settings that have changed and need a restart.
func (d *Daemon) ApplySettings(s DynamicSettings, pending []string) {
	changed := !slices.Equal(s.Seeds, d.dynamic.Load().Seeds)
	d.dynamic.Store(&s)
	d.gossipNode.SetSeeds(d.gossipSeeds())
	detail := "seeds " + strings.Join(s.Seeds, ",")
	if !changed {
		detail = "seeds unchanged"
	}
	d.log.Emit(eventlog.SettingsChanged, eventlog.Fields{Detail: detail})
	if len(pending) > 0 {
		d.log.Emit(eventlog.SettingsPending, eventlog.Fields{Detail: strings.Join(pending, ", ")})
	}
}

// RejectSettings logs why changed settings are not used. Those before stay in force.
func (d *Daemon) RejectSettings(err error) {
	d.log.Emit(eventlog.SettingsRejected, eventlog.Fields{Detail: err.Error()})
}

func (d *Daemon) provisionDiscovery() {
	d.discovery = discovery.New(discovery.Config{
		Self: discovery.Daemon{Name: d.settings.Name, Address: d.settings.GossipListen}, Others: d.daemonsInContact,
		Synced: func() bool { return d.sharedMirror.Synced() }, Table: d.platform.Shared, Log: d.log,
	})
}

// daemonsInContact returns the other daemons that respond.
func (d *Daemon) daemonsInContact() []discovery.Daemon {
	var out []discovery.Daemon
	for _, m := range d.members.Live() {
		if m.Name != d.settings.Name && !m.Unresponsive {
			out = append(out, discovery.Daemon{Name: m.Name, Address: m.PeerAddress})
		}
	}
	return out
}

// discoverPeers returns the gossip addresses of daemons that only the store tells of.
func (d *Daemon) discoverPeers() []string { return d.discovery.Addresses() }

// applySharedRows passes the rows of the shared table to those that they concern.
func (d *Daemon) applySharedRows(rows map[string]platform.Change, read mirror.Read) {
	daemons, requests, parts := map[string]platform.Change{}, map[string]platform.Change{}, map[string]platform.Change{}
	for key, row := range rows {
		switch {
		case strings.HasPrefix(key, discovery.RowPrefix):
			daemons[key] = row
		case strings.HasPrefix(key, suspects.RowPrefix):
			requests[key] = row
		default:
			parts[key] = row
		}
	}
	d.discovery.ApplyRows(daemons)
	d.suspects.ApplyRows(requests, read.Era)
	d.promptParts.ApplyRows(parts, read.Era)
}
