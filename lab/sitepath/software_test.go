package sitepath

import (
	"bufio"
	"cmp"
	"context"
	"fmt"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/verbenabend/verbenabend/internal/prefix"
	"github.com/verbenabend/verbenabend/lab/fabric"
	"github.com/verbenabend/verbenabend/lab/site"
)

// softwareOf returns the software versions that made the events of a stream.
func softwareOf(body string) map[string]bool {
	versions := map[string]bool{}
	for _, line := range strings.Split(body, "\n") {
		if text, ok := strings.CutPrefix(line, "data: token "); ok {
			_, version, other := strings.Cut(text, " of ")
			if !other {
				version = "v1"
			}
			versions[version] = true
		}
	}
	return versions
}

// lastEventOf returns the ID of the last whole event of a stream, 0 if it has none.
func lastEventOf(body string) int {
	last := 0
	events := strings.Split(body, "\n\n")
	for _, event := range events[:len(events)-1] { // what follows the last separator is no whole event
		id, _, _ := strings.Cut(strings.TrimPrefix(event, "id: "), "\n")
		if n, err := strconv.Atoi(id); err == nil {
			last = n
		}
	}
	return last
}

// setSoftware makes the engines run software versions, before the daemons start, with slots for
// the requests of a whole test.
func (d *deployment) setSoftware(versions ...string) {
	for i, version := range versions {
		d.engines[i].Software, d.engines[i].Slots = version, 8*defaultSlots
		d.engines[i].Register(d.store)
	}
}

// Guards against an answer whose first events are of one software version and whose others are
// of another, because the engine crashed and only that one was free.
func TestStreamGoesOnOnlyAtItsSoftwareVersion(t *testing.T) {
	t.Parallel()
	for name, versions := range map[string][]string{"another engine of the version": {"v1", "v1", "v2"}, "no other engine of the version": {"v1", "v2", "v3"}} {
		t.Run(name, func(t *testing.T) {
			runOnDeploymentWith(t, func(d *deployment) { d.setSoftware(versions...) }, func(d *deployment) {
				var wg sync.WaitGroup
				for i := range 6 {
					id := fmt.Sprint("stream-", i)
					wg.Go(func() {
						a := d.ask(d.processes[i%daemons], http.MethodPost, modelHost, "/chat/1", func(r *http.Request) {
							r.Header.Set("X-Request-Id", id)
							r.Header.Set("X-Prompt-Prefix", fmt.Sprintf("%x:200,bb:100", 0xc10+i)) // of homes at all engines
						})
						assert.Equal(t, len(softwareOf(a.body)), 1, a.body)
						assert.Check(t, a.err != nil || lastEventOf(a.body) == d.engines[0].StreamEvents, "a stream of %q looks complete", a.body)
					})
				}
				time.Sleep(100 * time.Millisecond)
				cut := d.engines[0]
				assert.Assert(t, d.runningAt(cut) > 0)
				d.crash(cut, 3*time.Second)
				wg.Wait()
			})
		})
	}
}

// runningAt returns how many requests an engine runs.
func (d *deployment) runningAt(e *site.Upstream) int {
	n := 0
	for _, r := range e.Runs() {
		if r.EndedAt.IsZero() {
			n++
		}
	}
	return n
}

// beginStream reads a stream until it has a number of events and then drops the connection. It
// returns what arrived.
func (d *deployment) beginStream(p *process, id string, events int) string {
	ctx, drop := context.WithCancel(context.Background())
	defer drop()
	req := d.streamRequest(p, id)
	resp, err := d.client().Do(req.WithContext(ctx))
	if err != nil {
		return ""
	}
	defer resp.Body.Close()
	var body strings.Builder
	lines := bufio.NewScanner(resp.Body)
	for lastEventOf(body.String()) < events && lines.Scan() {
		body.WriteString(lines.Text() + "\n")
	}
	return body.String()
}

// streamRequest returns a request for a stream whose prompt has a home at any of the engines.
func (d *deployment) streamRequest(p *process, id string) *http.Request {
	req := d.request(p, http.MethodPost, modelHost, "/chat/1", id)
	req.Header.Set("X-Prompt-Prefix", fmt.Sprintf("%x:200,bb:100", prefix.NodeHash(id)))
	return req
}

// brokenStream is a stream of which a caller has the first events.
type brokenStream struct{ id, body string }

// beginStreams begins streams at daemons in turn and drops their connections.
func (d *deployment) beginStreams(n int, at []*process) []brokenStream {
	out := make([]brokenStream, n)
	var wg sync.WaitGroup
	for i := range out {
		id := fmt.Sprint("begun-", d.requestCount.Add(1))
		wg.Go(func() { out[i] = brokenStream{id, d.beginStream(at[i%len(at)], id, 1+i%6)} })
	}
	wg.Wait()
	return out
}

// resume takes a stream up at a daemon, as its caller does, after modify, if not nil, has changed
// the request.
func (d *deployment) resume(p *process, s brokenStream, modify func(r *http.Request)) answer {
	req := d.streamRequest(p, fmt.Sprint("again-", d.requestCount.Add(1)))
	req.Header.Set("X-Prompt-Prefix", d.streamRequest(p, s.id).Header.Get("X-Prompt-Prefix"))
	req.Header.Set("Resumes", s.id)
	req.Header.Set("Last-Event-Id", strconv.Itoa(lastEventOf(s.body)))
	if modify != nil {
		modify(req)
	}
	return d.send(req)
}

// resumeAll takes streams up at daemons in turn. No stream may be joined from two versions, and an
// answer that is no success is a refusal of a request that did not run. It returns how many went on
// to their ends.
func (d *deployment) resumeAll(streams []brokenStream, at []*process) int {
	d.t.Helper()
	var wg sync.WaitGroup
	var wentOn atomic.Int64
	for i, s := range streams {
		wg.Go(func() {
			a := d.resume(at[(i+1)%len(at)], s, nil)
			if a.status != http.StatusOK {
				assert.Check(d.t, a.status == http.StatusServiceUnavailable && strings.Contains(a.body, `"verdict":"not-run"`), "status %d, %v: %s", a.status, a.err, a.body)
				return
			}
			whole := s.body + a.body
			assert.Check(d.t, len(softwareOf(whole)) == 1, "joined: %q and %q", s.body, a.body)
			if a.err == nil && lastEventOf(whole) == d.engines[0].StreamEvents {
				wentOn.Add(1)
			}
		})
	}
	wg.Wait()
	return int(wentOn.Load())
}

// crashBusierOfPairs crashes, of each two engines of a version, the one that ran more requests: its
// streams have to go on elsewhere.
func (d *deployment) crashBusierOfPairs() {
	for i := 0; i < len(d.engines); i += 2 {
		busier := slices.MaxFunc(d.engines[i:i+2], func(a, b *site.Upstream) int { return cmp.Compare(len(a.Runs()), len(b.Runs())) })
		d.crash(busier, 5*time.Second)
	}
}

const (
	resumedStreams = 24
	defaultSlots   = 8
)

// Guards against streams that are taken up at another daemon, which lets another software version
// continue them, or refuses them although their version serves.
func TestResumedStreamGoesOnAtItsSoftwareVersion(t *testing.T) {
	t.Parallel()
	for name, versions := range map[string][]string{"one": {"v1", "v1"}, "two": {"v1", "v1", "v2", "v2"}, "three": {"v1", "v1", "v2", "v2", "v3", "v3"}} {
		t.Run(name, func(t *testing.T) {
			runDeployment(t, len(versions), func(d *deployment) {
				d.daemonCount = daemons
				d.setSoftware(versions...)
			}, func(d *deployment) {
				time.Sleep(2 * time.Second)
				streams := d.beginStreams(resumedStreams, d.processes)
				d.crashBusierOfPairs()
				assert.Equal(t, d.resumeAll(streams, d.processes), resumedStreams)
			})
		})
	}
}

// Guards against streams that were begun at a daemon which is lost, and go on at another version or
// are refused although their version serves.
func TestResumedStreamAfterLossOfItsDaemon(t *testing.T) {
	t.Parallel()
	runDeployment(t, 4, func(d *deployment) {
		d.daemonCount = daemons
		d.setSoftware("v1", "v1", "v2", "v2")
	}, func(d *deployment) {
		time.Sleep(2 * time.Second)
		lost, others := d.processes[:1], d.processes[1:]
		streams := d.beginStreams(resumedStreams, lost)
		time.Sleep(200 * time.Millisecond)
		d.crashBusierOfPairs()
		d.net.SetBlackhole(func(from, address string) bool {
			return from == lost[0].name || strings.HasPrefix(address, lost[0].host+":")
		})
		assert.Equal(t, d.resumeAll(streams, others), resumedStreams)
		d.net.SetBlackhole(fabric.NoConnections)
	})
}

// Guards against streams that go on at another version after all daemons were lost at once: while
// both versions serve, when the old one's engines have left, while the store is away or was restored
// from an older copy, and when the first events were relayed right before.
func TestResumedStreamAfterLossOfAllDaemons(t *testing.T) {
	t.Parallel()
	for name, c := range map[string]struct {
		// written is the time from the streams' beginning to the loss; after it, the store
		// and the engines are changed.
		written time.Duration
		change  func(d *deployment, older site.Snapshot)
		goOn    bool
	}{
		"both versions":        {written: 300 * time.Millisecond, goOn: true},
		"right after an event": {},
		"old version gone": {written: 300 * time.Millisecond, change: func(d *deployment, _ site.Snapshot) {
			d.store.Delete("servers", d.engines[0].ID)
			d.store.Delete("servers", d.engines[1].ID)
		}},
		"store away": {written: 300 * time.Millisecond, change: func(d *deployment, _ site.Snapshot) {
			for i := range daemons { // they get the rest from a daemon that starts with them
				d.store.SetFault(fmt.Sprint("daemon-", daemons+i), site.Fault{RefuseReadsOf: "verbenabend"})
			}
		}},
		"older store": {written: 300 * time.Millisecond, change: func(d *deployment, older site.Snapshot) { d.store.Restore(older) }},
	} {
		t.Run(name, func(t *testing.T) {
			runDeployment(t, 4, func(d *deployment) {
				d.daemonCount = daemons
				d.setSoftware("v1", "v1", "v2", "v2")
				d.store.SetEra(1)
			}, func(d *deployment) {
				time.Sleep(2 * time.Second)
				older := d.store.Snapshot()
				streams := d.beginStreams(resumedStreams, d.processes)
				time.Sleep(c.written)
				d.losePower()
				if c.change != nil {
					c.change(d, older)
				}
				d.startAll()
				d.crashBusierOfPairs()
				wentOn := d.resumeAll(streams, d.processes[daemons:])
				assert.Check(t, !c.goOn || wentOn == resumedStreams, "%d of %d went on", wentOn, resumedStreams)
			})
		})
	}
}

// Guards against a daemon that has just started, sees one software version and lets it continue
// streams of a version whose last engines left while all daemons were away.
func TestResumedStreamOfVersionThatLeft(t *testing.T) {
	t.Parallel()
	runOnDeployment(t, func(d *deployment) {
		time.Sleep(2 * time.Second)
		streams := d.beginStreams(resumedStreams, d.processes) // of the only version
		d.losePower()
		for _, e := range d.engines {
			d.store.Delete("servers", e.ID)
			e.ID, e.Software = e.ID+"-new", "v2"
			e.Register(d.store)
		}
		d.startAll()
		assert.Equal(t, d.resumeAll(streams, d.processes[daemons:]), 0)
	})
}

// Guards against a resumed stream that is refused in an outage of the store, although its service
// has had one software version only.
func TestResumedStreamOfOnlyVersionDuringStoreOutage(t *testing.T) {
	t.Parallel()
	runOnDeployment(t, func(d *deployment) {
		time.Sleep(2 * time.Second)
		for _, p := range d.processes {
			d.store.SetFault(p.name, site.Fault{Unresponsive: true})
		}
		time.Sleep(4 * time.Second)
		streams := d.beginStreams(resumedStreams, d.processes)
		assert.Equal(t, d.resumeAll(streams, d.processes), resumedStreams)
	})
}

// Guards against a caller that resumes a stream without the ID of its request, or with that of
// another stream, and gets events of any version; and against one that learns of another
// organisation's stream.
func TestResumedStreamOfUnknownOrigin(t *testing.T) {
	t.Parallel()
	for name, modify := range map[string]func(r *http.Request){
		"no ID":                func(r *http.Request) { r.Header.Del("Resumes") },
		"unknown ID":           func(r *http.Request) { r.Header.Set("Resumes", "nobody") },
		"long ID":              func(r *http.Request) { r.Header.Set("Resumes", strings.Repeat("x", 4000)) },
		"two IDs":              func(r *http.Request) { r.Header.Add("Resumes", "another") },
		"another organisation": func(r *http.Request) { r.Header.Set("X-Key", otherCallerKey) },
	} {
		t.Run(name, func(t *testing.T) {
			runOnDeploymentWith(t, func(d *deployment) { d.setSoftware("v1", "v2", "v2") }, func(d *deployment) {
				time.Sleep(2 * time.Second)
				for _, s := range d.beginStreams(6, d.processes) {
					a := d.resume(d.processes[0], s, modify)
					assert.Equal(t, a.status, http.StatusServiceUnavailable, a.body)
					assert.Check(t, strings.Contains(a.body, `"verdict":"not-run"`), a.body)
				}
			})
		})
	}
}

// Guards against a daemon that the store leaves without answers, or refuses, and that lets the only
// version it knows continue streams which others began at a newer one.
func TestResumedStreamAtDaemonWithoutStore(t *testing.T) {
	t.Parallel()
	for name, fault := range map[string]site.Fault{"silent": {Unresponsive: true}, "busy": {Status: http.StatusServiceUnavailable}} {
		t.Run(name, func(t *testing.T) {
			runDeployment(t, 4, func(d *deployment) {
				d.daemonCount = daemons
				d.setSoftware("v2", "v1", "v1", "v2") // short prompts go to the first if they can
				d.store.Delete("servers", d.engines[0].ID)
				d.store.Delete("servers", d.engines[3].ID)
			}, func(d *deployment) {
				time.Sleep(2 * time.Second)
				with, without := d.processes[:2], d.processes[2:]
				ofNewVersion, wentOn := 0, 0
				rounds, step := 12, 1
				if testing.Short() { // as under the race detector
					step = 4
				}
				for round := 0; round < rounds; round += step { // at other moments between two reads of the store
					d.store.SetFault(without[0].name, fault)
					time.Sleep(time.Duration(round) * 350 * time.Millisecond)
					d.engines[0].Register(d.store)
					d.engines[3].Register(d.store)
					for range 15 {
						streams := d.beginStreams(6, with)
						for _, s := range streams {
							if softwareOf(s.body)["v2"] {
								ofNewVersion++
							}
						}
						wentOn += d.resumeAll(streams, without)
					}
					d.store.SetFault(without[0].name, site.Fault{})
					d.store.Delete("servers", d.engines[0].ID)
					d.store.Delete("servers", d.engines[3].ID)
					time.Sleep(45 * time.Second) // until the version is forgotten
				}
				t.Logf("%d streams of the new version, %d of all went on", ofNewVersion, wentOn)
				assert.Assert(t, ofNewVersion > 8*rounds/step && wentOn > 0)
			})
		})
	}
}
