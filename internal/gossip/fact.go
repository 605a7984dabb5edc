// Package gossip spreads small versioned facts between daemons over
// authenticated TCP connections. It is a hint channel: the newest version of a
// fact wins and facts expire; nothing is decided here that must be agreed.
package gossip

import "time"

// Kind says what a fact is about.
type Kind uint8

// Kinds of facts. Numbers are part of the protocol and are never reused.
const (
	// KindDaemon describes a daemon: its addresses and whether it drains. ID is its name.
	KindDaemon Kind = 1
	// KindDocument announces a document's revision in force. ID is the service, Version the revision.
	KindDocument Kind = 2
	// KindEngine describes an upstream's incarnation and state. ID is its address.
	KindEngine Kind = 3
	// KindLoad is one daemon's outstanding work at engines of a service. ID is daemon/service.
	KindLoad Kind = 4
	// KindSuspect counts the upstreams that died under a request. ID is its fingerprint.
	KindSuspect Kind = 5
	// KindSwitch tells that an engine takes new weights. ID is the engine's.
	KindSwitch Kind = 6
	// KindSilent tells that an upstream does not answer. ID is the upstream's.
	KindSilent Kind = 7
	// KindGoal tells when a daemon learnt that a version of a model is wanted. ID is daemon/model/version.
	KindGoal Kind = 8
)

// Fact is a versioned entry. For one Kind and ID the greatest Version wins;
// for equal versions the greater Origin does.
type Fact struct {
	Kind    Kind
	ID      string
	Version uint64
	// Origin is the name of the daemon that published the fact.
	Origin string
	// TTL is how long after its receipt the fact is still to be believed.
	TTL time.Duration
	// Value is encoded by the fact's owner; at most MaxValueBytes.
	Value []byte
}

// MaxValueBytes bounds the value of a fact.
const MaxValueBytes = 16 << 10

// Supersedes reports whether f replaces old.
func (f Fact) Supersedes(old Fact) bool {
	if f.Version != old.Version {
		return f.Version > old.Version
	}
	return f.Origin > old.Origin
}

// Board is what the rest of a daemon sees of gossip.
type Board interface {
	// Publish announces a fact to all daemons. A zero Version is replaced by
	// one that is greater than any seen for its Kind and ID.
	Publish(f Fact)
	// Subscribe calls fn, one call at a time, for each fact of kind that a
	// peer published and that supersedes what was known, and at once for
	// those known already.
	Subscribe(kind Kind, fn func(Fact))
	// Facts returns the facts of kind that have not expired.
	Facts(kind Kind) []Fact
	// Peers returns the names of daemons heard from within the peer timeout.
	Peers() []string
}
