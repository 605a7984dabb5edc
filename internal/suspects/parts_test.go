package suspects

import (
	"context"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/vmihailenco/msgpack/v5"
	"gotest.tools/v3/assert"

	"github.com/verbenabend/verbenabend/internal/eventlog"
	"github.com/verbenabend/verbenabend/internal/platform"
	"github.com/verbenabend/verbenabend/internal/platform/platformtest"
)

// partFleet is a set of daemons that share a table.
type partFleet struct {
	platform *platformtest.Platform
	daemons  []*Parts
	crashes  int
	// gossipFails is set if no daemon hears of facts of others.
	gossipFails bool
}

func newPartFleet(n int) *partFleet { return newPartFleetOn(platformtest.New(), n) }

func newPartFleetOn(platform *platformtest.Platform, n int) *partFleet {
	f := &partFleet{platform: platform}
	var peers []*connectedBus
	for i := range n {
		bus := &connectedBus{peers: &peers}
		peers = append(peers, bus)
		f.daemons = append(f.daemons, NewParts(fmt.Sprintf("d%d", i), bus, func() bool { return f.gossipFails }, f.platform.Client(), eventlog.New("d", hclog.NewNullLogger(), 16), testCrashInterval))
	}
	return f
}

// crash crashes an engine with a request of its own that a daemon just sent.
func (f *partFleet) crash(daemon int, parts ...string) {
	f.crashes++
	name := fmt.Sprint(f.crashes)
	sentAt := time.Now()
	time.Sleep(time.Second)
	f.daemons[daemon].EngineCrashed("s", "engine", name, []UnbegunRequest{{ID: name, Parts: parts, Organisation: "o", SentAt: sentAt, BrokenAt: time.Now()}})
	synctest.Wait()
}

// readRows lets all daemons read the table.
func (f *partFleet) readRows(t *testing.T) map[string]platform.Change {
	client := f.platform.Client()
	rows, err := client.List(t.Context(), "", "", maxQuarantinedParts+maxSuspicionRows)
	assert.NilError(t, err)
	era, _ := client.Eras().Current()
	out := map[string]platform.Change{}
	for _, r := range rows {
		out[r.Key] = platform.Change{Key: r.Key, Value: r.Value, Version: r.Version}
	}
	for _, p := range f.daemons {
		p.ApplyRows(out, era)
	}
	return out
}

func claimsTrial(p *Parts, part string) bool {
	_, ok := p.ClaimTrial(context.Background(), "s", []string{part})
	return ok
}

// A trial of a quarantined part must run at one daemon only, and a later one only after a
// longer time.
func TestTrialIsClaimedOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newPartFleet(4)
		part := PartKey("s", "m", "", "bad")
		f.crash(0, part)
		assert.Equal(t, len(f.daemons[3].Suspected([]string{part})), 1)
		assert.Equal(t, len(f.daemons[3].Refusing([]string{part})), 0)
		f.crash(1, part)
		f.readRows(t)
		claims := func() int {
			n := 0
			for _, p := range f.daemons {
				assert.Equal(t, len(p.Refusing([]string{part})), 1)
				if claimsTrial(p, part) {
					n++
				}
			}
			return n
		}
		assert.Equal(t, claims(), 0)
		time.Sleep(firstTrialInterval)
		assert.Equal(t, claims(), 1)
		f.readRows(t)
		time.Sleep(firstTrialInterval)
		assert.Equal(t, claims(), 0)
		time.Sleep(firstTrialInterval * trialIntervalFactor)
		assert.Equal(t, claims(), 1)
	})
}

// A trial that did not run, or whose claim's answer was lost, must not be counted, and the
// next must not be claimed at once; one that ran must be counted.
func TestTrialThatDidNotRunIsHandedBack(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newPartFleet(3)
		part := PartKey("s", "m", "", "bad")
		f.crash(0, part)
		f.crash(1, part)
		f.readRows(t)
		time.Sleep(firstTrialInterval)
		handBack, ok := f.daemons[2].ClaimTrial(t.Context(), "s", []string{part})
		assert.Assert(t, ok)
		handBack()
		f.readRows(t)
		synctest.Wait()
		f.readRows(t)
		time.Sleep(firstTrialInterval - time.Second)
		assert.Assert(t, !claimsTrial(f.daemons[1], part))
		time.Sleep(time.Second)
		f.daemons[1].table.(*platformtest.Client).QueueFaults(platformtest.LoseResponse)
		assert.Assert(t, !claimsTrial(f.daemons[1], part))
		f.readRows(t)
		synctest.Wait()
		f.readRows(t)
		time.Sleep(2*firstTrialInterval - time.Second)
		assert.Assert(t, !claimsTrial(f.daemons[0], part))
		time.Sleep(time.Second)
		assert.Assert(t, claimsTrial(f.daemons[0], part))
		f.readRows(t)
		time.Sleep(trialInterval(1) - time.Second)
		assert.Assert(t, !claimsTrial(f.daemons[0], part))
		time.Sleep(time.Second)
		assert.Assert(t, claimsTrial(f.daemons[0], part))
	})
}

// A trial that did not run must stay counted if the row has been claimed or written since.
func TestLaterClaimIsNotHandedBack(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newPartFleet(2)
		part := PartKey("s", "m", "", "bad")
		f.crash(0, part)
		f.crash(1, part)
		f.readRows(t)
		time.Sleep(firstTrialInterval)
		handBack, ok := f.daemons[0].ClaimTrial(t.Context(), "s", []string{part})
		assert.Assert(t, ok)
		f.readRows(t)
		time.Sleep(trialInterval(1))
		assert.Assert(t, claimsTrial(f.daemons[1], part))
		handBack() // the copy of the table is old
		synctest.Wait()
		f.readRows(t)
		time.Sleep(time.Second) // for a further try
		for _, row := range f.readRows(t) {
			var v rowValue
			assert.NilError(t, msgpack.Unmarshal(row.Value, &v))
			assert.Equal(t, v.Trials, 2)
		}
	})
}

// A crash that the row need not tell while it counts a trial must be in the row after the
// trial is handed back by a daemon that has not heard of the crash.
func TestHandedBackTrialKeepsCrash(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newPartFleet(1)
		part := PartKey("s", "m", "", "bad")
		for range freeCrashes {
			f.crash(0, part)
		}
		f.readRows(t)
		other := newPartFleetOn(f.platform, 1)
		other.readRows(t)
		time.Sleep(firstTrialInterval)
		handBack, ok := other.daemons[0].ClaimTrial(t.Context(), "s", []string{part})
		assert.Assert(t, ok)
		f.readRows(t)
		f.crash(0, part)
		other.readRows(t)
		handBack()
		synctest.Wait()
		for range 2 {
			f.readRows(t)
			synctest.Wait()
		}
		for _, row := range f.readRows(t) {
			var v rowValue
			assert.NilError(t, msgpack.Unmarshal(row.Value, &v))
			assert.Equal(t, v.Trials, 1)
		}
	})
}

// Crashes beyond the free ones must count as trials also after a loss of power everywhere,
// when only the row is left of them.
func TestRowKeepsCrashesAfterPowerLoss(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const surplus = 3
		f := newPartFleet(2)
		part := PartKey("s", "m", "", "bad")
		for i := range freeCrashes + surplus {
			f.crash(i%2, part)
			f.readRows(t)
		}
		time.Sleep(time.Second)
		restarted := newPartFleetOn(f.platform, 1)
		restarted.readRows(t)
		claim := func() bool { return claimsTrial(restarted.daemons[0], part) }
		time.Sleep(trialInterval(surplus) - time.Second)
		assert.Assert(t, !claim())
		time.Sleep(2 * time.Second)
		assert.Assert(t, claim())
	})
}

// A part that begins an answer must be released at all daemons, and its row deleted, also
// if the row is written while the answer begins.
func TestBeginReleasesPart(t *testing.T) {
	for name, rowFirst := range map[string]bool{"row known": true, "row in flight": false} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := newPartFleet(3)
				part := PartKey("s", "m", "", "sound")
				f.crash(0, part)
				f.crash(1, part)
				if rowFirst {
					assert.Equal(t, len(f.readRows(t)), 1)
				}
				f.daemons[2].Begun("s", []string{part})
				synctest.Wait()
				f.readRows(t)
				time.Sleep(time.Second)
				assert.Equal(t, len(f.readRows(t)), 0)
				for _, p := range f.daemons {
					assert.Equal(t, len(p.Suspected([]string{part})), 0)
				}
			})
		})
	}
}

// A part must be released at all daemons, and a begin before a crash be known to all, also
// if the part was released within the time in which gossip keeps that.
func TestPartIsReleasedEverywhereAgain(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newPartFleet(3)
		part := PartKey("s", "m", "", "sound")
		for range 3 {
			f.crash(0, part)
			f.crash(1, part)
			assert.Equal(t, len(f.daemons[0].Refusing([]string{part})), 1)
			f.daemons[2].Begun("s", []string{part})
			synctest.Wait()
			for i, p := range f.daemons {
				assert.Equal(t, len(p.Suspected([]string{part})), 0, "daemon %d", i)
			}
			time.Sleep(2 * provenWindow)
			f.daemons[2].Begun("s", []string{part})
			f.crash(0, part)
			time.Sleep(beginReportSpread)
			f.crash(1, part)
			assert.Equal(t, len(f.daemons[0].Refusing([]string{part})), 0, "the part has just begun")
			f.daemons[1].Begun("s", []string{part})
			time.Sleep(2 * provenWindow)
		}
	})
}

// A daemon that only reads the table must refuse a quarantined part.
func TestRowsQuarantineParts(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newPartFleet(2)
		part := PartKey("s", "m", "", "bad")
		f.crash(0, part)
		f.crash(1, part)
		alone := newPartFleet(1).daemons[0]
		f.daemons = append(f.daemons, alone)
		f.readRows(t)
		assert.Equal(t, len(alone.Refusing([]string{part})), 1)
		assert.Equal(t, len(alone.Refusing([]string{PartKey("s", "m", "o", "bad")})), 0, "parts of other owners are others")
	})
}

// A peer's report that answers on a part were begun shortly before the crash must keep a
// second crash from quarantining it.
func TestPeersReportRecentBegins(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newPartFleet(3)
		part := PartKey("s", "m", "", "popular")
		f.daemons[2].Begun("s", []string{part})
		time.Sleep(time.Second)
		f.crash(0, part)
		f.crash(1, part)
		assert.Equal(t, len(f.daemons[0].Refusing([]string{part})), 0)
		f.crash(0, part)
		assert.Equal(t, len(f.daemons[1].Refusing([]string{part})), 1)
	})
}

// A part that an earlier crash makes suspect must be among those of the next crash, also
// beside more requests and parts than are suspected, and at peers.
func TestSuspectPartsComeFirst(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const requests, partsEach = 2 * maxPartsPerCrash, 3 * maxPartsPerRequest
		f := newPartFleet(2)
		bad := PartKey("s", "m", "", "bad")
		f.crash(0, bad)
		sentAt := time.Now()
		time.Sleep(time.Second)
		var running []UnbegunRequest
		for i := range requests {
			r := UnbegunRequest{ID: fmt.Sprint("r", i), SentAt: sentAt, BrokenAt: time.Now()}
			for j := range partsEach {
				r.Parts = append(r.Parts, PartKey("s", "m", "", fmt.Sprint("sound", i, "/", j)))
			}
			running = append(running, r)
		}
		running[requests/2].Parts[partsEach/2] = bad
		f.daemons[0].EngineCrashed("s", "engine", "many", running)
		synctest.Wait()
		for _, p := range f.daemons {
			assert.Equal(t, len(p.Refusing([]string{bad})), 1)
			assert.Equal(t, p.SuspectedCount(), maxPartsPerCrash)
		}
	})
}

// A crash of as many parts as one daemon reports in a fact must fit into an urgent fact.
func TestCrashFactIsSmall(t *testing.T) {
	const maxUrgentBytes = 1 << 10
	fact := crashFact{Crash: digestBytesOf("engine")}
	for i := range maxPartsPerFact {
		fact.Parts = append(fact.Parts, crashedPart{Part: PartKey("s", "m", "", fmt.Sprint(i)), Request: digestBytesOf("r"), Depth: 1})
	}
	value, err := fact.encode()
	assert.NilError(t, err)
	assert.Assert(t, len(value) <= maxUrgentBytes, "%d bytes", len(value))
	var decoded crashFact
	assert.NilError(t, msgpack.Unmarshal(value, &decoded))
	assert.Equal(t, decoded.String(), fact.String())
}

// A part whose trial begins an answer must be released at all daemons, also if the answer
// begins before the daemons have read the claim of the trial from the table.
func TestTrialThatBeginsAtOnceReleasesPart(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newPartFleet(3)
		part := PartKey("s", "m", "", "sound")
		f.crash(0, part)
		f.crash(1, part)
		f.readRows(t)
		time.Sleep(firstTrialInterval)
		assert.Assert(t, claimsTrial(f.daemons[2], part))
		f.daemons[2].Begun("s", []string{part})
		synctest.Wait()
		f.readRows(t)
		time.Sleep(time.Second)
		f.readRows(t)
		for i, p := range f.daemons {
			assert.Equal(t, len(p.Refusing([]string{part})), 0, "daemon %d", i)
		}
	})
}

// A part on which an answer begins at one daemon must be released at all, also if another
// has just claimed a trial and not heard of it; a later quarantine must stand.
func TestReleaseOutlastsPeersClaim(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newPartFleet(3)
		part := PartKey("s", "m", "", "sound")
		f.crash(0, part)
		f.crash(1, part)
		f.readRows(t)
		time.Sleep(firstTrialInterval)
		assert.Assert(t, claimsTrial(f.daemons[1], part))
		f.daemons[2].Begun("s", []string{part})
		synctest.Wait()
		f.readRows(t)
		synctest.Wait()
		assert.Equal(t, len(f.readRows(t)), 0)
		f.crash(0, part)
		f.crash(1, part)
		f.crash(1, part)
		f.readRows(t)
		synctest.Wait()
		assert.Equal(t, len(f.readRows(t)), 1)
		for i, p := range f.daemons {
			assert.Equal(t, len(p.Refusing([]string{part})), 1, "daemon %d", i)
		}
	})
}

// A row that is written long after a part's release must stand, also at a daemon that has
// heard of no crash since.
func TestLaterRowOutlastsRelease(t *testing.T) {
	at := time.Unix(1000, 0)
	s := newPartState(testCrashInterval)
	row := func(since time.Time) map[string]quarantineRow {
		return map[string]quarantineRow{"p": {version: uint64(since.Unix()), since: since}}
	}
	s.setRows(row(at), false)
	s.release("p", at.Add(time.Second))
	assert.DeepEqual(t, s.setRows(row(at.Add(2*time.Second)), false), []string{"p"})
	assert.Assert(t, !s.isQuarantined("p"))
	assert.Equal(t, len(s.setRows(row(at.Add(2*releaseWindow)), false)), 0)
	assert.Assert(t, s.isQuarantined("p"))
}

// A daemon that knows only the rows must refuse a part that a later crash has shown to be
// the cause without its companions.
func TestRowNamesTheFewestCompanions(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newPartFleet(2)
		part := func(id string) string { return PartKey("s", "m", "", id) }
		f.crash(0, part("bad"), part("beside"))
		f.crash(1, part("bad"), part("beside"))
		f.readRows(t)
		prompt := []string{part("bad"), part("other")}
		assert.Equal(t, len(f.daemons[0].Refusing(prompt)), 0)
		f.crash(1, prompt...)
		assert.Equal(t, len(f.daemons[0].Refusing(prompt)), 1)
		f.readRows(t)
		alone := newPartFleet(1).daemons[0]
		f.daemons = append(f.daemons, alone)
		f.readRows(t)
		assert.Equal(t, len(alone.Refusing(prompt)), 1)
	})
}

// A row must be written where rows are as many as may be, also if the row that makes room
// for it changes meanwhile.
func TestRowIsWrittenWhenEvictedRowChanges(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newPartFleet(1)
		table := f.platform.Client()
		var txn platform.Txn
		for i := range maxQuarantinedParts {
			txn = appendPut(txn, PartKey("s", "m", "", fmt.Sprint(i)), 0, rowValue{})
		}
		assert.NilError(t, table.Commit(t.Context(), txn))
		read := func() map[string]platform.Change {
			rows, err := table.List(t.Context(), "", "", 2*maxQuarantinedParts)
			assert.NilError(t, err)
			out := map[string]platform.Change{}
			for _, r := range rows {
				out[r.Key] = platform.Change{Key: r.Key, Value: r.Value, Version: r.Version}
			}
			f.daemons[0].ApplyRows(out, 0)
			return out
		}
		for _, row := range read() {
			assert.NilError(t, table.Commit(t.Context(), platform.Txn{Writes: []platform.Write{{Key: row.Key, Value: row.Value}}}))
		}
		part := PartKey("s", "m", "", "bad")
		f.crash(0, part)
		f.crash(0, part)
		read()
		time.Sleep(rowBackoff.Max)
		rows := read()
		_, ok := rows[partName(part)]
		assert.Assert(t, ok)
		assert.Equal(t, len(rows), maxQuarantinedParts)
	})
}

// The cause of crashes is quarantined after few crashes, however many requests were
// waiting in the engine.
func TestCauseAmongManyRequestsIsQuarantined(t *testing.T) {
	const rounds, requests, maxCrashes = 20, 30, 5
	late := 0
	for round := range rounds {
		synctest.Test(t, func(t *testing.T) {
			f := newPartFleet(1)
			bad := PartKey("s", "m", "", "bad")
			crashes := 0
			for len(f.daemons[0].Refusing([]string{bad})) == 0 && crashes < 100 {
				crashes++
				sentAt := time.Now()
				time.Sleep(time.Second)
				running := []UnbegunRequest{{ID: fmt.Sprint("bad", crashes), Parts: []string{bad}, SentAt: sentAt, BrokenAt: time.Now()}}
				for i := range requests {
					id := fmt.Sprint("sound", round, crashes, i)
					running = append(running, UnbegunRequest{ID: id, Parts: []string{PartKey("s", "m", "", id), PartKey("s", "m", "", id+"b")}, SentAt: sentAt, BrokenAt: time.Now()})
				}
				f.daemons[0].EngineCrashed("s", "engine", fmt.Sprint(crashes), running)
				synctest.Wait()
			}
			t.Logf("quarantined after %d crashes", crashes)
			if crashes > maxCrashes {
				late++
			}
		})
	}
	assert.Equal(t, late, 0, "of %d", rounds)
}

// Guards against rows that are skipped without a word, and against a log line for each read
// of the table.
func TestInvalidRowsAreLoggedOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newPartFleet(1)
		var skipped int
		f.daemons[0].log.Observe(func(id eventlog.ID) {
			if id == eventlog.RowUnreadable {
				skipped++
			}
		})
		part := PartKey("s", "m", "", "bad")
		f.crash(0, part)
		f.crash(0, part)
		for _, key := range []string{"zz", partName(part) + "00", suspicionPrefix + "zz", partName(PartKey("s", "m", "", "other"))} {
			assert.NilError(t, f.platform.Client().Commit(t.Context(), platform.Txn{Writes: []platform.Write{{Key: key, Value: []byte{0xc1}}}}))
		}
		for range 3 {
			f.readRows(t)
		}
		assert.Equal(t, skipped, 4)
		assert.Equal(t, len(f.daemons[0].Refusing([]string{part})), 1)
	})
}
