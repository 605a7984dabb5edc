package gateway

import (
	"math/rand/v2"
	"slices"
	"strconv"
	"time"

	"github.com/vmihailenco/msgpack/v5"

	"github.com/verbenabend/verbenabend/internal/fleet"
	"github.com/verbenabend/verbenabend/internal/gossip"
	"github.com/verbenabend/verbenabend/internal/mirror"
	"github.com/verbenabend/verbenabend/internal/prefix"
	"github.com/verbenabend/verbenabend/internal/routetable"
	"github.com/verbenabend/verbenabend/internal/streamorigin"
)

const (
	// minResumeTime and maxResumeTime bound how long after its start a stream may be resumed
	// where the routes' timeouts do not.
	minResumeTime = 30 * time.Second
	maxResumeTime = 10 * time.Minute
)

func (d *Daemon) provisionStreamOrigins() {
	d.origins = streamorigin.NewKeeper(streamorigin.Settings{
		Process: d.settings.Name + "/" + strconv.FormatUint(rand.Uint64(), 36), Table: d.platform.Table, Now: d.storeClock.Now, FirstStart: d.settings.FirstStart, ListIsCurrent: d.upstreamListIsCurrent,
		Rank:      func() (rank, daemons int) { return d.rank(mirror.ReaderDuty, ""), d.daemonCount() },
		AskPeers:  d.askPeers,
		OnFind:    d.metrics.CountResumedStream,
		OnVersion: d.announceSoftware,
		OnChange:  d.updateServices,
	}, d.log)
}

// maxNewsAge is how old what this daemon knows may be, from the list of upstreams or from other
// daemons, so that it has all versions that begin streams. What is left of the time in which they
// begin none is for the news of them to spread.
const maxNewsAge = streamorigin.SettleTime - 200*time.Millisecond

// upstreamListIsCurrent reports whether this daemon knows all versions that begin streams: its list
// is newer than they are when they begin streams, or most daemons, which tell of new ones, have been
// in contact since.
func (d *Daemon) upstreamListIsCurrent() bool {
	if !d.upstreamMirror.Synced() {
		return false
	}
	if age, ok := d.upstreamMirror.Age(); ok && age <= maxNewsAge {
		return true
	}
	return d.hadContactWithMost(maxNewsAge)
}

// hadContactWithMost reports whether most daemons, this one included, have been in contact with it at
// some time within an age; in a large fleet, most of its neighbours.
func (d *Daemon) hadContactWithMost(age time.Duration) bool {
	fresh, recent := d.gossipNode.Contacts(age)
	return 2*(fresh+1) > recent+1 && 2*d.daemonCount() > d.services.MaxDaemonCount()
}

// softwareTTL is how long peers can learn of a software version. It is shorter than they remember one
// that they have heard of: a version that comes back is announced again before they forget it.
const softwareTTL = minResumeTime / 2

// softwareFact is the value of a gossip.KindSoftware fact.
type softwareFact struct {
	Service  string `msgpack:"service"`
	Software string `msgpack:"software"`
}

// announceSoftware tells peers of a version that this daemon sees for the first time, unless one has
// told it.
func (d *Daemon) announceSoftware(service, software string) {
	id := strconv.FormatUint(prefix.NodeHash(strconv.Itoa(len(service))+":"+service+software), 36)
	if slices.ContainsFunc(d.gossipNode.Facts(gossip.KindSoftware), func(f gossip.Fact) bool { return f.ID == id }) {
		return
	}
	value, err := msgpack.Marshal(softwareFact{service, software})
	if err != nil {
		return // unreachable: two texts
	}
	d.gossipNode.Publish(gossip.Fact{Kind: gossip.KindSoftware, ID: id, TTL: softwareTTL, Value: value})
}

// receiveSoftware notes a version that serves at a peer's word.
func (d *Daemon) receiveSoftware(f gossip.Fact) {
	var heard softwareFact
	if msgpack.Unmarshal(f.Value, &heard) == nil {
		d.origins.Hear(heard.Service, heard.Software)
	}
}

// observeSoftware passes on which software versions serve resumable streams. d.view.mu must be held.
func (d *Daemon) observeSoftware(snapshot *fleet.RegistrySnapshot) {
	table := d.view.table.Load()
	if table == nil || !d.upstreamMirror.Synced() {
		return
	}
	present, memory := map[string][]string{}, minResumeTime
	for i := range table.Routes {
		r := &table.Routes[i]
		if r.Kind != routetable.Stream || !r.Resumable {
			continue
		}
		if r.Timeout == 0 {
			memory = maxResumeTime
		}
		memory = max(memory, min(r.Timeout, maxResumeTime))
		for _, target := range r.Targets {
			if _, known := present[target.Service]; known {
				continue
			}
			present[target.Service] = softwareOf(snapshot.ByService[target.Service])
		}
	}
	d.origins.Observe(present, memory)
}

func softwareOf(upstreams []*fleet.Registration) []string {
	var versions []string
	seen := map[string]bool{}
	for _, u := range upstreams {
		if !seen[u.Software] {
			seen[u.Software] = true
			versions = append(versions, u.Software)
		}
	}
	return versions
}

// beginsNoStreams returns whether an upstream of a software version gets no work yet, because other
// daemons may not know of that version, and upstreams of other versions can take it.
func (d *Daemon) beginsNoStreams(snapshot *fleet.RegistrySnapshot, available func(u *fleet.Registration) bool) func(u *fleet.Registration) bool {
	versions := map[string]map[string]bool{} // by service: whether streams may begin there
	established := map[string]bool{}         // services in which some available upstream may begin them
	for service, upstreams := range snapshot.ByService {
		versions[service] = map[string]bool{}
		for _, u := range upstreams {
			may, known := versions[service][u.Software]
			if !known {
				may = d.origins.MayBegin(service, u.Software)
				versions[service][u.Software] = may
			}
			established[service] = established[service] || may && available(u)
		}
	}
	return func(u *fleet.Registration) bool { return established[u.Service] && !versions[u.Service][u.Software] }
}
