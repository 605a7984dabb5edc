// Package gossip replicates small versioned facts between daemons over
// authenticated TCP connections. Replication is eventually consistent: the
// newest version of a fact wins and facts expire. It must not be relied on for
// decisions that need consensus.
//
// Facts are pushed along delivery trees that are maintained by prune and graft
// messages, as in Plumtree, and reconciled by anti-entropy over hash summaries.
package gossip

import "time"

// Kind is the subject of a fact.
type Kind uint8

// Kinds of facts. The numbers are part of the protocol and are never reused.
const (
	// KindDaemon describes a daemon: its addresses and whether it is draining.
	// ID is its name, Value a DaemonInfo.
	KindDaemon Kind = 1
	// KindDocument announces the current revision of a service's document. ID
	// is the service, Version the revision.
	KindDocument Kind = 2
	// KindEngine is an upstream's incarnation and state. ID is its address.
	KindEngine Kind = 3
	// KindLoad is one daemon's outstanding work at the engines of a service. ID
	// is daemon/service.
	KindLoad Kind = 4
	// KindSuspect counts the upstreams that crashed while running a request. ID
	// is the request's fingerprint.
	KindSuspect Kind = 5
	// KindWeightSwitch announces that an engine loads new weights. ID is the engine's.
	KindWeightSwitch Kind = 6
	// KindUnresponsive announces that an upstream does not respond. ID is the
	// upstream's, Value is the same from all daemons.
	KindUnresponsive Kind = 7
	// KindGoalVersion announces when a daemon learnt of a model's goal version. ID is
	// model/version: one fact serves all daemons.
	KindGoalVersion Kind = 8
	// KindPartCrash announces the prompt parts of requests that an upstream had not begun
	// to answer when it crashed. ID is the digest of the upstream's incarnation and the
	// daemon that sent the requests.
	KindPartCrash Kind = 9
	// KindPartBegun announces that a request with a suspected prompt part began its
	// answer. ID is the part's digest; Value tells the begin from earlier ones.
	KindPartBegun Kind = 10
	// KindStateRevision announces that a desired state is in force. Version is its
	// revision: one fact serves all daemons.
	KindStateRevision Kind = 11
	// KindGoalRecord announces that the record of goal versions was renewed. ID is the
	// record's, Version the time on the store's clock at which it was complete.
	KindGoalRecord Kind = 12
	// KindWitness announces that its origin finds a daemon unresponsive. ID is made of the
	// daemon's name and the origin's, Value is the version that the daemon's fact would have then.
	KindWitness Kind = 13
	// KindRateLimit announces the rate limit that an upstream states, or that it states none
	// any more. ID names the start of its process, Version holds the time on the store's
	// clock and the rate: one fact serves all daemons.
	KindRateLimit Kind = 14
	// KindAnnouncement announces the long prompts that a daemon has sent in about the last
	// second. ID is a hash of the daemon's name.
	KindAnnouncement Kind = 15
	// KindSoftware announces a software version that serves in a service. ID is a hash of both:
	// one fact serves all daemons.
	KindSoftware Kind = 16
)

// Fact is a versioned entry. For one Kind and ID the greatest Version wins;
// for equal versions the greater Origin does.
type Fact struct {
	Kind    Kind
	ID      string
	Version uint64
	// Origin is the name of the daemon that published the fact.
	Origin string
	// TTL is how long after its receipt the fact is valid.
	TTL time.Duration
	// Value is opaque to gossip; at most MaxValueBytes.
	Value []byte
}

// MaxValueBytes is the maximum size of a fact's value.
const MaxValueBytes = 16 << 10

// Supersedes reports whether f replaces old.
func (f Fact) Supersedes(old Fact) bool {
	if f.Version != old.Version {
		return f.Version > old.Version
	}
	return f.Origin > old.Origin
}

// Bus is the interface through which a daemon's other parts use gossip.
type Bus interface {
	// Publish announces a fact to all daemons. A Version of 0 is replaced by
	// one that is greater than any seen for its Kind and ID.
	Publish(f Fact)
	// Subscribe calls fn, one call at a time, for each fact of kind that a
	// peer published: first for those already known, then for each that
	// supersedes a known one.
	Subscribe(kind Kind, fn func(Fact))
	// Facts returns the facts of kind that have not expired.
	Facts(kind Kind) []Fact
	// Peers returns the names of the live daemons other than this one.
	Peers() []string
}
