package sitepath

import (
	"slices"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/verbenabend/verbenabend/lab/fabric"
)

// outOfStep is a way in which a daemon loses its contact with the others and the store for a while.
type outOfStep struct {
	// silent keeps its connections open, without a byte.
	silent bool
	// lasts is how long, if it ends before the streams are taken up; 0 if not.
	lasts time.Duration
}

// cutOff cuts a daemon off from the others and the store. Callers and engines reach it.
func (d *deployment) cutOff(p *process, silent bool) {
	cut := func(from, address string) bool {
		toStore := strings.HasPrefix(address, "10.9.")
		between := slices.ContainsFunc(d.processes, func(other *process) bool {
			return other != p && (from == p.name && strings.HasPrefix(address, other.host+":") || from == other.name && strings.HasPrefix(address, p.host+":"))
		})
		return from == p.name && toStore || between
	}
	if silent {
		d.net.SetBlackhole(cut)
	} else {
		d.net.SetPartition(cut)
	}
}

func (d *deployment) heal() {
	d.net.SetBlackhole(fabric.NoConnections)
	d.net.SetPartition(fabric.NoConnections)
}

// Guards against a daemon that was cut off, or stood still, when engines of a new software version
// came, and that takes silence for the absence of news: it let the version that it knew continue
// streams which others had begun at the new one.
func TestResumedStreamAtDaemonOutOfStep(t *testing.T) {
	t.Parallel()
	for name, c := range map[string]outOfStep{
		"cut off":                  {},
		"cut off without a word":   {silent: true},
		"cut off for a moment":     {lasts: 1500 * time.Millisecond},
		"standing still":           {silent: true, lasts: 1800 * time.Millisecond},
		"standing still for 3.5 s": {silent: true, lasts: 3500 * time.Millisecond},
	} {
		t.Run(name, func(t *testing.T) {
			runDeployment(t, 4, func(d *deployment) {
				d.daemonCount = 7
				d.setSoftware("v2", "v1", "v1", "v2") // short prompts go to the first if they can
				d.store.Delete("servers", d.engines[0].ID)
				d.store.Delete("servers", d.engines[3].ID)
			}, func(d *deployment) {
				time.Sleep(2 * time.Second)
				with, out := d.processes[:6], d.processes[6]
				ofNewVersion, wentOn, all := 0, 0, 0
				rounds := 6
				if testing.Short() { // as under the race detector
					rounds = 1
				}
				for round := range rounds { // at other moments between two reads of the store
					time.Sleep(time.Duration(round) * 130 * time.Millisecond)
					d.cutOff(out, c.silent)
					start := time.Now()
					time.Sleep(10 * time.Millisecond)
					d.engines[0].Register(d.store)
					d.engines[3].Register(d.store)
					var begun []brokenStream
					for begin := 1200 * time.Millisecond; begin < 4200*time.Millisecond; begin += 150 * time.Millisecond {
						time.Sleep(time.Until(start.Add(begin)))
						streams := d.beginStreams(6, with)
						for _, s := range streams {
							if softwareOf(s.body)["v2"] {
								ofNewVersion++
							}
						}
						begun = append(begun, streams...)
						if c.lasts > 0 && time.Since(start) < c.lasts {
							continue
						}
						if c.lasts > 0 {
							d.heal()
						}
						all += len(begun)
						wentOn += d.resumeAll(begun, []*process{out})
						begun = nil
					}
					d.heal()
					d.store.Delete("servers", d.engines[0].ID)
					d.store.Delete("servers", d.engines[3].ID)
					time.Sleep(45 * time.Second) // until the version is forgotten
				}
				t.Logf("%d streams of the new version; %d of %d went on", ofNewVersion, wentOn, all)
				assert.Assert(t, ofNewVersion > 8*rounds)
			})
		})
	}
}
