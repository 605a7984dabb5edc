package sitepath

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/verbenabend/verbenabend/lab/fabric"
	"github.com/verbenabend/verbenabend/lab/site"
)

const (
	// contactBound is the platform's time within which daemons in contact know of
	// events at each other.
	contactBound = 3 * time.Second
	// freeCrashes is the number of engine crashes after which requests with the
	// crashing part are counted, maxLateRequests how many of them may still reach
	// engines.
	freeCrashes     = 5
	maxLateRequests = 3
	// answerDelay is how long an engine runs a request before it begins the answer.
	answerDelay = 50 * time.Millisecond
	// partRestartDelay is how long an engine that a part crashed stays down.
	partRestartDelay = 3 * time.Second
	// withdrawalBound is the time within which a part that was quarantined by mistake
	// is served again while requests with it arrive.
	withdrawalBound = 8 * time.Second
	crashingPart    = "bad0bad0"
	sharedPart      = "5aa5"
	partDaemons     = 5
	partEngines     = 8
)

// partCrashes makes a prompt part crash each engine that begins an answer on it.
type partCrashes struct {
	d *deployment

	mu      sync.Mutex
	down    map[*site.Upstream]bool
	times   []time.Time // of the crashes
	reached []time.Time // of requests with the part, at engines
	count   int         // of the prompts made
}

// crashOnPart makes crashingPart crash engines, unless it is a prompt's last part. Until
// the crash they behave as given.
func (d *deployment) crashOnPart(behaviour site.Behaviour) *partCrashes {
	c := &partCrashes{d: d, down: map[*site.Upstream]bool{}}
	for _, u := range d.engines {
		u.ChooseBehaviour = func(r *http.Request) site.Behaviour {
			parts := strings.Split(r.Header.Get("X-Prompt-Prefix"), ",")
			hasPart := func(p string) bool { return strings.HasPrefix(p, crashingPart+":") }
			if !slices.ContainsFunc(parts[:len(parts)-1], hasPart) {
				return site.Serve
			}
			c.mu.Lock()
			c.reached = append(c.reached, time.Now())
			c.mu.Unlock()
			time.AfterFunc(answerDelay, func() { c.crash(u) })
			return behaviour
		}
	}
	return c
}

// crash ends an engine, unless it is down already.
func (c *partCrashes) crash(u *site.Upstream) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.down[u] {
		return
	}
	c.down[u] = true
	c.times = append(c.times, time.Now())
	time.AfterFunc(partRestartDelay, func() {
		c.mu.Lock()
		defer c.mu.Unlock()
		c.down[u] = false
	})
	c.d.crash(u, partRestartDelay)
}

func (c *partCrashes) crashes() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.times)
}

func (c *partCrashes) arrivals() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.reached)
}

// lateRequests returns how many requests with the part reached engines later than
// contactBound after the last of the free crashes.
func (c *partCrashes) lateRequests() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	n := 0
	for _, at := range c.reached {
		if len(c.times) >= freeCrashes && at.Sub(c.times[freeCrashes-1]) > contactBound {
			n++
		}
	}
	return n
}

// ask sends a request whose prompt has the given parts and one of its own.
func (c *partCrashes) ask(p *process, parts ...string) answer {
	c.mu.Lock()
	c.count++
	n := c.count
	c.mu.Unlock()
	return c.d.ask(p, http.MethodPost, modelHost, fmt.Sprintf("/chat/%d", n), func(r *http.Request) {
		prompt := ""
		for _, part := range parts {
			prompt += part + ":100,"
		}
		r.Header.Set("X-Prompt-Prefix", fmt.Sprintf("%sf%06x:30", prompt, n))
	})
}

// untilQuarantined sends requests with the crashing part and sound ones to daemons until
// one with the part is refused.
func (c *partCrashes) untilQuarantined(processes []*process) {
	for i := range 2 * freeCrashes {
		if isQuarantined(c.ask(processes[i%len(processes)], sharedPart, crashingPart)) {
			time.Sleep(contactBound)
			return
		}
		c.ask(processes[i%len(processes)], sharedPart)
		time.Sleep(400 * time.Millisecond)
	}
	c.d.t.Fatalf("the part is not quarantined after %d crashes", c.crashes())
}

func isQuarantined(a answer) bool {
	return a.status == http.StatusServiceUnavailable && a.header.Get("Retry-After") != "" && strings.Contains(a.body, "quarantined")
}

// A prompt part that crashes engines goes on crashing them through requests of which
// no two are alike, or takes sound requests with the same key and first part with it.
func TestPromptPartThatCrashesEnginesIsQuarantined(t *testing.T) {
	t.Parallel()
	runOnDeploymentOf(t, partDaemons, partEngines, func(d *deployment) {
		const period, soundPerCrashing, duration = 40 * time.Millisecond, 12, 40 * time.Second
		c := d.crashOnPart(site.StallInFirstEvent)
		random := rand.New(rand.NewPCG(1, 2))
		var group sync.WaitGroup
		var mu sync.Mutex
		served, sound := 0, 0
		for start := time.Now(); time.Since(start) < duration; time.Sleep(period) {
			p := d.processes[random.IntN(len(d.processes))]
			if random.IntN(soundPerCrashing+1) == 0 {
				group.Go(func() { c.ask(p, sharedPart, crashingPart) })
				continue
			}
			settled := time.Since(start) > duration/2
			group.Go(func() {
				a := c.ask(p, sharedPart)
				mu.Lock()
				defer mu.Unlock()
				if settled {
					sound++
				}
				if settled && a.status == http.StatusOK && a.err == nil {
					served++
				}
			})
		}
		group.Wait()
		assert.Assert(t, c.lateRequests() <= maxLateRequests, "%d requests with the part reached engines, %d crashed", c.lateRequests(), c.crashes())
		assert.Assert(t, 2*served >= sound, "%d of %d sound requests are served", served, sound)
	})
}

// A daemon that starts later, is cut off from its peers, has no store, or is the
// first after a loss of power everywhere, loses an engine to a part that is known to
// crash engines.
func TestQuarantinedPromptPartIsKnownEverywhere(t *testing.T) {
	t.Parallel()
	for name, find := range map[string]func(d *deployment) []*process{
		"started later": func(d *deployment) []*process {
			p := d.start(partDaemons)
			d.eventually("the daemon is ready", startTimeout, func() bool { return len(d.resolve(p)) > 0 })
			return []*process{p}
		},
		"without store": func(d *deployment) []*process {
			p := d.processes[1]
			d.store.SetFault(p.name, site.Fault{Unresponsive: true})
			time.Sleep(contactBound)
			return []*process{p}
		},
		"without power": func(d *deployment) []*process {
			unpowered := slices.Clone(d.processes)
			d.net.SetBlackhole(func(from, address string) bool {
				return slices.ContainsFunc(unpowered, func(p *process) bool { return from == p.name || strings.HasPrefix(address, p.host+":") })
			})
			d.firstDaemon = partDaemons
			d.startAll()
			return d.processes[partDaemons:]
		},
	} {
		t.Run(name, func(t *testing.T) {
			runOnDeploymentOf(t, partDaemons, partEngines, func(d *deployment) {
				c := d.crashOnPart(site.StallInFirstEvent)
				c.untilQuarantined(d.processes)
				before := c.arrivals()
				for _, p := range find(d) {
					assert.Assert(t, isQuarantined(c.ask(p, sharedPart, crashingPart)) || c.arrivals() <= before+1)
					assert.Equal(t, c.ask(p, sharedPart).status, http.StatusOK)
				}
				assert.Assert(t, c.arrivals() <= before+1, "%d more requests reached engines, at most one trial may", c.arrivals()-before)
			})
		})
	}
}

// A daemon that reaches the store but none of its peers doesn't hear of a part that
// crashed engines for the others.
func TestQuarantinedPromptPartIsKnownWithoutPeers(t *testing.T) {
	t.Parallel()
	runOnDeploymentOf(t, partDaemons, partEngines, func(d *deployment) {
		c := d.crashOnPart(site.StallInFirstEvent)
		alone := d.processes[0]
		d.net.SetPartition(func(from, address string) bool {
			between := func(port int) bool { return strings.HasSuffix(address, fmt.Sprintf(":%d", port)) }
			return (between(gossipPort) || between(peerPort)) && (from == alone.name || strings.HasPrefix(address, alone.host+":"))
		})
		defer d.net.SetPartition(fabric.NoConnections)
		c.untilQuarantined(d.processes[1:])
		before := c.arrivals()
		for range 3 {
			c.ask(alone, sharedPart, crashingPart)
			assert.Equal(t, c.ask(alone, sharedPart).status, http.StatusOK)
		}
		assert.Assert(t, c.arrivals() <= before+1, "%d more requests reached engines, at most one trial may", c.arrivals()-before)
	})
}

// stallAll makes engines stall in every answer, and crash if crash is set, until the
// returned function is called.
func (c *partCrashes) stallAll(crash bool) (end func()) {
	var ended atomic.Bool
	for _, u := range c.d.engines {
		u.ChooseBehaviour = func(*http.Request) site.Behaviour {
			if ended.Load() {
				return site.Serve
			}
			if crash {
				time.AfterFunc(answerDelay, func() { c.crash(u) })
			}
			return site.StallInFirstEvent
		}
	}
	return func() { ended.Store(true) }
}

// The streams of a part that crashes engines end with their connection before the first
// event and are taken for complete, which would show that the part is sound.
func TestCrashBeforeFirstEventIsNoAnswer(t *testing.T) {
	t.Parallel()
	runOnDeploymentOf(t, partDaemons, partEngines, func(d *deployment) {
		c := d.crashOnPart(site.EndBeforeFirstEvent)
		a := c.ask(d.processes[0], sharedPart, crashingPart)
		assert.Assert(t, a.err != nil || a.status != http.StatusOK, "an empty stream was passed on as complete")
		c.untilQuarantined(d.processes)
	})
}

// A rare part that was being run at two crashes with another cause stays refused.
func TestSoundPromptPartIsWithdrawnFromQuarantine(t *testing.T) {
	t.Parallel()
	runOnDeploymentOf(t, partDaemons, partEngines, func(d *deployment) {
		c := &partCrashes{d: d, down: map[*site.Upstream]bool{}}
		end := c.stallAll(true)
		for range 2 {
			c.ask(d.processes[0], sharedPart)
			time.Sleep(time.Second)
		}
		end()
		d.eventually("the part is served at every daemon", withdrawalBound, func() bool {
			for _, p := range d.processes {
				if c.ask(p, sharedPart).status != http.StatusOK {
					return false
				}
			}
			return true
		})
	})
}

// Engines that crash within the same second for another reason put the prompt parts
// of the requests that they were running into quarantine.
func TestPromptPartsOfMassCrashAreServed(t *testing.T) {
	t.Parallel()
	runOnDeploymentOf(t, partDaemons, partEngines, func(d *deployment) {
		const crashInterval = 100 * time.Millisecond
		c := &partCrashes{d: d, down: map[*site.Upstream]bool{}}
		end := c.stallAll(false)
		var group sync.WaitGroup
		for i := range 4 * partDaemons {
			group.Go(func() { c.ask(d.processes[i%partDaemons], sharedPart, fmt.Sprintf("e%02x", i)) })
		}
		time.Sleep(answerDelay)
		end()
		for _, u := range d.engines {
			c.crash(u)
			time.Sleep(crashInterval)
		}
		group.Wait()
		time.Sleep(partRestartDelay)
		for i := range 4 * partDaemons {
			assert.Equal(t, c.ask(d.processes[i%partDaemons], sharedPart, fmt.Sprintf("e%02x", i)).status, http.StatusOK)
		}
	})
}

// Guards against clearing a prompt part because of a body without a length or chunks that
// a crash cut off.
func TestCrashInBodyIsNoAnswer(t *testing.T) {
	t.Parallel()
	runOnDeploymentOf(t, partDaemons, partEngines, func(d *deployment) {
		c := d.crashOnPart(site.EndInBody)
		c.untilQuarantined(d.processes)
	})
}
