package gateway

import (
	"bytes"
	"fmt"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/verbenabend/verbenabend/internal/eventlog"
	"github.com/verbenabend/verbenabend/internal/fleet"
	"github.com/verbenabend/verbenabend/internal/gossip"
	"github.com/verbenabend/verbenabend/internal/mirror"
	"github.com/verbenabend/verbenabend/internal/platform"
	"github.com/verbenabend/verbenabend/internal/rollout"
	"github.com/verbenabend/verbenabend/internal/routetable"
)

// view is the daemon's knowledge of the deployment. Requests use the fields above mu,
// which guards the rest.
type view struct {
	table atomic.Pointer[routetable.Table]
	// usableUntil holds, by upstream ID, when requests at upstreams with
	// superseded weights must have ended. The map is never modified.
	usableUntil atomic.Pointer[map[string]platform.StoreTime]
	// state is used by applyOperatorRows only.
	state stateInForce
	// leaving are the upstreams that said in a response that they leave.
	leaving leavingUpstreams

	mu       sync.Mutex
	goals    map[string]*rollout.GoalHistory // by model
	news     map[string]uint64               // newest operatorNews.number by model
	switches map[string]ongoingSwitch        // by engine ID
	// notices are the newest switch notices by engine ID; they count the
	// accepted orders.
	notices map[string]rollout.SwitchNotice
	// lastOrderSender is the daemon that sent the last weight switch order.
	lastOrderSender string
	lastOrderAt     time.Time
	// expired are the IDs of engines that are left out because of their weights.
	expired map[string]bool
	// skippedRows are the keys of rows that were logged as unreadable, with the
	// version logged.
	skippedRows map[string]uint64
	// registered is the content of the upstream table, without learnedVersions and
	// leaving.
	registered []fleet.Registration
	// learnedVersions are newer weights versions that engines reported since
	// they registered.
	learnedVersions map[versionKey]int
}

// stateInForce is the row of the desired state in force.
type stateInForce struct {
	value []byte
	at    platform.Position
}

func (s *stateInForce) set(row platform.Change, era uint64) {
	s.value, s.at = row.Value, platform.Position{Era: era, Version: row.Version}
}

// isReplacedBy reports whether a row with the same revision replaces the one in force. It notes
// the row's position if it has the same content.
func (s *stateInForce) isReplacedBy(row platform.Change, era uint64) bool {
	at := platform.Position{Era: era, Version: row.Version}
	if era == 0 || !s.at.Before(at) {
		return false
	}
	if bytes.Equal(row.Value, s.value) {
		s.at = at
		return false
	}
	return true
}

// isNewerOperatorRow implements mirror.Settings.IsNewer by the revisions of desired states and by
// goal versions.
func (d *Daemon) isNewerOperatorRow(kept, restored platform.Change) bool {
	decoder := d.platform.Rows
	if old, ok, err := decoder.State(kept.Key, kept.Value); ok && err == nil {
		state, _, err := decoder.State(restored.Key, restored.Value)
		return err == nil && state.Revision < old.Revision
	}
	_, oldVersion, ok, err := decoder.VersionGoal(kept.Key, kept.Value)
	if !ok || err != nil {
		return false
	}
	_, version, ok, err := decoder.VersionGoal(restored.Key, restored.Value)
	return ok && err == nil && version < oldVersion
}

type versionKey struct {
	id        string
	startedAt int64
	model     string
}

// applyOperatorRows applies the desired state and the goal versions.
func (d *Daemon) applyOperatorRows(rows map[string]platform.Change, read mirror.Read) {
	goals := map[string]requestedVersion{}
	for key, row := range rows {
		if state, ok, err := d.platform.Rows.State(key, row.Value); ok || err != nil {
			d.applyState(row, state, read.Era, err)
			continue
		}
		model, version, ok, err := d.platform.Rows.VersionGoal(key, row.Value)
		switch {
		case err != nil:
			d.logSkippedRow(row, err)
		case ok:
			goals[model] = requestedVersion{version, read.Sights[key]}
		}
	}
	d.adoptGoals(goals, read)
	d.updateServices()
}

// requestedVersion is a goal version with what another daemon told of its first sight.
type requestedVersion struct {
	version int
	sight   mirror.Sight
}

// adoptGoals applies the goal versions by model. The first read does not tell when
// they were requested, and one after a gap only after which time. A copy of another daemon
// tells when that one saw them.
func (d *Daemon) adoptGoals(goals map[string]requestedVersion, read mirror.Read) {
	at, dated := read.At, read.At != 0
	if !dated {
		at, dated = d.storeClock.Now()
	}
	requestedBefore := at // 0 if unknown
	dated = dated && !read.AfterGap
	var adopted []rollout.Goal
	var reports []goalReport
	d.view.mu.Lock()
	for model, g := range goals {
		history, version := d.view.goalHistory(model), g.version
		if g.sight.At != 0 {
			reports = append(reports, d.newGoalReport(rollout.Goal{Model: model, Version: version}, g.sight.At, g.sight.Age, g.sight.By))
		}
		if dated && history.AdoptGoal(version, at) || !dated && history.AdoptUndatedGoal(version) {
			adopted = append(adopted, rollout.Goal{Model: model, Version: version})
			if bound := max(read.After, d.goalRecorder.lastRenewal()); !read.First && bound != 0 {
				history.RecordBound(version, bound)
			}
		}
	}
	if d.goalRecorder.read.Load() {
		d.boundUndatedGoals(d.goalRecorder.recordedUntil())
	}
	d.view.mu.Unlock()
	d.goalRecorder.goalsRead.Store(true)
	for _, r := range reports {
		d.reportGoal(r)
	}
	for _, g := range adopted {
		d.log.Emit(eventlog.GoalAdopted, eventlog.Fields{Detail: fmt.Sprintf("%s version %d", g.Model, g.Version)})
		if dated {
			d.logGoalDate(g, at, "own sight")
		}
		d.goalRecorder.add(g, requestedBefore)
		d.queueGoal(g)
	}
}

// applyState puts a desired state in force if its revision is newer than the
// current one, or if it has another content under the same revision and was written later, by
// the store's era and version: after the store was restored, operators may have written it again
// without what the store lost. A daemon that started since can't tell whether it was.
func (d *Daemon) applyState(row platform.Change, state routetable.State, era uint64, err error) {
	if err != nil {
		d.logSkippedRow(row, err)
		return
	}
	if old := d.view.table.Load(); old != nil && (state.Revision < old.Revision || state.Revision == old.Revision && !d.view.state.isReplacedBy(row, era)) {
		return
	}
	table, err := routetable.New(state)
	if err != nil {
		d.logSkippedRow(row, err)
		return
	}
	d.allowances.setLimits(table)
	d.view.table.Store(table)
	d.view.state.set(row, era)
	d.callerServer.setLimits(state.Limits)
	d.queueRevision(state.Revision)
	d.log.Emit(eventlog.StateAdopted, eventlog.Fields{Detail: fmt.Sprintf("revision %d: %d routes, %d organisations", state.Revision, len(state.Routes), len(state.Organisations))})
}

// logSkippedRow logs a row that can't be decoded, once per key.
func (d *Daemon) logSkippedRow(row platform.Change, err error) {
	d.view.mu.Lock()
	defer d.view.mu.Unlock()
	if d.view.skippedRows == nil {
		d.view.skippedRows = map[string]uint64{}
	}
	if _, logged := d.view.skippedRows[row.Key]; logged {
		return
	}
	d.view.skippedRows[row.Key] = row.Version
	d.log.Emit(eventlog.RowUnreadable, eventlog.Fields{Upstream: row.Key, Detail: err.Error()})
}

// applyUpstreamRows applies the list of registered upstreams.
func (d *Daemon) applyUpstreamRows(rows map[string]platform.Change, _ mirror.Read) {
	var list []fleet.Registration
	for key, row := range rows {
		u, err := d.platform.Rows.Upstream(key, row.Value)
		if err != nil {
			d.logSkippedRow(row, err)
			continue
		}
		list = append(list, u)
	}
	d.view.mu.Lock()
	d.view.registered = list
	d.pruneLearnedVersions()
	d.view.leaving.prune(time.Now(), list)
	d.rateFacts.prune(list)
	d.view.mu.Unlock()
	d.updateServices()
}

// pruneLearnedVersions drops learned versions of upstreams that are gone, or
// that have meanwhile registered a version at least as new. d.view.mu must be
// held.
func (d *Daemon) pruneLearnedVersions() {
	known := map[versionKey]int{}
	for _, u := range d.view.registered {
		for _, m := range u.Models {
			k := versionKey{u.ID, u.StartedAt, m.Name}
			if v := d.view.learnedVersions[k]; v > m.Version {
				known[k] = v
			}
		}
	}
	d.view.learnedVersions = known
}

// learnVersion applies a weights version that an engine reported in a response.
func (d *Daemon) learnVersion(u *fleet.Registration, model string, version int) {
	if version <= u.Version(model) {
		return
	}
	d.view.mu.Lock()
	newer := d.raiseLearnedVersion(versionKey{u.ID, u.StartedAt, model}, version)
	d.view.mu.Unlock()
	if newer {
		d.updateServices()
	}
}

// raiseLearnedVersion records a version if it is newer than the known one, and
// reports whether it was. d.view.mu must be held.
func (d *Daemon) raiseLearnedVersion(k versionKey, version int) bool {
	if version <= d.view.learnedVersions[k] {
		return false
	}
	if d.view.learnedVersions == nil {
		d.view.learnedVersions = map[versionKey]int{}
	}
	d.view.learnedVersions[k] = version
	return true
}

// updateServices passes the current registry and view to the schedulers.
func (d *Daemon) updateServices() {
	d.view.mu.Lock()
	defer d.view.mu.Unlock()
	list := make([]fleet.Registration, len(d.view.registered))
	for i, u := range d.view.registered {
		models := make([]fleet.LoadedModel, len(u.Models))
		for j, m := range u.Models {
			m.Version = max(m.Version, d.view.learnedVersions[versionKey{u.ID, u.StartedAt, m.Name}])
			models[j] = m
		}
		u.Models = models
		u.Leaving = u.Leaving || d.view.leaving.contains(startOf(&u))
		list[i] = u
	}
	snapshot := d.registry.Replace(list)
	registered := func(id string) bool { return snapshot.ByID[id] != nil || d.isCacheStore(id) }
	d.pool.CloseIdleExcept(registered)
	d.liveness.Retain(registered)
	d.liveness.Observe(snapshot)
	d.observeSoftware(snapshot)
	d.services.Update(d.servicesView(snapshot))
}

// isCacheStore reports whether the store of cached prompts has this address.
func (d *Daemon) isCacheStore(address string) bool {
	table := d.view.table.Load()
	if table == nil {
		return false
	}
	store := table.CacheStore()
	return store != nil && store.Address == address
}

// livenessChanged updates the schedulers when an upstream goes down or
// recovers, and informs peers when it goes down.
func (d *Daemon) livenessChanged(id string, down bool) {
	if down {
		d.pool.CloseIdle(id)
		d.gossipNode.Publish(gossip.Fact{Kind: gossip.KindUnresponsive, ID: id, TTL: unresponsiveTTL, Value: d.unresponsiveValue(id)})
	}
	d.updateServices()
}

// unresponsiveValue returns the value of a report of an unresponsive upstream:
// when it started, which all daemons know alike, so that gossip sends only the
// first of several reports. It is empty for the store of cached prompts.
func (d *Daemon) unresponsiveValue(id string) []byte {
	u := d.registry.Snapshot().ByID[id]
	if u == nil {
		return nil
	}
	return strconv.AppendInt(nil, u.StartedAt, 10)
}

// unresponsiveTTL is how long a report of an unresponsive upstream is spread
// among peers.
const unresponsiveTTL = 2 * time.Second

// probeSpreadPerDaemon is the time over which the probes of an upstream that a peer
// found unresponsive are spread, for each daemon.
const probeSpreadPerDaemon = 10 * time.Millisecond

// receiveUnresponsive probes an upstream that a peer found unresponsive.
func (d *Daemon) receiveUnresponsive(f gossip.Fact) {
	if u := d.registry.Snapshot().ByID[f.ID]; u != nil {
		d.liveness.RequestProbe(u, time.Duration(len(d.members.Live()))*probeSpreadPerDaemon)
	}
}
