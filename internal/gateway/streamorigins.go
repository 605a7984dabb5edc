package gateway

import (
	"math/rand/v2"
	"strconv"
	"time"

	"github.com/verbenabend/verbenabend/internal/fleet"
	"github.com/verbenabend/verbenabend/internal/mirror"
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
		Rank:     func() (rank, daemons int) { return d.rank(mirror.ReaderDuty, ""), d.daemonCount() },
		OnFind:   d.metrics.CountResumedStream,
		OnChange: d.updateServices,
	}, d.log)
}

// upstreamListIsCurrent reports whether this daemon knows all upstreams that others use: its list is
// new enough or, while nobody can read the store and no upstream can register, it is in contact with
// most daemons.
func (d *Daemon) upstreamListIsCurrent() bool {
	if age, ok := d.upstreamMirror.Age(); ok && age <= d.settings.ChangeTimeLimit {
		return true
	}
	return d.upstreamMirror.Synced() && 2*d.daemonCount() > d.services.MaxDaemonCount()
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
