package peerload

import (
	"fmt"
	"math"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/verbenabend/verbenabend/internal/routing"
)

var announceEpoch = time.Unix(1_000_000, 0)

func announcementTo(endpoint string, at time.Time) routing.Announcements {
	return routing.Announcements{Prompts: []routing.Announcement{{
		Endpoint: endpoint, Incarnation: endpoint + "/1", Key: 7, ComputeTokens: 3712, MemoryTokens: 17_024, At: at, Weight: 1,
	}}}
}

// A receiver that misses facts still gets each announcement once, with its age.
func TestAnnouncementsAreReceivedOnce(t *testing.T) {
	now := announceEpoch
	a := NewAnnouncer(now, "daemon-1", 1)
	r := NewAnnouncementReceiver()
	r.SetEngines([]ServiceEngine{{"opal", IndexedEngine{"engine-1", "engine-1/1"}}, {"opal", IndexedEngine{"engine-2", "engine-2/2"}}})
	received := 0
	for i := range 6 {
		now = now.Add(150 * time.Millisecond)
		add := announcementTo(fmt.Sprint("engine-", 1+i%2), now.Add(-20*time.Millisecond))
		add.Reports = []routing.LoadReport{{Endpoint: "engine-1", At: now, Running: 3, Queued: 2, Slowdown: 1.5}}
		add.Speeds = []routing.EngineSpeed{{Endpoint: "engine-2", Tokens: 17_024, FirstToken: 266 * time.Millisecond}}
		a.Add(now, add, 10_000)
		f, announced, ok := a.Next(now, 10_000)
		assert.Assert(t, ok && announced == 1)
		if i%3 == 1 {
			continue // lost
		}
		f.TTL -= 30 * time.Millisecond // held back by relays
		got, err := r.Receive(now.Add(30*time.Millisecond), f)
		assert.NilError(t, err)
		for _, p := range got["opal"].Prompts {
			received++
			assert.Equal(t, p.Key, uint64(7))
			assert.Equal(t, p.ComputeTokens, 3712)
			assert.Equal(t, p.MemoryTokens, 17_024)
			assert.Equal(t, p.Incarnation == "", p.Endpoint == "engine-2") // another incarnation
		}
		last := got["opal"].Prompts[len(got["opal"].Prompts)-1]
		assert.Assert(t, last.At.Equal(now.Add(-20*time.Millisecond)), "%s", last.At)
		assert.DeepEqual(t, got["opal"].Reports, add.Reports)
		assert.DeepEqual(t, got["opal"].Speeds, add.Speeds)
	}
	assert.Equal(t, received, 6)
	if _, err := r.Receive(now, a.fact(nil)); err == nil {
		t.Fatal("an empty value is accepted")
	}
}

// Where the budget does not allow all announcements, the weights of those that are sent add up
// to about the number of prompts, and the budget is kept.
func TestSampledAnnouncementsAreUnbiased(t *testing.T) {
	const budget, seconds = 40.0, 2000
	now := announceEpoch
	a := NewAnnouncer(now, "daemon-1", 3)
	r := NewAnnouncementReceiver()
	r.SetEngines([]ServiceEngine{{"opal", IndexedEngine{"engine-1", "engine-1/1"}}})
	prompts, weight, bytes := 0, 0.0, 0
	for step := range seconds * 10 {
		now = now.Add(100 * time.Millisecond)
		var add routing.Announcements
		if step%7 == 0 {
			add = announcementTo("engine-1", now)
			prompts++
		}
		a.Add(now, add, budget)
		f, _, ok := a.Next(now, budget)
		if !ok {
			continue
		}
		bytes += a.overhead() + len(f.Value)
		got, err := r.Receive(now, f)
		assert.NilError(t, err)
		for _, p := range got["opal"].Prompts {
			weight += p.Weight
		}
	}
	assert.Assert(t, a.TakeSampledOut() > prompts/2)
	assert.Assert(t, math.Abs(weight/float64(prompts)-1) < 0.1, "%.0f of %d", weight, prompts)
	assert.Assert(t, float64(bytes) < 1.1*budget*seconds, "%d bytes", bytes)
}

func FuzzReceiveAnnouncement(f *testing.F) {
	a := NewAnnouncer(announceEpoch, "daemon-1", 1)
	a.Add(announceEpoch, announcementTo("engine-1", announceEpoch), 1000)
	fact, _, _ := a.Next(announceEpoch, 1000)
	f.Add(fact.Value)
	f.Add([]byte{0x94, 0x01, 0xdd, 0xff, 0xff, 0xff, 0xff})
	f.Fuzz(func(t *testing.T, value []byte) {
		r := NewAnnouncementReceiver()
		r.SetEngines([]ServiceEngine{{"opal", IndexedEngine{"engine-1", "engine-1/1"}}})
		got, err := r.Receive(announceEpoch, a.fact(value))
		if err == nil {
			assert.Assert(t, len(got["opal"].Prompts) <= maxPrompts)
		}
	})
}
