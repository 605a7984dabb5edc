package eventlog

import (
	"bytes"
	"encoding/json"
	"testing"
	"testing/synctest"
	"time"

	"github.com/hashicorp/go-hclog"
	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/verbenabend/verbenabend/internal/testseed"
)

func TestMain(m *testing.M) { testseed.Main(m) }

// An event that a daemon learned of is ordered before the daemon's later
// events, also when wall clocks differ.
func TestClockOrdersCausesBeforeEffects(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		clocks := []*Clock{{}, {}, {}}
		last := make([]Timestamp, len(clocks))
		for range rapid.IntRange(1, 50).Draw(rt, "steps") {
			i := rapid.IntRange(0, 2).Draw(rt, "from")
			j := rapid.IntRange(0, 2).Draw(rt, "to")
			// A clock that runs ahead by less than maxClockLead must not reverse the order.
			lead := time.Duration(rapid.IntRange(0, 30).Draw(rt, "lead")) * time.Second
			clocks[i].Observe(Timestamp{Micros: time.Now().Add(lead).UnixMicro()})
			sent := clocks[i].Now()
			assert.Assert(rt, last[i].Before(sent))
			clocks[j].Observe(sent)
			received := clocks[j].Now()
			assert.Assert(rt, sent.Before(received))
			last[i], last[j] = sent, received
			if i == j {
				last[i] = received
			}
		}
	})
}

func TestClockIgnoresTheFarFuture(t *testing.T) {
	c := &Clock{}
	c.Observe(Timestamp{Micros: time.Now().Add(time.Hour).UnixMicro()})
	assert.Assert(t, c.Now().Micros < time.Now().Add(time.Minute).UnixMicro())
}

func TestRingKeepsTheNewestEvents(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		l := New("entry-1", hclog.NewNullLogger(), 3)
		for range 5 {
			l.Emit(RequestFinished, Fields{Service: "s"})
			time.Sleep(time.Millisecond)
		}
		all := l.Since(Timestamp{})
		assert.Equal(t, len(all), 3)
		assert.Assert(t, all[0].At.Before(all[1].At) && all[1].At.Before(all[2].At))
		assert.Equal(t, len(l.Since(all[1].At)), 1)
	})
}

func TestLogLinesCarryTheNumber(t *testing.T) {
	var out bytes.Buffer
	logger := hclog.New(&hclog.LoggerOptions{Output: &out, JSONFormat: true, Level: hclog.Info})
	l := New("entry-1", logger, 8)
	var seen []ID
	l.Observe(func(id ID) { seen = append(seen, id) })
	l.Emit(FirstToken, Fields{})
	l.Emit(RequestRefused, Fields{Service: "s", RequestID: "r", Detail: "why"})
	var line map[string]any
	assert.NilError(t, json.Unmarshal(out.Bytes(), &line))
	assert.Equal(t, line["event"], float64(RequestRefused))
	assert.Equal(t, line["request"], "r")
	assert.DeepEqual(t, seen, []ID{FirstToken, RequestRefused})
}

func TestMergeOrdersByTimeThenDaemon(t *testing.T) {
	at := func(micros int64, counter uint32, daemon string) Entry {
		return Entry{At: Timestamp{Micros: micros, Counter: counter}, Daemon: daemon}
	}
	merged := Merge([]Entry{at(1, 0, "b"), at(3, 0, "b")}, []Entry{at(1, 0, "a"), at(1, 1, "a"), at(2, 0, "a")})
	assert.DeepEqual(t, merged, []Entry{at(1, 0, "a"), at(1, 0, "b"), at(1, 1, "a"), at(2, 0, "a"), at(3, 0, "b")})
}

func TestKindsAreOrderedAndUnique(t *testing.T) {
	for i := 1; i < len(Kinds); i++ {
		assert.Assert(t, Kinds[i-1].ID < Kinds[i].ID)
	}
}
