package suspects

import (
	"cmp"
	"maps"
	"math"
	"slices"
	"time"
)

const (
	// newPartDepth is the depth of a crash that quarantines a part, provenPartDepth that
	// for a part on which answers were begun within provenWindow before its first crash:
	// such a part may have turned bad, but was more likely run beside the cause.
	newPartDepth    = 2
	provenPartDepth = 3
	provenWindow    = time.Minute
	// trialSharingDepth is the depth of a crash from which on a part that has had a trial
	// shares trials with the parts of other owners.
	trialSharingDepth = provenPartDepth
	// maxSuspicions bounds the crashes remembered for all parts together, without those
	// that may quarantine. When it is reached, the oldest 1/roomDivisor are dropped.
	maxSuspicions = 8 << 10
	roomDivisor   = 8
	// maxParts bounds the parts of which anything is remembered. It is more than can have
	// a crash or a row; when it is reached, the oldest begins are dropped.
	maxParts = 2 * maxSuspicions
	// maxQuarantinedParts bounds the parts in quarantine. When it is reached, the oldest
	// part of the organisation that has most is dropped for a new one.
	maxQuarantinedParts = 1 << 10
	// firstTrialInterval is the time from a part's quarantine to its first trial; each
	// later interval is trialIntervalFactor times as long, up to maxTrialInterval. A part
	// that crashed more than freeCrashes engines before its first trial waits as if these
	// had been trials.
	firstTrialInterval  = 5 * time.Second
	trialIntervalFactor = 8
	maxTrialInterval    = 24 * time.Hour
	freeCrashes         = 3
	// maxUnrunInterval bounds the interval before a trial that follows ones that did not
	// run, unless trialInterval is longer. It starts at firstTrialInterval and doubles.
	maxUnrunInterval = time.Minute
	// releaseWindow is the time after a part's release within which rows may appear that
	// peers wrote before they heard of it.
	releaseWindow = time.Minute
	// maxVoidedCrashes bounds the voided crashes remembered for a part.
	maxVoidedCrashes = 8
)

// partCrash is an engine crash while a request with a part had not begun its answer.
type partCrash struct {
	// request is the digest of that request. A retry of the same request is no new
	// evidence: all its parts are the same.
	request string
	at      time.Time
	// depth is 1 if no other request with the part was at an engine that had crashed
	// before this one was sent, else one more than that crash's. A failure of several
	// engines at once has depth 1 everywhere.
	depth int
	// companions are the other parts of the request that were quarantined with this one.
	// The cause may be any of them, so requests without them are not refused.
	companions []string
	// fromRow is set if the crash is known from its row in the table only.
	fromRow bool
}

// quarantineRow is a part's row in the table.
type quarantineRow struct {
	version uint64
	// trials is the number of requests that were run in spite of the quarantine, or
	// count as such.
	trials int
	// since is when this daemon first saw this version of the row. Trials are timed
	// by it, so that they don't depend on any clock.
	since        time.Time
	organisation string
	companions   []string
	// claim identifies the claim of a trial that wrote this version, if one did.
	claim string
	// unrun is the number of trials that did not run.
	unrun int
	// deep is set if a crash had trialSharingDepth.
	deep bool
}

// partRecord is what is known of one part.
type partRecord struct {
	// crashes are keyed by the digest of the crash.
	crashes map[string]partCrash
	// surplus is the greatest number of crashes beyond freeCrashes since the part last
	// began an answer. Unlike crashes it doesn't expire while the part is quarantined.
	surplus int
	// ownSurplus is the surplus after the last crash that this daemon observed itself.
	ownSurplus int
	// begunAt is the latest known time at which a request with the part began an answer;
	// crashes until then don't count.
	begunAt time.Time
	// voided holds the digests of the last crashes that a begin showed not to count. A row
	// that tells of one may be read later and dates it by that.
	voided []string
	row    *quarantineRow
	// suspicion is the part's suspicion in the table.
	suspicion *suspicionRow
	// voidVersion is the version of the row that was there when the part began an answer.
	voidVersion uint64
	// releasedAt is when this daemon last released the part, releasedTrials the number of
	// trials that daemons that had not heard of it may have claimed by then.
	releasedAt     time.Time
	releasedTrials int
	// retryClaimAt is when this daemon may next try to claim a trial.
	retryClaimAt time.Time
	// unrunClaim identifies this daemon's last claim of a trial that did not run, until
	// the row shows it.
	unrunClaim string
}

// partState is the knowledge of all parts. It has no clock and does no I/O.
type partState struct {
	// minCrashInterval is the minimum time between two crashes of different depth.
	minCrashInterval time.Duration
	parts            map[string]*partRecord
	// suspicions and quarantined count the crashes below and from newPartDepth on, rows
	// the parts with a row, suspicionRows those with a suspicion in the table.
	suspicions, quarantined, rows, suspicionRows int
	// groups holds the known parts by partGroup.
	groups map[string][]string
}

// known reports whether any part is suspected.
func (s *partState) known() bool { return s.suspicions+s.quarantined+s.rows > 0 }

func newPartState(minCrashInterval time.Duration) *partState {
	return &partState{minCrashInterval: minCrashInterval, parts: map[string]*partRecord{}, groups: map[string][]string{}}
}

// recordCrash adds a crash that this daemon observed while a request had not begun its
// answer, and returns the depths of the parts for which it is new. sentAt is when the
// request was sent. If parts of the request are quarantined already, they explain the
// crash, and it is not held against the others.
func (s *partState) recordCrash(parts []string, crash, request string, sentAt, at time.Time) map[string]int {
	if explained := s.selectQuarantined(parts); len(explained) > 0 {
		parts = explained
	}
	depths := map[string]int{}
	var deep []string
	for _, part := range parts {
		depths[part] = s.depthOf(part, crash, request, sentAt, at)
		if depths[part] >= s.quarantineDepth(part) {
			deep = append(deep, part)
		}
	}
	for part, depth := range depths {
		c := partCrash{request: request, at: at, depth: depth}
		if slices.Contains(deep, part) {
			c.companions = without(deep, part)
		}
		if !s.addCrash(part, crash, c) {
			delete(depths, part)
		}
		if r := s.parts[part]; r != nil {
			r.ownSurplus = r.surplus
		}
	}
	return depths
}

// without returns the parts other than one.
func without(parts []string, part string) []string {
	return slices.DeleteFunc(slices.Clone(parts), func(p string) bool { return p == part })
}

// selectQuarantined returns the parts that are quarantined.
func (s *partState) selectQuarantined(parts []string) []string {
	return slices.DeleteFunc(slices.Clone(parts), func(p string) bool { return !s.isQuarantined(p) })
}

// depthOf returns the depth of a crash for a part. Crashes with the same part of other
// owners are evidence too, unless the crash is one of them.
func (s *partState) depthOf(part, crash, request string, sentAt, at time.Time) int {
	depth := 1
	for _, member := range append(s.others(part), part) {
		r := s.parts[member]
		if r == nil || member != part && r.hasCrash(crash) {
			continue
		}
		for other, c := range r.crashes {
			if other != crash && r.counts(c) && c.request != request && !sentAt.Before(c.at) && at.Sub(c.at) >= s.minCrashInterval {
				depth = min(provenPartDepth, max(depth, c.depth+1))
			}
		}
	}
	return depth
}

// others returns the same parts of other owners, as far as anything of them is known.
func (s *partState) others(part string) []string { return without(s.groups[partGroup(part)], part) }

func (r *partRecord) hasCrash(crash string) bool {
	_, known := r.crashes[crash]
	return known
}

// quarantineDepth returns the depth of a crash that quarantines the part.
func (s *partState) quarantineDepth(part string) int {
	if r := s.parts[part]; r != nil {
		return r.quarantineDepth()
	}
	return newPartDepth
}

// firstCrashAt returns when the first crash was, or at if that is earlier or there is none.
func (r *partRecord) firstCrashAt(at time.Time) time.Time {
	for _, c := range r.crashes {
		if c.at.Before(at) {
			at = c.at
		}
	}
	return at
}

func (r *partRecord) quarantineDepth() int {
	var first time.Time
	for _, c := range r.crashes {
		if first.IsZero() || c.at.Before(first) {
			first = c.at
		}
	}
	if !r.begunAt.IsZero() && first.Sub(r.begunAt) < provenWindow {
		return provenPartDepth
	}
	return newPartDepth
}

// addCrash adds a crash, or raises the depth of a known one. It reports whether that
// changed anything.
func (s *partState) addCrash(part, crash string, c partCrash) bool {
	r := s.record(part)
	if r == nil {
		return false
	}
	old, known := r.crashes[crash]
	if !r.counts(c) || slices.Contains(r.voided, crash) || known && old.depth >= c.depth {
		return false
	}
	if known {
		// Counted by its new depth below. Without it, makeRoom can't drop it.
		delete(r.crashes, crash)
		s.count(old, -1)
	}
	if !known || (old.depth >= newPartDepth) != (c.depth >= newPartDepth) {
		s.makeRoom(c.depth)
	}
	s.store(part, r)
	r.crashes[crash] = c
	r.surplus = max(r.surplus, len(r.crashes)-freeCrashes)
	s.count(c, 1)
	s.deepenOthers(part)
	return true
}

// deepenOthers gives the crashes with the same parts of different owners the depth of the
// deepest one: it shows that engines crashed one after another, and the crash of an owner's
// part that no request of the others ran into is further evidence against that part.
func (s *partState) deepenOthers(part string) {
	for _, from := range slices.Clone(s.groups[partGroup(part)]) {
		r := s.parts[from]
		if r == nil || r.depth() < newPartDepth {
			continue
		}
		for _, to := range s.others(from) {
			crashes := map[string]partCrash{}
			if other := s.parts[to]; other != nil { // makeRoom may have dropped it
				crashes = maps.Clone(other.crashes)
			}
			for crash, c := range crashes {
				if depth := r.depth(); c.depth < depth && !r.hasCrash(crash) {
					c.depth = depth
					s.addCrash(to, crash, c)
				}
			}
		}
	}
}

// store adds the record of a part.
func (s *partState) store(part string, r *partRecord) {
	if s.parts[part] == nil {
		s.groups[partGroup(part)] = append(s.groups[partGroup(part)], part)
	}
	s.parts[part] = r
}

// remove drops the record of a part.
func (s *partState) remove(part string) {
	delete(s.parts, part)
	group := partGroup(part)
	if s.groups[group] = without(s.groups[group], part); len(s.groups[group]) == 0 {
		delete(s.groups, group)
	}
}

// record returns the record of a part, or a new one that is not stored yet; nil if
// there are too many.
func (s *partState) record(part string) *partRecord {
	if r := s.parts[part]; r != nil {
		return r
	}
	if len(s.parts) >= maxParts {
		s.forgetBegins()
	}
	if len(s.parts) >= maxParts {
		return nil
	}
	return &partRecord{crashes: map[string]partCrash{}}
}

// forgetBegins drops the records of which only the begin is known, the oldest
// maxParts/roomDivisor of them.
func (s *partState) forgetBegins() {
	var parts []string
	for part, r := range s.parts {
		if len(r.crashes) == 0 && r.row == nil && r.suspicion == nil {
			parts = append(parts, part)
		}
	}
	slices.SortFunc(parts, func(a, b string) int { return s.parts[a].begunAt.Compare(s.parts[b].begunAt) })
	for _, part := range parts[:min(len(parts), maxParts/roomDivisor)] {
		s.remove(part)
	}
}

// makeRoom drops the oldest crashes that count like one of the given depth if there are
// too many.
func (s *partState) makeRoom(depth int) {
	limit, n := maxSuspicions, s.suspicions
	if depth >= newPartDepth {
		limit, n = maxQuarantinedParts, s.quarantined
	}
	if n < limit {
		return
	}
	type entry struct {
		part, crash string
		at          time.Time
	}
	var entries []entry
	for part, r := range s.parts {
		for crash, c := range r.crashes {
			if (c.depth >= newPartDepth) == (depth >= newPartDepth) {
				entries = append(entries, entry{part, crash, c.at})
			}
		}
	}
	slices.SortFunc(entries, func(a, b entry) int { return a.at.Compare(b.at) })
	for _, e := range entries[:limit/roomDivisor] {
		s.removeCrash(e.part, e.crash)
	}
}

func (s *partState) count(c partCrash, n int) {
	if c.depth >= newPartDepth {
		s.quarantined += n
	} else {
		s.suspicions += n
	}
}

func (s *partState) removeCrash(part, crash string) {
	r := s.parts[part]
	if r == nil {
		return
	}
	if c, known := r.crashes[crash]; known {
		delete(r.crashes, crash)
		s.count(c, -1)
	}
	s.dropIfUnused(part)
}

// dropIfUnused removes the record of a part of which nothing has to be known.
func (s *partState) dropIfUnused(part string) {
	r := s.parts[part]
	if r == nil || len(r.crashes) > 0 || r.row != nil {
		return
	}
	r.surplus, r.ownSurplus = 0, 0
	if r.begunAt.IsZero() && r.suspicion == nil {
		s.remove(part)
	}
}

// counts reports whether the crash happened after the part last began an answer.
func (r *partRecord) counts(c partCrash) bool { return c.at.After(r.begunAt) }

// begin applies that a request with the part began an answer at a time. It reports
// whether the part was suspected until then, and whether it was quarantined.
func (s *partState) begin(part string, at time.Time) (suspected, quarantined bool) {
	r := s.record(part)
	if r == nil || !at.After(r.begunAt) {
		return false, false
	}
	suspected, quarantined = s.isSuspected(part), s.isQuarantined(part)
	s.store(part, r)
	r.begunAt = at
	if r.row != nil && !r.row.since.After(at) {
		r.voidVersion = r.row.version
	}
	for crash, c := range r.crashes {
		if !r.counts(c) {
			delete(r.crashes, crash)
			s.count(c, -1)
			r.voided = append(r.voided, crash)
		}
	}
	r.voided = r.voided[max(0, len(r.voided)-maxVoidedCrashes):]
	r.surplus = max(0, len(r.crashes)-freeCrashes)
	r.ownSurplus = min(r.ownSurplus, r.surplus)
	return suspected, quarantined
}

// release applies that a request with the part began an answer at this daemon. Row
// versions that peers write before they hear of it are out of date.
func (s *partState) release(part string, at time.Time) (suspected, quarantined bool) {
	trials := 0
	if r := s.parts[part]; r != nil {
		_, trials = r.quarantinedSince()
	}
	suspected, quarantined = s.begin(part, at)
	if suspected {
		r := s.parts[part]
		r.releasedAt, r.releasedTrials = at, trials+1
	}
	return suspected, quarantined
}

// isSuspected reports whether an engine crashed while it ran a request with the part
// and none has begun an answer since.
func (s *partState) isSuspected(part string) bool {
	r := s.parts[part]
	return r != nil && (len(r.crashes) > 0 || r.hasRow())
}

// likelihood ranks a part among the possible causes of a crash at a time: above the
// others those that an earlier crash makes suspect, below them those that began answers
// just before.
func (s *partState) likelihood(part string, at time.Time) int {
	r := s.parts[part]
	switch {
	case s.isQuarantined(part), s.isSuspected(part) && r.quarantineDepth() == newPartDepth:
		return 2
	case r == nil, at.Sub(r.begunAt) >= provenWindow && len(r.crashes) == 0:
		return 1
	default:
		return 0
	}
}

// recentBeginKnown reports whether a begin of the part shortly before its first crash is
// known. If no crash is, any begin will do.
func (s *partState) recentBeginKnown(part string) bool {
	return s.quarantineDepth(part) == provenPartDepth
}

// isQuarantined reports whether requests with the part, and with its companions if it
// has any, must not run.
func (s *partState) isQuarantined(part string) bool {
	r := s.parts[part]
	return r != nil && (r.hasRow() || r.depth() >= r.quarantineDepth())
}

// refusing returns those of a prompt's parts because of which it must not run: the
// quarantined ones whose companions, if they are still quarantined, are among the parts
// too.
func (s *partState) refusing(parts []string) []string {
	return slices.DeleteFunc(slices.Clone(parts), func(part string) bool {
		r := s.parts[part]
		if r == nil {
			return true
		}
		complete := func(companions []string) bool {
			return !slices.ContainsFunc(companions, func(c string) bool { return s.isQuarantined(c) && !slices.Contains(parts, c) })
		}
		if r.hasRow() && complete(r.row.companions) {
			return false
		}
		for _, c := range r.crashes {
			if c.depth >= r.quarantineDepth() && complete(c.companions) {
				return false
			}
		}
		return true
	})
}

func (r *partRecord) hasRow() bool { return r.row != nil && r.row.version != r.voidVersion }

// companions returns the fewest companions that the row or any quarantining crash leaves
// the part with.
func (r *partRecord) companions() []string {
	var fewest []string
	found := r.hasRow()
	if found {
		fewest = r.row.companions
	}
	for _, c := range r.crashes {
		if c.depth >= r.quarantineDepth() && (!found || len(c.companions) < len(fewest)) {
			fewest, found = c.companions, true
		}
	}
	return fewest
}

// depth returns the greatest depth of the part's crashes.
func (r *partRecord) depth() int {
	depth := 0
	for _, c := range r.crashes {
		depth = max(depth, c.depth)
	}
	return depth
}

// trialDue reports whether one request that the given parts keep from running may run
// now. suspected is the number of all suspected parts of the prompt: requests with fewer
// go first, since they tell which part is the cause.
func (s *partState) trialDue(parts []string, suspected int, now time.Time) bool {
	for _, part := range parts {
		r := s.parts[part]
		if r == nil || now.Before(r.retryClaimAt) {
			return false
		}
		since, trials := r.quarantinedSince()
		if now.Sub(since) < time.Duration(suspected)*max(trialInterval(trials), r.unrunInterval()) {
			return false
		}
		since, trials = s.sharedTrials(part)
		if now.Sub(since) < time.Duration(suspected)*trialInterval(trials) {
			return false
		}
	}
	return true
}

// quarantinedSince returns when the part's quarantine or its last trial became known,
// and the number of trials.
func (r *partRecord) quarantinedSince() (since time.Time, trials int) {
	if r.hasRow() {
		return r.row.since, max(r.surplus, r.row.trials)
	}
	for _, c := range r.crashes {
		if c.depth >= r.quarantineDepth() && c.at.After(since) {
			since = c.at
		}
	}
	return since, r.surplus
}

// deep reports whether a crash with the part had trialSharingDepth.
func (r *partRecord) deep() bool { return r.hasRow() && r.row.deep || r.depth() >= trialSharingDepth }

// sharesTrials reports whether engines crashed one after another while they ran requests
// with the part, and a trial has not ended that.
func (r *partRecord) sharesTrials() bool { return r.hasRow() && r.row.trials > 0 && r.deep() }

// sharedTrials is quarantinedSince for the part and the same parts of other owners
// together, as if all were one: crashes that quarantined the others count as trials. Until
// its own first trial has failed the part shares none, since IDs are stated by callers:
// crashes under one owner's ID must not delay the release of another's sound part.
func (s *partState) sharedTrials(part string) (since time.Time, trials int) {
	since, trials = s.parts[part].quarantinedSince()
	if !s.parts[part].sharesTrials() {
		return since, trials
	}
	for _, other := range s.others(part) {
		if r := s.parts[other]; r.sharesTrials() {
			otherSince, otherTrials := r.quarantinedSince()
			trials += newPartDepth + otherTrials
			if otherSince.After(since) {
				since = otherSince
			}
		}
	}
	return since, trials
}

// rowOutdated reports whether the part is quarantined and has no row, or one that does
// not say all that is known here.
func (s *partState) rowOutdated(part string) bool {
	r := s.parts[part]
	return s.isQuarantined(part) && (!r.hasRow() || r.surplus > r.row.trials || len(r.companions()) < len(r.row.companions) || r.sharesTrials() && !r.row.deep)
}

// rowLacksOwnCrash reports whether the part's row counts fewer trials than a crash that
// this daemon observed requires. It may have counted a trial that was handed back.
func (s *partState) rowLacksOwnCrash(part string) bool {
	r := s.parts[part]
	return r != nil && r.hasRow() && r.ownSurplus > r.row.trials
}

// rowHasClaim reports whether a claim wrote the present version of the part's row.
func (s *partState) rowHasClaim(part, claim string) bool {
	r := s.parts[part]
	return r != nil && r.hasRow() && r.row.claim == claim
}

// takeUnrunClaim returns the claim that wrote the part's row if its trial did not run;
// ok is false if there is none. It returns a claim once.
func (s *partState) takeUnrunClaim(part string) (claim string, ok bool) {
	r := s.parts[part]
	if r == nil || r.unrunClaim == "" || !s.rowHasClaim(part, r.unrunClaim) {
		return "", false
	}
	claim, r.unrunClaim = r.unrunClaim, ""
	return claim, true
}

// trialInterval returns the time before a trial that follows the given number of
// trials.
func trialInterval(trials int) time.Duration {
	interval := float64(firstTrialInterval) * math.Pow(trialIntervalFactor, float64(trials))
	return time.Duration(min(interval, float64(maxTrialInterval)))
}

// unrunInterval returns the minimum time before the next trial because of those that did
// not run.
func (r *partRecord) unrunInterval() time.Duration {
	if !r.hasRow() || r.row.unrun == 0 {
		return 0
	}
	interval := float64(firstTrialInterval) * math.Pow(2, float64(r.row.unrun-1))
	return time.Duration(min(interval, float64(maxUnrunInterval)))
}

// setRows replaces the rows of all parts. Rows whose version is known keep the time at
// which it was first seen. It returns the parts whose new row is out of date: this daemon
// has released them since their last crash. Lost rows that are absent stay if keepLost is set.
func (s *partState) setRows(rows map[string]quarantineRow, keepLost bool) (outdated []string) {
	s.rows = 0
	for part, r := range s.parts {
		if _, present := rows[part]; !present && r.row != nil {
			if keepLost && r.row.version == lostVersion {
				s.rows++
				continue
			}
			r.row = nil
			s.dropIfUnused(part)
		}
	}
	for part, row := range rows {
		r := s.record(part)
		if r == nil {
			continue
		}
		s.store(part, r)
		s.rows++
		if r.row != nil && r.row.version == row.version {
			continue
		}
		r.row = &row
		if len(r.crashes) == 0 && row.trials <= r.releasedTrials && row.since.Sub(r.releasedAt) < releaseWindow {
			r.voidVersion = row.version
			outdated = append(outdated, part)
		}
	}
	return outdated
}

// keepLostRows prepares for the rows of a store that was restored, which issues versions again.
// It marks those as lost that are absent, and returns their parts.
func (s *partState) keepLostRows(rows map[string]quarantineRow) (lost []string) {
	for part, r := range s.parts {
		if !r.hasRow() {
			continue
		}
		row := *r.row
		row.version = lostVersion
		r.row = &row
		if _, present := rows[part]; !present {
			lost = append(lost, part)
		}
	}
	return lost
}

// rowToEvict returns the part whose row has to make room for a new one; ok is false
// if there is room.
func (s *partState) rowToEvict() (part string, ok bool) {
	counts := map[string]int{}
	var parts []string
	for p, r := range s.parts {
		if r.row != nil {
			counts[r.row.organisation]++
			parts = append(parts, p)
		}
	}
	if len(parts) < maxQuarantinedParts {
		return "", false
	}
	return slices.MaxFunc(parts, func(a, b string) int {
		x, y := s.parts[a].row, s.parts[b].row
		return cmp.Or(cmp.Compare(counts[x.organisation], counts[y.organisation]), cmp.Compare(x.organisation, y.organisation), y.since.Compare(x.since))
	}), true
}

// expire is called at intervals. It forgets crashes and begins from before a time, and returns the parts whose
// rows are older than rowLimit.
func (s *partState) expire(before, rowLimit time.Time) []string {
	var old []string
	for part, r := range maps.Clone(s.parts) {
		for crash, c := range maps.Clone(r.crashes) {
			if c.at.Before(before) {
				s.removeCrash(part, crash)
			}
		}
		if r.begunAt.Before(before) {
			r.begunAt, r.voided = time.Time{}, nil
		}
		if r.row != nil && r.row.since.Before(rowLimit) {
			old = append(old, part)
		}
		s.dropIfUnused(part)
	}
	return old
}
