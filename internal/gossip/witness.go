package gossip

import (
	"encoding/binary"
	"strings"
	"time"
)

const (
	// minWitnesses is how many daemons have to find one unresponsive for those without a
	// connection to it to do so. One alone may be held up itself.
	minWitnesses = 2
	// witnessDelay is how long a daemon waits before it tells others: if it was held up, it
	// finds more peers unresponsive at the same time.
	witnessDelay = 200 * time.Millisecond
	// witnessTTL is how long a witness's word counts.
	witnessTTL = 5 * time.Second
	// maxWitnessedDivisor keeps a daemon that finds more than 1/maxWitnessedDivisor of its
	// peers unresponsive at a time from telling others: it is likely the cause.
	maxWitnessedDivisor = 3
	// witnessSeparator separates the names in the ID of a fact; names may not hold it.
	witnessSeparator = "\x00"
)

// witnessReports are the reports of one daemon's unresponsiveness, by witness.
type witnessReports map[string]witnessReport

type witnessReport struct {
	// version is the greatest of the daemon's facts that may have been published before the
	// witness lost it. The last one may have reached others only.
	version uint64
	until   time.Time
}

// publishWitnessed tells others of the daemons that this one has found unresponsive for
// witnessDelay, unless it may be held up itself. n.mu must be held.
func (n *Node) publishWitnessed(now time.Time) {
	tooMany := len(n.unwitnessed) > 1 && len(n.unwitnessed)*maxWitnessedDivisor > len(n.conns)+len(n.unwitnessed)
	for name, since := range n.unwitnessed {
		if now.Sub(since) < witnessDelay {
			continue
		}
		delete(n.unwitnessed, name)
		mark, still := n.unresponsive[name]
		if !still || tooMany || len(n.conns) == 0 {
			continue
		}
		f := Fact{Kind: KindWitness, ID: name + witnessSeparator + n.cfg.Name, Origin: n.cfg.Name, TTL: witnessTTL, Value: binary.BigEndian.AppendUint64(nil, mark.presentVersion)}
		n.publish(f, now)
	}
}

// receiveWitness applies a peer's report that a daemon is unresponsive. n.mu must be held.
func (n *Node) receiveWitness(f Fact, now time.Time) {
	name, witness, ok := strings.Cut(f.ID, witnessSeparator)
	known := n.store.byKey[factKey{KindDaemon, name}]
	if !ok || witness != f.Origin || len(f.Value) != 8 || known == nil || name == n.cfg.Name || n.conns[name] != nil {
		return // a connection tells more than others do
	}
	version := binary.BigEndian.Uint64(f.Value)
	if known.fact.Version > version {
		return // published after the witness lost it
	}
	reports := n.witnesses[name]
	if reports == nil {
		reports = witnessReports{}
		n.witnesses[name] = reports
	}
	reports[witness] = witnessReport{version, now.Add(min(f.TTL, witnessTTL))}
	for w, r := range reports {
		if now.After(r.until) || known.fact.Version > r.version {
			delete(reports, w)
		}
	}
	if len(reports) >= minWitnesses {
		n.mark(name)
	}
}

// expireWitnesses forgets the reports of daemons that are not known any more. n.mu must be held.
func (n *Node) expireWitnesses(now time.Time) {
	for name, reports := range n.witnesses {
		for w, r := range reports {
			if now.After(r.until) {
				delete(reports, w)
			}
		}
		if len(reports) == 0 {
			delete(n.witnesses, name)
		}
	}
}
