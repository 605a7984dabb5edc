package suspects

import (
	"bytes"
	"cmp"
	"context"
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/vmihailenco/msgpack/v5"

	"github.com/verbenabend/verbenabend/internal/backoff"
	"github.com/verbenabend/verbenabend/internal/eventlog"
	"github.com/verbenabend/verbenabend/internal/gossip"
	"github.com/verbenabend/verbenabend/internal/platform"
	"github.com/verbenabend/verbenabend/internal/verdict"
)

const (
	// maxPartsPerRequest is how many parts of one request are suspected; of more, those
	// first that are the likeliest causes.
	maxPartsPerRequest = 16
	// maxPartsPerCrash is how many parts one daemon suspects after one crash, those of the
	// likeliest requests first.
	maxPartsPerCrash = 96
	// maxPartsPerFact is how many of them are published in one fact, which is small enough
	// to be urgent.
	maxPartsPerFact = 24
	// quarantineRowTTL is how long a quarantine lasts without a trial.
	quarantineRowTTL = 2 * maxTrialInterval
	// trialClaimTimeout bounds the claim of a trial in the table.
	trialClaimTimeout = time.Second
	// trialClaimInterval is the minimum interval between a daemon's claims for a part.
	trialClaimInterval = 2 * time.Second
	// rowWriteTimeout bounds the writing or deletion of a part's row, with retries.
	rowWriteTimeout    = time.Minute
	partExpiryInterval = time.Minute
	// beginReportSpread is the time over which daemons spread their reports of begins of
	// a part, so that one report serves all.
	beginReportSpread = 150 * time.Millisecond
	// maxRecentParts bounds the parts of recent begins that a daemon remembers, in each of
	// two generations.
	maxRecentParts = 2 << 10
)

// rowBackoff is the backoff between tries to change a part's row.
var rowBackoff = backoff.Policy{Min: 100 * time.Millisecond, Max: 5 * time.Second}

// PartKey returns the key of a part of prompts for a model of a service. Parts of
// different owners have different keys with the same partGroup.
func PartKey(service, model, owner, id string) string {
	return digestBytesOf(service, model, id)[:groupBytes] + digestBytesOf(service, model, owner, id)[groupBytes:]
}

// groupBytes is the length of the part of a key that doesn't depend on the owner.
const groupBytes = digestBytes / 2

// partGroup returns what the keys of parts with the same service, model and ID have in
// common. Callers state IDs, so it doesn't show that the parts are the same.
func partGroup(part string) string { return part[:min(groupBytes, len(part))] }

// partName returns the readable form of a part's key, which its row has as key.
func partName(part string) string { return hex.EncodeToString([]byte(part)) }

// digestBytesOf returns the truncated digest of a list of strings.
func digestBytesOf(fields ...string) string {
	h := sha256.New()
	for _, f := range fields {
		_, _ = fmt.Fprintf(h, "%d:%s", len(f), f) // hash.Hash.Write never fails
	}
	return string(h.Sum(nil)[:digestBytes])
}

// UnbegunRequest is a request whose engine crashed before it sent a complete event of
// the answer.
type UnbegunRequest struct {
	// ID is the same for equal requests only.
	ID string
	// Parts are those that other prompts may share.
	Parts        []string
	Organisation string
	SentAt       time.Time
	// BrokenAt is when the engine broke the connection.
	BrokenAt time.Time
}

// Parts tracks, across all daemons, the prompt parts that may crash engines. Every
// daemon publishes the parts of the requests that had not begun an answer when an
// engine crashed, and the parts that begin one later. A part is quarantined when an
// engine crashed while running a request that was sent after an earlier crash with the
// part, and none has begun since. Quarantined parts are also rows of the table, which
// every daemon follows, and so are suspected ones of which gossip may not tell all. At
// growing intervals one request of the fleet runs as a trial.
type Parts struct {
	daemonName string
	bus        gossip.Bus
	table      platform.Table
	log        *eventlog.Log

	known  atomic.Bool // if false, requests need no look-up
	recent recentBegins
	mu     sync.Mutex
	state  *partState
	// mayMissPeers reports whether facts may not reach all peers.
	mayMissPeers func() bool
	// pending are the suspicions to be written to the table.
	pending           []pendingSuspicion
	writingSuspicions bool
	// invalidRows holds the keys of the rows that ApplyRows skipped last.
	invalidRows map[string]bool
	// era is the store's era of the rows that were applied last; 0 if the store states none.
	era uint64
	// keepLostUntil is until when rows that the store lost when it was restored are kept.
	keepLostUntil time.Time
	// ctx ends the writing of rows in the background.
	ctx  context.Context
	stop context.CancelFunc
}

// NewParts returns the tracker of the daemon with the given name. table holds the rows
// of quarantined and suspected parts and nothing else. mayMissPeers reports whether the
// facts that this daemon publishes may not reach all others. Crashes less than
// minCrashInterval apart are taken for one failure.
func NewParts(daemonName string, bus gossip.Bus, mayMissPeers func() bool, table platform.Table, log *eventlog.Log, minCrashInterval time.Duration) *Parts {
	p := &Parts{daemonName: daemonName, bus: bus, mayMissPeers: mayMissPeers, table: table, log: log, state: newPartState(minCrashInterval)}
	p.ctx, p.stop = context.WithCancel(context.Background())
	bus.Subscribe(gossip.KindPartCrash, p.receiveCrash)
	bus.Subscribe(gossip.KindPartBegun, p.receiveBegin)
	return p
}

// Known reports whether any part is suspected or quarantined.
func (p *Parts) Known() bool { return p.known.Load() }

// Suspected returns those of the parts that may have crashed an engine.
func (p *Parts) Suspected(parts []string) []string {
	if !p.Known() {
		return nil
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	return slices.DeleteFunc(slices.Clone(parts), func(part string) bool { return !p.state.isSuspected(part) })
}

// Refusing returns those of a prompt's parts because of which it must not run.
func (p *Parts) Refusing(parts []string) []string {
	if !p.Known() {
		return nil
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.state.refusing(parts)
}

// SuspectedCount returns the number of suspected parts.
func (p *Parts) SuspectedCount() int { return p.countIf(p.state.isSuspected) }

// QuarantinedCount returns the number of quarantined parts.
func (p *Parts) QuarantinedCount() int { return p.countIf(p.state.isQuarantined) }

func (p *Parts) countIf(match func(part string) bool) int {
	p.mu.Lock()
	defer p.mu.Unlock()
	n := 0
	for part := range p.state.parts {
		if match(part) {
			n++
		}
	}
	return n
}

// EngineCrashed records that an incarnation of an engine ended while it had not begun
// the answers of requests, and publishes their parts.
func (p *Parts) EngineCrashed(service, engine, incarnation string, requests []UnbegunRequest) {
	crash := digestBytesOf(engine, incarnation)
	fact := crashFact{Crash: crash}
	var at time.Time
	p.mu.Lock()
	p.applyRecentBegins(requests)
	for _, r := range p.likeliestCauses(requests) {
		at = r.BrokenAt
		parts := r.Parts
		if len(fact.Parts)+len(parts) > maxPartsPerCrash {
			continue
		}
		quarantined := p.state.selectQuarantined(parts)
		request := digestBytesOf(r.ID)
		for part, depth := range p.state.recordCrash(parts, crash, request, r.SentAt, r.BrokenAt) {
			fact.Parts = append(fact.Parts, crashedPart{Part: part, Request: request, Depth: depth, Companions: p.state.parts[part].crashes[crash].companions})
			if p.state.isQuarantined(part) && !slices.Contains(quarantined, part) {
				p.log.Emit(eventlog.PartQuarantined, eventlog.Fields{Service: service, Upstream: engine, Organisation: r.Organisation, Detail: "part " + partName(part)})
			}
			if p.state.rowOutdated(part) {
				go p.writeRow(part, r.Organisation)
			}
		}
	}
	p.updateKnown()
	p.mu.Unlock()
	if len(fact.Parts) == 0 {
		return
	}
	if p.mayMissPeers() {
		p.queueSuspicions(crash, fact.Parts)
	}
	p.log.Emit(eventlog.PartsSuspected, eventlog.Fields{Service: service, Upstream: engine, Detail: fmt.Sprintf("%d requests had not begun: %s", len(requests), fact)})
	for parts := range slices.Chunk(fact.Parts, maxPartsPerFact) {
		value, err := crashFact{Crash: crash, Parts: parts}.encode()
		if err != nil {
			p.log.Emit(eventlog.PartsSuspected, eventlog.Fields{Service: service, Upstream: engine, Detail: "not published: " + err.Error()})
			return
		}
		p.bus.Publish(gossip.Fact{Kind: gossip.KindPartCrash, ID: hex.EncodeToString([]byte(crash)) + "/" + partName(digestBytesOf(p.daemonName, string(value))), TTL: CrashTTL - time.Since(at), Value: value})
	}
}

// likeliestCauses returns the requests, those first that are the likeliest causes of a
// crash, each with at most maxPartsPerRequest parts. Among equals the order is random, so
// that none is left out each time. p.mu must be held.
func (p *Parts) likeliestCauses(requests []UnbegunRequest) []UnbegunRequest {
	out := slices.Clone(requests)
	rand.Shuffle(len(out), func(i, j int) { out[i], out[j] = out[j], out[i] })
	likelihood := make(map[string]int, len(out))
	for i, r := range out {
		parts := slices.Clone(r.Parts)
		rand.Shuffle(len(parts), func(i, j int) { parts[i], parts[j] = parts[j], parts[i] })
		slices.SortStableFunc(parts, func(a, b string) int {
			return cmp.Compare(p.state.likelihood(b, r.BrokenAt), p.state.likelihood(a, r.BrokenAt))
		})
		out[i].Parts = parts[:min(len(parts), maxPartsPerRequest)]
		if len(parts) > 0 {
			likelihood[r.ID] = p.state.likelihood(parts[0], r.BrokenAt)
		}
	}
	slices.SortStableFunc(out, func(a, b UnbegunRequest) int { return cmp.Compare(likelihood[b.ID], likelihood[a.ID]) })
	return out
}

// Begun records that a request with the parts began its answer, which shows that they
// don't crash engines.
func (p *Parts) Begun(service string, parts []string) {
	p.recent.add(parts, time.Now())
	suspected := p.Suspected(parts)
	if len(suspected) == 0 {
		return
	}
	p.mu.Lock()
	versions := p.state.suspicionVersions(suspected)
	p.mu.Unlock()
	for _, part := range suspected {
		p.clear(service, part)
	}
	p.deleteSuspicions(versions)
}

// clear clears a part here and at peers.
func (p *Parts) clear(service, part string) {
	p.mu.Lock()
	suspected, quarantined := p.state.release(part, time.Now())
	if !suspected { // a peer was faster
		p.mu.Unlock()
		return
	}
	row := p.state.parts[part].row
	p.updateKnown()
	p.mu.Unlock()
	// The value tells this begin from earlier ones, which gossip still has.
	value := binary.BigEndian.AppendUint64(nil, rand.Uint64())
	p.bus.Publish(gossip.Fact{Kind: gossip.KindPartBegun, ID: partName(part), TTL: CrashTTL, Value: value})
	if row != nil {
		go p.deleteRow(part, row.version)
	}
	if quarantined {
		p.log.Emit(eventlog.PartCleared, eventlog.Fields{Service: service, Detail: "part " + partName(part)})
	}
}

// applyRecentBegins applies what this daemon knows of begins before a crash. p.mu must
// be held.
func (p *Parts) applyRecentBegins(requests []UnbegunRequest) {
	for _, r := range requests {
		for _, part := range r.Parts {
			if at, ok := p.recent.latest(part); ok && at.Before(r.BrokenAt) {
				p.state.begin(part, at)
			}
		}
	}
}

// reportRecentBegin publishes that a part began an answer here shortly before a crash for
// which a peer suspects it, unless another daemon does so first. p.mu must be held.
func (p *Parts) reportRecentBegin(part, crash string, crashedAt time.Time) {
	at, ok := p.recent.latest(part)
	if !ok || crashedAt.Sub(at) >= provenWindow || p.state.recentBeginKnown(part) {
		return
	}
	time.AfterFunc(rand.N(beginReportSpread), func() {
		p.mu.Lock()
		known := p.state.recentBeginKnown(part)
		p.state.begin(part, at)
		p.updateKnown()
		p.mu.Unlock()
		if !known {
			// All daemons that report for the same crash publish the same fact.
			p.bus.Publish(gossip.Fact{Kind: gossip.KindPartBegun, ID: partName(part), TTL: CrashTTL - time.Since(at), Value: []byte(crash)})
		}
	})
}

// updateKnown sets known. p.mu must be held.
func (p *Parts) updateKnown() { p.known.Store(p.state.known()) }

// crashFact is the value of a KindPartCrash fact. Fields are encoded by position: their
// order is part of the protocol, and new ones come last.
type crashFact struct {
	Crash string
	Parts []crashedPart
}

// crashedPart is a part of a request that an engine was running when it crashed.
type crashedPart struct {
	Part    string
	Request string
	Depth   int
	// Companions are the other parts that the crash quarantined.
	Companions []string
}

func (f crashFact) encode() ([]byte, error) {
	var buf bytes.Buffer
	e := msgpack.NewEncoder(&buf)
	e.UseArrayEncodedStructs(true)
	e.UseCompactInts(true)
	err := e.Encode(&f)
	return buf.Bytes(), err
}

func (f crashFact) String() string {
	var b strings.Builder
	for i, c := range f.Parts {
		if i > 0 {
			b.WriteString(", ")
		}
		fmt.Fprintf(&b, "part %s crash %d", partName(c.Part), c.Depth)
	}
	return b.String()
}

// receiveCrash applies a peer's crash. Invalid facts are ignored.
func (p *Parts) receiveCrash(f gossip.Fact) {
	var fact crashFact
	if err := msgpack.Unmarshal(f.Value, &fact); err != nil || len(fact.Crash) != digestBytes || len(fact.Parts) > maxPartsPerFact {
		return
	}
	at := publishedAt(f)
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, c := range fact.Parts {
		if len(c.Part) == digestBytes && len(c.Request) == digestBytes && len(c.Companions) < maxPartsPerRequest && c.Depth >= 1 {
			p.state.addCrash(c.Part, fact.Crash, partCrash{request: c.Request, at: at, depth: min(c.Depth, provenPartDepth), companions: c.Companions})
			p.reportRecentBegin(c.Part, fact.Crash, at)
		}
	}
	p.updateKnown()
}

// receiveBegin applies that a request with a part began an answer at a peer.
func (p *Parts) receiveBegin(f gossip.Fact) {
	part, err := hex.DecodeString(f.ID)
	if err != nil || len(part) != digestBytes {
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.state.begin(string(part), publishedAt(f))
	p.updateKnown()
}

// publishedAt returns when a fact that is valid for CrashTTL was published.
func publishedAt(f gossip.Fact) time.Time {
	return time.Now().Add(min(f.TTL, CrashTTL) - CrashTTL)
}

// Run forgets what has expired until ctx ends. It returns the context's error.
func (p *Parts) Run(ctx context.Context) error {
	defer p.stop()
	for {
		if err := backoff.Sleep(ctx, backoff.JitterInterval(partExpiryInterval)); err != nil {
			return err
		}
		p.mu.Lock()
		now := time.Now()
		for _, part := range p.state.expire(now.Add(-CrashTTL), now.Add(-quarantineRowTTL)) {
			version := p.state.parts[part].row.version
			go p.deleteRow(part, version)
		}
		p.deleteSuspicions(p.state.suspicionVersions(p.state.oldSuspicions(now.Add(-CrashTTL))))
		p.updateKnown()
		p.mu.Unlock()
	}
}

// rowValue is the value of a part's row. Fields are encoded under their names.
type rowValue struct {
	Trials       int
	Organisation string // digest
	Companions   []string
	// Claim identifies the claim of a trial that wrote the row, if one did.
	Claim string
	// Unrun is the number of trials that did not run.
	Unrun int
	// Deep is set if a crash had trialSharingDepth.
	Deep bool
}

const (
	// lostRowSpread is the time over which daemons spread the writes of a row that the store lost,
	// so that one daemon's row serves all: with 300 daemons about 15 write before they see it.
	lostRowSpread = 10 * time.Second
	// lostRowLifetime is how long a daemon keeps a lost row that nobody has written again.
	lostRowLifetime = lostRowSpread + rowWriteTimeout
	// lostVersion stands for the version of a lost row.
	lostVersion = math.MaxUint64
)

// ApplyRows applies the rows of all quarantined and suspected parts, as the table has
// them in an era of the store. Invalid rows are skipped and logged once. Rows of quarantined parts
// that are missing in a newer era are written again.
func (p *Parts) ApplyRows(rows map[string]platform.Change, era uint64) {
	now := time.Now()
	invalid := map[string]bool{}
	decoded := map[string]quarantineRow{}
	suspicions := map[string]suspicionRow{}
	for key, row := range rows {
		if part, s, ok := decodeSuspicion(row, now); ok {
			suspicions[part] = s
			continue
		}
		part, err := hex.DecodeString(key)
		var v rowValue
		if err != nil || len(part) != digestBytes || msgpack.Unmarshal(row.Value, &v) != nil {
			invalid[key] = true
			continue
		}
		decoded[string(part)] = quarantineRow{version: row.Version, trials: max(0, v.Trials), since: now, organisation: v.Organisation, companions: v.Companions, claim: v.Claim, unrun: max(0, v.Unrun), deep: v.Deep}
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	for key := range invalid {
		if !p.invalidRows[key] {
			p.log.Emit(eventlog.RowUnreadable, eventlog.Fields{Detail: "quarantined prompt part " + key})
		}
	}
	p.invalidRows = invalid
	var changed []string
	for part, row := range decoded {
		if r := p.state.parts[part]; r == nil || r.row == nil || r.row.version != row.version {
			changed = append(changed, part)
		}
	}
	if p.era != 0 && era > p.era {
		p.keepLostUntil = now.Add(lostRowLifetime)
		for _, part := range p.state.keepLostRows(decoded) {
			time.AfterFunc(rand.N(lostRowSpread), func() { p.writeLostRow(part) })
		}
	}
	p.era = max(p.era, era)
	for _, part := range p.state.setRows(decoded, now.Before(p.keepLostUntil)) {
		go p.deleteRow(part, decoded[part].version)
	}
	for _, part := range changed {
		p.handBackUnrun(part)
		if p.state.rowLacksOwnCrash(part) {
			go p.addOwnCrash(part)
		}
	}
	p.applySuspicions(suspicions)
	p.updateKnown()
}

// ClaimTrial reports whether one request may run although parts of its prompt refuse
// it: a trial is due for all of these and no other daemon has claimed it. If no engine
// can have run the request, handBack hands the trial back; it doesn't block.
func (p *Parts) ClaimTrial(ctx context.Context, service string, prompt []string) (handBack func(), ok bool) {
	claim := strconv.FormatUint(rand.Uint64(), 36)
	parts, txn, ok := p.trialTxn(prompt, claim)
	if !ok || len(parts) == 0 {
		return func() {}, ok
	}
	ctx, cancel := context.WithTimeout(ctx, trialClaimTimeout)
	defer cancel()
	if err := p.table.Commit(ctx, txn); err != nil {
		if !errors.Is(err, platform.ErrConflict) { // else another daemon has claimed it
			p.log.Emit(eventlog.PartRowFailed, eventlog.Fields{Service: service, Detail: "trial not claimed: " + err.Error()})
		}
		if verdict.Of(err) != verdict.NotRun {
			p.recordUnrun(parts, claim)
		}
		return nil, false
	}
	for _, w := range txn.Writes {
		p.log.Emit(eventlog.PartTrial, eventlog.Fields{Service: service, Detail: "part " + w.Key})
	}
	return func() {
		for _, w := range txn.Writes {
			p.log.Emit(eventlog.PartTrialUnrun, eventlog.Fields{Service: service, Detail: "part " + w.Key})
		}
		p.recordUnrun(parts, claim)
	}, true
}

// recordUnrun hands back a trial that did not run as soon as this daemon's copy of the
// table shows its claim.
func (p *Parts) recordUnrun(parts []string, claim string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, part := range parts {
		if r := p.state.parts[part]; r != nil {
			r.unrunClaim = claim
			p.handBackUnrun(part)
		}
	}
}

// handBackUnrun starts to hand back the trial of a part if its row shows the claim of
// one that did not run. p.mu must be held.
func (p *Parts) handBackUnrun(part string) {
	if claim, ok := p.state.takeUnrunClaim(part); ok {
		go p.uncountTrial(part, claim)
	}
}

// uncountTrial takes a trial that did not run from the count in its part's row, unless
// the row has changed since the claim.
func (p *Parts) uncountTrial(part, claim string) {
	p.commit(part, func() (platform.Txn, bool) {
		if !p.state.rowHasClaim(part, claim) {
			return platform.Txn{}, false
		}
		r := p.state.parts[part]
		v, version := r.rowValue()
		v.Trials = max(r.surplus, r.row.trials-1)
		v.Unrun++
		return appendPut(platform.Txn{}, part, version, v), true
	})
}

// addOwnCrash writes the row of a part if it lacks a crash that this daemon observed.
func (p *Parts) addOwnCrash(part string) {
	p.commit(part, func() (platform.Txn, bool) {
		if !p.state.rowLacksOwnCrash(part) {
			return platform.Txn{}, false
		}
		v, version := p.state.parts[part].rowValue()
		return appendPut(platform.Txn{}, part, version, v), true
	})
}

// trialTxn returns the parts for which a trial is due and the transaction that claims it;
// ok is false if none is due.
func (p *Parts) trialTxn(prompt []string, claim string) (parts []string, txn platform.Txn, ok bool) {
	suspected := len(p.Suspected(prompt))
	p.mu.Lock()
	defer p.mu.Unlock()
	now := time.Now()
	parts = p.state.refusing(prompt)
	if !p.state.trialDue(parts, suspected, now) {
		return nil, txn, false
	}
	for _, part := range parts {
		r := p.state.parts[part]
		r.retryClaimAt = now.Add(trialClaimInterval)
		v, version := r.rowValue()
		v.Trials++
		v.Claim = claim
		txn = appendPut(txn, part, version, v)
	}
	txn.Era = p.era
	return parts, txn, true
}

// rowValue returns the value that the part's row should have, and the version that it
// has; 0 if there is none.
func (r *partRecord) rowValue() (v rowValue, version uint64) {
	v.Companions, v.Deep = r.companions(), r.deep()
	_, v.Trials = r.quarantinedSince()
	if r.row != nil {
		v.Organisation, v.Unrun, version = r.row.organisation, r.row.unrun, r.row.version
		if version == lostVersion {
			version = 0
		}
	}
	return v, version
}

func appendPut(txn platform.Txn, part string, version uint64, v rowValue) platform.Txn {
	var buf bytes.Buffer
	_ = msgpack.NewEncoder(&buf).Encode(&v) // strings and integers can be encoded
	txn.Conditions = append(txn.Conditions, platform.Condition{Key: partName(part), Version: version})
	txn.Writes = append(txn.Writes, platform.Write{Key: partName(part), Value: buf.Bytes()})
	return txn
}

// writeRow writes the row of a part if it is out of date. It gives up after
// rowWriteTimeout; gossip still distributes the crashes.
func (p *Parts) writeRow(part, organisation string) {
	p.commit(part, func() (platform.Txn, bool) {
		if !p.state.rowOutdated(part) {
			return platform.Txn{}, false
		}
		r := p.state.parts[part]
		v, version := r.rowValue()
		if !r.hasRow() {
			v.Organisation = digestBytesOf(organisation)
		}
		txn := appendPut(platform.Txn{}, part, version, v)
		if evicted, full := p.state.rowToEvict(); full && r.row == nil {
			txn = appendDelete(txn, evicted, p.state.parts[evicted].row.version)
		}
		return txn, true
	})
}

// writeLostRow writes the row of a part again that the store lost, unless it has one again.
func (p *Parts) writeLostRow(part string) {
	p.commit(part, func() (platform.Txn, bool) {
		r := p.state.parts[part]
		if r == nil || !r.hasRow() || r.row.version != lostVersion {
			return platform.Txn{}, false
		}
		v, version := r.rowValue()
		return appendPut(platform.Txn{}, part, version, v), true
	})
}

// deleteRow deletes the row of a part unless it has changed. If it has, ApplyRows decides
// on the new version.
func (p *Parts) deleteRow(part string, version uint64) {
	p.commit(part, func() (platform.Txn, bool) {
		r := p.state.parts[part]
		return appendDelete(platform.Txn{}, part, version), r != nil && r.row != nil && r.row.version == version && version != lostVersion
	})
}

func appendDelete(txn platform.Txn, part string, version uint64) platform.Txn {
	txn.Conditions = append(txn.Conditions, platform.Condition{Key: partName(part), Version: version})
	txn.Writes = append(txn.Writes, platform.Write{Key: partName(part), Delete: true})
	return txn
}

// commit commits the transaction that next returns until it is applied, is no longer
// needed or rowWriteTimeout has passed. After a conflict the copy of the table soon shows
// what another daemon wrote, and next decides anew.
func (p *Parts) commit(part string, next func() (platform.Txn, bool)) {
	ctx, cancel := context.WithTimeout(p.ctx, rowWriteTimeout)
	defer cancel()
	for try := 0; ; try++ {
		p.mu.Lock()
		txn, needed := next()
		txn.Era = p.era
		p.mu.Unlock()
		if !needed {
			return
		}
		err := p.commitOnce(ctx, txn)
		if err == nil {
			return
		}
		if rowBackoff.Wait(ctx, try) != nil {
			p.log.Emit(eventlog.PartRowFailed, eventlog.Fields{Detail: "part " + partName(part) + ": " + err.Error()})
			return
		}
	}
}

func (p *Parts) commitOnce(ctx context.Context, txn platform.Txn) error {
	ctx, cancel := context.WithTimeout(ctx, platform.CallTimeout)
	defer cancel()
	return p.table.Commit(ctx, txn)
}
