package membership

import "github.com/verbenabend/verbenabend/internal/gossip"

// FromFacts returns the daemons that gossip's facts tell of, without those that
// have stopped and those whose fact can't be read. silent names those that do
// not answer.
func FromFacts(facts []gossip.Fact, silent map[string]bool) []Member {
	var out []Member
	for _, f := range facts {
		info, err := gossip.DecodeDaemonInfo(f.Value)
		if err != nil || info.Stopped {
			continue
		}
		out = append(out, Member{
			Name: f.ID, DataCentre: info.DataCentre, CallerAddress: info.CallerAddress,
			PeerAddress: info.PeerAddress, Draining: info.Draining, Silent: silent[f.ID],
		})
	}
	return out
}
