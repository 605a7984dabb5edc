package overload

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/verbenabend/verbenabend/internal/routing"
	"github.com/verbenabend/verbenabend/internal/testseed"
)

func TestMain(m *testing.M) { testseed.Main(m) }

// pattern returns a load pattern by its name.
func pattern(t *testing.T, name string, seed uint64, duration time.Duration) *Pattern {
	for _, p := range Patterns() {
		if p.Name == name {
			p.Seed, p.Duration = seed, duration
			return &p
		}
	}
	t.Fatalf("no pattern %s", name)
	return nil
}

// Guards against overload decisions that cost callers more than refusing the newcomer does,
// and against those that starve large requests, a rare organisation or an urgent kind. The
// log tells who is delayed and refused before and after.
func TestTriageCostsCallersLess(t *testing.T) {
	seeds, duration := uint64(3), 40*time.Second
	if testing.Short() {
		seeds, duration = 1, 20*time.Second
	}
	for _, name := range []string{"priorities", "deadlines", "work"} {
		for seed := range seeds {
			t.Run(fmt.Sprint(name, "/", seed), func(t *testing.T) {
				p := pattern(t, name, seed, duration)
				before, _ := p.Run(false)
				after, reasons := p.Run(true)
				var all Outcome
				gained := 0.0
				for _, k := range p.Kinds {
					b, a := before[k.Name], after[k.Name]
					t.Logf("%s: before %+v, after %+v", k.Name, *b, *a)
					gained += a.Value() - b.Value()
					all.Sent, all.OnTime, all.Late = all.Sent+a.Sent, all.OnTime+a.OnTime, all.Late+a.Late
				}
				t.Logf("value gained %.1f; %v", gained, reasons)
				assert.Assert(t, gained > 0)
				switch name {
				case "priorities":
					assert.Assert(t, after["short"].Served() >= after["long"].Served()-0.05)
					assert.Assert(t, after["long"].Refusals < before["long"].Refusals)
				case "deadlines":
					assert.Assert(t, after["soon"].OnTime > before["soon"].OnTime)
				case "work":
					assert.Assert(t, after["much"].Served() >= all.Served()/2)
					assert.Assert(t, after["rare"].Served() >= all.Served()/4)
				}
			})
		}
	}
}

// Guards against refusals of requests that engines could serve: long prompts wait for the
// prefill of others while most slots are free.
func TestNoneIsRefusedForOthersAtLowLoad(t *testing.T) {
	p := pattern(t, "priorities", 1, 20*time.Second)
	p.Slots, p.MemoryTokens = 64, 64*20_000
	before, _ := p.Run(false)
	after, reasons := p.Run(true)
	t.Logf("before %+v, after %+v; %v", *before["long"], *after["long"], reasons)
	assert.Equal(t, reasons[routing.TriageLeastLoss], 0)
	assert.Assert(t, after["long"].Refusals < before["long"].Refusals)
}
