package gateway

import (
	"fmt"
	"sync"
	"sync/atomic"
	"time"

	"github.com/verbenabend/verbenabend/internal/eventlog"
	"github.com/verbenabend/verbenabend/internal/fleet"
	"github.com/verbenabend/verbenabend/internal/gossip"
	"github.com/verbenabend/verbenabend/internal/platform"
	"github.com/verbenabend/verbenabend/internal/rollout"
	"github.com/verbenabend/verbenabend/internal/routetable"
)

// view is what the daemon believes of the deployment. Requests read the table
// through its atomic pointer; the rest is behind the mutex.
type view struct {
	table atomic.Pointer[routetable.Table]

	mu     sync.Mutex
	models map[string]*rollout.Wanted // by name
	notes  map[string]note            // by engine
	// orders are the newest notices by engine; they count accepted orders.
	orders map[string]rollout.SwitchNotice
	// orderer is the daemon that gave the last orders for weights.
	orderer   string
	orderedAt time.Time
	// unreadable are the versions of rows that were logged as unreadable.
	unreadable map[string]uint64
	// registered is what the store's table says, before learned versions.
	registered []fleet.Registration
	// versions are what engines stated since, by ID, life and model.
	versions map[versionKey]int
}

type versionKey struct {
	id        string
	startedAt int64
	model     string
}

// adoptOperators takes over the desired state and the goals for weights.
func (d *Daemon) adoptOperators(rows map[string]platform.Change, _ uint64) {
	goals := map[string]int{}
	for key, row := range rows {
		if state, ok, err := d.platform.Rows.State(key, row.Value); ok || err != nil {
			d.adoptState(row, state, err)
			continue
		}
		model, version, ok, err := d.platform.Rows.VersionGoal(key, row.Value)
		switch {
		case err != nil:
			d.skipRow(row, err)
		case ok:
			goals[model] = version
		}
	}
	var adopted []namedGoal
	d.view.mu.Lock()
	for model, version := range goals {
		if d.view.wanted(model).Name(version, time.Now()) {
			adopted = append(adopted, namedGoal{model, version})
		}
	}
	d.view.mu.Unlock()
	for _, g := range adopted {
		d.log.Emit(eventlog.GoalAdopted, eventlog.Fields{Detail: fmt.Sprintf("%s version %d", g.Model, g.Version)})
		d.tellGoal(g)
	}
	d.updateServices()
}

// adoptState brings a newer desired state into force; an older one never replaces it.
func (d *Daemon) adoptState(row platform.Change, state routetable.State, err error) {
	if err != nil {
		d.skipRow(row, err)
		return
	}
	if old := d.view.table.Load(); old != nil && state.Revision <= old.Revision {
		return
	}
	table, err := routetable.New(state)
	if err != nil {
		d.skipRow(row, err)
		return
	}
	d.view.table.Store(table)
	d.callers.limit(state.Limits)
	d.log.Emit(eventlog.StateAdopted, eventlog.Fields{Detail: fmt.Sprintf("revision %d: %d routes, %d organisations", state.Revision, len(state.Routes), len(state.Organisations))})
}

// skipRow logs, once for each version, a row that can't be used.
func (d *Daemon) skipRow(row platform.Change, err error) {
	d.view.mu.Lock()
	defer d.view.mu.Unlock()
	if d.view.unreadable == nil {
		d.view.unreadable = map[string]uint64{}
	}
	if _, logged := d.view.unreadable[row.Key]; logged {
		return
	}
	d.view.unreadable[row.Key] = row.Version
	d.log.Emit(eventlog.RowUnreadable, eventlog.Fields{Upstream: row.Key, Detail: err.Error()})
}

// adoptUpstreams takes over the list of upstreams.
func (d *Daemon) adoptUpstreams(rows map[string]platform.Change, _ uint64) {
	var list []fleet.Registration
	for key, row := range rows {
		u, err := d.platform.Rows.Upstream(key, row.Value)
		if err != nil {
			d.skipRow(row, err)
			continue
		}
		list = append(list, u)
	}
	d.view.mu.Lock()
	d.view.registered = list
	d.forgetVersions()
	d.view.mu.Unlock()
	d.updateServices()
}

// forgetVersions drops learned versions of upstreams that are gone, or that
// have registered as new a version since.
func (d *Daemon) forgetVersions() {
	known := map[versionKey]int{}
	for _, u := range d.view.registered {
		for _, m := range u.Models {
			k := versionKey{u.ID, u.StartedAt, m.Name}
			if v := d.view.versions[k]; v > m.Version {
				known[k] = v
			}
		}
	}
	d.view.versions = known
}

// learnVersion takes in a version that an engine stated in a response.
func (d *Daemon) learnVersion(u *fleet.Registration, model string, version int) {
	if version <= u.Version(model) {
		return
	}
	d.view.mu.Lock()
	newer := d.noteVersion(versionKey{u.ID, u.StartedAt, model}, version)
	d.view.mu.Unlock()
	if newer {
		d.updateServices()
	}
}

// noteVersion keeps a version that is newer than known. The view is locked.
func (d *Daemon) noteVersion(k versionKey, version int) bool {
	if version <= d.view.versions[k] {
		return false
	}
	if d.view.versions == nil {
		d.view.versions = map[versionKey]int{}
	}
	d.view.versions[k] = version
	return true
}

// updateServices gives the schedulers what changed.
func (d *Daemon) updateServices() {
	d.view.mu.Lock()
	defer d.view.mu.Unlock()
	list := make([]fleet.Registration, len(d.view.registered))
	for i, u := range d.view.registered {
		models := make([]fleet.LoadedModel, len(u.Models))
		for j, m := range u.Models {
			m.Version = max(m.Version, d.view.versions[versionKey{u.ID, u.StartedAt, m.Name}])
			models[j] = m
		}
		u.Models = models
		list[i] = u
	}
	snapshot := d.registry.Replace(list)
	registered := func(id string) bool { return snapshot.ByID[id] != nil || d.isCacheStore(id) }
	d.pool.Retain(registered)
	d.liveness.Forget(registered)
	d.services.Update(d.servicesView(snapshot))
}

// isCacheStore reports whether an address is that of the store of cached prompts.
func (d *Daemon) isCacheStore(address string) bool {
	table := d.view.table.Load()
	if table == nil {
		return false
	}
	store := table.CacheStore()
	return store != nil && store.Address == address
}

// livenessChanged takes an upstream out of use, or back into it, and tells peers.
func (d *Daemon) livenessChanged(id string, down bool) {
	if down {
		d.pool.Drop(id)
		d.node.Publish(gossip.Fact{Kind: gossip.KindSilent, ID: id, TTL: silentLife, Value: []byte(d.settings.Name)})
	}
	d.updateServices()
}

// silentLife is how long a peer's word that an upstream is silent is passed on.
const silentLife = 2 * time.Second

// hearSilent tries an upstream that a peer found silent.
func (d *Daemon) hearSilent(f gossip.Fact) {
	if u := d.registry.Snapshot().ByID[f.ID]; u != nil {
		d.liveness.Suspect(u)
	}
}
