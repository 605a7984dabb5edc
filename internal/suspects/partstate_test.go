package suspects

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

const testCrashInterval = 300 * time.Millisecond

// partEvent is a crash or a begin, as daemons learn of it.
type partEvent struct {
	part  string
	crash string // empty for a begin
	c     partCrash
	at    time.Time
}

func (e partEvent) apply(s *partState) {
	if e.crash == "" {
		s.begin(e.part, e.at)
	} else {
		s.addCrash(e.part, e.crash, e.c)
	}
}

// Daemons that learn of the same crashes and begins in any order must come to the same
// decision, and never quarantine a part on which an answer was begun after its last
// crash.
func TestPartStatesConverge(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		start := time.Unix(1000, 0)
		parts := []string{"a", "b", "c"}
		var events []partEvent
		lastCrash, lastBegin := map[string]time.Time{}, map[string]time.Time{}
		observer := newPartState(testCrashInterval)
		now := start
		for i := range rapid.IntRange(1, 25).Draw(rt, "events") {
			now = now.Add(time.Duration(rapid.IntRange(1, 1500).Draw(rt, "pause")) * time.Millisecond)
			if rapid.IntRange(0, 3).Draw(rt, "kind") == 0 {
				part := rapid.SampledFrom(parts).Draw(rt, "begun")
				observer.begin(part, now)
				events = append(events, partEvent{part: part, at: now})
				lastBegin[part] = now
				continue
			}
			prompt := rapid.SliceOfNDistinct(rapid.SampledFrom(parts), 1, 3, rapid.ID[string]).Draw(rt, "prompt")
			crash, request := fmt.Sprint("crash", i), fmt.Sprint("request", rapid.IntRange(0, 3).Draw(rt, "request"))
			sentAt := now.Add(-time.Duration(rapid.IntRange(0, 2000).Draw(rt, "age")) * time.Millisecond)
			for part := range observer.recordCrash(prompt, crash, request, sentAt, now) {
				events = append(events, partEvent{part: part, crash: crash, c: observer.parts[part].crashes[crash], at: now})
				lastCrash[part] = now
			}
		}
		peer := newPartState(testCrashInterval)
		for _, e := range rapid.Permutation(events).Draw(rt, "order") {
			e.apply(peer)
			if rapid.Bool().Draw(rt, "twice") {
				e.apply(peer)
			}
		}
		for _, part := range parts {
			assert.Equal(rt, peer.isQuarantined(part), observer.isQuarantined(part), part)
			assert.Equal(rt, peer.isSuspected(part), observer.isSuspected(part), part)
			if begun, ok := lastBegin[part]; ok && !lastCrash[part].After(begun) {
				assert.Assert(rt, !peer.isSuspected(part), part)
			}
		}
		for _, s := range []*partState{observer, peer} {
			s.expire(now.Add(time.Second), now)
			assert.Equal(rt, len(s.parts)+s.suspicions+s.quarantined, 0)
		}
	})
}

// The crash of one request after another with a part, sent after the first crash, must
// quarantine the part; crashes at once, and those of one request's retries, must not.
func TestOnlyLaterRequestsQuarantineParts(t *testing.T) {
	at := time.Unix(1000, 0)
	for name, c := range map[string]struct {
		request     string
		sentAfter   time.Duration
		crashAfter  time.Duration
		begunBefore bool
		quarantined bool
	}{
		"another request":     {"r2", time.Millisecond, time.Second, false, true},
		"sent before":         {"r2", -time.Millisecond, time.Second, false, false},
		"at the same time":    {"r2", time.Millisecond, testCrashInterval / 2, false, false},
		"retry":               {"r1", time.Millisecond, time.Second, false, false},
		"part begun just now": {"r2", time.Millisecond, time.Second, true, false},
	} {
		t.Run(name, func(t *testing.T) {
			s := newPartState(testCrashInterval)
			if c.begunBefore {
				s.begin("p", at.Add(-time.Second))
			}
			s.recordCrash([]string{"p"}, "c1", "r1", at.Add(-time.Second), at)
			assert.Assert(t, s.isSuspected("p") && !s.isQuarantined("p"))
			s.recordCrash([]string{"p"}, "c2", c.request, at.Add(c.sentAfter), at.Add(c.crashAfter))
			assert.Equal(t, s.isQuarantined("p"), c.quarantined)
			s.recordCrash([]string{"p"}, "c3", "r3", at.Add(c.crashAfter), at.Add(c.crashAfter+time.Second))
			assert.Assert(t, s.isQuarantined("p"), "the next request quarantines the part in each case")
		})
	}
}

// Sound parts that the same requests share with the cause must not be refused without
// it, and the cause must be refused once they are cleared.
func TestCompanionsAreNotRefusedAlone(t *testing.T) {
	at := time.Unix(1000, 0)
	s := newPartState(testCrashInterval)
	prompt := []string{"cause", "beside"}
	s.recordCrash(prompt, "c1", "r1", at.Add(-time.Second), at)
	s.recordCrash(prompt, "c2", "r2", at, at.Add(time.Second))
	assert.Equal(t, len(s.refusing(prompt)), 2)
	assert.Equal(t, len(s.refusing([]string{"beside", "other"})), 0)
	s.begin("beside", at.Add(2*time.Second))
	assert.DeepEqual(t, s.refusing([]string{"cause", "other"}), []string{"cause"})
	assert.DeepEqual(t, s.refusing(prompt), []string{"cause"})
}

// A crash of a request with a quarantined part must not be held against its other parts.
func TestQuarantinedPartExplainsCrash(t *testing.T) {
	at := time.Unix(1000, 0)
	s := newPartState(testCrashInterval)
	s.recordCrash([]string{"cause"}, "c1", "r1", at, at)
	s.recordCrash([]string{"cause"}, "c2", "r2", at, at.Add(time.Second))
	s.recordCrash([]string{"cause", "beside"}, "c3", "r3", at, at.Add(2*time.Second))
	assert.Assert(t, !s.isSuspected("beside"))
}

// Callers that crash engines with ever new parts must not make the state grow beyond its
// bounds, nor push out the rows of another organisation.
func TestPartStateIsBounded(t *testing.T) {
	at := time.Unix(1000, 0)
	s := newPartState(testCrashInterval)
	for i := range 2 * maxSuspicions {
		s.recordCrash([]string{fmt.Sprint("part", i)}, fmt.Sprint("crash", i), fmt.Sprint("r", i), at, at.Add(time.Duration(i)*time.Second))
	}
	assert.Assert(t, s.suspicions <= maxSuspicions && len(s.parts) <= maxParts)
	rows := map[string]quarantineRow{"victim": {version: 1, since: at, organisation: "small"}}
	for i := range maxQuarantinedParts - 1 {
		rows[fmt.Sprint("row", i)] = quarantineRow{version: 1, since: at.Add(time.Duration(i+1) * time.Second), organisation: "large"}
	}
	s.setRows(rows, false)
	evicted, full := s.rowToEvict()
	assert.Assert(t, full)
	assert.Equal(t, evicted, "row0")
}

// Trials must become rarer, so that within a day no more than three requests with a part
// that goes on crashing engines reach engines after the fifth crash.
func TestTrialsBecomeRarer(t *testing.T) {
	for crashes := 2; crashes <= 7; crashes++ {
		at := time.Unix(1000, 0)
		s := newPartState(testCrashInterval)
		row := quarantineRow{version: 1, since: at}
		crash := func(now time.Time, n int) { s.recordCrash([]string{"p"}, fmt.Sprint(n), fmt.Sprint(n), at, now) }
		for i := range crashes {
			crash(at.Add(time.Duration(i)*time.Second), i)
		}
		afterFifth := max(0, crashes-5)
		for now := at.Add(time.Minute); now.Before(at.Add(24 * time.Hour)); now = now.Add(time.Second) {
			s.setRows(map[string]quarantineRow{"p": row}, false)
			if !s.trialDue([]string{"p"}, 1, now) {
				continue
			}
			_, trials := s.parts["p"].quarantinedSince()
			row = quarantineRow{version: row.version + 1, trials: trials + 1, since: now}
			crash(now, crashes+row.trials)
			if crashes+int(row.version)-1 > 5 {
				afterFifth++
			}
			s.expire(now.Add(-CrashTTL), at)
		}
		assert.Assert(t, afterFifth <= max(0, crashes-5)+3, "%d crashes before the quarantine, %d requests after the fifth", crashes, afterFifth)
	}
	assert.Assert(t, !newPartState(0).trialDue([]string{"unknown"}, 1, time.Unix(1000, 0)))
}

// No more than three requests with a part that goes on crashing engines must reach engines
// within a day after the fifth crash, also once the first crashes are forgotten.
func TestTrialsStayRareWhenCrashesExpire(t *testing.T) {
	for crashes := 2; crashes <= 12; crashes++ {
		at := time.Unix(1000, 0)
		s := newPartState(testCrashInterval)
		row := quarantineRow{version: 1, since: at}
		crash := func(now time.Time, n int) {
			s.recordCrash([]string{"p"}, fmt.Sprint(n), fmt.Sprint(n), at, now)
		}
		for i := range crashes {
			crash(at.Add(time.Duration(i)*time.Second), i)
		}
		total, afterFifth := crashes, 0
		var when []time.Duration
		for now := at.Add(time.Minute); now.Before(at.Add(24 * time.Hour)); now = now.Add(time.Second) {
			s.setRows(map[string]quarantineRow{"p": row}, false)
			if now.Sub(at)%partExpiryInterval == 0 {
				s.expire(now.Add(-CrashTTL), at)
			}
			if !s.trialDue([]string{"p"}, 1, now) {
				continue
			}
			_, trials := s.parts["p"].quarantinedSince()
			row = quarantineRow{version: row.version + 1, trials: trials + 1, since: now}
			total++
			crash(now, total)
			if total > 5 {
				afterFifth++
				when = append(when, now.Sub(at))
			}
		}
		if !assert.Check(t, afterFifth <= 3, "%d crashes before the quarantine, %d trials after the fifth: %v", crashes, afterFifth, when) {
			continue
		}
	}
}

// Parts that began answers after a crash must not keep later crashes from being
// remembered.
func TestClearedPartsLeaveRoomForSuspicions(t *testing.T) {
	at := time.Unix(1000, 0)
	s := newPartState(testCrashInterval)
	for i := range maxParts {
		part := fmt.Sprint("sound", i)
		s.recordCrash([]string{part}, fmt.Sprint("crash", i/100), fmt.Sprint("r", i), at, at)
		s.begin(part, at.Add(time.Second))
	}
	for i := range 5 {
		now := at.Add(time.Duration(2+i) * time.Second)
		s.recordCrash([]string{"cause"}, fmt.Sprint("later", i), fmt.Sprint("bad", i), now.Add(-time.Second/2), now)
	}
	assert.Assert(t, s.isQuarantined("cause"))
}

// Guards against more deep crashes than their bound, when known crashes rise in depth.
func TestCrashesThatRiseInDepthAreBounded(t *testing.T) {
	at := time.Unix(1000, 0)
	s := newPartState(testCrashInterval)
	for i := range 3 * maxQuarantinedParts {
		part, crash := fmt.Sprint("part", i), fmt.Sprint("crash", i)
		s.addCrash(part, crash, partCrash{request: "r", at: at, depth: 1})
		s.addCrash(part, crash, partCrash{request: "r", at: at, depth: newPartDepth})
		assert.Assert(t, s.isQuarantined(part))
	}
	assert.Assert(t, s.quarantined <= maxQuarantinedParts, "%d crashes", s.quarantined)
	assert.Equal(t, s.suspicions, 0)
}

// ownedParts simulates a part that crashes every engine for a day, in requests of several
// owners in turn, one a second. It returns how many ran, and how many of them after the
// fifth crash.
func ownedParts(owners int) (all, afterFifth int) {
	at := time.Unix(1000, 0)
	s := newPartState(testCrashInterval)
	rows := map[string]quarantineRow{}
	for now := at; now.Before(at.Add(24 * time.Hour)); now = now.Add(time.Second) {
		part := PartKey("s", "m", fmt.Sprint("owner", now.Unix()%int64(owners)), "bad")
		if now.Sub(at)%partExpiryInterval == 0 {
			s.expire(now.Add(-CrashTTL), at)
		}
		if s.isQuarantined(part) {
			if !s.trialDue([]string{part}, 1, now) {
				continue
			}
			v, version := s.parts[part].rowValue()
			rows[part] = quarantineRow{version: version + 1, trials: v.Trials + 1, deep: v.Deep, since: now}
			s.setRows(rows, false)
		}
		all++
		if all > 5 {
			afterFifth++
		}
		s.recordCrash([]string{part}, fmt.Sprint(all), fmt.Sprint(all), now, now.Add(testCrashInterval))
		if s.rowOutdated(part) {
			v, version := s.parts[part].rowValue()
			rows[part] = quarantineRow{version: version + 1, trials: v.Trials, deep: v.Deep, since: now}
			s.setRows(rows, false)
		}
	}
	return all, afterFifth
}

// Guards against a part that crashes engines for several owners and reaches engines as
// often as for each of them alone.
func TestOwnersShareTrials(t *testing.T) {
	const maxLateRequests = 3
	for owners := 1; owners <= 4; owners++ {
		t.Run(fmt.Sprint(owners, " owners"), func(t *testing.T) {
			all, afterFifth := ownedParts(owners)
			assert.Check(t, afterFifth <= maxLateRequests, "%d requests ran, %d after the fifth crash", all, afterFifth)
		})
	}
}

// Guards against a sound part that is quarantined because it ran beside another owner's
// part, under the same ID, that crashes engines.
func TestCrashBesideOtherOwnersPartIsNoEvidence(t *testing.T) {
	at := time.Unix(1000, 0)
	part, other := PartKey("s", "m", "victim", "id"), PartKey("s", "m", "attacker", "id")
	s := newPartState(testCrashInterval)
	s.recordCrash([]string{other}, "c1", "r1", at, at)
	for _, p := range []string{other, part} {
		s.recordCrash([]string{p}, "c2", "request of "+p, at, at.Add(testCrashInterval))
	}
	assert.Assert(t, s.isQuarantined(other))
	assert.Assert(t, !s.isQuarantined(part), "beside the other's crash")
	s.recordCrash([]string{part}, "c3", "r3", at.Add(time.Second), at.Add(2*time.Second))
	assert.Assert(t, s.isQuarantined(part), "a crash without the other")
}

// Guards against a caller that delays the release of another's sound part by crashing
// engines under the same ID, and against trials that are as frequent for each owner once
// each has crashed engines one after another.
func TestOwnersShareTrialsOnceTheirOwnFail(t *testing.T) {
	const othersTrials = 4
	at := time.Unix(1000, 0)
	part, other := PartKey("s", "m", "victim", "id"), PartKey("s", "m", "attacker", "id")
	for name, c := range map[string]struct {
		row    quarantineRow
		part   string
		trials int
	}{
		"before its first trial":              {quarantineRow{deep: true}, part, 0},
		"after a trial without a crash":       {quarantineRow{trials: 1}, part, 1},
		"after crashes one after another":     {quarantineRow{trials: 1, deep: true}, part, 1 + newPartDepth + othersTrials},
		"another part after the same crashes": {quarantineRow{trials: 1, deep: true}, PartKey("s", "m", "victim", "another"), 1},
	} {
		t.Run(name, func(t *testing.T) {
			s := newPartState(testCrashInterval)
			c.row.version, c.row.since = 1, at
			s.setRows(map[string]quarantineRow{c.part: c.row, other: {version: 1, since: at, trials: othersTrials, deep: true}}, false)
			due := trialInterval(c.trials)
			assert.Assert(t, !s.trialDue([]string{c.part}, 1, at.Add(due-time.Second)))
			assert.Assert(t, s.trialDue([]string{c.part}, 1, at.Add(due)))
			s.release(c.part, at.Add(due))
			assert.Assert(t, !s.isQuarantined(c.part) && s.isQuarantined(other), "a release is its owner's")
		})
	}
}

// Guards against daemons that know only the rows and run the trials of each owner.
func TestRowTellsThatTrialsAreShared(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newPartFleet(1)
		parts := []string{PartKey("s", "m", "a", "bad"), PartKey("s", "m", "b", "bad")}
		for _, part := range parts {
			f.crash(0, part)
			f.crash(0, part)
			f.readRows(t)
			time.Sleep(firstTrialInterval)
			assert.Assert(t, claimsTrial(f.daemons[0], part))
			f.readRows(t)
			f.crash(0, part)
			f.readRows(t)
		}
		restarted := newPartFleetOn(f.platform, 1)
		restarted.readRows(t)
		time.Sleep(trialInterval(1))
		for _, part := range parts {
			assert.Assert(t, !claimsTrial(restarted.daemons[0], part))
		}
		time.Sleep(trialInterval(2 + newPartDepth))
		assert.Assert(t, claimsTrial(restarted.daemons[0], parts[1]))
		restarted.readRows(t)
		assert.Assert(t, !claimsTrial(restarted.daemons[0], parts[0]))
	})
}
