package membership

import "github.com/verbenabend/verbenabend/internal/gossip"

// FromFacts returns the daemons in facts of kind gossip.KindDaemon, without those
// that have stopped and those whose fact can't be decoded. unresponsive holds the
// names of those that do not respond.
func FromFacts(facts []gossip.Fact, unresponsive map[string]bool) []Member {
	var out []Member
	for _, f := range facts {
		info, err := gossip.DecodeDaemonInfo(f.Value)
		if err != nil || info.Stopped {
			continue
		}
		out = append(out, Member{
			Name: f.ID, DataCentre: info.DataCentre, CallerAddress: info.CallerAddress,
			PeerAddress: info.PeerAddress, Draining: info.Draining, Starting: info.Starting, Unresponsive: unresponsive[f.ID],
		})
	}
	return out
}
